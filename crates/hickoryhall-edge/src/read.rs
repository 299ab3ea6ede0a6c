//! Reads whole bodies into a bounded amount of memory.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::sync::Semaphore;

/// Size up to which a body needs no share of the memory for large ones, in bytes.
const SMALL_BODY_BYTES: usize = 256 << 10;

/// Maximum number of pieces in which a body may arrive: more than the largest body has in packets of
/// the usual size. A body without end in chunks of some bytes would else take seconds of work.
const MAX_PIECES: usize = 16_384;

/// A body could not be read in full.
#[derive(Debug, thiserror::Error)]
pub enum ReadBodyError<E> {
    /// The body is larger than the limit, or has no end.
    #[error("the body is larger than {limit_bytes} bytes or {MAX_PIECES} pieces")]
    TooLarge {
        /// Largest size of a body, in bytes.
        limit_bytes: usize,
    },
    /// The connection failed before the body was complete.
    #[error("the body is incomplete: {0}")]
    Incomplete(E),
}

/// Reads bodies of at most a given size; a few large ones at a time, the others wait.
#[derive(Clone, Debug)]
pub struct BodyReader {
    limit_bytes: usize,
    large_bodies: Rc<Semaphore>,
}

impl BodyReader {
    /// Creates a reader of bodies with at most `limit_bytes`, of which at most `large_bodies` are
    /// read at a time if they are large. It buffers at most their product, besides small bodies.
    #[must_use]
    pub fn new(limit_bytes: usize, large_bodies: usize) -> Self {
        Self {
            limit_bytes,
            large_bodies: Rc::new(Semaphore::new(large_bodies)),
        }
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// Returns an error as soon as the body is known to be larger than the limit, or if it breaks
    /// off.
    ///
    /// # Panics
    ///
    /// Never: the semaphore is not closed.
    pub async fn read<B>(&self, mut body: B) -> Result<Bytes, ReadBodyError<B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let too_large = || ReadBodyError::TooLarge {
            limit_bytes: self.limit_bytes,
        };
        let stated_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if stated_bytes > self.limit_bytes {
            return Err(too_large());
        }
        let mut large_body = None;
        let mut bytes = BytesMut::new();
        let mut pieces = 0;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(ReadBodyError::Incomplete)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = bytes.len() + data.len();
            pieces += 1;
            if length > self.limit_bytes || pieces > MAX_PIECES {
                return Err(too_large());
            }
            if length > SMALL_BODY_BYTES && large_body.is_none() {
                let permit = self.large_bodies.acquire().await;
                large_body = Some(permit.expect("the semaphore is not closed"));
                // Doubling the buffer would need more than the limit.
                bytes.reserve(self.limit_bytes - bytes.len());
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }
}
