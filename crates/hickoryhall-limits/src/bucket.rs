//! Token bucket that takes the current time as an argument.

use std::time::{Duration, Instant};

/// Token bucket: units that refill at a constant rate, up to a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    units_per_s: f64,
    burst: f64,
    available: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that holds at most `burst` units.
    #[must_use]
    pub fn new(now: Instant, units_per_s: f64, burst: f64) -> Self {
        Self {
            units_per_s,
            burst,
            available: burst,
            refilled_at: now,
        }
    }

    /// Changes rate and burst; available units are kept, up to the new burst.
    pub fn resize(&mut self, now: Instant, units_per_s: f64, burst: f64) {
        self.refill(now);
        self.units_per_s = units_per_s;
        self.burst = burst;
        self.available = self.available.min(burst);
    }

    /// Takes `units` if all of them are available, and returns whether they were.
    pub fn take(&mut self, now: Instant, units: f64) -> bool {
        self.refill(now);
        let is_available = self.available >= units;
        if is_available {
            self.available -= units;
        }
        is_available
    }

    /// Takes as many whole units as are available, up to `units`, and returns their number.
    pub fn take_up_to(&mut self, now: Instant, units: u32) -> u32 {
        self.refill(now);
        let taken = (self.available.floor() as u32).min(units);
        self.available -= f64::from(taken);
        taken
    }

    /// Returns the time until `units` are available, counted from the last update of the bucket.
    ///
    /// The result is at most one hour, or [`Duration::MAX`] if the bucket never refills.
    #[must_use]
    pub fn time_until_available(&self, units: f64) -> Duration {
        let missing = (units - self.available).max(0.0);
        if self.units_per_s <= 0.0 {
            return Duration::MAX;
        }
        Duration::from_secs_f64((missing / self.units_per_s).min(3_600.0))
    }

    /// Returns the number of available units.
    #[must_use]
    pub fn available(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.available
    }

    fn refill(&mut self, now: Instant) {
        let earned = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64()
            * self.units_per_s;
        self.available = (self.available + earned).min(self.burst);
        self.refilled_at = now.max(self.refilled_at);
    }
}
