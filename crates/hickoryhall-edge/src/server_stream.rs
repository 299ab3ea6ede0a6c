//! Sockets to servers, on which a response that is broken off does not end like a whole one.
//!
//! A response without a length ends with its connection. A server that breaks off while it is sent a
//! long request may end its sending direction in order, and reset the connection only once further
//! bytes of the request arrive.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Time in which a reset follows an end of the connection that came before the request was sent.
const RESET_TIME: Duration = Duration::from_millis(100);
/// Time between two looks for the reset.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Size up to which a body counts as received once it is written: it fits into the buffers of a socket.
const BUFFERED_BODY_BYTES: usize = 64 << 10;

/// What is sent of the last request on a connection, and whether its response has begun.
#[derive(Debug, Default)]
pub(crate) struct RequestProgress {
    body_bytes: Cell<usize>,
    /// Whether the HTTP library has taken over the whole body.
    is_body_taken: Cell<bool>,
    /// When the last byte was written to the socket.
    sent_at: Cell<Option<Instant>>,
    has_response_bytes: Cell<bool>,
}

impl RequestProgress {
    /// Records that a request is going to be sent.
    pub(crate) fn begin(&self, body_bytes: usize) {
        self.body_bytes.set(body_bytes);
        self.is_body_taken.set(body_bytes == 0);
        self.sent_at.set(None);
        self.has_response_bytes.set(false);
    }

    /// Records that the HTTP library has taken over the whole body.
    pub(crate) fn set_body_taken(&self) {
        self.is_body_taken.set(true);
    }

    fn on_flushed(&self) {
        if self.is_body_taken.get() && self.sent_at.get().is_none() {
            self.sent_at.set(Some(Instant::now()));
        }
    }

    /// Returns whether the server may have ended a response before it has received the request.
    fn may_be_broken_off(&self) -> bool {
        let is_received = self.sent_at.get().is_some_and(|sent_at| {
            self.body_bytes.get() <= BUFFERED_BODY_BYTES || sent_at.elapsed() >= RESET_TIME
        });
        self.has_response_bytes.get() && !is_received
    }
}

/// Socket to a server. Its end is delayed while a reset may follow, which is then read in its place.
#[derive(Debug)]
pub(crate) struct ServerStream {
    stream: TcpStream,
    progress: Rc<RequestProgress>,
    /// Whether the server has refused bytes that were written.
    is_reset: bool,
    end: Option<DelayedEnd>,
}

#[derive(Debug)]
struct DelayedEnd {
    ended_at: Instant,
    next_check: Pin<Box<Sleep>>,
}

impl ServerStream {
    pub(crate) fn new(stream: TcpStream, progress: Rc<RequestProgress>) -> Self {
        Self {
            stream,
            progress,
            is_reset: false,
            end: None,
        }
    }

    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn check_written<T>(&mut self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.is_reset |= matches!(written, Poll::Ready(Err(_)));
        written
    }

    /// Waits at the end of the connection until a reset has arrived, or none is expected any more.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let end = self.end.get_or_insert_with(|| DelayedEnd {
            ended_at: Instant::now(),
            next_check: Box::pin(sleep(CHECK_INTERVAL)),
        });
        loop {
            if self.is_reset {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            if let Some(error) = self.stream.take_error()? {
                return Poll::Ready(Err(error));
            }
            if end.ended_at.elapsed() >= RESET_TIME {
                return Poll::Ready(Ok(()));
            }
            ready!(end.next_check.as_mut().poll(cx));
            end.next_check.set(sleep(CHECK_INTERVAL));
        }
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.end.is_some() {
            return this.poll_end(cx);
        }
        let before = buffer.remaining();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buffer))?;
        if buffer.remaining() < before {
            this.progress.has_response_bytes.set(true);
        } else if before > 0 && this.progress.may_be_broken_off() {
            return this.poll_end(cx);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.check_written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.check_written(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes once it has written all that it has.
        self.progress.on_flushed();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
