//! Ejection of runners that fail, with probes to take them back.

use std::time::{Duration, Instant};

/// Failures in a row that eject a runner.
const FAILURES_TO_EJECT: u32 = 3;
/// First time out; it doubles with each further ejection.
const BASE_EJECTION: Duration = Duration::from_secs(1);
/// Longest time out.
const MAX_EJECTION: Duration = Duration::from_secs(30);

/// Failure count of one runner.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    failures: u32,
    ejections: u32,
    until: Option<Instant>,
}

impl Ejection {
    /// Records an answer; the runner is trusted again.
    pub fn succeed(&mut self) {
        *self = Self::default();
    }

    /// Records a failure, and ejects the runner at the third one in a row.
    pub fn fail(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures < FAILURES_TO_EJECT {
            return;
        }
        self.eject(now);
    }

    /// Ejects the runner at once, as when it cannot be reached at all.
    pub fn eject(&mut self, now: Instant) {
        let time_out = BASE_EJECTION * 2_u32.saturating_pow(self.ejections.min(16));
        self.until = Some(now + time_out.min(MAX_EJECTION));
        self.ejections += 1;
    }

    /// Tells whether the runner takes no work now.
    ///
    /// When its time out ends, one request may probe it: one more failure ejects it again.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
