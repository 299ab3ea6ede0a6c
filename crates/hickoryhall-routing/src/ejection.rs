//! Ejection of failing runners, which are probed again after a while.

use std::time::{Duration, Instant};

/// Consecutive failures that eject a runner.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection; doubles with each further one.
const BASE_EJECTION: Duration = Duration::from_secs(1);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Ejection state of one runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Ejection {
    /// Records a successful response, which resets the state.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure; the third consecutive failure and each further one eject the runner.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT {
            return;
        }
        self.eject(now);
    }

    /// Ejects the runner at once, for use when it is unreachable.
    pub fn eject(&mut self, now: Instant) {
        let duration = BASE_EJECTION * 2_u32.saturating_pow(self.ejections.min(16));
        self.ejected_until = Some(now + duration.min(MAX_EJECTION));
        self.ejections += 1;
    }

    /// Returns whether the runner is currently ejected.
    ///
    /// When the ejection ends, requests probe the runner: a single failure ejects it again.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until
            .is_some_and(|ejected_until| now < ejected_until)
    }
}
