//! What the head of a response says about its body: how its end is told, and what it is.

use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, TRANSFER_ENCODING};

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

/// Media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// What the media type of a response says of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyMedia {
    /// A stream of events.
    Events,
    /// Something else.
    Other,
    /// The response names no media type.
    Unstated,
}

impl BodyMedia {
    /// Returns what the headers of a response state.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Self {
        let mut stated = headers.get_all(CONTENT_TYPE).iter().peekable();
        let is_events = |value: &[u8]| {
            let essence = value.split(|&byte| byte == b';').next();
            essence.is_some_and(|essence| essence.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM))
        };
        if stated.peek().is_none() {
            Self::Unstated
        } else if stated.all(|value| is_events(value.as_bytes())) {
            Self::Events
        } else {
            Self::Other
        }
    }

    /// Returns the name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Events => "events",
            Self::Other => "other",
            Self::Unstated => "unstated",
        }
    }
}
