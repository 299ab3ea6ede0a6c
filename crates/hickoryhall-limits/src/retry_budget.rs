//! Budget that limits retries and hedged requests to a fraction of the traffic.

use std::time::Instant;

use crate::TokenBucket;

/// Retries that each request adds to the budget.
const PART_OF_TRAFFIC: f64 = 0.1;
/// Maximum number of saved retries, enough to retry all requests of a runner that dies.
const BURST: f64 = 100.0;
/// Number of retries that a new budget holds.
const INITIAL: f64 = 20.0;
/// Retries per second that are available without any traffic.
const FLOOR_PER_S: f64 = 0.1;

/// Retry budget of one host, which allows one retry for every ten requests.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    floor: TokenBucket,
    earned: f64,
    refused: u64,
}

impl RetryBudget {
    /// Creates a budget with a few initial retries.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            floor: TokenBucket::new(now, FLOOR_PER_S, 1.0),
            earned: INITIAL,
            refused: 0,
        }
    }

    /// Records a request, that is, its first attempt.
    pub fn record_request(&mut self) {
        self.earned = (self.earned + PART_OF_TRAFFIC).min(BURST);
    }

    /// Takes one retry from the budget, and returns whether it was available.
    pub fn take(&mut self, now: Instant) -> bool {
        if self.earned >= 1.0 {
            self.earned -= 1.0;
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
