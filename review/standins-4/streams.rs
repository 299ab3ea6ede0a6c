//! Clients of a resumable stream, and the rule for streams that are taken up.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use crate::http::Head;
use crate::record::Record;

/// Least number of streams taken up that the rule counts.
const MIN_TAKEN_UP: usize = 12;

/// A client attempt at a stream.
pub struct Stream {
    pub id: String,
    pub connection: Arc<TcpStream>,
}

/// What a client saw of a stream.
#[derive(Debug)]
pub struct Seen {
    pub status: u16,
    pub last_event: u32,
    pub is_complete: bool,
}

impl Stream {
    /// Sends a request; `taken_up` is the attempt that brought the first event, and the last event.
    pub fn open(
        front: SocketAddr,
        id: &str,
        taken_up: Option<(&str, u32)>,
    ) -> Result<Self, String> {
        let connection = TcpStream::connect(front).map_err(|error| error.to_string())?;
        let taken_up = taken_up.map_or(String::new(), |(first, last)| {
            format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n")
        });
        let body = "x".repeat(600);
        let request = format!(
            "POST /draft/notice HTTP/1.1\r\nHost: svc.example\r\nRequest-Attempt-Id: {id}\r\nKey: key-a\r\nModel: m0\r\nToken-Counts: 800,80\r\nPrompt-Prefix: 5c1e07a2:119,91bd3f06:79,{id}:602\r\nDeadline-Ms: 15000\r\n{taken_up}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let sent = (&connection).write_all(request.as_bytes());
        sent.map_err(|error| error.to_string())?;
        Ok(Self {
            id: id.to_owned(),
            connection: Arc::new(connection),
        })
    }

    /// Reads until the end of the answer or of the connection.
    pub fn read(&self, record: &Record) -> Seen {
        let mut reader = BufReader::new(&*self.connection);
        let mut seen = Seen {
            status: 0,
            last_event: 0,
            is_complete: false,
        };
        if let Ok(head) = Head::read(&mut reader) {
            seen.status = head.status();
            let mut bytes = Vec::new();
            // An error ends the answer like the end of the connection.
            let _ = reader.read_to_end(&mut bytes);
            let text = String::from_utf8_lossy(&bytes);
            let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
            seen.last_event = ids.filter_map(|id| id.parse().ok()).max().unwrap_or(0);
            seen.is_complete = text.ends_with("0\r\n\r\n");
        }
        record.line(&format!("stream {}: {seen:?}", self.id));
        seen
    }
}

/// How many streams that were taken up, and how many new ones at the same time, got a first event.
pub struct Outcome {
    pub taken_up: usize,
    pub went_on: usize,
    pub new: usize,
    pub began: usize,
}

/// Returns how many streams are answered with 200.
pub fn count_begun(streams: &[Stream], record: &Record) -> usize {
    let heads = streams.iter().map(|stream| {
        let head = Head::read(&mut BufReader::new(&*stream.connection));
        let status = head.map_or(0, |head| head.status());
        record.line(&format!("stream {}: status {status}", stream.id));
        status
    });
    heads.filter(|&status| status == 200).count()
}

impl Outcome {
    /// Returns whether the rule held.
    pub fn judge(&self, record: &Record) -> Result<bool, String> {
        record.summary(&format!(
            "streams taken up: {}, went on: {}; new streams: {}, began: {}",
            self.taken_up, self.went_on, self.new, self.began
        ));
        if self.taken_up < MIN_TAKEN_UP || self.began == 0 {
            return Err("too few streams".to_owned());
        }
        let share = self.went_on as f64 / self.taken_up as f64;
        let is_broken = share < self.began as f64 / self.new as f64 / 2.0;
        record.summary(if is_broken { "BROKEN" } else { "held" });
        Ok(!is_broken)
    }
}
