//! Server-sent events, each on its way as soon as it is made.

use std::io::{self, Write};

use tiny_http::Request;

/// Writes a chunked event stream.
///
/// `tiny_http`'s own streaming response gathers 8 KiB before it sends, so this writer takes the
/// connection and flushes after every event.
pub struct EventWriter {
    writer: Box<dyn Write + Send>,
}

impl EventWriter {
    /// Sends the head of the response.
    ///
    /// # Errors
    ///
    /// Returns an error where the caller is gone.
    pub fn start(request: Request, headers: &[(&str, &str)]) -> io::Result<Self> {
        let mut writer = request.into_writer();
        let mut head = String::from(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\
             Transfer-Encoding: chunked\r\n",
        );
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(Self { writer })
    }

    /// Sends one event.
    ///
    /// # Errors
    ///
    /// Returns an error where the caller is gone or has not read for too long.
    pub fn event(&mut self, data: &str) -> io::Result<()> {
        let event = format!("data: {data}\n\n");
        self.raw(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
    }

    /// Sends bytes outside the chunk format, which a reader takes as a broken stream.
    ///
    /// # Errors
    ///
    /// Returns an error where the caller is gone.
    pub fn raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes)?;
        self.writer.flush()
    }

    /// Sends the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error where the caller is gone.
    pub fn finish(mut self) -> io::Result<()> {
        self.raw(b"0\r\n\r\n")
    }
}
