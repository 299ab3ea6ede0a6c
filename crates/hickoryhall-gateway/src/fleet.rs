//! Tracks which peers are alive, and the size of the fleet.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::scheduler::HostHash;

/// Time for which a silent peer still counts towards the fleet size. It exceeds any network
/// partition, so that a host that is cut off does not claim the shares of the others.
const FLEET_SIZE_TTL: Duration = Duration::from_secs(60);
/// Time after which the duties of a silent peer move to other hosts. In a large fleet, it covers
/// several digests.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(3);
/// Lower bound of the fleet size: the smallest deployment has six hosts, and a host that has just
/// started has not heard from them yet.
const MIN_FLEET_SIZE: usize = 6;

/// The peers of this host, with the time at which each was last heard from.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    last_seen: HashMap<HostHash, Instant>,
    /// Start of this host, if the fleet is older.
    restarted_at: Option<Instant>,
    /// Size of the fleet that the store listed, and when it was read.
    listed: Option<(usize, Instant)>,
}

impl Fleet {
    /// Creates a fleet of which nothing is known. `restarted_at` is the start of a host that joins a
    /// fleet.
    #[must_use]
    pub fn new(restarted_at: Option<Instant>) -> Self {
        Self {
            restarted_at,
            ..Self::default()
        }
    }

    /// Records that a peer is alive.
    pub fn mark_seen(&mut self, now: Instant, host: HostHash) {
        self.last_seen.insert(host, now);
    }

    /// Returns the peers heard from recently enough to count as live.
    #[must_use]
    pub fn live(&self, now: Instant) -> Vec<HostHash> {
        let is_live = |at: &Instant| now.saturating_duration_since(*at) < LIVENESS_TIMEOUT;
        let live = self.last_seen.iter().filter(|(_, at)| is_live(at));
        live.map(|(&host, _)| host).collect()
    }

    /// Records the size of the fleet that the store lists.
    pub fn set_listed_size(&mut self, now: Instant, hosts: usize) {
        self.listed = Some((hosts, now));
    }

    /// Returns the fleet size, including this host.
    #[must_use]
    pub fn size(&mut self, now: Instant) -> usize {
        self.last_seen.retain(|_, at| is_recent(now, *at));
        let listed = self.listed.filter(|(_, at)| is_recent(now, *at));
        let listed = listed.map_or(0, |(hosts, _)| hosts);
        (self.last_seen.len() + 1).max(MIN_FLEET_SIZE).max(listed)
    }

    /// Returns the fleet size by which budgets of the whole fleet are divided. `None` on a host that
    /// has joined the fleet and may not have heard of all other hosts, as it may be partitioned from them.
    #[must_use]
    pub fn size_for_shares(&mut self, now: Instant) -> Option<usize> {
        (!self.needs_size(now)).then(|| self.size(now))
    }

    /// Returns whether the fleet size has to be read from the store.
    #[must_use]
    pub fn needs_size(&self, now: Instant) -> bool {
        self.listed.is_none() && self.restarted_at.is_some_and(|at| is_recent(now, at))
    }
}

/// Returns whether what was known at a time still counts towards the fleet size.
fn is_recent(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) < FLEET_SIZE_TTL
}
