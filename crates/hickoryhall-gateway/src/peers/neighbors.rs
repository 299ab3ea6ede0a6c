//! Which hosts this one knows, and which of them it tells what.
//!
//! A small fleet is one group, whose hosts tell each other everything directly. In a large one the
//! hosts of a failure domain form a group, or several: members tell each other directly, and one
//! member sends the sum of their loads to one host of each other group, which passes it on. What a
//! host sends and takes then follows the size of a group and the number of groups, not the fleet.
//! Hosts go by the group that each one names; where they disagree for a while, news are older.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use hickoryhall_types::rendezvous_score;

use super::Digest;
use crate::scheduler::{GroupHash, HostHash};

/// Hosts up to which a fleet is one group.
const SMALL_FLEET: usize = 24;
/// Hosts of a failure domain up to which it is one group.
const GROUP_HOSTS: usize = 32;
/// Group of all hosts of a small fleet.
const WHOLE_FLEET: GroupHash = 1;
/// Digests a second that one host sends to hosts of other groups, each of them in turn.
pub(super) const PRESENCES_PER_S: f64 = 50.0;
/// Time after which a silent host is only tried now and then, in a fleet of usual size.
const SILENT: Duration = Duration::from_secs(3);
/// Turns of digests to all hosts after which one of a very large fleet counts as silent.
const SILENT_TURNS: f64 = 2.0;
/// Rounds between two tries to reach a silent host.
const SILENT_ROUNDS: u64 = 10;
/// Time after which a silent host is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(60);
/// Hosts remembered at most.
const HOST_LIMIT: usize = 1_024;
/// Addresses told in one digest.
const ADDRESSES_TOLD: usize = 16;

/// This host, as the others know it.
#[derive(Clone, Copy, Debug)]
pub struct Me {
    /// Address.
    pub ip: Ipv4Addr,
    /// Hash of its name.
    pub host: HostHash,
    /// Hash of its failure domain's name.
    pub domain: u64,
}

/// The other hosts.
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
    /// What its last digest said of it; `None` until one came.
    named: Option<Named>,
}

#[derive(Clone, Copy, Debug)]
struct Named {
    host: HostHash,
    domain: u64,
    group: GroupHash,
}

impl Neighbors {
    /// Creates the neighbors of a host that knows some addresses.
    #[must_use]
    pub fn new(now: Instant, me: Me, seeds: Vec<Ipv4Addr>) -> Self {
        let others = seeds.iter().filter(|&&ip| ip != me.ip);
        let known = others.map(|&ip| (ip, Neighbor::new(now))).collect();
        Self { me, seeds, known }
    }

    /// Records a digest that came from its own sender; tells whether that one was not known.
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

    /// Takes addresses that another host knows.
    pub fn learn(&mut self, now: Instant, addresses: impl IntoIterator<Item = Ipv4Addr>) {
        for ip in addresses {
            if ip != self.me.ip && self.known.len() < HOST_LIMIT {
                self.known.entry(ip).or_insert_with(|| Neighbor::new(now));
            }
        }
    }

    /// Forgets hosts that have been silent for long.
    pub fn expire(&mut self, now: Instant) {
        let seeds = &self.seeds;
        self.known
            .retain(|ip, neighbor| neighbor.age(now) < FORGOTTEN || seeds.contains(ip));
    }

    /// Returns the group that this host names.
    #[must_use]
    pub fn group(&self, now: Instant) -> GroupHash {
        if self.live(now).count() < SMALL_FLEET {
            return WHOLE_FLEET;
        }
        let in_domain = self.live(now);
        let in_domain = in_domain.filter(|(_, named)| named.domain == self.me.domain);
        // Powers of two, so that a host more or less hardly ever moves anyone.
        let parts = (in_domain.count() + 1).div_ceil(GROUP_HOSTS);
        let part = self.me.host % parts.next_power_of_two() as u64;
        rendezvous_score(self.me.domain, part)
    }

    /// Returns the hosts of this one's group.
    #[must_use]
    pub fn members(&self, now: Instant) -> Vec<Ipv4Addr> {
        self.named_members(now).map(|(ip, _)| ip).collect()
    }

    /// Returns the names of the hosts of this one's group.
    #[must_use]
    pub fn member_hosts(&self, now: Instant) -> Vec<HostHash> {
        let members = self.named_members(now);
        members.map(|(_, named)| named.host).collect()
    }

    /// Returns all other hosts that are to be tried in a round: silent ones only now and then.
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

    /// Returns where this host sends the sum of its group's load: to one host of each other group,
    /// or nowhere where another member does it.
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
            // A score of both groups spreads the work of passing sums on.
            let score = rendezvous_score(group ^ named.group.rotate_left(1), named.host);
            let first = first_of.entry(named.group).or_insert((score, ip));
            *first = (*first).max((score, ip));
        }
        first_of.into_values().map(|(_, ip)| ip).collect()
    }

    /// Returns the host that was heard last among those with a newer table.
    #[must_use]
    pub fn newest(&self, own_revision: u64) -> Option<Ipv4Addr> {
        let newer = self.known.iter();
        let newer = newer.filter(|(_, neighbor)| neighbor.table_revision > own_revision);
        let newest = newer.max_by_key(|(_, neighbor)| neighbor.heard_at);
        newest.map(|(&ip, _)| ip)
    }

    /// Returns some of the known addresses, others in each round.
    #[must_use]
    pub fn told_addresses(&self, round: u64) -> Vec<Ipv4Addr> {
        let mut addresses = self.known.keys().copied().collect::<Vec<_>>();
        addresses.sort_unstable();
        if addresses.len() <= ADDRESSES_TOLD {
            // A small fleet learns all addresses in a few rounds and then needs them rarely.
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
