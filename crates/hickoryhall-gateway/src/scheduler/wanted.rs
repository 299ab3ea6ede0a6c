//! The versions of a model's weights that operators named, and since when each is known.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hickoryhall_types::WeightsVersion;

/// Versions remembered of one model.
const VERSIONS_KEPT: usize = 8;

/// Versions of one model with the moments at which they were named.
#[derive(Clone, Debug, Default)]
pub struct WantedVersions {
    since: BTreeMap<WeightsVersion, Instant>,
}

impl WantedVersions {
    /// Records a version that has been known for `age`; tells whether it is the newest so far.
    pub fn name(&mut self, now: Instant, version: WeightsVersion, age: Duration) -> bool {
        let is_newest = self.newest().is_none_or(|newest| version > newest);
        let since = now.checked_sub(age).unwrap_or(now);
        let known = self.since.entry(version).or_insert(since);
        *known = since.min(*known);
        while self.since.len() > VERSIONS_KEPT {
            self.since.pop_first();
        }
        is_newest
    }

    /// Returns the newest version.
    #[must_use]
    pub fn newest(&self) -> Option<WeightsVersion> {
        self.since.last_key_value().map(|(version, _)| *version)
    }

    /// Returns the time for which weights have been replaced by a newer version, whichever.
    #[must_use]
    pub fn replaced_for(&self, now: Instant, weights: WeightsVersion) -> Option<Duration> {
        let newer = self.since.range(weights + 1..);
        let first = newer.map(|(_, since)| *since).min()?;
        Some(now.saturating_duration_since(first))
    }

    /// Returns each version with the time for which it is known.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = (WeightsVersion, Duration)> {
        let versions = self.since.iter();
        versions.map(move |(version, since)| (*version, now.saturating_duration_since(*since)))
    }
}
