//! Desired versions of a model's weights, and since when each has been known.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hickoryhall_types::WeightsVersion;

/// Maximum number of desired versions kept per model; the lowest is dropped.
const MAX_VERSIONS: usize = 8;

/// Desired versions of one model, each with the earliest time at which a host is known to have
/// learned of it.
#[derive(Clone, Debug, Default)]
pub struct DesiredVersionHistory {
    since: BTreeMap<WeightsVersion, Instant>,
}

impl DesiredVersionHistory {
    /// Records a desired version that has been known for `age`.
    ///
    /// Returns whether it is newer than all versions recorded so far.
    pub fn record(&mut self, now: Instant, version: WeightsVersion, age: Duration) -> bool {
        let is_newest = self.newest().is_none_or(|newest| version > newest);
        let since = now.checked_sub(age).unwrap_or(now);
        let known = self.since.entry(version).or_insert(since);
        *known = since.min(*known);
        while self.since.len() > MAX_VERSIONS {
            self.since.pop_first();
        }
        is_newest
    }

    /// Returns the newest desired version.
    #[must_use]
    pub fn newest(&self) -> Option<WeightsVersion> {
        self.since.last_key_value().map(|(version, _)| *version)
    }

    /// Returns the time since the first desired version newer than `weights` became known; `None`
    /// if there is none.
    #[must_use]
    pub fn superseded_for(&self, now: Instant, weights: WeightsVersion) -> Option<Duration> {
        let newer = self.since.range(weights + 1..);
        let first = newer.map(|(_, since)| *since).min()?;
        Some(now.saturating_duration_since(first))
    }

    /// Returns each desired version with the time for which it has been known.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = (WeightsVersion, Duration)> {
        let versions = self.since.iter();
        versions.map(move |(version, since)| (*version, now.saturating_duration_since(*since)))
    }
}
