//! Detects that the process did not run for a while, for example because its host was frozen.

use std::time::{Duration, Instant};

/// Interval between two beats.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a beat that counts as a stall.
const MIN_STALL: Duration = Duration::from_millis(1_000);
/// Time after a stall within which what the process reads may have waited for it.
const AFTER_STALL: Duration = Duration::from_millis(1_000);

/// Remembers the last stall of the process.
///
/// Times are those of a clock that keeps counting while the host is suspended.
#[derive(Clone, Copy, Debug)]
pub struct StallMonitor {
    beat_at: Instant,
    stall_ended_at: Option<Instant>,
}

impl StallMonitor {
    /// Creates a monitor whose first beat is now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            beat_at: now,
            stall_ended_at: None,
        }
    }

    /// Records a beat.
    pub fn on_beat(&mut self, now: Instant) {
        if self.is_stalled(now) {
            self.stall_ended_at = Some(now);
        }
        self.beat_at = now;
    }

    /// Returns whether an answer that is read now may have arrived during a stall.
    #[must_use]
    pub fn may_be_late(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < AFTER_STALL;
        self.is_stalled(now) || self.stall_ended_at.is_some_and(is_recent)
    }

    fn is_stalled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.beat_at) >= MIN_STALL
    }
}
