//! Budget that limits retries and hedged requests to a fraction of the traffic.

use std::time::Instant;

use crate::TokenBucket;

/// Retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Maximum number of saved retries, enough to retry all requests of a runner that dies.
const MAX_SAVED_RETRIES: f64 = 100.0;
/// Number of retries that a new budget holds.
const INITIAL_RETRIES: f64 = 20.0;
/// Retries per second that are available without any traffic.
const MIN_RETRIES_PER_S: f64 = 0.1;

/// Retry budget of one host, which allows one retry for every ten requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    floor: TokenBucket,
    saved: f64,
    refused: u64,
}

impl RetryBudget {
    /// Creates a budget with a few initial retries.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            floor: TokenBucket::new(now, MIN_RETRIES_PER_S, 1.0),
            saved: INITIAL_RETRIES,
            refused: 0,
        }
    }

    /// Records a request, that is, its first attempt.
    pub fn record_request(&mut self) {
        self.saved = (self.saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget, and returns whether it was available.
    pub fn take(&mut self, now: Instant) -> bool {
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return true;
        }
        let allowed = self.floor.take(now, 1.0);
        self.refused += u64::from(!allowed);
        allowed
    }

    /// Returns the number of retries refused so far.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
