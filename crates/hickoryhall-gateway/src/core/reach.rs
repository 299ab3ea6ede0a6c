//! Services that this host is cut off from.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use hickoryhall_routing::{PeerEnd, ReachStatement, ReachStep};
use hickoryhall_types::{TargetId, hash_name};
use metrics::{counter, gauge};
use slog::{info, warn};

use super::{Core, rank_among};
use crate::peers::Digest;
use crate::registry::BackendServer;
use crate::scheduler::HostHash;

/// Maximum number of servers that a check connects to.
const MAX_CHECKED_SERVERS: usize = 3;

impl Core {
    /// Records a new connection to a server.
    pub fn record_connected(&mut self, now: Instant, server: &BackendServer) {
        let service = hash_name(&server.service);
        let Some(lasted) = self.reach.record_connected(now, service) else {
            return;
        };
        gauge!("services_cut_off").decrement(1.0);
        info!(
            self.logger, "core: Service reached again.";
            "service" => &*server.service, "server" => &*server.id,
            "cut_off_ms" => lasted.as_millis()
        );
        self.scheduler.end_ejections(&server.service);
        self.place_waiting(now);
    }

    /// Records a new connection to a server that failed; returns what follows.
    pub fn record_connect_failed(&mut self, now: Instant, server: &BackendServer) -> ReachStep {
        let service = hash_name(&server.service);
        let servers = self.scheduler.staying_servers(&server.service).count();
        let step = self
            .reach
            .record_failed(now, service, hash_name(&server.id), servers);
        if step == ReachStep::CutBegan {
            counter!("service_cuts_total").increment(1);
            gauge!("services_cut_off").increment(1.0);
            warn!(
                self.logger, "core: Host is cut off from a service.";
                "service" => &*server.service, "servers" => servers, "server" => &*server.id
            );
        }
        step
    }

    /// Returns whether a server that did not answer in time has to be connected to anew.
    pub fn must_check_reach(&mut self, now: Instant, server: &BackendServer) -> bool {
        self.reach.must_check(now, hash_name(&server.service))
    }

    /// Returns whether the service of a server has no other one.
    #[must_use]
    pub fn is_only_server(&self, server: &BackendServer) -> bool {
        let mut servers = self.scheduler.staying_servers(&server.service);
        servers.all(|other| other.id == server.id)
    }

    /// Returns some other servers of a server's service, from several failure domains if there are any,
    /// that new connections have not failed at.
    #[must_use]
    pub fn reach_check_targets(&self, server: &BackendServer) -> Vec<BackendServer> {
        let service = hash_name(&server.service);
        let others = self.scheduler.staying_servers(&server.service);
        let others = others.filter(|other| {
            other.id != server.id && !self.reach.has_failed(service, hash_name(&other.id))
        });
        let mut domains = HashSet::new();
        let (mut first, rest) =
            others.partition::<Vec<_>, _>(|other| domains.insert(other.domain.clone()));
        first.extend(rest);
        let targets = first.into_iter().take(MAX_CHECKED_SERVERS);
        targets.cloned().collect()
    }

    /// Returns whether this host is cut off from a service.
    #[must_use]
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.reach.is_cut_off(hash_name(service))
    }

    /// Returns whether this host reaches the runners of all models, as far as it knows.
    #[must_use]
    pub fn reaches_runners(&self) -> bool {
        let services = self.scheduler.model_services();
        services
            .into_iter()
            .all(|service| !self.is_cut_off(service))
    }

    /// Returns for how long this host has reached no runner of a model, zero if it does.
    #[must_use]
    pub fn cut_off_from_runners_for(&self, now: Instant) -> Duration {
        let services = self.scheduler.model_services();
        let cut_off = services.map(|service| self.reach.cut_off_for(now, hash_name(service)));
        cut_off.max().unwrap_or_default()
    }

    /// Returns this host's rank for a duty at the runners of all models, among the live hosts that reach
    /// them; `None` if this host does not.
    #[must_use]
    pub fn duty_rank_at_runners(&self, now: Instant, duty: u64) -> Option<usize> {
        let able = self.hosts_that_reach(now, self.scheduler.model_services());
        self.reaches_runners()
            .then(|| rank_among(&able, self.config.host, duty))
    }

    /// Returns the live peers that are not cut off from some services.
    pub(super) fn hosts_that_reach<'a>(
        &self,
        now: Instant,
        services: impl IntoIterator<Item = &'a TargetId>,
    ) -> Vec<HostHash> {
        let services = services.into_iter();
        let cut_off = services.flat_map(|service| self.reach.cut_off_hosts(hash_name(service)));
        let cut_off = cut_off.collect::<HashSet<_>>();
        let mut hosts = self.fleet.live(now);
        hosts.retain(|host| !cut_off.contains(host));
        hosts
    }

    pub(super) fn reach_statement(&self) -> ReachStatement {
        let requests = self.scheduler.request_count();
        self.reach
            .statement(u32::try_from(requests).unwrap_or(u32::MAX))
    }

    /// Records what a peer states in its own digest about its load and the services that it reaches.
    pub fn record_peer_statement(&mut self, now: Instant, ip: Ipv4Addr, digest: &Digest) {
        let statement = digest.reach.clone();
        self.reach
            .record_statement(now, ip, digest.host, digest.domain, statement);
    }

    /// Chooses the peer that takes a request which no server of its service can be reached for from
    /// here; `None` if no peer is known to be of use, or the service has no servers.
    #[must_use]
    pub fn choose_peer(
        &self,
        now: Instant,
        service: &str,
        request_id: &str,
        excluded: &[Ipv4Addr],
    ) -> Option<Ipv4Addr> {
        self.scheduler.staying_servers(service).next()?;
        let (service, seed) = (hash_name(service), hash_name(request_id));
        self.reach.choose_peer(now, service, seed, excluded)
    }

    /// Counts a request that is sent to a peer.
    pub fn record_forwarded(&mut self, peer: Ipv4Addr) {
        self.reach.record_sent(peer);
    }

    /// Records the end of a request that was sent to a peer.
    pub fn record_forwarding_end(&mut self, peer: Ipv4Addr) {
        self.reach.record_end(peer);
    }

    /// Records what became of a request at a peer.
    pub fn record_peer_end(&mut self, now: Instant, service: &str, peer: Ipv4Addr, end: PeerEnd) {
        self.reach.record_peer(now, hash_name(service), peer, end);
    }

    /// Returns the addresses of the servers of a service that are not shutting down.
    pub fn server_addresses(&self, service: &str) -> impl Iterator<Item = SocketAddr> {
        let servers = self.scheduler.staying_servers(service);
        servers.map(|server| server.address)
    }

    /// Returns the servers to connect to that show whether services are reached again.
    pub fn due_reach_probes(&mut self, now: Instant) -> Vec<BackendServer> {
        let mut targets = Vec::new();
        for probe in self.reach.due_probes(now) {
            let mut names = self.scheduler.services();
            let name = names.find(|name| hash_name(name) == probe.service).cloned();
            let servers = name
                .iter()
                .flat_map(|name| self.scheduler.staying_servers(name));
            let servers = servers.collect::<Vec<_>>();
            if servers.is_empty() {
                self.reach.forget(probe.service);
                gauge!("services_cut_off").decrement(1.0);
                continue;
            }
            targets.push(servers[probe.number as usize % servers.len()].clone());
        }
        targets
    }
}
