//! Socket of a caller's connection, which is closed without losing what was written to it.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::{CallerConnection, ShutdownSignal};

/// Time without progress after which a response that the caller does not read is given up.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a closed connection waits for its caller to close it too.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest response that a caller's socket certainly holds; a stopping host waits longer than
/// [`LINGER_TIMEOUT`] only for larger ones.
const MAX_BUFFERED_RESPONSE_BYTES: u64 = 65_536;
/// Size of the buffer for bytes that are read to be discarded.
const DISCARD_BUFFER_BYTES: usize = 2_048;

/// How a connection is being closed.
#[derive(Debug)]
enum Closing {
    /// Both directions are open.
    Open,
    /// The sending direction is closed; the rest of a request that was answered before it was read
    /// is discarded, because closing a socket with unread bytes resets the connection.
    Discarding(Pin<Box<Sleep>>),
    /// The sending direction is closed. Nothing is read, so that the caller of a request that
    /// crosses the close may know that it did not run. Without a timer, only the end of the process
    /// limits the wait.
    Waiting(Option<Pin<Box<Sleep>>>),
    /// The socket may be dropped.
    Closed,
}

/// Socket of a caller that records the progress of its connection.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    connection: Rc<CallerConnection>,
    shutdown: ShutdownSignal,
    closing: Closing,
    /// Runs while the socket accepts no bytes.
    write_stall: Option<Pin<Box<Sleep>>>,
    has_caller_closed: bool,
}

impl CallerStream {
    pub(crate) fn new(
        stream: TcpStream,
        connection: Rc<CallerConnection>,
        shutdown: ShutdownSignal,
    ) -> Self {
        Self {
            stream,
            connection,
            shutdown,
            closing: Closing::Open,
            write_stall: None,
            has_caller_closed: false,
        }
    }

    /// Records the result of a write, and fails it after too long without progress.
    fn on_write(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(result) = result {
            self.write_stall = None;
            if let Ok(bytes) = result {
                self.connection.on_written(bytes);
            }
            return Poll::Ready(result);
        }
        let stall = self
            .write_stall
            .get_or_insert_with(|| Box::pin(sleep(WRITE_STALL_TIMEOUT)));
        ready!(stall.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Decides how the connection is closed after the last byte has been written.
    fn start_closing(&self) -> Closing {
        let linger = || Box::pin(sleep(LINGER_TIMEOUT));
        if self.has_caller_closed {
            Closing::Closed
        } else if !self.connection.has_read_request() {
            Closing::Discarding(linger())
        } else if !*self.shutdown.borrow() {
            Closing::Closed
        } else if self.connection.written_bytes() > MAX_BUFFERED_RESPONSE_BYTES {
            Closing::Waiting(None)
        } else {
            Closing::Waiting(Some(linger()))
        }
    }

    /// Discards what the caller sends until it closes the connection.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut buffer);
            let read = ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
        }
    }

    /// Waits until the caller closes the connection, without reading anything.
    fn poll_caller_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let mut byte = [0];
            let mut buffer = ReadBuf::new(&mut byte);
            match ready!(self.stream.poll_peek(cx, &mut buffer)) {
                Ok(0) | Err(_) => return Poll::Ready(()),
                Ok(_) => {}
            }
            // Returns the state at once, because the socket is readable.
            let mut readiness = std::pin::pin!(self.stream.ready(Interest::READABLE));
            match readiness
                .as_mut()
                .poll(&mut Context::from_waker(Waker::noop()))
            {
                Poll::Ready(Ok(ready)) if !ready.is_read_closed() => {}
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => {}
            }
            // Waits for the next change instead of the bytes that stay unread.
            let cleared = self.stream.try_io(Interest::READABLE, || {
                Err::<(), _>(io::ErrorKind::WouldBlock.into())
            });
            debug_assert!(cleared.is_err());
            if ready!(self.stream.poll_read_ready(cx)).is_err() {
                return Poll::Ready(());
            }
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.connection.would_look_complete() {
            // Makes the close a reset. If that fails, the socket is no longer connected.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() > before {
            self.connection.on_read();
        } else {
            self.has_caller_closed = true;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.on_write(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.on_write(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library flushes after all that it has buffered is written.
    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.on_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            let mut closing = std::mem::replace(&mut self.closing, Closing::Closed);
            let is_over = match &mut closing {
                Closing::Open => {
                    if Pin::new(&mut self.stream).poll_shutdown(cx)?.is_pending() {
                        self.closing = closing;
                        return Poll::Pending;
                    }
                    self.closing = self.start_closing();
                    self.connection.on_closing();
                    continue;
                }
                Closing::Discarding(limit) => {
                    limit.as_mut().poll(cx).is_ready() || self.poll_discard(cx).is_ready()
                }
                Closing::Waiting(limit) => {
                    let is_late = limit
                        .as_mut()
                        .is_some_and(|limit| limit.as_mut().poll(cx).is_ready());
                    is_late || self.poll_caller_closed(cx).is_ready()
                }
                Closing::Closed => true,
            };
            if is_over {
                return Poll::Ready(Ok(()));
            }
            self.closing = closing;
            return Poll::Pending;
        }
    }
}
