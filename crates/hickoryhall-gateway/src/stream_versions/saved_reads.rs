//! Decides when the streams that hosts have saved in the store are read.

use std::time::{Duration, Instant};

/// Shortest time between two reads.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(300);
/// The same time for each host of the fleet, as each of them saves streams and reads all.
const READ_INTERVAL_PER_HOST: Duration = Duration::from_millis(100);

/// Reads of the streams that hosts have saved.
#[derive(Debug, Default)]
pub struct SavedStreamReads {
    is_demanded: bool,
    /// When they were last read, or could not be.
    read_at: Option<Instant>,
}

impl SavedStreamReads {
    /// Demands a read, unless the last one was lately; returns whether there is one to wait for.
    /// `hosts` is the size of the fleet.
    pub fn demand(&mut self, now: Instant, hosts: usize) -> bool {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let interval = READ_INTERVAL_PER_HOST.saturating_mul(hosts);
        let interval = interval.max(MIN_READ_INTERVAL);
        let read_at = self.read_at;
        let is_due = read_at.is_none_or(|at| now.saturating_duration_since(at) >= interval);
        self.is_demanded |= is_due;
        self.is_demanded
    }

    /// Returns whether a read is demanded.
    #[must_use]
    pub fn is_demanded(&self) -> bool {
        self.is_demanded
    }

    /// Returns whether there was a read.
    #[must_use]
    pub fn has_read(&self) -> bool {
        self.read_at.is_some()
    }

    /// Records that the streams were read, or cannot be.
    pub fn on_read(&mut self, now: Instant) {
        self.is_demanded = false;
        self.read_at = Some(now);
    }
}
