//! Bodies of answers: whole ones, and streams fed by a task.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Pieces of a stream that may wait for a slow caller before its feeder has to wait.
const STREAM_QUEUE: usize = 4;

/// A stream was broken off; the caller's connection ends without the end of the answer.
#[derive(Debug, thiserror::Error)]
#[error("the stream was broken off")]
pub struct Aborted;

/// Body of an answer to a caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// Known in full; `None` once it has been sent.
    Full(Option<Bytes>),
    /// Pieces as they come.
    Stream(mpsc::Receiver<Result<Bytes, Aborted>>),
}

/// Feeder of a streamed body.
#[derive(Clone, Debug)]
pub struct BodySender(mpsc::Sender<Result<Bytes, Aborted>>);

impl AnswerBody {
    /// Creates a body that is known in full.
    #[must_use]
    pub fn full(bytes: Bytes) -> Self {
        Self::Full(Some(bytes))
    }

    /// Creates a streamed body and its feeder; dropping the feeder ends the body as complete.
    #[must_use]
    pub fn stream() -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_QUEUE);
        (BodySender(sender), Self::Stream(receiver))
    }
}

impl BodySender {
    /// Sends a piece; returns `false` where the caller is gone.
    pub async fn send(&self, piece: Bytes) -> bool {
        self.0.send(Ok(piece)).await.is_ok()
    }

    /// Breaks the stream off.
    pub async fn abort(self) {
        // A caller that is gone needs no broken stream.
        let _ = self.0.send(Err(Aborted)).await;
    }

    /// Waits until the caller is gone.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(pieces) => pieces
                .poll_recv(cx)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
