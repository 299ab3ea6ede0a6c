//! Tells as of when the registry is known, and reads it when that is too long ago for an inquiry.

use std::time::{Duration, Instant};

use slog::debug;
use tokio::time::timeout;

use super::{FeedKind, Feeds, RETURN_WATCH_TIMEOUT, prefix};
use crate::interface::Platform;
use crate::scheduler::DesiredVersionAge;

/// Time for the answer of the store to a call that an inquiry waits for.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(250);

impl<P: Platform> Feeds<P> {
    /// Records that the registry was read by a call that was sent at a time; the answer may have waited
    /// while the process stood still.
    pub(super) fn record_registry_read(&self, sent_at: Instant) {
        let age = self.clock.now().saturating_duration_since(sent_at);
        self.core
            .with(|core, now| core.record_registry_read(now, age));
    }

    /// Reads the registry when an inquiry needs to know that no server is missing, until the task is
    /// dropped.
    pub async fn confirm_registry(&self) {
        loop {
            self.core.wants_registry().await;
            let after = self.position(FeedKind::Registry);
            let is_wanted = self.core.with(|core, _| core.take_registry_demand());
            if !is_wanted || after.is_unread() {
                continue;
            }
            let prefix = prefix::<P>(FeedKind::Registry);
            let sent_at = self.clock.now();
            let watched = self.store.watch(prefix, after, RETURN_WATCH_TIMEOUT);
            match timeout(CONFIRM_TIMEOUT, watched).await {
                Ok(Ok(changes)) => {
                    let age = DesiredVersionAge::AtLeast(Duration::ZERO);
                    self.apply_watched(FeedKind::Registry, after, changes, age);
                    self.record_registry_read(sent_at);
                }
                Ok(Err(error)) => {
                    debug!(self.logger, "feeds: Registry not confirmed."; "error" => %error);
                }
                Err(_) => debug!(self.logger, "feeds: Registry not confirmed in time."),
            }
        }
    }
}
