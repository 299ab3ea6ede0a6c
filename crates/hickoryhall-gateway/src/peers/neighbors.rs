//! Hosts that this one knows, and the selection of those that get each digest.
//!
//! A small fleet is one group, whose members send each other full digests. In a large fleet the
//! hosts of a failure domain form one or more groups: members send each other full digests, and one
//! member sends a group digest with their summed load to one host of each other group, which
//! forwards it to its own group. The traffic of a host then depends on the size of a group and the
//! number of groups, not on the size of the fleet. Each host states its own group in its digests;
//! while hosts disagree on the groups, their updates only arrive later.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use hickoryhall_types::rendezvous_score;

use super::Digest;
use crate::scheduler::{GroupHash, HostHash};

/// Largest fleet, in hosts, that forms a single group.
const SMALL_FLEET: usize = 24;
/// Hosts of a failure domain up to which they form a single group in a large fleet.
const GROUP_HOSTS: usize = 32;
/// Id of the group that all hosts of a small fleet form.
const WHOLE_FLEET: GroupHash = 1;
/// Heartbeats that one host sends to hosts outside its group per second, in rotation.
pub(super) const PRESENCES_PER_S: f64 = 50.0;
/// Time without a digest after which a host counts as unreachable, unless the fleet is so large
/// that [`SILENT_TURNS`] is longer.
const SILENT: Duration = Duration::from_secs(3);
/// Heartbeat rotations without a digest after which a host of a very large fleet counts as
/// unreachable.
const SILENT_TURNS: f64 = 2.0;
/// Unreachable hosts are contacted in one rotation out of this many. Known addresses are repeated
/// in one round out of as many.
const SILENT_ROUNDS: u64 = 10;
/// Time without a digest after which a host is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(60);
/// Number of known hosts above which no further address is added.
const HOST_LIMIT: usize = 1_024;
/// Addresses listed in one digest.
const ADDRESSES_TOLD: usize = 16;

/// Identity and address of this host, as peers know it.
#[derive(Clone, Copy, Debug)]
pub struct Me {
    /// Address that peers send digests to and fetch records from.
    pub ip: Ipv4Addr,
    /// Hash of the host's name.
    pub host: HostHash,
    /// Hash of the name of the host's failure domain.
    pub domain: u64,
}

/// The known other hosts, by address.
#[derive(Debug)]
pub struct Neighbors {
    me: Me,
    seeds: Vec<Ipv4Addr>,
    known: HashMap<Ipv4Addr, Neighbor>,
}

#[derive(Clone, Copy, Debug)]
struct Neighbor {
    heard_at: Instant,
    table_revision: u64,
    /// Identity that the host gave in its last digest; `None` before its first one.
    named: Option<Named>,
}

#[derive(Clone, Copy, Debug)]
struct Named {
    host: HostHash,
    domain: u64,
    group: GroupHash,
}

impl Neighbors {
    /// Creates a record of the seed hosts, which are kept even while unreachable.
    #[must_use]
    pub fn new(now: Instant, me: Me, seeds: Vec<Ipv4Addr>) -> Self {
        let others = seeds.iter().filter(|&&ip| ip != me.ip);
        let known = others.map(|&ip| (ip, Neighbor::new(now))).collect();
        Self { me, seeds, known }
    }

    /// Records a digest received directly from its sender.
    ///
    /// Returns whether the sender's address was unknown.
    pub fn heard(&mut self, now: Instant, ip: Ipv4Addr, digest: &Digest) -> bool {
        let neighbor = Neighbor {
            heard_at: now,
            table_revision: digest.table_revision,
            named: Some(Named {
                host: digest.host,
                domain: digest.domain,
                group: digest.group,
            }),
        };
        self.known.insert(ip, neighbor).is_none()
    }

    /// Adds addresses that another host listed.
    pub fn learn(&mut self, now: Instant, addresses: impl IntoIterator<Item = Ipv4Addr>) {
        for ip in addresses {
            if ip != self.me.ip && self.known.len() < HOST_LIMIT {
                self.known.entry(ip).or_insert_with(|| Neighbor::new(now));
            }
        }
    }

    /// Forgets hosts that have been unreachable for long, except seeds.
    pub fn expire(&mut self, now: Instant) {
        let seeds = &self.seeds;
        self.known
            .retain(|ip, neighbor| neighbor.age(now) < FORGOTTEN || seeds.contains(ip));
    }

    /// Returns the group of this host.
    #[must_use]
    pub fn group(&self, now: Instant) -> GroupHash {
        if self.live(now).count() < SMALL_FLEET {
            return WHOLE_FLEET;
        }
        let in_domain = self.live(now);
        let in_domain = in_domain.filter(|(_, named)| named.domain == self.me.domain);
        // The number of groups is a power of two, so that adding or losing a host seldom changes
        // the group of another one.
        let parts = (in_domain.count() + 1).div_ceil(GROUP_HOSTS);
        let part = self.me.host % parts.next_power_of_two() as u64;
        rendezvous_score(self.me.domain, part)
    }

    /// Returns the addresses of the other live members of this host's group.
    #[must_use]
    pub fn members(&self, now: Instant) -> Vec<Ipv4Addr> {
        self.named_members(now).map(|(ip, _)| ip).collect()
    }

    /// Returns the name hashes of the other live members of this host's group.
    #[must_use]
    pub fn member_hosts(&self, now: Instant) -> Vec<HostHash> {
        let members = self.named_members(now);
        members.map(|(_, named)| named.host).collect()
    }

    /// Returns the addresses of all hosts that are not live members of this host's group.
    ///
    /// Unreachable hosts are included in few rotations only; `round` is the number of the rotation.
    #[must_use]
    pub fn others(&self, now: Instant, round: u64) -> Vec<Ipv4Addr> {
        let group = self.group(now);
        let is_member = |neighbor: &Neighbor| {
            !self.is_silent(now, neighbor)
                && neighbor.named.is_some_and(|named| named.group == group)
        };
        let is_due = |neighbor: &Neighbor| {
            !self.is_silent(now, neighbor) || round.is_multiple_of(SILENT_ROUNDS)
        };
        let others = self.known.iter();
        let others = others.filter(|(_, neighbor)| !is_member(neighbor) && is_due(neighbor));
        let mut others = others.map(|(&ip, _)| ip).collect::<Vec<_>>();
        others.sort_unstable();
        others
    }

    /// Returns the addresses that this host sends group digests to: one host of each other group,
    /// or none if another member is responsible for sending them.
    #[must_use]
    pub fn sum_targets(&self, now: Instant) -> Vec<Ipv4Addr> {
        let group = self.group(now);
        let own_score = rendezvous_score(group, self.me.host);
        let mut first_of = HashMap::<GroupHash, (u64, Ipv4Addr)>::new();
        for (ip, named) in self.live(now) {
            if named.group == group {
                if rendezvous_score(group, named.host) > own_score {
                    return Vec::new();
                }
                continue;
            }
            // Scoring by both groups spreads the forwarding of group digests over the members.
            let score = rendezvous_score(group ^ named.group.rotate_left(1), named.host);
            let first = first_of.entry(named.group).or_insert((score, ip));
            *first = (*first).max((score, ip));
        }
        first_of.into_values().map(|(_, ip)| ip).collect()
    }

    /// Returns the host whose digest arrived last among those with a newer table.
    #[must_use]
    pub fn newest(&self, own_revision: u64) -> Option<Ipv4Addr> {
        let newer = self.known.iter();
        let newer = newer.filter(|(_, neighbor)| neighbor.table_revision > own_revision);
        let newest = newer.max_by_key(|(_, neighbor)| neighbor.heard_at);
        newest.map(|(&ip, _)| ip)
    }

    /// Returns the known addresses to list in a round's digests; a large fleet rotates through
    /// them.
    #[must_use]
    pub fn told_addresses(&self, round: u64) -> Vec<Ipv4Addr> {
        let mut addresses = self.known.keys().copied().collect::<Vec<_>>();
        addresses.sort_unstable();
        if addresses.len() <= ADDRESSES_TOLD {
            // In a small fleet all hosts know all addresses after a few rounds.
            let is_due = round < 50 || round.is_multiple_of(SILENT_ROUNDS);
            return if is_due { addresses } else { Vec::new() };
        }
        let start = (round as usize * ADDRESSES_TOLD) % addresses.len();
        addresses.rotate_left(start);
        addresses.truncate(ADDRESSES_TOLD);
        addresses
    }

    fn named_members(&self, now: Instant) -> impl Iterator<Item = (Ipv4Addr, Named)> {
        let group = self.group(now);
        let live = self.live(now);
        live.filter(move |(_, named)| named.group == group)
    }

    fn is_silent(&self, now: Instant, neighbor: &Neighbor) -> bool {
        let turn_s = self.known.len() as f64 / PRESENCES_PER_S;
        neighbor.age(now) >= SILENT.max(Duration::from_secs_f64(turn_s * SILENT_TURNS))
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = (Ipv4Addr, Named)> {
        let live = self.known.iter();
        let live = live.filter(move |(_, neighbor)| !self.is_silent(now, neighbor));
        live.filter_map(|(&ip, neighbor)| Some((ip, neighbor.named?)))
    }
}

impl Neighbor {
    fn new(now: Instant) -> Self {
        Self {
            heard_at: now,
            table_revision: 0,
            named: None,
        }
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard_at)
    }
}
