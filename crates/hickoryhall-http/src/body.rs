//! Reads request bodies up to a size limit.

use crate::Request;

/// Reason why a request body could not be read.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    #[error("the body is longer than {limit_bytes} bytes")]
    TooLarge {
        /// Limit that was passed to [`read_body`].
        limit_bytes: usize,
    },
    /// The connection failed, the body was truncated, or it took longer than
    /// [`ServerLimits::body_timeout`](crate::ServerLimits::body_timeout) to arrive.
    #[error("reading the body: {0}")]
    Read(String),
}

/// Reads the whole request body.
///
/// A body that takes longer than
/// [`ServerLimits::body_timeout`](crate::ServerLimits::body_timeout) ends with
/// [`BodyError::Read`].
///
/// # Errors
///
/// Returns an error if the body exceeds the limit, is truncated or cannot be read.
///
/// # Panics
///
/// Panics if called on a thread of an asynchronous runtime, because it blocks.
pub fn read_body(request: &mut Request, limit_bytes: usize) -> Result<Vec<u8>, BodyError> {
    let content_length = request.content_length();
    if content_length.is_some_and(|length| length > limit_bytes) {
        return Err(BodyError::TooLarge { limit_bytes });
    }
    let mut body = Vec::with_capacity(content_length.unwrap_or(0));
    while let Some(chunk) = request.body_chunks.blocking_recv() {
        body.extend_from_slice(&chunk.map_err(BodyError::Read)?);
        if body.len() > limit_bytes {
            return Err(BodyError::TooLarge { limit_bytes });
        }
    }
    Ok(body)
}
