//! Lateness of first events against their estimates.

use std::time::{Duration, Instant};

use super::runner::MAX_FACTOR;

/// Time constant with which the lateness of first events loses weight.
const MEMORY: Duration = Duration::from_secs(5);
/// Standard deviations of the lateness that are added to its mean. Near the limit of the runners, 0 lets
/// more than every fifth placed request be late, and 1 refuses more than it saves.
const MARGIN: f64 = 0.5;
/// Bound of the lateness factor.
const MAX_LATENESS: f64 = 2.0;

/// Sums of times to the first event and of their estimates, each weighted by its age, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Lateness {
    took_ms: f64,
    estimate_ms: f64,
    /// Sum of the squared times, each divided by its estimate.
    took_squared: f64,
    at: Option<Instant>,
}

impl Lateness {
    /// Records the time to the first event of a request, with its estimate.
    pub fn record(&mut self, now: Instant, took: Duration, estimate: Duration) {
        let estimate_ms = (estimate.as_secs_f64() * 1_000.0).max(1.0);
        let took_ms = (took.as_secs_f64() * 1_000.0).min(estimate_ms * MAX_FACTOR);
        let age = self.at.map(|at| now.saturating_duration_since(at));
        let age = age.unwrap_or_default();
        let left = (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        *self = Self {
            took_ms: self.took_ms * left + took_ms,
            estimate_ms: self.estimate_ms * left + estimate_ms,
            took_squared: self.took_squared * left + took_ms * took_ms / estimate_ms,
            at: Some(now),
        };
    }

    /// Returns by how much first events come later than estimated: the mean with a margin.
    pub fn factor(&self) -> f64 {
        if self.estimate_ms <= 0.0 {
            return 1.0;
        }
        let mean = self.took_ms / self.estimate_ms;
        let variance = self.took_squared / self.estimate_ms - mean * mean;
        (mean + MARGIN * variance.max(0.0).sqrt()).clamp(1.0, MAX_LATENESS)
    }
}
