//! Passes changes of the registry on from the hosts that read it to the other members of their
//! group.
//!
//! The load that this answers: each change of the registry would make every host of a large fleet
//! call the store. Instead, some members of each group read the registry, and their digests list
//! what has changed. The other members read the store themselves only while no such digest arrives.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::interface::{StoreChange, StoreEra, StoreRevision};
use crate::store_position::StorePosition;

/// Time for which a change is repeated in digests, because some of them are lost.
const REPEAT_FOR: Duration = Duration::from_millis(600);
/// Maximum number of changes in one digest, so that it fits into a datagram.
const MAX_CHANGES: usize = 24;
/// Time without an answer of the store after which a reader no longer speaks for it.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(1_200);
/// Time after an outage of the store for which a reader does not speak for it: the other members
/// must see the outage themselves, since entries that it removed stay in use for a while.
const OUTAGE_SETTLING: Duration = Duration::from_millis(2_500);
/// Time without a relay after which a member reads the registry itself.
const RELAY_TTL: Duration = Duration::from_millis(800);

/// How a host gets changes of the registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RegistryRole {
    /// Reads the store for itself, in a fleet too small for relays.
    #[default]
    Alone,
    /// Reads the store and passes changes on.
    Reader,
    /// Relies on the readers of its group, and reads the store while it does not hear of them.
    Follower,
}

/// Changes of the registry between two revisions of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistryRelay {
    /// Era of the store that the revisions belong to.
    pub era: StoreEra,
    /// Revision after which no change is missing.
    pub after: StoreRevision,
    /// Revision up to which no change is missing.
    pub until: StoreRevision,
    /// Changes in the order of their revisions.
    pub changes: Vec<StoreChange>,
    /// Time since the sender read the registry; `None` if it does not tell.
    pub read_age: Option<Duration>,
}

impl RegistryRelay {
    /// Returns the position up to which no change is missing.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        StorePosition {
            era: self.era,
            revision: self.until,
        }
    }
}

/// Recent changes of the registry at a reader.
#[derive(Debug, Default)]
pub struct RelayLog {
    era: StoreEra,
    after: StoreRevision,
    until: StoreRevision,
    changes: VecDeque<(Instant, StoreChange)>,
    answered_at: Option<Instant>,
    /// Time until which nothing is relayed after an outage.
    silent_until: Option<Instant>,
    is_lost: bool,
}

impl RelayLog {
    /// Records that the whole registry was read as of a position. A newer era than before counts
    /// as an outage, although the store may have been back before the next call.
    pub fn record_list(&mut self, now: Instant, position: StorePosition) {
        if position.era > self.era && self.until > 0 {
            self.silent_until = Some(now + OUTAGE_SETTLING);
        }
        self.changes.clear();
        self.era = position.era;
        self.after = position.revision;
        self.until = position.revision;
    }

    /// Records all changes after the revision `from` up to `until`, as a watch or another reader
    /// brought them. Those that are recorded already are left out.
    pub fn record_changes(
        &mut self,
        now: Instant,
        from: StoreRevision,
        until: StoreRevision,
        changes: impl IntoIterator<Item = StoreChange>,
    ) {
        if from > self.until {
            // Changes before it are not known here, so that this host does not speak for them.
            self.changes.clear();
            self.after = from;
            self.until = from;
        }
        let recorded = self.until;
        let new = changes.into_iter();
        let new = new.filter(|change| change.revision() > recorded);
        self.changes.extend(new.map(|change| (now, change)));
        self.until = self.until.max(until);
        self.trim(now);
    }

    /// Records whether the store answered a call.
    pub fn record_answer(&mut self, now: Instant, is_ok: bool) {
        if !is_ok {
            self.is_lost = true;
            return;
        }
        self.answered_at = Some(now);
        if std::mem::take(&mut self.is_lost) {
            self.silent_until = Some(now + OUTAGE_SETTLING);
        }
    }

    /// Returns what the next digest passes on, with the time since the registry was read; `None` while
    /// this host cannot speak for the store.
    pub fn relay(&mut self, now: Instant, read_age: Option<Duration>) -> Option<RegistryRelay> {
        self.trim(now);
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < MAX_ANSWER_AGE;
        let is_settled = self.silent_until.is_none_or(|until| now >= until);
        if self.is_lost || !is_settled || !self.answered_at.is_some_and(is_fresh) {
            return None;
        }
        Some(RegistryRelay {
            era: self.era,
            after: self.after,
            until: self.until,
            changes: self
                .changes
                .iter()
                .map(|(_, change)| change.clone())
                .collect(),
            read_age,
        })
    }

    /// Drops the oldest changes, those that were repeated for long enough and those beyond the
    /// limit.
    fn trim(&mut self, now: Instant) {
        while let Some((recorded_at, change)) = self.changes.front() {
            let is_recent = now.saturating_duration_since(*recorded_at) < REPEAT_FOR;
            if is_recent && self.changes.len() <= MAX_CHANGES {
                return;
            }
            self.after = self.after.max(change.revision());
            self.changes.pop_front();
        }
    }
}

/// What a follower knows of the readers of its group.
#[derive(Debug, Default)]
pub struct RelayMonitor {
    heard_at: Option<Instant>,
}

impl RelayMonitor {
    /// Returns the changes of a relay that are new to a host whose records are complete up to
    /// `known`; `None` if changes before them are missing, or the relay is of another era.
    pub fn on_relay(
        &mut self,
        now: Instant,
        known: StorePosition,
        relay: &RegistryRelay,
    ) -> Option<Vec<StoreChange>> {
        // A reader that is still in an older era does not keep this host's records up to date, and
        // does not speak against one that does.
        if relay.era < known.era {
            return None;
        }
        if relay.era > known.era || relay.after > known.revision {
            self.heard_at = None;
            return None;
        }
        self.heard_at = Some(now);
        let changes = relay.changes.iter();
        let changes = changes.filter(|change| change.revision() > known.revision);
        Some(changes.cloned().collect())
    }

    /// Returns whether the relays of the readers keep this host's records up to date.
    #[must_use]
    pub fn is_current(&self, now: Instant) -> bool {
        self.heard_at
            .is_some_and(|at| now.saturating_duration_since(at) < RELAY_TTL)
    }
}
