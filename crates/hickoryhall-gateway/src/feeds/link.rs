//! Whether the store answers the calls of a feed.

use std::time::Duration;

use rand::RngExt;
use slog::{Logger, info, warn};

use super::FeedKind;
use crate::interface::StoreError;

/// Pause after the first failed call to the store.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two calls while the store fails: changes must be in force within two
/// seconds after it is available again.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Tracks whether a set of records can be read from the store and logs each change.
pub(super) struct LinkState {
    pub kind: FeedKind,
    /// Failed calls since the last one that succeeded.
    failures: u32,
    logger: Logger,
}

impl LinkState {
    pub fn new(kind: FeedKind, logger: Logger) -> Self {
        Self {
            kind,
            failures: 0,
            logger,
        }
    }

    pub fn is_up(&self) -> bool {
        self.failures == 0
    }

    pub fn on_success(&mut self) {
        if self.failures > 0 {
            info!(
                self.logger, "feeds: Store answers again.";
                "source" => self.kind.name(), "failures" => self.failures
            );
            self.failures = 0;
        }
    }

    /// Returns the pause before the next call, with jitter so that hosts do not call all at once.
    pub fn on_failure(&mut self, error: &StoreError) -> Duration {
        if self.failures == 0 {
            warn!(
                self.logger, "feeds: Store lost.";
                "source" => self.kind.name(), "error" => %error
            );
        }
        self.failures += 1;
        let pause = FIRST_RETRY_PAUSE * 2_u32.saturating_pow(self.failures.min(8) - 1);
        pause
            .min(MAX_RETRY_PAUSE)
            .mul_f64(rand::rng().random_range(0.7..1.3))
    }
}
