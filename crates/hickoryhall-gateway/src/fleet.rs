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
}

impl Fleet {
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

    /// Returns the fleet size, including this host.
    #[must_use]
    pub fn size(&mut self, now: Instant) -> usize {
        self.last_seen
            .retain(|_, at| now.saturating_duration_since(*at) < FLEET_SIZE_TTL);
        (self.last_seen.len() + 1).max(MIN_FLEET_SIZE)
    }
}
