//! Bodies of requests, and of responses, which are either complete or streamed by a task.

use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::CallerConnection;

/// Number of chunks that are queued for a slow caller before the sender has to wait.
const STREAM_QUEUE_CHUNKS: usize = 4;

/// Room for the chunks of all streams that wait for slow callers. A stream without a waiting chunk needs
/// none, so that each one goes on as fast as its caller reads.
#[derive(Clone, Debug)]
pub struct StreamRoom {
    /// One permit a byte.
    room: Arc<Semaphore>,
    bytes: usize,
}

impl StreamRoom {
    /// Creates room for `bytes`.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            room: Arc::new(Semaphore::new(bytes)),
            bytes,
        }
    }

    /// Returns the bytes that wait, apart from one chunk of each stream.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.bytes - self.room.available_permits()
    }
}

/// A chunk with the room that it takes.
#[derive(Debug)]
struct Chunk {
    bytes: Bytes,
    _room: Option<OwnedSemaphorePermit>,
}

/// Error of an aborted stream; the caller's connection is closed before the response is complete.
#[derive(Debug, thiserror::Error)]
#[error("the response stream was aborted")]
pub struct StreamAborted;

/// Body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// Complete body; `None` after it has been sent.
    Full(Option<Bytes>),
    /// Chunks that are sent as they arrive.
    Stream(BodyReceiver),
}

/// Receiving half of a streamed body, which the HTTP library reads.
#[derive(Debug)]
pub struct BodyReceiver {
    chunks: mpsc::Receiver<Chunk>,
    is_complete: Arc<AtomicBool>,
    /// Whether the HTTP library has had a turn to write the chunks before an abort.
    has_yielded: bool,
}

/// Sending half of a streamed body; dropping it without [`finish`](Self::finish) aborts the stream.
#[derive(Debug)]
pub struct BodySender {
    chunks: mpsc::Sender<Chunk>,
    room: StreamRoom,
    is_complete: Arc<AtomicBool>,
}

impl ResponseBody {
    /// Creates a complete body.
    #[must_use]
    pub fn full(bytes: Bytes) -> Self {
        Self::Full(Some(bytes))
    }

    /// Creates a streamed body and its sender, whose chunks take `room`.
    #[must_use]
    pub fn stream(room: &StreamRoom) -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_QUEUE_CHUNKS);
        let is_complete = Arc::new(AtomicBool::new(false));
        let body_sender = BodySender {
            chunks: sender,
            room: room.clone(),
            is_complete: Arc::clone(&is_complete),
        };
        let body_receiver = BodyReceiver {
            chunks: receiver,
            is_complete,
            has_yielded: false,
        };
        (body_sender, Self::Stream(body_receiver))
    }
}

impl BodySender {
    /// Sends a chunk, waiting while the queue or the room for all streams is full; returns `false` if
    /// the caller has disconnected.
    pub async fn send(&self, bytes: Bytes) -> bool {
        let needed = u32::try_from(bytes.len().min(self.room.bytes)).unwrap_or(u32::MAX);
        let is_queue_empty = self.chunks.capacity() == STREAM_QUEUE_CHUNKS;
        let room = if is_queue_empty {
            None
        } else {
            tokio::select! {
                biased;
                room = Arc::clone(&self.room.room).acquire_many_owned(needed) => room.ok(),
                // Succeeds once the queue is empty, or fails if the caller has disconnected.
                _ = self.chunks.reserve_many(STREAM_QUEUE_CHUNKS) => None,
            }
        };
        let chunk = Chunk { bytes, _room: room };
        self.chunks.send(chunk).await.is_ok()
    }

    /// Sends a chunk if the queue and the room for all streams are not full.
    ///
    /// # Errors
    ///
    /// Returns the chunk if there is no room or the caller has disconnected.
    pub fn try_send(&self, bytes: Bytes) -> Result<(), Bytes> {
        let needed = u32::try_from(bytes.len().min(self.room.bytes)).unwrap_or(u32::MAX);
        let is_queue_empty = self.chunks.capacity() == STREAM_QUEUE_CHUNKS;
        let room = if is_queue_empty {
            None
        } else {
            match Arc::clone(&self.room.room).try_acquire_many_owned(needed) {
                Ok(room) => Some(room),
                Err(_) => return Err(bytes),
            }
        };
        let sent = self.chunks.try_send(Chunk { bytes, _room: room });
        sent.map_err(|error| error.into_inner().bytes)
    }

    /// Marks the stream as complete and closes it.
    pub fn finish(self) {
        self.is_complete.store(true, Ordering::Release);
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Returns whether the caller has disconnected.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.chunks.is_closed()
    }
}

impl BodyReceiver {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, StreamAborted>>> {
        match ready!(self.chunks.poll_recv(cx)) {
            Some(chunk) => Poll::Ready(Some(Ok(chunk.bytes))),
            None if self.is_complete.load(Ordering::Acquire) => Poll::Ready(None),
            None if self.has_yielded => Poll::Ready(Some(Err(StreamAborted))),
            None => {
                // An error discards the chunks that the HTTP library has not written; it writes them
                // while it waits for more.
                self.has_yielded = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(receiver) => receiver
                .poll(cx)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
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

/// Body of a caller's request.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    connection: Rc<CallerConnection>,
}

impl RequestBody {
    pub(crate) fn new(incoming: Incoming, connection: Rc<CallerConnection>) -> Self {
        Self {
            incoming,
            connection,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        if frame.is_none() || self.incoming.is_end_stream() {
            self.connection.on_request_read();
        } else {
            self.connection.on_request_progress();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Body of a response, which records its progress; the HTTP library drops it once it has taken over
/// the last byte.
#[derive(Debug)]
pub(crate) struct TrackedBody {
    body: ResponseBody,
    connection: Rc<CallerConnection>,
}

impl TrackedBody {
    pub(crate) fn new(body: ResponseBody, connection: Rc<CallerConnection>) -> Self {
        if let Some(bytes) = body.size_hint().exact() {
            connection.on_response_bytes(bytes);
        }
        Self { body, connection }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        let is_stream = matches!(self.body, ResponseBody::Stream(_));
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && is_stream
        {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            self.connection.on_response_bytes(bytes as u64);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.connection.on_response_ended();
    }
}
