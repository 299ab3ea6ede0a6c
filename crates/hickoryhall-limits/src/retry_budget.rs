//! Budget of retries and hedges as a part of the traffic.

use std::time::Instant;

use crate::TokenBucket;

/// Retries earned by each request.
const PART_OF_TRAFFIC: f64 = 0.1;
/// Retries that may be saved up, so that the requests of a runner that dies can all move on.
const BURST: f64 = 100.0;
/// Retries there from the start.
const INITIAL: f64 = 20.0;
/// Retries a second that are earned without any traffic.
const FLOOR_PER_S: f64 = 0.1;

/// Counts requests and allows one retry for every ten of them.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    floor: TokenBucket,
    earned: f64,
    refused: u64,
}

impl RetryBudget {
    /// Creates a budget that allows a few retries at once.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            floor: TokenBucket::new(now, FLOOR_PER_S, 1.0),
            earned: INITIAL,
            refused: 0,
        }
    }

    /// Records a first attempt.
    pub fn record_request(&mut self) {
        self.earned = (self.earned + PART_OF_TRAFFIC).min(BURST);
    }

    /// Takes a retry out of the budget; returns whether it was there.
    pub fn take(&mut self, now: Instant) -> bool {
        if self.earned >= 1.0 {
            self.earned -= 1.0;
            return true;
        }
        let allowed = self.floor.take(now, 1.0);
        self.refused += u64::from(!allowed);
        allowed
    }

    /// Returns how many retries were refused.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
