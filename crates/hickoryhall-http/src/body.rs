//! Reading a request's body within limits.

use crate::Request;

/// A body that cannot be used.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than the limit.
    #[error("the body is longer than {limit_bytes} bytes")]
    TooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// Reading failed, or the body ended early or came too slowly.
    #[error("reading the body: {0}")]
    Read(String),
}

/// Reads the whole body; the edge ends one that comes too slowly.
///
/// # Errors
///
/// Returns an error where the body is too long, too short or cannot be read.
///
/// # Panics
///
/// Panics on a thread of an asynchronous runtime, since it blocks.
pub fn read_body(request: &mut Request, limit_bytes: usize) -> Result<Vec<u8>, BodyError> {
    let stated = request.body_length();
    if stated.is_some_and(|length| length > limit_bytes) {
        return Err(BodyError::TooLarge { limit_bytes });
    }
    let mut body = Vec::with_capacity(stated.unwrap_or(0));
    while let Some(piece) = request.pieces.blocking_recv() {
        body.extend_from_slice(&piece.map_err(BodyError::Read)?);
        if body.len() > limit_bytes {
            return Err(BodyError::TooLarge { limit_bytes });
        }
    }
    Ok(body)
}
