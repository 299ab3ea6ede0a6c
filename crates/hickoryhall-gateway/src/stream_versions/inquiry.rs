//! Weighs what peers know of the software version of a stream.

use std::collections::{BTreeSet, HashSet};
use std::net::Ipv4Addr;

use super::{SoftwareHash, StreamKnowledge};

/// What peers answer about one stream.
#[derive(Debug)]
pub struct Inquiry {
    /// Whether there are any peers to ask.
    has_peers: bool,
    /// Peers that were asked and are likely to answer.
    awaited: HashSet<Ipv4Addr>,
    answered: HashSet<Ipv4Addr>,
    /// Versions that hosts which do not read the registry know as the only one.
    outdated: BTreeSet<SoftwareHash>,
    /// Whether a host knows of several versions.
    is_ruled_out: bool,
}

impl Inquiry {
    /// Creates an inquiry by a host with this knowledge, which has asked nobody.
    #[must_use]
    pub fn new(own: StreamKnowledge) -> Self {
        let mut inquiry = Self {
            has_peers: false,
            awaited: HashSet::new(),
            answered: HashSet::new(),
            outdated: BTreeSet::new(),
            is_ruled_out: false,
        };
        inquiry.weigh(own);
        inquiry
    }

    /// Records that all known peers are asked now, perhaps again; `live` are those of them that were
    /// heard of lately.
    pub fn ask(&mut self, live: impl IntoIterator<Item = Ipv4Addr>) {
        self.has_peers = true;
        self.awaited.extend(live);
    }

    /// Takes an answer; returns the version if it is certain now.
    pub fn on_answer(&mut self, from: Ipv4Addr, answer: StreamKnowledge) -> Option<SoftwareHash> {
        self.answered.insert(from);
        self.weigh(answer);
        match answer {
            StreamKnowledge::Began(software) => Some(software),
            StreamKnowledge::Only {
                software,
                is_current: true,
            } if !self.is_ruled_out => Some(software),
            _ => None,
        }
    }

    fn weigh(&mut self, knowledge: StreamKnowledge) {
        match knowledge {
            StreamKnowledge::Several => self.is_ruled_out = true,
            StreamKnowledge::Only { software, .. } => {
                self.outdated.insert(software);
            }
            StreamKnowledge::Began(_) | StreamKnowledge::Unknown => {}
        }
    }

    /// Returns whether all peers have answered that are likely to, and at least one if there are any:
    /// a host that has just started, or was cut off, hears of none.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.has_answers() && self.awaited.is_subset(&self.answered)
    }

    fn has_answers(&self) -> bool {
        !self.answered.is_empty() || !self.has_peers
    }

    /// Ends the inquiry: returns the version if hosts that cannot read the registry agree on it and
    /// nobody knows of another one. A host that no peer answers may be cut off from those that know.
    #[must_use]
    pub fn finish(&self) -> Option<SoftwareHash> {
        let agreed = self.outdated.first().filter(|_| self.outdated.len() == 1);
        agreed
            .copied()
            .filter(|_| self.has_answers() && !self.is_ruled_out)
    }
}
