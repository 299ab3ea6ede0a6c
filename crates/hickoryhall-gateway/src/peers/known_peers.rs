//! Hosts that this one knows, and the selection of those that get each digest.
//!
//! A small fleet is one group, whose members send each other full digests. In a large fleet the
//! hosts of a failure domain form one or more groups: members send each other full digests, and one
//! member sends a group digest with their summed load to one host of each other group, which
//! forwards it to its own group. The traffic of a host then depends on the size of a group and the
//! number of groups, not on the size of the fleet. Each host states its own group in its digests;
//! while hosts disagree on the groups, their updates only arrive later.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use hickoryhall_types::rendezvous_score;

use super::Digest;
use crate::feeds::relay::RegistryRole;
use crate::scheduler::{GroupHash, HostHash};

/// Maximum number of hosts in a fleet that forms a single group.
const MAX_SINGLE_GROUP_HOSTS: usize = 24;
/// Number of hosts of a failure domain up to which they form a single group in a large fleet.
const MAX_GROUP_HOSTS: usize = 32;
/// Id of the group that all hosts of a small fleet form.
const SINGLE_GROUP: GroupHash = 1;
/// Members of a group that read the registry from the store for all of them.
const REGISTRY_READERS: usize = 2;
/// Distinguishes the ranking of hosts as readers of the registry from other rankings.
const REGISTRY_DUTY: u64 = 0x7265_6769_7374_7279;
/// Heartbeats that one host sends to hosts outside its group per second, in rotation.
pub(super) const HEARTBEATS_PER_S: f64 = 50.0;
/// Time without a digest after which a host counts as unreachable, unless the fleet is so large
/// that [`UNREACHABLE_ROTATIONS`] is longer.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(3);
/// Heartbeat rotations without a digest after which a host of a very large fleet counts as
/// unreachable.
const UNREACHABLE_ROTATIONS: f64 = 2.0;
/// Unreachable hosts are contacted in one rotation out of this many. Known addresses are repeated
/// in one round out of as many.
const PROBE_EVERY: u64 = 10;
/// Time without a digest after which a host is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Number of known hosts above which no further address is added.
const MAX_KNOWN_HOSTS: usize = 1_024;
/// Number of peers that are told of a host's streams.
const STREAM_KEEPERS: usize = 3;
/// Distinguishes the ranking of hosts as savers of streams from other rankings.
const SAVER_DUTY: u64 = 0x7374_7265_616d_7361;
/// Maximum number of addresses listed in one digest.
const MAX_ADDRESSES_PER_DIGEST: usize = 16;

/// Identity and address of this host, as peers know it.
#[derive(Clone, Copy, Debug)]
pub struct LocalHost {
    /// Address that peers send digests to and fetch records from.
    pub ip: Ipv4Addr,
    /// Hash of the host's name.
    pub host: HostHash,
    /// Hash of the name of the host's failure domain.
    pub domain: u64,
}

/// The known other hosts, by address.
#[derive(Debug)]
pub struct KnownPeers {
    local_host: LocalHost,
    seeds: Vec<Ipv4Addr>,
    peers: HashMap<Ipv4Addr, KnownPeer>,
}

#[derive(Clone, Copy, Debug)]
struct KnownPeer {
    /// Time of the last digest; before the first one, the time at which the address was added.
    last_seen_at: Instant,
    /// Revision of the host's route table, 0 for none.
    table_revision: u64,
    /// Identity that the host gave in its last digest; `None` before its first one.
    identity: Option<PeerIdentity>,
}

#[derive(Clone, Copy, Debug)]
struct PeerIdentity {
    host: HostHash,
    domain: u64,
    group: GroupHash,
}

/// How the hosts of a fleet divide the saving of streams in the store.
struct SaverDivision {
    /// Number of hosts of which one saves streams for others.
    hosts_per_saver: usize,
    /// Number of savers that each host chooses.
    savers_per_host: usize,
}

/// Division in a fleet that forms a single group, and in a larger one, where each saver costs more.
const SINGLE_GROUP_DIVISION: SaverDivision = SaverDivision {
    hosts_per_saver: 8,
    savers_per_host: 2,
};
const LARGE_FLEET_DIVISION: SaverDivision = SaverDivision {
    hosts_per_saver: 12,
    savers_per_host: 1,
};

/// Peers that are told of the streams that this host begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamKeepers {
    /// The peers.
    pub peers: Vec<Ipv4Addr>,
    /// Whether this host saves the streams of those that have chosen it.
    pub is_saver: bool,
}

impl KnownPeers {
    /// Creates a record of the seed hosts, which are kept even while unreachable.
    #[must_use]
    pub fn new(now: Instant, local_host: LocalHost, seeds: Vec<Ipv4Addr>) -> Self {
        let others = seeds.iter().filter(|&&ip| ip != local_host.ip);
        let peers = others.map(|&ip| (ip, KnownPeer::new(now))).collect();
        Self {
            local_host,
            seeds,
            peers,
        }
    }

    /// Records a digest received directly from its sender.
    ///
    /// Returns whether it is the first one of its sender.
    pub fn record_digest(&mut self, now: Instant, ip: Ipv4Addr, digest: &Digest) -> bool {
        let peer = KnownPeer {
            last_seen_at: now,
            table_revision: digest.table_revision,
            identity: Some(PeerIdentity {
                host: digest.host,
                domain: digest.domain,
                group: digest.group,
            }),
        };
        let before = self.peers.insert(ip, peer);
        before.is_none_or(|before| before.identity.is_none())
    }

    /// Adds addresses that another host listed.
    pub fn add_addresses(&mut self, now: Instant, addresses: impl IntoIterator<Item = Ipv4Addr>) {
        for ip in addresses {
            if ip != self.local_host.ip && self.peers.len() < MAX_KNOWN_HOSTS {
                self.peers.entry(ip).or_insert_with(|| KnownPeer::new(now));
            }
        }
    }

    /// Forgets hosts that have been unreachable for long, except seeds.
    pub fn expire(&mut self, now: Instant) {
        let seeds = &self.seeds;
        self.peers
            .retain(|ip, peer| peer.time_since_seen(now) < FORGET_AFTER || seeds.contains(ip));
    }

    /// Returns the group of this host.
    #[must_use]
    pub fn group(&self, now: Instant) -> GroupHash {
        if self.live_peers(now).count() < MAX_SINGLE_GROUP_HOSTS {
            return SINGLE_GROUP;
        }
        let in_domain = self.live_peers(now);
        let in_domain = in_domain.filter(|(_, identity)| identity.domain == self.local_host.domain);
        // The number of groups is a power of two, so that adding or losing a host seldom changes
        // the group of another one.
        let group_count = (in_domain.count() + 1).div_ceil(MAX_GROUP_HOSTS);
        let index = self.local_host.host % group_count.next_power_of_two() as u64;
        rendezvous_score(self.local_host.domain, index)
    }

    /// Returns the addresses of the other live members of this host's group.
    #[must_use]
    pub fn members(&self, now: Instant) -> Vec<Ipv4Addr> {
        self.live_members(now).map(|(ip, _)| ip).collect()
    }

    /// Returns the few peers that are told of the streams that this host begins: one in its own failure
    /// domain, the savers that it has chosen, and others in different domains, so that a cut leaves some.
    #[must_use]
    pub fn stream_keepers(&self, now: Instant) -> StreamKeepers {
        let local_host = self.local_host;
        let peers = self.live_peers(now).map(|(ip, identity)| {
            let score = rendezvous_score(local_host.host, identity.host);
            (identity.domain, score, ip)
        });
        let mut peers = peers.collect::<Vec<_>>();
        peers.sort_unstable_by_key(|&(domain, score, _)| {
            (domain != local_host.domain, Reverse(score))
        });
        let mut domains = HashSet::new();
        let (mut ranked, rest) = peers
            .into_iter()
            .partition::<Vec<_>, _>(|(domain, _, _)| domains.insert(*domain));
        ranked.extend(rest);
        let (savers, is_saver) = self.stream_savers(now);
        let mut ranked = ranked.into_iter().map(|(_, _, ip)| ip);
        let nearest = ranked.next();
        let mut keepers = Vec::new();
        for ip in nearest.into_iter().chain(savers).chain(ranked) {
            if keepers.len() < STREAM_KEEPERS && !keepers.contains(&ip) {
                keepers.push(ip);
            }
        }
        StreamKeepers {
            peers: keepers,
            is_saver,
        }
    }

    /// Returns the peers that save the streams of this host, the first of them in another failure domain if
    /// there is such a saver, and whether this host saves them itself, as it does for others.
    fn stream_savers(&self, now: Instant) -> (Vec<Ipv4Addr>, bool) {
        let LocalHost { host, domain, .. } = self.local_host;
        let peers = self.live_peers(now);
        let peers = peers.map(|(ip, identity)| (identity.host, identity.domain, Some(ip)));
        let mut savers = peers.chain([(host, domain, None)]).collect::<Vec<_>>();
        savers.sort_unstable_by_key(|&(host, _, _)| Reverse(rendezvous_score(SAVER_DUTY, host)));
        let division = if savers.len() > MAX_SINGLE_GROUP_HOSTS {
            LARGE_FLEET_DIVISION
        } else {
            SINGLE_GROUP_DIVISION
        };
        let count = savers.len().div_ceil(division.hosts_per_saver);
        savers.truncate(count.max(division.savers_per_host));
        savers.sort_unstable_by_key(|&(saver, _, _)| Reverse(rendezvous_score(host, saver)));
        let is_saver = savers.iter().any(|(_, _, ip)| ip.is_none());
        let elsewhere = savers.iter().position(|(_, other, _)| *other != domain);
        if let Some(elsewhere) = elsewhere {
            savers[..=elsewhere].rotate_right(1);
        }
        let chosen = savers.into_iter().filter_map(|(_, _, ip)| ip);
        let count = division.savers_per_host - usize::from(is_saver);
        (chosen.take(count).collect(), is_saver)
    }

    /// Returns all known peers, also those that are not heard of now.
    #[must_use]
    pub fn all(&self) -> Vec<Ipv4Addr> {
        self.peers.keys().copied().collect()
    }

    /// Returns the peers that were heard of lately.
    #[must_use]
    pub fn live(&self, now: Instant) -> Vec<Ipv4Addr> {
        self.live_peers(now).map(|(ip, _)| ip).collect()
    }

    /// Returns the number of known peers.
    #[must_use]
    pub fn count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the name hashes of the other live members of this host's group.
    #[must_use]
    pub fn member_hashes(&self, now: Instant) -> Vec<HostHash> {
        let members = self.live_members(now);
        members.map(|(_, identity)| identity.host).collect()
    }

    /// Returns how this host gets changes of the registry: in a fleet of several groups, some
    /// members of each group read it.
    #[must_use]
    pub fn registry_role(&self, now: Instant) -> RegistryRole {
        let group = self.group(now);
        if group == SINGLE_GROUP {
            return RegistryRole::Alone;
        }
        let score = |host| rendezvous_score(group ^ REGISTRY_DUTY, host);
        let own = score(self.local_host.host);
        let members = self.live_members(now);
        let ahead = members.filter(|(_, identity)| score(identity.host) > own);
        if ahead.count() < REGISTRY_READERS {
            RegistryRole::Reader
        } else {
            RegistryRole::Follower
        }
    }

    /// Returns the addresses of all hosts that are not live members of this host's group.
    ///
    /// `rotation` is the number of the current rotation; unreachable hosts are included in few of
    /// them only.
    #[must_use]
    pub fn non_members(&self, now: Instant, rotation: u64) -> Vec<Ipv4Addr> {
        let group = self.group(now);
        let is_member = |peer: &KnownPeer| {
            !self.is_unreachable(now, peer)
                && peer
                    .identity
                    .is_some_and(|identity| identity.group == group)
        };
        let is_due = |peer: &KnownPeer| {
            !self.is_unreachable(now, peer) || rotation.is_multiple_of(PROBE_EVERY)
        };
        let non_members = self.peers.iter();
        let non_members = non_members.filter(|(_, peer)| !is_member(peer) && is_due(peer));
        let mut non_members = non_members.map(|(&ip, _)| ip).collect::<Vec<_>>();
        non_members.sort_unstable();
        non_members
    }

    /// Returns the addresses that this host sends group digests to: one host of each other group,
    /// or none if another member is responsible for sending them.
    #[must_use]
    pub fn group_digest_recipients(&self, now: Instant) -> Vec<Ipv4Addr> {
        let group = self.group(now);
        let own_score = rendezvous_score(group, self.local_host.host);
        let mut first_of = HashMap::<GroupHash, (u64, Ipv4Addr)>::new();
        for (ip, identity) in self.live_peers(now) {
            if identity.group == group {
                if rendezvous_score(group, identity.host) > own_score {
                    return Vec::new();
                }
                continue;
            }
            // Scoring by both groups spreads the forwarding of group digests over the members.
            let score = rendezvous_score(group ^ identity.group.rotate_left(1), identity.host);
            let first = first_of.entry(identity.group).or_insert((score, ip));
            *first = (*first).max((score, ip));
        }
        first_of.into_values().map(|(_, ip)| ip).collect()
    }

    /// Returns the host whose digest arrived last among those with a newer table.
    #[must_use]
    pub fn peer_with_newer_table(&self, own_revision: u64) -> Option<Ipv4Addr> {
        let newer = self.peers.iter();
        let newer = newer.filter(|(_, peer)| peer.table_revision > own_revision);
        let newest = newer.max_by_key(|(_, peer)| peer.last_seen_at);
        newest.map(|(&ip, _)| ip)
    }

    /// Returns the known addresses to list in a round's digests; a large fleet rotates through
    /// them.
    #[must_use]
    pub fn addresses_to_list(&self, round: u64) -> Vec<Ipv4Addr> {
        let mut addresses = self.peers.keys().copied().collect::<Vec<_>>();
        addresses.sort_unstable();
        if addresses.len() <= MAX_ADDRESSES_PER_DIGEST {
            // In a small fleet all hosts know all addresses after a few rounds and seldom need them
            // again.
            let is_due = round < 50 || round.is_multiple_of(PROBE_EVERY);
            return if is_due { addresses } else { Vec::new() };
        }
        let start = (round as usize * MAX_ADDRESSES_PER_DIGEST) % addresses.len();
        addresses.rotate_left(start);
        addresses.truncate(MAX_ADDRESSES_PER_DIGEST);
        addresses
    }

    fn live_members(&self, now: Instant) -> impl Iterator<Item = (Ipv4Addr, PeerIdentity)> {
        let group = self.group(now);
        let live = self.live_peers(now);
        live.filter(move |(_, identity)| identity.group == group)
    }

    fn is_unreachable(&self, now: Instant, peer: &KnownPeer) -> bool {
        let rotation_s = self.peers.len() as f64 / HEARTBEATS_PER_S;
        peer.time_since_seen(now)
            >= UNREACHABLE_AFTER.max(Duration::from_secs_f64(rotation_s * UNREACHABLE_ROTATIONS))
    }

    fn live_peers(&self, now: Instant) -> impl Iterator<Item = (Ipv4Addr, PeerIdentity)> {
        let live = self.peers.iter();
        let live = live.filter(move |(_, peer)| !self.is_unreachable(now, peer));
        live.filter_map(|(&ip, peer)| Some((ip, peer.identity?)))
    }
}

impl KnownPeer {
    fn new(now: Instant) -> Self {
        Self {
            last_seen_at: now,
            table_revision: 0,
            identity: None,
        }
    }

    fn time_since_seen(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_seen_at)
    }
}
