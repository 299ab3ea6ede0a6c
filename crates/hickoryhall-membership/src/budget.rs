//! Token bucket that limits the bytes per second that a host sends as control messages.

use std::time::{Duration, Instant};

/// Time for which unused budget accumulates.
const MAX_BURST: Duration = Duration::from_secs(2);

/// Number of bytes that a host may still send as control messages.
#[derive(Clone, Copy, Debug)]
pub struct ByteBudget {
    bytes_per_s: f64,
    available_bytes: f64,
    refilled_at: Instant,
    refused: u64,
}

impl ByteBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(now: Instant, bytes_per_s: u32) -> Self {
        let bytes_per_s = f64::from(bytes_per_s);
        Self {
            bytes_per_s,
            available_bytes: bytes_per_s * MAX_BURST.as_secs_f64(),
            refilled_at: now,
            refused: 0,
        }
    }

    /// Takes bytes from the budget if it has that many, and returns whether it did.
    pub fn try_spend(&mut self, now: Instant, bytes: usize) -> bool {
        let refill_bytes = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64()
            * self.bytes_per_s;
        self.available_bytes =
            (self.available_bytes + refill_bytes).min(self.bytes_per_s * MAX_BURST.as_secs_f64());
        self.refilled_at = now.max(self.refilled_at);
        let fits = self.available_bytes >= bytes as f64;
        if fits {
            self.available_bytes -= bytes as f64;
        } else {
            self.refused += 1;
        }
        fits
    }

    /// Returns how often the budget was too small.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
