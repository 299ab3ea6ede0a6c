//! Server-sent events, each on its way as soon as it is made.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use hickoryhall_edge::{AnswerBody, BodySender};
use tokio::runtime::Handle;
use tokio::time::timeout;

use crate::Request;
use crate::respond::response;

/// Writes an event stream; dropping it before [`EventWriter::finish`] breaks the stream off.
#[derive(Debug)]
pub struct EventWriter {
    sender: BodySender,
    runtime: Handle,
    write: Duration,
}

impl EventWriter {
    /// Sends the head of the response.
    ///
    /// # Errors
    ///
    /// Returns an error where the caller is gone.
    pub fn start(request: Request, headers: &[(&str, &str)]) -> io::Result<Self> {
        let (sender, body) = AnswerBody::stream();
        let fixed = [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
        ];
        let response = response(200, &[&fixed, headers].concat(), body);
        request
            .answer
            .send(response)
            .map_err(|_| io::ErrorKind::BrokenPipe)?;
        Ok(Self {
            sender,
            runtime: request.runtime,
            write: request.write,
        })
    }

    /// Tells whether the caller has hung up.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends one event.
    ///
    /// # Errors
    ///
    /// Returns an error where the caller is gone or has not read for too long.
    pub fn event(&mut self, data: &str) -> io::Result<()> {
        self.send(Bytes::from(format!("data: {data}\n\n")))
    }

    /// Sends bytes as they are.
    ///
    /// # Errors
    ///
    /// Returns an error where the caller is gone or has not read for too long.
    pub fn piece(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.send(Bytes::copy_from_slice(bytes))
    }

    fn send(&self, bytes: Bytes) -> io::Result<()> {
        // Most callers keep up; waiting costs a timer and a trip through the runtime.
        let Err(bytes) = self.sender.try_send(bytes) else {
            return Ok(());
        };
        let sent = async { timeout(self.write, self.sender.send(bytes)).await };
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
    /// Returns an error where the caller is gone.
    pub fn finish(self) -> io::Result<()> {
        if self.is_closed() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        self.sender.finish();
        Ok(())
    }
}
