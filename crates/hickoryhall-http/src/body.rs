//! Reading a request's headers and body within limits.

use std::io::Read;

use tiny_http::Request;

use crate::Caller;

/// A body that cannot be used.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than the limit.
    #[error("the body is longer than {limit_bytes} bytes")]
    TooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// The body ended before its stated length.
    #[error("the body ended after {read_bytes} of {stated_bytes} bytes")]
    Truncated {
        /// Bytes that came.
        read_bytes: usize,
        /// Bytes that were announced.
        stated_bytes: usize,
    },
    /// Reading failed.
    #[error("reading the body: {0}")]
    Read(String),
}

/// Reads the whole body; the watch over callers ends one that comes too slowly.
///
/// # Errors
///
/// Returns an error where the body is too long, too short or cannot be read.
pub fn read_body(
    request: &mut Request,
    caller: &Caller,
    limit_bytes: usize,
) -> Result<Vec<u8>, BodyError> {
    let stated = request.body_length();
    if stated.is_some_and(|length| length > limit_bytes) {
        return Err(BodyError::TooLarge { limit_bytes });
    }
    let mut body = Vec::with_capacity(stated.unwrap_or(0));
    caller.reading(|| {
        request
            .as_reader()
            .take(limit_bytes as u64 + 1)
            .read_to_end(&mut body)
            .map_err(|error| BodyError::Read(error.to_string()))
    })?;
    if body.len() > limit_bytes {
        return Err(BodyError::TooLarge { limit_bytes });
    }
    match stated.filter(|&stated_bytes| body.len() < stated_bytes) {
        Some(stated_bytes) => Err(BodyError::Truncated {
            read_bytes: body.len(),
            stated_bytes,
        }),
        None => Ok(body),
    }
}

/// Returns the value of a header, the first one where it stands more than once.
#[must_use]
pub fn header<'a>(request: &'a Request, name: &'static str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|h| h.field.equiv(name))
        .map(|h| h.value.as_str())
}

/// Returns how often a header stands.
#[must_use]
pub fn header_count(request: &Request, name: &'static str) -> usize {
    request
        .headers()
        .iter()
        .filter(|h| h.field.equiv(name))
        .count()
}
