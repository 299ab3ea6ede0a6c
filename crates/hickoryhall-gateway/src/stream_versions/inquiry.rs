//! Weighs what peers know of the software version of a stream.

use std::collections::{BTreeSet, HashSet};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use super::{SoftwareHash, StreamKnowledge};

/// Time after a peer has named the only version in which others may name another one: a peer may be
/// out of step with the registry.
const OBJECTION_TIME: Duration = Duration::from_millis(30);

/// What peers answer about one stream.
#[derive(Debug, Default)]
pub struct Inquiry {
    /// Peers that were asked and are likely to answer.
    awaited: HashSet<Ipv4Addr>,
    answered: HashSet<Ipv4Addr>,
    /// Versions that hosts know as the only one.
    named: BTreeSet<SoftwareHash>,
    /// When a host that reads the registry first named a version.
    named_at: Option<Instant>,
    /// Whether a host knows of several versions.
    is_ruled_out: bool,
}

/// What the host that asks knows itself.
#[derive(Clone, Copy, Debug)]
pub struct OwnKnowledge {
    /// What it knows of the stream now.
    pub knowledge: StreamKnowledge,
    /// Whether it has read the registry just now.
    pub is_registry_current: bool,
}

impl Inquiry {
    /// Records that all known peers are asked now, perhaps again; `live` are those of them that were
    /// heard of lately.
    pub fn ask(&mut self, live: impl IntoIterator<Item = Ipv4Addr>) {
        self.awaited.extend(live);
    }

    /// Takes an answer; returns the version if the peer remembers the stream.
    pub fn on_answer(
        &mut self,
        now: Instant,
        from: Ipv4Addr,
        answer: StreamKnowledge,
    ) -> Option<SoftwareHash> {
        self.answered.insert(from);
        match answer {
            StreamKnowledge::Began(software) => return Some(software),
            StreamKnowledge::Several => self.is_ruled_out = true,
            StreamKnowledge::Only {
                software,
                is_current,
            } => {
                self.named.insert(software);
                if is_current {
                    self.named_at.get_or_insert(now);
                }
            }
            StreamKnowledge::Unknown => {}
        }
        None
    }

    /// Returns whether nothing is left to wait for: all peers have answered that are likely to, and at
    /// least one of them knew something, or one that reads the registry has named a version and others
    /// have had time to object. A host that has just started, or was cut off, hears of some peers only.
    #[must_use]
    pub fn is_complete(&self, now: Instant) -> bool {
        let is_anything_known = self.is_ruled_out || !self.named.is_empty();
        let has_all = is_anything_known && self.awaited.is_subset(&self.answered);
        let is_named = self
            .named_at
            .is_some_and(|at| now.saturating_duration_since(at) >= OBJECTION_TIME);
        has_all || is_named
    }

    /// Returns the only version of the service, if a host that reads the registry has named it and
    /// nobody objected.
    #[must_use]
    pub fn vouched_version(&self) -> Option<SoftwareHash> {
        let is_certain = self.named_at.is_some() && self.named.len() == 1 && !self.is_ruled_out;
        self.named.first().copied().filter(|_| is_certain)
    }

    /// Ends the inquiry: returns the version if nobody knows of another one, and this host remembers
    /// the stream, or knows a version as the only one and has just read the registry, or peers have
    /// answered. A host that no peer answers may be cut off from those that know.
    #[must_use]
    pub fn finish(&self, own: OwnKnowledge) -> Option<SoftwareHash> {
        let mut named = self.named.clone();
        match own.knowledge {
            StreamKnowledge::Began(software) => return Some(software),
            StreamKnowledge::Several => return None,
            StreamKnowledge::Only { software, .. } => {
                named.insert(software);
            }
            StreamKnowledge::Unknown => {}
        }
        let agreed = named.first().filter(|_| named.len() == 1);
        let is_confirmed = own.is_registry_current || !self.answered.is_empty();
        agreed
            .copied()
            .filter(|_| is_confirmed && !self.is_ruled_out)
    }

    /// Returns the version if the asking host has meanwhile read the registry, and knows for long
    /// enough to need no peer.
    #[must_use]
    pub fn on_registry_read(&self, own: OwnKnowledge) -> Option<SoftwareHash> {
        let is_certain = matches!(
            own.knowledge,
            StreamKnowledge::Only {
                is_current: true,
                ..
            }
        );
        is_certain.then(|| self.finish(own))?
    }
}
