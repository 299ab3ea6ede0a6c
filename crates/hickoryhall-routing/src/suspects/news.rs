//! What hosts tell each other about crashes of servers.

use std::time::{Duration, Instant};

/// Hash of the id of a prompt part, the same on every host.
pub type PartHash = u64;
/// Hash of a server's id and process, which names the crash of that process on every host.
pub type CrashId = u64;

/// Time for which a host passes on what is new.
pub(super) const NEWS_TTL: Duration = Duration::from_secs(5);
/// Maximum number of entries of each kind in one digest.
pub(super) const MAX_NEWS: usize = 8;
/// Difference in age from which a report is taken for a later event. Ages grow on their way by less,
/// and hosts that adopted every newer age from each other would keep an event new forever.
pub(super) const AGE_TOLERANCE: Duration = Duration::from_secs(1);

/// The crash of one process of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Crash that the report is about.
    pub crash: CrashId,
    /// Time since the crash.
    pub age: Duration,
    /// Parts of the prompts of requests that the process was running.
    pub parts: Vec<CrashedPart>,
}

/// A part of a prompt that was running when a server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashedPart {
    /// Part of the prompt.
    pub part: PartHash,
    /// Time from the start of the newest run with the part to the crash.
    pub run_time: Duration,
}

/// A part of a prompt that a server answered in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnsweredPart {
    /// Part of the prompt.
    pub part: PartHash,
    /// Time since the end of the last such answer.
    pub age: Duration,
}

/// A part of a prompt whose requests are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockedPart {
    /// Part of the prompt.
    pub part: PartHash,
    /// Time since the last crash of a server that ran it.
    pub age: Duration,
    /// Whether a server crashed when the part was tried again.
    pub has_failed_probe: bool,
}

/// What a host tells its peers about crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashNews {
    /// Recent crashes.
    pub crashes: Vec<CrashReport>,
    /// Suspected parts that a server has answered in full.
    pub answered: Vec<AnsweredPart>,
    /// Parts whose requests are refused.
    pub blocked: Vec<BlockedPart>,
}

impl CrashNews {
    /// Returns whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.answered.is_empty() && self.blocked.is_empty()
    }
}

/// Returns the time of an event by its age, unless it is too long ago.
pub(super) fn time_of(now: Instant, age: Duration, limit: Duration) -> Option<Instant> {
    now.checked_sub(age).filter(|_| age < limit)
}

/// Returns whether an event is new enough to be passed on.
pub(super) fn is_news(now: Instant, changed_at: Instant) -> bool {
    now.saturating_duration_since(changed_at) <= NEWS_TTL
}
