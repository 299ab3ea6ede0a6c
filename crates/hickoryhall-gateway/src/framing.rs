//! How the end of a response body is told.

use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

/// How a server tells where the body of its response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length.
    Length,
    /// By a last chunk.
    Chunks,
    /// Only by the end of the connection, as a server that crashes does too.
    Connection,
}

impl BodyFraming {
    /// Returns the framing that the headers of a response state.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Self {
        let last_coding = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        match last_coding.map(|value| value.as_bytes().to_ascii_lowercase()) {
            Some(codings) if codings.trim_ascii_end().ends_with(b"chunked") => Self::Chunks,
            Some(_) => Self::Connection,
            None if headers.contains_key(CONTENT_LENGTH) => Self::Length,
            None => Self::Connection,
        }
    }

    /// Returns the name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}
