//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// First line and headers.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub lines: Vec<String>,
}

impl Head {
    /// Reads a head; `None` if the connection ends before it is complete.
    pub fn read(reader: &mut impl BufRead) -> Option<Self> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 || !line.ends_with("\r\n") {
                return None;
            }
            let line = line.trim_end().to_owned();
            if line.is_empty() {
                return Some(Self { lines });
            }
            lines.push(line);
        }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.lines.iter().filter_map(|line| line.split_once(':'));
        let header = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        header.map(|(_, value)| value.trim())
    }

    pub fn word(&self, index: usize) -> &str {
        let line = self.lines.first().map_or("", String::as_str);
        line.split(' ').nth(index).unwrap_or_default()
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some()
    }

    fn length(&self) -> usize {
        let length = self.header("content-length");
        length.and_then(|length| length.parse().ok()).unwrap_or(0)
    }
}

/// Reads one chunk of a chunked body; `None` if the connection ends first. The last one is empty.
pub fn read_chunk(reader: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let length = usize::from_str_radix(line.trim(), 16).ok()?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(length);
    Some(chunk)
}

/// Reads a whole request.
pub fn read_request(reader: &mut impl BufRead) -> Option<(Head, Vec<u8>)> {
    let head = Head::read(reader)?;
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    } else {
        body.resize(head.length(), 0);
        reader.read_exact(&mut body).ok()?;
    }
    Some((head, body))
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 without a response.
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    pub is_whole: bool,
}

/// Sends a request on a new connection and reads what comes until its end or a time limit.
pub fn request(address: SocketAddr, text: &str, limit: Duration) -> Answer {
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return answer;
    };
    let _ = stream.set_read_timeout(Some(limit));
    if stream.write_all(text.as_bytes()).is_err() {
        return answer;
    }
    let mut reader = BufReader::new(stream);
    let Some(head) = Head::read(&mut reader) else {
        return answer;
    };
    answer.status = head.word(1).parse().unwrap_or(0);
    if head.is_chunked() {
        while let Some(chunk) = read_chunk(&mut reader) {
            if chunk.is_empty() {
                answer.is_whole = true;
                break;
            }
            answer.body.extend(chunk);
        }
    } else {
        answer.body.resize(head.length(), 0);
        answer.is_whole = reader.read_exact(&mut answer.body).is_ok();
    }
    answer.head = head;
    answer
}
