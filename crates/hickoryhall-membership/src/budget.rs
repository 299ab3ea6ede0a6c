//! Token bucket that limits the bytes per second that a host sends as control messages.

use std::time::{Duration, Instant};

/// Time for which unused budget accumulates.
const BURST: Duration = Duration::from_secs(2);

/// Number of bytes that a host may still send as control messages.
#[derive(Clone, Copy, Debug)]
pub struct ByteBudget {
    bytes_per_s: f64,
    left: f64,
    at: Instant,
    refused: u64,
}

impl ByteBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(now: Instant, bytes_per_s: u32) -> Self {
        let bytes_per_s = f64::from(bytes_per_s);
        Self {
            bytes_per_s,
            left: bytes_per_s * BURST.as_secs_f64(),
            at: now,
            refused: 0,
        }
    }

    /// Takes bytes from the budget if it has that many, and returns whether it did.
    pub fn spend(&mut self, now: Instant, bytes: usize) -> bool {
        let earned = now.saturating_duration_since(self.at).as_secs_f64() * self.bytes_per_s;
        self.left = (self.left + earned).min(self.bytes_per_s * BURST.as_secs_f64());
        self.at = now.max(self.at);
        let fits = self.left >= bytes as f64;
        if fits {
            self.left -= bytes as f64;
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
