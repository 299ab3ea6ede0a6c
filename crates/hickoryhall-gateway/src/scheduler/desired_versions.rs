//! Desired versions of a model's weights, and since when each has been known.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hickoryhall_types::WeightsVersion;

/// Maximum number of desired versions kept per model; the lowest is dropped.
const MAX_VERSIONS: usize = 8;

/// Time for which a desired version has been known to any host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DesiredVersionAge {
    /// A host saw the version being written.
    Exact(Duration),
    /// The version was found in the store, so it may be older.
    AtLeast(Duration),
}

impl DesiredVersionAge {
    /// Returns the time for which the version has been known at least.
    #[must_use]
    pub fn lower_bound(self) -> Duration {
        match self {
            Self::Exact(age) | Self::AtLeast(age) => age,
        }
    }

    /// Returns whether a host saw the version being written.
    #[must_use]
    pub fn is_exact(self) -> bool {
        matches!(self, Self::Exact(_))
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownSince {
    /// Earliest time at which a host is known to have learned of the version.
    since: Instant,
    /// Whether a host saw the version being written.
    is_exact: bool,
}

/// Desired versions of one model, each with the earliest time at which a host is known to have
/// learned of it.
#[derive(Clone, Debug, Default)]
pub struct DesiredVersionHistory {
    versions: BTreeMap<WeightsVersion, KnownSince>,
}

impl DesiredVersionHistory {
    /// Records a desired version and its age.
    ///
    /// Returns whether it is newer than all versions recorded so far.
    pub fn record(
        &mut self,
        now: Instant,
        version: WeightsVersion,
        age: DesiredVersionAge,
    ) -> bool {
        let is_newest = self.newest().is_none_or(|newest| version > newest);
        let since = now.checked_sub(age.lower_bound()).unwrap_or(now);
        let known = self.versions.entry(version).or_insert(KnownSince {
            since,
            is_exact: false,
        });
        known.since = since.min(known.since);
        known.is_exact |= age.is_exact();
        while self.versions.len() > MAX_VERSIONS {
            self.versions.pop_first();
        }
        is_newest
    }

    /// Returns the newest desired version.
    #[must_use]
    pub fn newest(&self) -> Option<WeightsVersion> {
        self.versions.last_key_value().map(|(version, _)| *version)
    }

    /// Returns whether the exact age of a version is known.
    #[must_use]
    pub fn has_exact_age(&self, version: WeightsVersion) -> bool {
        let known = self.versions.get(&version);
        known.is_some_and(|known| known.is_exact)
    }

    /// Returns the time since the first desired version newer than `weights` became known; `None`
    /// if there is none. A version of unknown age counts as older by `unknown_age`.
    #[must_use]
    pub fn superseded_for(
        &self,
        now: Instant,
        weights: WeightsVersion,
        unknown_age: Duration,
    ) -> Option<Duration> {
        let newer = self.versions.range(weights + 1..);
        let ages = newer.map(|(_, known)| {
            let age = now.saturating_duration_since(known.since);
            if known.is_exact {
                age
            } else {
                age + unknown_age
            }
        });
        ages.max()
    }

    /// Returns each desired version with its age.
    pub fn iter(&self, now: Instant) -> impl Iterator<Item = (WeightsVersion, DesiredVersionAge)> {
        let versions = self.versions.iter();
        versions.map(move |(version, known)| {
            let age = now.saturating_duration_since(known.since);
            let age = if known.is_exact {
                DesiredVersionAge::Exact(age)
            } else {
                DesiredVersionAge::AtLeast(age)
            };
            (*version, age)
        })
    }
}
