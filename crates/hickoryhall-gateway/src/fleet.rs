//! How many hosts there are, as far as this one knows.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::scheduler::HostHash;

/// Time for which a silent host still counts: longer than any cut, so that a host that is cut off
/// does not take the parts of the others.
const COUNTED: Duration = Duration::from_secs(60);
/// Time after which the duties of a silent host go to others: several digests in a large fleet.
const LIVE: Duration = Duration::from_secs(3);
/// Hosts counted at least: the smallest deployment has six, and a host that has just started has
/// not heard of them yet.
const LEAST_HOSTS: usize = 6;

/// The other hosts that were heard.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    seen: HashMap<HostHash, Instant>,
}

impl Fleet {
    /// Records a sign of life.
    pub fn seen(&mut self, now: Instant, host: HostHash) {
        self.seen.insert(host, now);
    }

    /// Returns the other hosts that were heard lately.
    #[must_use]
    pub fn live(&self, now: Instant) -> Vec<HostHash> {
        let is_live = |at: &Instant| now.saturating_duration_since(*at) < LIVE;
        let live = self.seen.iter().filter(|(_, at)| is_live(at));
        live.map(|(&host, _)| host).collect()
    }

    /// Returns the number of hosts, this one included.
    #[must_use]
    pub fn size(&mut self, now: Instant) -> usize {
        self.seen
            .retain(|_, at| now.saturating_duration_since(*at) < COUNTED);
        (self.seen.len() + 1).max(LEAST_HOSTS)
    }
}
