//! Tells whether a host is cut off from the servers of a service, and chooses the peer that takes its
//! requests meanwhile.
//!
//! Only new connections tell: kept ones may live on through a cut, or be silent without it. A host whose
//! new connections failed at several servers of a service, in several failure domains where there are
//! any, and succeeded at none, is cut off from that service, or the servers are gone. Its peers tell the
//! two apart: those that fail in the same way say so in their digests and get no requests.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use hickoryhall_types::rendezvous_score;

/// Hash of a service's name.
pub type ServiceHash = u64;
/// Hash of a server's id.
pub type ServerHash = u64;
/// Hash of the name of a failure domain.
pub type DomainHash = u64;

/// Servers that new connections fail at before a host counts as cut off from a service; all of them if
/// it has fewer.
const MIN_FAILED_SERVERS: usize = 4;
/// Time for which a failed connection counts.
const FAILURE_TTL: Duration = Duration::from_secs(3);
/// Time after a new connection in which failed ones show that some servers are gone, not a cut.
const REACHED_TTL: Duration = Duration::from_secs(1);
/// Time between two checks of the other servers of a service.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two connections that probe whether a service is reached again.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which a peer gets no requests that could not be connected to, or did not reach a service.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Peers in a row that did not reach a service, after which none is asked for [`AVOID_TIME`].
const MAX_USELESS_PEERS: u32 = 3;
/// Time without a digest after which a peer gets no requests; in a large fleet, that of two rounds of
/// heartbeats.
const PEER_TTL: Duration = Duration::from_secs(3);
const PEER_TTL_PER_PEER: Duration = Duration::from_millis(40);
/// Peers compared in this host's failure domain, and as many in other ones.
const COMPARED_PEERS: usize = 2;
/// Load of a peer in another failure domain relative to that of one in this host's, in the choice.
const OTHER_DOMAIN_FACTOR: f64 = 1.25;
const MAX_SERVICES: usize = 1_024;
const MAX_PEERS: usize = 1_024;
/// Maximum number of services in one statement.
const MAX_STATED_SERVICES: usize = 32;

/// What a host tells its peers in each digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReachStatement {
    /// Requests in progress or waiting at the host.
    pub requests: u32,
    /// Services that the host is cut off from.
    pub unreached: Vec<ServiceHash>,
}

/// What follows from a new connection that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachStep {
    /// Nothing.
    Nothing,
    /// Some other servers of the service have to be connected to.
    Check,
    /// The host is cut off from the service from now on.
    CutBegan,
}

/// How a request ended that was sent to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEnd {
    /// A server got the request, or the peer refused it for another reason than its reach.
    Answered,
    /// The peer reached no server of the service.
    Unreached,
    /// The peer could not be connected to, or broke off.
    Gone,
}

#[derive(Clone, Debug, Default)]
struct Service {
    /// Servers at which the last new connection failed, and when it did.
    failed: HashMap<ServerHash, Instant>,
    reached_at: Option<Instant>,
    checked_at: Option<Instant>,
    cut_since: Option<Instant>,
    probed_at: Option<Instant>,
    /// Number of probes so far, which go to the servers in turn.
    probes: u64,
    /// Peers in a row that did not reach the service.
    useless_peers: u32,
    /// Time until which no peer is asked.
    useless_until: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Peer {
    host: u64,
    domain: DomainHash,
    heard_at: Instant,
    statement: ReachStatement,
    /// Requests of this host that are in progress there.
    own_requests: u32,
    avoided_until: Option<Instant>,
    /// Services that the peer did not reach, and until when it gets no requests for each.
    unreached_until: HashMap<ServiceHash, Instant>,
}

/// A probe of a service that the host is cut off from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Service to probe.
    pub service: ServiceHash,
    /// Number of the probe; the servers are probed in turn.
    pub number: u64,
}

/// Which services a host reaches, and which peers can take its requests for others. `P` is the address
/// of a peer.
#[derive(Clone, Debug)]
pub struct Reach<P> {
    domain: DomainHash,
    services: HashMap<ServiceHash, Service>,
    peers: HashMap<P, Peer>,
}

impl<P: Copy + Eq + Hash> Reach<P> {
    /// Creates the state of a host in a failure domain.
    #[must_use]
    pub fn new(domain: DomainHash) -> Self {
        Self {
            domain,
            services: HashMap::new(),
            peers: HashMap::new(),
        }
    }

    /// Records a new connection to a server; returns how long the host was cut off from the service if
    /// that ends now.
    pub fn record_connected(&mut self, now: Instant, service: ServiceHash) -> Option<Duration> {
        // A service without trouble has no entry.
        let known = self.services.get_mut(&service)?;
        known.failed.clear();
        known.reached_at = Some(now);
        let since = known.cut_since.take()?;
        Some(now.saturating_duration_since(since))
    }

    /// Records a new connection that failed at one of `servers` servers of a service.
    pub fn record_failed(
        &mut self,
        now: Instant,
        service: ServiceHash,
        server: ServerHash,
        servers: usize,
    ) -> ReachStep {
        if !self.services.contains_key(&service) && self.services.len() >= MAX_SERVICES {
            self.services.retain(|_, known| known.cut_since.is_some());
        }
        let known = self.services.entry(service).or_default();
        known
            .failed
            .retain(|_, at| now.saturating_duration_since(*at) < FAILURE_TTL);
        if known.failed.len() < MIN_FAILED_SERVERS || known.failed.contains_key(&server) {
            known.failed.insert(server, now);
        }
        if known.cut_since.is_some() {
            return ReachStep::Nothing;
        }
        let needed = MIN_FAILED_SERVERS.min(servers.max(1));
        if known.failed.len() >= needed && !is_recent(now, known.reached_at, REACHED_TTL) {
            known.cut_since = Some(now);
            known.probed_at = Some(now);
            return ReachStep::CutBegan;
        }
        if known.begin_check(now) {
            ReachStep::Check
        } else {
            ReachStep::Nothing
        }
    }

    /// Returns whether a server that did not answer in time, on a kept connection, has to be connected to
    /// anew.
    pub fn must_check(&mut self, now: Instant, service: ServiceHash) -> bool {
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(&service) {
            return false;
        }
        let known = self.services.entry(service).or_default();
        known.cut_since.is_none() && known.begin_check(now)
    }

    /// Returns whether the host is cut off from a service, as far as new connections tell.
    #[must_use]
    pub fn is_cut_off(&self, service: ServiceHash) -> bool {
        let known = self.services.get(&service);
        known.is_some_and(|known| known.cut_since.is_some())
    }

    /// Returns for how long the host has been cut off from a service, zero if it is not.
    #[must_use]
    pub fn cut_off_for(&self, now: Instant, service: ServiceHash) -> Duration {
        let since = self
            .services
            .get(&service)
            .and_then(|known| known.cut_since);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns whether the last new connection to a server of a service failed.
    #[must_use]
    pub fn has_failed(&self, service: ServiceHash, server: ServerHash) -> bool {
        let known = self.services.get(&service);
        known.is_some_and(|known| known.failed.contains_key(&server))
    }

    /// Returns the probes that are due, of services that the host is cut off from.
    pub fn due_probes(&mut self, now: Instant) -> Vec<Probe> {
        let cut = self.services.iter_mut();
        let cut = cut.filter(|(_, known)| known.cut_since.is_some());
        let due = cut.filter_map(|(&service, known)| {
            let is_due = known
                .probed_at
                .is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL);
            is_due.then(|| {
                known.probed_at = Some(now);
                known.probes += 1;
                Probe {
                    service,
                    number: known.probes,
                }
            })
        });
        due.collect()
    }

    /// Ends the cut from a service that has no servers any more.
    pub fn forget(&mut self, service: ServiceHash) {
        self.services.remove(&service);
    }

    /// Returns what peers have to know; `requests` are those in progress or waiting here.
    #[must_use]
    pub fn statement(&self, requests: u32) -> ReachStatement {
        let cut = self.services.iter();
        let cut = cut.filter(|(_, known)| known.cut_since.is_some());
        let mut unreached = cut.map(|(&service, _)| service).collect::<Vec<_>>();
        unreached.sort_unstable();
        unreached.truncate(MAX_STATED_SERVICES);
        ReachStatement {
            requests,
            unreached,
        }
    }

    /// Returns the hashes of the names of the peers that say that they are cut off from a service.
    pub fn cut_off_hosts(&self, service: ServiceHash) -> impl Iterator<Item = u64> {
        let peers = self.peers.values();
        let cut_off = peers.filter(move |peer| peer.statement.unreached.contains(&service));
        cut_off.map(|peer| peer.host)
    }

    /// Records the statement of a peer.
    pub fn record_statement(
        &mut self,
        now: Instant,
        address: P,
        host: u64,
        domain: DomainHash,
        statement: ReachStatement,
    ) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.host = host;
            peer.domain = domain;
            peer.heard_at = now;
            peer.statement = statement;
            return;
        }
        if self.peers.len() >= MAX_PEERS {
            let ttl = self.peer_ttl();
            self.peers.retain(|_, peer| {
                peer.own_requests > 0 || now.saturating_duration_since(peer.heard_at) < ttl
            });
        }
        if self.peers.len() < MAX_PEERS {
            let peer = Peer {
                host,
                domain,
                heard_at: now,
                statement,
                own_requests: 0,
                avoided_until: None,
                unreached_until: HashMap::new(),
            };
            self.peers.insert(address, peer);
        }
    }

    /// Chooses the peer that takes a request for a service, `None` if no peer is known to be of use.
    /// `seed` spreads requests over peers that are alike.
    #[must_use]
    pub fn choose_peer(
        &self,
        now: Instant,
        service: ServiceHash,
        seed: u64,
        excluded: &[P],
    ) -> Option<P> {
        let is_useless = self.services.get(&service).is_some_and(|known| {
            let is_cut = known.cut_since.is_some();
            is_cut && known.useless_until.is_some_and(|until| now < until)
        });
        if is_useless {
            return None;
        }
        let ttl = self.peer_ttl();
        let useful = self.peers.iter().filter(|(address, peer)| {
            now.saturating_duration_since(peer.heard_at) < ttl
                && !excluded.contains(address)
                && peer.takes(now, service)
        });
        let mut ranked = useful
            .map(|(&address, peer)| (rendezvous_score(seed, peer.host), address, peer))
            .collect::<Vec<_>>();
        ranked.sort_unstable_by_key(|&(score, _, _)| score);
        let (near, far) = ranked
            .into_iter()
            .partition::<Vec<_>, _>(|(_, _, peer)| peer.domain == self.domain);
        // A cut often has a whole failure domain: a peer there that could not help is followed by one
        // elsewhere.
        let is_near = |address: &P| {
            let peer = self.peers.get(address);
            peer.is_some_and(|peer| peer.domain == self.domain)
        };
        let may_be_near = !excluded.iter().any(is_near);
        let is_for_near = may_be_near && self.is_for_near(now, service, seed, near.len());
        let near_peers = if far.is_empty() || is_for_near {
            COMPARED_PEERS
        } else {
            0
        };
        let compared = near
            .into_iter()
            .take(near_peers)
            .chain(far.into_iter().take(COMPARED_PEERS));
        let least = compared
            .min_by(|(_, _, one), (_, _, other)| self.cost(one).total_cmp(&self.cost(other)));
        least.map(|(_, address, _)| address)
    }

    /// Counts a request that is sent to a peer.
    pub fn record_sent(&mut self, address: P) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.own_requests += 1;
        }
    }

    /// Records the end of a request that was sent to a peer.
    pub fn record_end(&mut self, address: P) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.own_requests = peer.own_requests.saturating_sub(1);
        }
    }

    /// Records what became of a request for a service at a peer.
    pub fn record_peer(&mut self, now: Instant, service: ServiceHash, address: P, end: PeerEnd) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        match end {
            PeerEnd::Answered => {
                peer.unreached_until.remove(&service);
                if let Some(known) = self.services.get_mut(&service) {
                    known.useless_peers = 0;
                }
            }
            PeerEnd::Gone => peer.avoided_until = Some(now + AVOID_TIME),
            PeerEnd::Unreached => {
                peer.unreached_until.retain(|_, until| now < *until);
                if peer.unreached_until.len() < MAX_STATED_SERVICES {
                    peer.unreached_until.insert(service, now + AVOID_TIME);
                }
                if let Some(known) = self.services.get_mut(&service) {
                    known.useless_peers += 1;
                    if known.useless_peers >= MAX_USELESS_PEERS {
                        known.useless_peers = 0;
                        known.useless_until = Some(now + AVOID_TIME);
                    }
                }
            }
        }
    }

    /// Returns whether a request may go to one of `helpers` peers in this host's failure domain. If more of
    /// its hosts are cut off than can help, the rest of their requests goes to other domains.
    fn is_for_near(&self, now: Instant, service: ServiceHash, seed: u64, helpers: usize) -> bool {
        let ttl = self.peer_ttl();
        let cut_off = self.peers.values().filter(|peer| {
            peer.domain == self.domain
                && now.saturating_duration_since(peer.heard_at) < ttl
                && peer.statement.unreached.contains(&service)
        });
        let cut_off = cut_off.count() as u64 + 1;
        rendezvous_score(seed, service) % cut_off < helpers as u64
    }

    fn peer_ttl(&self) -> Duration {
        let peers = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        PEER_TTL.max(PEER_TTL_PER_PEER.saturating_mul(peers))
    }

    /// Returns the load of a peer as it counts in the choice.
    fn cost(&self, peer: &Peer) -> f64 {
        let requests = f64::from(peer.statement.requests) + f64::from(peer.own_requests) + 1.0;
        if peer.domain == self.domain {
            requests
        } else {
            requests * OTHER_DOMAIN_FACTOR
        }
    }
}

impl Service {
    /// Returns whether other servers have to be connected to now, which counts as done.
    fn begin_check(&mut self, now: Instant) -> bool {
        if is_recent(now, self.reached_at, REACHED_TTL)
            || is_recent(now, self.checked_at, CHECK_INTERVAL)
        {
            return false;
        }
        self.checked_at = Some(now);
        true
    }
}

impl Peer {
    /// Returns whether the peer may get requests for a service.
    fn takes(&self, now: Instant, service: ServiceHash) -> bool {
        let is_over = |until: Option<&Instant>| until.is_none_or(|&until| until <= now);
        is_over(self.avoided_until.as_ref())
            && is_over(self.unreached_until.get(&service))
            && !self.statement.unreached.contains(&service)
    }
}

fn is_recent(now: Instant, at: Option<Instant>, time: Duration) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < time)
}
