//! Clients, each of which sends one request on a new connection.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{read_body, read_chunk, read_head};
use crate::record::Record;

pub struct Call<'a> {
    pub id: &'a str,
    /// Method and target.
    pub line: &'a str,
    pub headers: &'a str,
    pub body: &'a str,
    pub deadline: Duration,
}

#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended without a head.
    pub status: u16,
    pub is_whole: bool,
    pub body: Vec<u8>,
}

/// Sends a request to a host and reads its answer.
pub fn call(record: &Record, host: SocketAddr, call: &Call) -> Answer {
    record.add("sent", call.id, &host.to_string(), call.line);
    let answer = exchange(host, call).unwrap_or_default();
    let whole = if answer.is_whole {
        "whole"
    } else {
        "not whole"
    };
    let events = String::from_utf8_lossy(&answer.body)
        .matches("data: ")
        .count();
    let detail = format!("{} {whole}, {events} events", answer.status);
    record.add("answered", call.id, &host.to_string(), detail);
    answer
}

fn exchange(host: SocketAddr, call: &Call) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&host, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(call.deadline))?;
    let Call {
        id,
        line,
        headers,
        body,
        deadline,
    } = call;
    let (deadline, length) = (deadline.as_millis(), body.len());
    let message = format!(
        "{line} HTTP/1.1\r\nHost: svc.example\r\nRequest-Attempt-Id: {id}\r\nDeadline-Ms: {deadline}\r\n{headers}Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    );
    stream.write_all(message.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader)? else {
        return Ok(Answer::default());
    };
    let mut answer = Answer {
        status: head.status(),
        ..Answer::default()
    };
    if head.header("transfer-encoding").is_some() {
        while let Ok(chunk) = read_chunk(&mut reader) {
            if chunk.is_empty() {
                answer.is_whole = true;
                break;
            }
            answer.body.extend(chunk);
        }
    } else if let Ok(body) = read_body(&mut reader, &head) {
        answer.body = body;
        answer.is_whole = true;
    }
    Ok(answer)
}
