//! Reads whole bodies into a bounded amount of memory.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Size up to which a body needs no room in any budget, in bytes.
const FREE_BYTES: usize = 16 << 10;
/// Size up to which a body needs no room in the budget for large ones while there is room in that for small
/// ones, in bytes.
const SMALL_BODY_BYTES: usize = 256 << 10;
/// Largest part of the memory for large bodies that the small ones may take besides, in bytes.
const MAX_SMALL_BODIES_BYTES: usize = 6 << 20;
/// Bytes by which the buffer of a body grows at least, once it has as many.
const GROWTH_BYTES: usize = 64 << 10;

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

/// Reads bodies of at most a given size into a budget of bytes, which they hold until they are
/// dropped. While it is used up, large bodies wait.
///
/// A body takes room as its bytes arrive, so that a stalled one holds little. Room for one body of
/// the largest size is kept apart for the first body that finds no other: it can end, and so bodies
/// that are each read in part do not wait for each other.
#[derive(Clone, Debug)]
pub struct BodyReader {
    limit_bytes: usize,
    /// Size of the budget without the reserve, in bytes.
    shared_bytes: usize,
    /// One permit a byte.
    shared: Arc<Semaphore>,
    /// A single permit, for a body of any size.
    reserve: Arc<Semaphore>,
    /// Size of the budget for small bodies and the start of large ones, in bytes.
    small_bytes: usize,
    /// One permit a byte.
    small: Arc<Semaphore>,
}

/// Room in the budget.
#[derive(Default)]
struct Room {
    small: Option<OwnedSemaphorePermit>,
    shared: Option<OwnedSemaphorePermit>,
    reserve: Option<OwnedSemaphorePermit>,
}

/// A body with the room that it takes.
struct AccountedBody {
    bytes: Bytes,
    _room: Room,
}

impl AsRef<[u8]> for AccountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Room {
    /// Waits for room for `length` bytes in total.
    async fn grow_to(&mut self, length: usize, reader: &BodyReader) {
        let permits = |held: &Option<OwnedSemaphorePermit>| {
            held.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
        };
        let held = permits(&self.small) + permits(&self.shared);
        if length <= held || self.reserve.is_some() {
            return;
        }
        let wanted = u32::try_from(length - held).unwrap_or(u32::MAX);
        if length <= SMALL_BODY_BYTES - FREE_BYTES
            && let Ok(permit) = Arc::clone(&reader.small).try_acquire_many_owned(wanted)
        {
            merge(&mut self.small, permit);
            return;
        }
        tokio::select! {
            biased;
            permit = Arc::clone(&reader.shared).acquire_many_owned(wanted) => {
                merge(&mut self.shared, permit.expect("the semaphore is not closed"));
            }
            permit = Arc::clone(&reader.reserve).acquire_owned() => {
                self.reserve = Some(permit.expect("the semaphore is not closed"));
            }
        }
    }
}

fn merge(held: &mut Option<OwnedSemaphorePermit>, permit: OwnedSemaphorePermit) {
    match held {
        Some(held) => held.merge(permit),
        None => *held = Some(permit),
    }
}

impl BodyReader {
    /// Creates a reader of bodies with at most `limit_bytes`, which buffers at most `budget_bytes`
    /// of them, or one body if that is less. Small bodies and the start of large ones count apart.
    #[must_use]
    pub fn new(limit_bytes: usize, budget_bytes: usize) -> Self {
        let shared_bytes = budget_bytes.saturating_sub(limit_bytes);
        let small_bytes = (budget_bytes / 4 * 3).min(MAX_SMALL_BODIES_BYTES);
        Self {
            small_bytes,
            small: Arc::new(Semaphore::new(small_bytes)),
            limit_bytes,
            shared_bytes,
            shared: Arc::new(Semaphore::new(shared_bytes)),
            reserve: Arc::new(Semaphore::new(1)),
        }
    }

    /// Returns the bytes that bodies hold in the budgets; one that is read into the reserve counts as the
    /// largest.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        let shared = self.shared_bytes - self.shared.available_permits();
        let is_reserve_used = self.reserve.available_permits() == 0;
        let small = self.small_bytes - self.small.available_permits();
        small + shared + usize::from(is_reserve_used) * self.limit_bytes
    }

    /// Reads a body to its end. Its room is free again once the bytes and all their clones are dropped.
    /// The wait for room has no limit of its own.
    ///
    /// # Errors
    ///
    /// Returns an error as soon as the body is known to be larger than the limit, or if it breaks
    /// off.
    ///
    /// # Panics
    ///
    /// Never: the semaphores are not closed.
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
        let mut room = Room::default();
        let mut bytes = Vec::new();
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
            if length > FREE_BYTES {
                room.grow_to(length - FREE_BYTES, self).await;
            }
            if length > bytes.capacity() {
                // Doubling the buffer would need more than the limit, and the system may back the first bytes
                // of a large buffer with whole huge pages.
                bytes.reserve_exact(data.len().max(GROWTH_BYTES.min(bytes.len())));
            }
            bytes.extend_from_slice(&data);
        }
        let is_free = bytes.len() <= FREE_BYTES;
        let bytes = Bytes::from(bytes);
        if is_free {
            return Ok(bytes);
        }
        // The bytes outlive the response's body in the queue of the caller's connection.
        Ok(Bytes::from_owner(AccountedBody { bytes, _room: room }))
    }
}
