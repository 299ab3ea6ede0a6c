//! What the scheduler believes about the weights of a runner.
//!
//! Statements about a runner arrive late and out of order: its registry entry, its own reports, the
//! heads of its responses, and announcements of the lease holder. Each belongs to one process of
//! the runner. A runner that starts again may have older weights than before, so statements about
//! an earlier process are ignored.

use std::time::{Duration, Instant};

use hickoryhall_types::{Incarnation, WeightsVersion};

use crate::registry::ServerId;

/// Time by which the content of a report may be older than the request for it. A lower version
/// counts only if a report that was requested this much later repeats it.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// Source of a statement about a runner's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightsSource {
    /// The registry entry of the runner.
    Entry,
    /// A report that this host requested from the runner.
    Report,
    /// The head of a response of the runner.
    Response,
    /// The lease holder, which has its news from the runner's reports.
    LeaseHolder,
}

impl WeightsSource {
    /// Returns the name of the source in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Report => "report",
            Self::Response => "response",
            Self::LeaseHolder => "lease_holder",
        }
    }
}

/// A changed belief about the weights of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsChange {
    /// Runner that the belief is about.
    pub server: ServerId,
    /// Process of the runner that the belief is about.
    pub incarnation: Incarnation,
    /// Version that the runner is now believed to have.
    pub weights: WeightsVersion,
    /// Version that it was believed to have.
    pub before: WeightsVersion,
    /// Statement that changed the belief.
    pub source: WeightsSource,
}

/// State that a runner reported about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedState {
    /// Time just before the report was requested.
    pub requested_at: Instant,
    /// Process that reported; `None` if the report does not tell.
    pub incarnation: Option<Incarnation>,
    /// Version of its weights; `None` if the report does not tell.
    pub weights: Option<WeightsVersion>,
    /// Whether it is carrying out an order.
    pub is_busy: bool,
    /// Whether it said that it is shutting down.
    pub is_leaving: bool,
}

/// State of a runner that the lease holder announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncedState {
    /// Process that the announcement is about; `None` if the lease holder does not tell.
    pub incarnation: Option<Incarnation>,
    /// Version of its weights.
    pub weights: WeightsVersion,
    /// Whether it is changing its weights.
    pub is_changing: bool,
}

/// Version that one process of a runner is believed to have.
#[derive(Clone, Copy, Debug)]
pub(super) struct WeightsBelief {
    version: WeightsVersion,
    /// Lower version that reports show, and when the first of them was requested.
    doubt: Option<(WeightsVersion, Instant)>,
}

impl WeightsBelief {
    pub fn new(version: WeightsVersion) -> Self {
        Self {
            version,
            doubt: None,
        }
    }

    pub fn version(&self) -> WeightsVersion {
        self.version
    }

    /// Records a version that the process has or had; a lower one may be outdated.
    ///
    /// Returns whether the belief changed.
    pub fn raise(&mut self, version: WeightsVersion) -> bool {
        if version < self.version {
            return false;
        }
        let is_changed = version > self.version;
        *self = Self::new(version);
        is_changed
    }

    /// Records the version in a report of the process. A lower one counts if a later report repeats
    /// it.
    ///
    /// Returns whether the belief changed.
    pub fn record_report(&mut self, requested_at: Instant, version: WeightsVersion) -> bool {
        if version >= self.version {
            return self.raise(version);
        }
        match self.doubt {
            Some((doubted, since)) if doubted == version => {
                let is_repeated = requested_at.saturating_duration_since(since) >= REPORT_LAG;
                if is_repeated {
                    *self = Self::new(version);
                }
                is_repeated
            }
            _ => {
                self.doubt = Some((version, requested_at));
                false
            }
        }
    }

    /// Records a changed registry entry of the process, which showed `before` until now. The
    /// versions in its entry follow each other in order, so a lower one is newer.
    ///
    /// Returns whether the belief changed.
    pub fn record_entry(&mut self, before: WeightsVersion, version: WeightsVersion) -> bool {
        if version < before && before == self.version {
            *self = Self::new(version);
            return true;
        }
        self.raise(version)
    }
}
