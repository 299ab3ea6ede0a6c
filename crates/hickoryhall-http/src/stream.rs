//! Server-sent event streams; each event is sent as soon as it is written.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use hickoryhall_edge::{BodySender, ResponseBody, StreamRoom};
use tokio::runtime::Handle;
use tokio::time::timeout;

use crate::Request;
use crate::respond::build_response;

/// Bytes of a stream that wait for its caller; events beyond them wait for the caller to read.
const STREAM_ROOM_BYTES: usize = 1 << 20;

/// Writes an event stream. Dropping it without [`EventWriter::finish`] aborts the stream: the
/// connection is closed and the caller sees an incomplete response.
#[derive(Debug)]
pub struct EventWriter {
    sender: BodySender,
    runtime: Handle,
    write_timeout: Duration,
}

impl EventWriter {
    /// Sends the response head with status 200, the headers of an event stream and the given ones.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub fn start(request: Request, headers: &[(&str, &str)]) -> io::Result<Self> {
        let (sender, body) = ResponseBody::stream(&StreamRoom::new(STREAM_ROOM_BYTES));
        let fixed = [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
        ];
        let response = build_response(200, &[&fixed, headers].concat(), body);
        request
            .response_sender
            .send(response)
            .map_err(|_| io::ErrorKind::BrokenPipe)?;
        Ok(Self {
            sender,
            runtime: request.runtime,
            write_timeout: request.write_timeout,
        })
    }

    /// Returns whether the caller has disconnected.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends one event with the given data, which must not contain line breaks.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected, or has not read within
    /// [`ServerLimits::write_timeout`](crate::ServerLimits::write_timeout).
    pub fn send_event(&mut self, data: &str) -> io::Result<()> {
        self.send(Bytes::from(format!("data: {data}\n\n")))
    }

    /// Sends raw bytes without event framing.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected, or has not read within
    /// [`ServerLimits::write_timeout`](crate::ServerLimits::write_timeout).
    pub fn send_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.send(Bytes::copy_from_slice(bytes))
    }

    fn send(&self, bytes: Bytes) -> io::Result<()> {
        // Avoids the cost of a timer and of blocking on the runtime while the caller keeps up.
        let Err(bytes) = self.sender.try_send(bytes) else {
            return Ok(());
        };
        let sent = async { timeout(self.write_timeout, self.sender.send(bytes)).await };
        match self.runtime.block_on(sent) {
            Ok(true) => Ok(()),
            Ok(false) => Err(io::ErrorKind::BrokenPipe.into()),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// Ends the stream as complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub fn finish(self) -> io::Result<()> {
        if self.is_closed() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        self.sender.finish();
        Ok(())
    }
}
