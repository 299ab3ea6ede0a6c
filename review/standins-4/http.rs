//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::io::{self, BufRead, Read};

/// First line and headers of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; an error if the connection ends before it is complete.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Self> {
        let mut head = Self::default();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if head.first_line.is_empty() {
                head.first_line = line.to_owned();
            } else if line.is_empty() {
                return Ok(head);
            } else if let Some((name, value)) = line.split_once(':') {
                let name = name.to_ascii_lowercase();
                head.headers.push((name, value.trim().to_owned()));
            }
        }
    }

    /// Returns the first value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(other, _)| other == name);
        header.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads a body by its length or its chunks; an error if it ends early.
pub fn read_body(head: &Head, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let start = body.len();
            body.resize(start + size, 0);
            reader.read_exact(&mut body[start..])?;
            reader.read_line(&mut String::new())?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
    let length = head
        .header("content-length")
        .and_then(|text| text.parse().ok());
    reader.take(length.unwrap_or(0)).read_to_end(&mut body)?;
    if (body.len() as u64) < length.unwrap_or(0) {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(body)
}

/// Decodes percent signs of a query.
pub fn decode_query(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next().unwrap_or(0), rest.next().unwrap_or(0)];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
