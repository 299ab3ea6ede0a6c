//! How long runners take to load weights, learned from the loads that were followed.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of loads that are remembered; older ones say little about the current weights.
const REMEMBERED: usize = 8;
/// Fraction of the shortest load after which the next one may be complete.
const EARLIEST_FRACTION: f64 = 0.9;

/// Durations of recent loads of weights.
///
/// Each duration runs from an accepted order to the report that shows its end, so it exceeds the
/// true one by up to the time between two reports; the shortest one comes closest.
#[derive(Clone, Debug, Default)]
pub struct LoadTimes {
    recent: VecDeque<Duration>,
}

impl LoadTimes {
    /// Records a load that did not have to wait for running requests.
    pub fn record(&mut self, duration: Duration) {
        self.recent.push_back(duration);
        if self.recent.len() > REMEMBERED {
            self.recent.pop_front();
        }
    }

    /// Returns the shortest recent load, `None` before the first one.
    #[must_use]
    pub fn shortest(&self) -> Option<Duration> {
        self.recent.iter().min().copied()
    }

    /// Returns the time after an accepted order before which no report can show its end; zero while
    /// no load is known.
    #[must_use]
    pub fn earliest_end(&self) -> Duration {
        self.shortest()
            .unwrap_or_default()
            .mul_f64(EARLIEST_FRACTION)
    }
}
