//! The hosts that this host knows, and which of them are live.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hickoryhall_types::{FailureDomainId, HostId, Incarnation, hash_name, rendezvous_score};
use hickoryhall_wire::{Heartbeat, HostHash, Peer};

/// Time without a heartbeat after which a host is considered dead.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without a heartbeat after which a host that is not on the platform's list is removed.
const UNLISTED_HOST_TTL: Duration = Duration::from_secs(60);

/// Name, failure domain and address of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostInfo {
    /// Name of the host, unique in the fleet.
    pub id: HostId,
    /// Stable hash of the name, which identifies the host in messages.
    pub hash: HostHash,
    /// Failure domain that the host belongs to.
    pub domain: FailureDomainId,
    /// Address at which the host receives messages of its peers.
    pub address: SocketAddr,
}

impl HostInfo {
    /// Creates the description of a host and computes its hash.
    #[must_use]
    pub fn new(id: &str, domain: &str, address: SocketAddr) -> Self {
        Self {
            id: id.into(),
            hash: hash_name(id),
            domain: domain.into(),
            address,
        }
    }
}

/// Task that only a few hosts of a failure domain carry out at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Watches the store for changes of the table.
    TableWatcher,
    /// Takes the lease and gives orders to the runners of the failure domain.
    LeaseHolder,
    /// Tracks the load and the reservations of a runner, given by the hash of its name.
    Tracker(u64),
}

impl Duty {
    /// Returns the rendezvous key of the duty, which must be the same on all hosts.
    ///
    /// The constants are the ASCII texts `watcher!` and `ordergiv`.
    fn key(self) -> u64 {
        match self {
            Self::TableWatcher => 0x7761_7463_6865_7221,
            Self::LeaseHolder => 0x6f72_6465_7267_6976,
            Self::Tracker(runner) => runner,
        }
    }
}

#[derive(Clone, Debug)]
struct KnownHost {
    info: HostInfo,
    incarnation: Incarnation,
    heartbeat_count: u32,
    last_heartbeat_at: Instant,
    listed: bool,
    leaving: bool,
}

impl KnownHost {
    fn is_live(&self, now: Instant) -> bool {
        !self.leaving && now.saturating_duration_since(self.last_heartbeat_at) < LIVENESS_TIMEOUT
    }
}

/// The hosts that this host knows, and when each last sent a heartbeat.
#[derive(Clone, Debug)]
pub struct Hosts {
    local_host: HostInfo,
    incarnation: Incarnation,
    // Ordered, so that a random choice among hosts is reproducible with the same seed.
    known: BTreeMap<HostHash, KnownHost>,
}

impl Hosts {
    /// Creates a view that knows only this host.
    #[must_use]
    pub fn new(local_host: HostInfo, incarnation: Incarnation) -> Self {
        Self {
            local_host,
            incarnation,
            known: BTreeMap::new(),
        }
    }

    /// Returns the description of this host.
    #[must_use]
    pub fn local_host(&self) -> &HostInfo {
        &self.local_host
    }

    /// Returns the identity of this host in messages: its hash and incarnation.
    #[must_use]
    pub fn local_peer(&self) -> Peer {
        Peer {
            host: self.local_host.hash,
            incarnation: self.incarnation,
        }
    }

    /// Updates the known hosts from the platform's list.
    ///
    /// New hosts count as live until they miss their heartbeats. Hosts that are no longer listed
    /// are removed once their heartbeats have stopped for a while.
    pub fn merge_list(&mut self, now: Instant, list: &[HostInfo]) {
        self.known
            .values_mut()
            .for_each(|known| known.listed = false);
        for info in list.iter().filter(|info| info.hash != self.local_host.hash) {
            let known = self.known.entry(info.hash).or_insert_with(|| KnownHost {
                info: info.clone(),
                incarnation: 0,
                heartbeat_count: 0,
                last_heartbeat_at: now,
                listed: true,
                leaving: false,
            });
            known.info = info.clone();
            known.listed = true;
        }
        self.known.retain(|_, known| {
            known.listed
                || now.saturating_duration_since(known.last_heartbeat_at) < UNLISTED_HOST_TTL
        });
    }

    /// Records a heartbeat; one of an unknown host, or not newer than the host's last, is ignored.
    pub fn observe(&mut self, now: Instant, heartbeat: Heartbeat) {
        let Some(known) = self.known.get_mut(&heartbeat.peer.host) else {
            return;
        };
        let Heartbeat { peer, count } = heartbeat;
        if (peer.incarnation, count) <= (known.incarnation, known.heartbeat_count) {
            return;
        }
        if peer.incarnation > known.incarnation {
            known.leaving = false;
        }
        known.incarnation = peer.incarnation;
        known.heartbeat_count = count;
        known.last_heartbeat_at = now;
    }

    /// Records that a host is shutting down, and returns whether this was not known yet.
    pub fn mark_leaving(&mut self, peer: Peer) -> bool {
        let Some(known) = self.known.get_mut(&peer.host) else {
            return false;
        };
        let is_new = !known.leaving && peer.incarnation >= known.incarnation;
        known.leaving |= is_new;
        is_new
    }

    /// Returns the host with the given hash; `None` for unknown hosts and for this host.
    #[must_use]
    pub fn get(&self, host: HostHash) -> Option<&HostInfo> {
        self.known.get(&host).map(|known| &known.info)
    }

    /// Returns all known hosts other than this one, live or not.
    pub fn others(&self) -> impl Iterator<Item = &HostInfo> {
        self.known.values().map(|known| &known.info)
    }

    /// Returns the live hosts other than this one.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &HostInfo> {
        self.known
            .values()
            .filter(move |known| known.is_live(now))
            .map(|known| &known.info)
    }

    /// Returns the latest heartbeats of the other live hosts of this failure domain.
    pub fn heartbeats(&self, now: Instant) -> impl Iterator<Item = Heartbeat> {
        let domain = &self.local_host.domain;
        let live = self
            .known
            .values()
            .filter(move |known| known.is_live(now) && known.info.domain == *domain);
        live.filter(|known| known.heartbeat_count > 0)
            .map(|known| Heartbeat {
                peer: Peer {
                    host: known.info.hash,
                    incarnation: known.incarnation,
                },
                count: known.heartbeat_count,
            })
    }

    /// Returns the hosts of a failure domain that have a duty, in order of preference.
    ///
    /// Hosts that disagree about which hosts are live may return different results, so several
    /// hosts may act on the same duty at a time; the code that acts on it must stay correct then.
    #[must_use]
    pub fn duty_holders(
        &self,
        now: Instant,
        domain: &str,
        duty: Duty,
        count: usize,
    ) -> Vec<HostHash> {
        let local = (self.local_host.domain.as_ref() == domain).then_some(self.local_host.hash);
        let live = self.live(now).filter(|info| info.domain.as_ref() == domain);
        let mut hosts = live.map(|info| info.hash).chain(local).collect::<Vec<_>>();
        let key = duty.key();
        hosts.sort_by_key(|&host| std::cmp::Reverse((rendezvous_score(key, host), host)));
        hosts.truncate(count);
        hosts
    }

    /// Returns whether this host is among the `count` hosts that have a duty in its failure domain.
    #[must_use]
    pub fn has_duty(&self, now: Instant, duty: Duty, count: usize) -> bool {
        self.duty_holders(now, &self.local_host.domain, duty, count)
            .contains(&self.local_host.hash)
    }

    /// Returns the number of live hosts in the failure domain of this host, including itself.
    #[must_use]
    pub fn live_count_in_domain(&self, now: Instant) -> usize {
        1 + self
            .live(now)
            .filter(|info| info.domain == self.local_host.domain)
            .count()
    }
}
