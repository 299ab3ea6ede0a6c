//! State of one backend server: load, cache estimates, weights version and health.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hickoryhall_routing::{CacheEstimate, Ejection};
use hickoryhall_types::{Incarnation, TokenCount, WeightsVersion, hash_name};

use super::statements::Statements;
use super::weights::{AnnouncedState, ReportedState, WeightsBelief, WeightsChange, WeightsSource};
use super::{AttemptId, GroupHash, HostHash, Suspect};
use crate::interface::ReportedLoad;
use crate::peers::ServerUpdate;
use crate::registry::BackendServer;
use crate::stream_versions::SoftwareHash;
use crate::table::RunnerCapacity;

/// Time after which a load reported by a peer expires, because the peer may be gone.
const PEER_LOAD_TTL: Duration = Duration::from_secs(2);
/// Maximum number of prompt levels in a cache estimate of one runner.
const CACHE_ESTIMATE_LEVELS: usize = 512;
/// Time after which a weight change whose end was not reported no longer blocks new work.
const WEIGHT_CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Load that one request puts on its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct RequestLoad {
    /// Estimated time to fetch and prefill the prompt; 0 after the first event.
    pub pending_ms: u32,
    /// Whether no request is more urgent.
    pub is_urgent: bool,
    /// Cache memory for the private level of the prompt and the answer; the other levels are shared
    /// with other requests.
    pub unshared_tokens: TokenCount,
    /// Cache memory for the answer; included in `unshared_tokens`.
    pub output_tokens: TokenCount,
    /// Whether no other server can resume the answer.
    pub is_non_resumable: bool,
    /// What may crash the server.
    pub suspect: Option<Suspect>,
}

impl RequestLoad {
    fn urgent_pending_ms(&self) -> u32 {
        if self.is_urgent { self.pending_ms } else { 0 }
    }
}

/// Load that a host, or several hosts together, put on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostLoad {
    /// Number of requests in flight.
    pub requests: u32,
    /// Estimated time to fetch and prefill the prompts of requests without a first event.
    pub pending_ms: u32,
    /// The same for the most urgent requests; included in `pending_ms`.
    pub urgent_pending_ms: u32,
    /// Cache memory for the private levels of the prompts and the answers.
    pub unshared_tokens: u32,
    /// Cache memory for their answers; included in `unshared_tokens`.
    pub output_tokens: u32,
    /// Number of requests that no other server can resume.
    pub non_resumable: u32,
}

/// Origin of a load reported by peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LoadSource {
    /// One host of this host's group.
    Host(HostHash),
    /// The sum over all hosts of another group.
    Group(GroupHash),
}

#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    load: HostLoad,
    received_at: Instant,
}

/// A weight change in progress.
#[derive(Clone, Copy, Debug)]
struct ChangeInProgress {
    since: Instant,
    /// Whether the lease holder announced it; else the runner reported that it is busy.
    is_announced: bool,
}

/// What the scheduler knows about a backend server. All of it is about one process of the server.
#[derive(Debug)]
pub(super) struct ServerState {
    /// Registry entry; its incarnation is that of the newest known process, for which the entry may
    /// not have arrived yet.
    pub server: BackendServer,
    /// Hash of the software version in the entry.
    software: SoftwareHash,
    /// Hash of the server's id, under which hosts refer to it in updates.
    pub name_hash: u64,
    /// Hash of the service's name.
    pub service_hash: u64,
    pub ejection: Ejection,
    /// Cache estimate for the time when every prompt sent to it has been prefilled.
    pub expected_cache: CacheEstimate,
    /// Cache estimate for now, used for transfers to other runners.
    pub current_cache: CacheEstimate,
    /// Capacity of a runner; `None` for a plain server.
    pub runner_capacity: Option<RunnerCapacity>,
    /// Load of each request in flight that this host has placed.
    own_requests: HashMap<AttemptId, RequestLoad>,
    own_total: HostLoad,
    peer_loads: HashMap<LoadSource, PeerLoad>,
    /// Load that the server itself reported last, and when it did.
    reported_load: Option<(ReportedLoad, Instant)>,
    /// Version that the process is believed to have; 0 if the server has no model.
    weights: WeightsBelief,
    change: Option<ChangeInProgress>,
    /// What the process said about new work.
    pub statements: Statements,
    /// Incarnation and weights version in the last registry entry.
    entry: (Incarnation, WeightsVersion),
    /// Incarnation before this one. Starts are numbered by clocks, so it may be the higher one.
    replaced: Option<Incarnation>,
    /// Last announcement, which the lease holder repeats.
    announced: Option<(Option<Incarnation>, WeightsVersion)>,
}

impl ServerState {
    pub fn new(server: BackendServer, runner_capacity: Option<RunnerCapacity>) -> Self {
        let memory = runner_capacity
            .as_ref()
            .map_or(0, |capacity| capacity.kv_cache_tokens);
        Self {
            software: hash_name(&server.software),
            name_hash: hash_name(&server.id),
            service_hash: hash_name(&server.service),
            ejection: Ejection::default(),
            expected_cache: CacheEstimate::new(memory.into(), CACHE_ESTIMATE_LEVELS),
            current_cache: CacheEstimate::new(memory.into(), CACHE_ESTIMATE_LEVELS),
            runner_capacity,
            own_requests: HashMap::new(),
            own_total: HostLoad::default(),
            peer_loads: HashMap::new(),
            reported_load: None,
            weights: WeightsBelief::new(newest_weights(&server)),
            change: None,
            statements: Statements::new(server.incarnation),
            entry: (server.incarnation, newest_weights(&server)),
            replaced: None,
            announced: None,
            server,
        }
    }

    /// Applies a changed registry entry.
    ///
    /// Returns the change of the belief about the runner's weights, if there is one.
    pub fn update(&mut self, mut server: BackendServer) -> Option<WeightsChange> {
        let weights = newest_weights(&server);
        let entry_before = std::mem::replace(&mut self.entry, (server.incarnation, weights));
        let before = self.weights();
        let is_same = server.incarnation == self.server.incarnation;
        let is_outdated = !is_same && server.incarnation == entry_before.0;
        if is_outdated {
            server.incarnation = self.server.incarnation;
        } else if is_same {
            let entry_weights = (entry_before.0 == server.incarnation).then_some(entry_before.1);
            let entry_weights = entry_weights.unwrap_or(weights);
            if self.weights.record_entry(entry_weights, weights) {
                self.on_new_weights();
            }
        } else {
            self.start_incarnation(server.incarnation, weights);
        }
        self.software = hash_name(&server.software);
        self.server = server;
        self.weights_change(before, WeightsSource::Entry)
    }

    /// Returns the hash of the software version in the entry.
    pub fn software(&self) -> SoftwareHash {
        self.software
    }

    /// Returns whether the process has a software version. That of a process whose entry has not
    /// arrived is unknown.
    pub fn has_software(&self, software: SoftwareHash) -> bool {
        self.software == software && self.entry.0 == self.server.incarnation
    }

    /// Forgets what is known of the process before, all of which ended with it.
    fn start_incarnation(&mut self, incarnation: Incarnation, weights: WeightsVersion) {
        self.replaced = Some(self.server.incarnation);
        self.server.incarnation = incarnation;
        self.weights = WeightsBelief::new(weights);
        self.ejection = Ejection::default();
        self.own_requests.clear();
        self.own_total = HostLoad::default();
        self.peer_loads.clear();
        self.reported_load = None;
        self.statements = Statements::new(incarnation);
        self.on_new_weights();
    }

    fn on_new_weights(&mut self) {
        self.expected_cache.clear();
        self.current_cache.clear();
        self.change = None;
    }

    /// Returns whether a statement is about an earlier process than the one known now.
    fn is_outdated(&self, incarnation: Option<Incarnation>) -> bool {
        incarnation.is_some_and(|incarnation| {
            incarnation < self.server.incarnation || Some(incarnation) == self.replaced
        })
    }

    /// Returns whether a statement is about the process known now, or does not tell.
    pub fn is_current(&self, incarnation: Option<Incarnation>) -> bool {
        incarnation.is_none_or(|incarnation| incarnation == self.server.incarnation)
    }

    fn weights_change(
        &self,
        before: WeightsVersion,
        source: WeightsSource,
    ) -> Option<WeightsChange> {
        (self.weights() != before).then(|| WeightsChange {
            server: self.server.id.clone(),
            incarnation: self.server.incarnation,
            weights: self.weights(),
            before,
            source,
        })
    }

    /// Records a report of the runner about itself.
    ///
    /// Returns the change of the belief about its weights, if there is one.
    pub fn record_report(&mut self, now: Instant, report: &ReportedState) -> Option<WeightsChange> {
        if self.is_outdated(report.incarnation) {
            return None;
        }
        let before = self.weights();
        match report.incarnation {
            Some(incarnation) if incarnation != self.server.incarnation => {
                self.start_incarnation(incarnation, report.weights.unwrap_or(0));
            }
            _ => {
                let is_changed = report.weights.is_some_and(|weights| {
                    self.weights.record_report(report.requested_at, weights)
                });
                if is_changed {
                    self.on_new_weights();
                }
            }
        }
        if report.is_leaving {
            self.statements.is_leaving = true;
        }
        match self.change {
            None if report.is_busy => self.begin_change(now, false),
            // The lease holder also announces a change while the runner is still being drained.
            Some(change) if !report.is_busy && !change.is_announced => self.change = None,
            _ => {}
        }
        self.weights_change(before, WeightsSource::Report)
    }

    /// Records an announcement of the lease holder.
    ///
    /// Returns the change of the belief about the runner's weights, if there is one.
    pub fn record_announcement(
        &mut self,
        now: Instant,
        announced: &AnnouncedState,
    ) -> Option<WeightsChange> {
        if self.is_outdated(announced.incarnation) {
            return None;
        }
        let before = self.weights();
        let statement = (announced.incarnation, announced.weights);
        let is_repeated = self.announced.replace(statement) == Some(statement);
        match announced.incarnation {
            Some(incarnation) if incarnation != self.server.incarnation => {
                self.start_incarnation(incarnation, announced.weights);
            }
            _ => {
                if !is_repeated && self.weights.raise(announced.weights) {
                    self.on_new_weights();
                }
            }
        }
        self.set_announced_change(now, announced.is_changing);
        self.weights_change(before, WeightsSource::LeaseHolder)
    }

    /// Records that a process of the server said that it leaves, as a peer heard.
    pub fn record_leaving(&mut self, update: &ServerUpdate) {
        if self.is_outdated(update.incarnation) {
            return;
        }
        if let Some(incarnation) = update.incarnation
            && incarnation != self.server.incarnation
        {
            self.start_incarnation(incarnation, update.weights);
        }
        self.statements.is_leaving = true;
    }

    /// Returns the number of requests that the server runs at the same time.
    pub fn slots(&self) -> u32 {
        let capacity = self.runner_capacity.as_ref();
        capacity.map_or(self.server.slots, |capacity| capacity.slots)
    }

    /// Returns whether the server takes no new work because it is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.server.is_leaving || self.statements.is_leaving
    }

    /// Records whether the lease holder changes the runner's weights; repeated calls keep the first
    /// time.
    pub fn set_announced_change(&mut self, now: Instant, is_changing: bool) {
        if !is_changing {
            self.change = None;
        } else if self.change.is_none_or(|change| !change.is_announced) {
            self.begin_change(now, true);
        }
    }

    fn begin_change(&mut self, now: Instant, is_announced: bool) {
        self.change = Some(ChangeInProgress {
            since: now,
            is_announced,
        });
    }

    /// Records the weights version in the head of a response of one process of the runner.
    ///
    /// Returns the change of the belief about its weights, if there is one.
    pub fn record_response_weights(&mut self, weights: WeightsVersion) -> Option<WeightsChange> {
        let before = self.weights();
        if self.weights.raise(weights) {
            self.on_new_weights();
        }
        self.weights_change(before, WeightsSource::Response)
    }

    pub fn weights(&self) -> WeightsVersion {
        self.weights.version()
    }

    pub fn is_changing_weights(&self, now: Instant) -> bool {
        self.change.is_some_and(|change| {
            now.saturating_duration_since(change.since) < WEIGHT_CHANGE_TIMEOUT
        })
    }

    pub fn add_request(&mut self, attempt_id: AttemptId, load: RequestLoad) {
        self.own_requests.insert(attempt_id, load);
        self.own_total.requests += 1;
        self.own_total.pending_ms += load.pending_ms;
        self.own_total.urgent_pending_ms += load.urgent_pending_ms();
        let tokens = &mut self.own_total.unshared_tokens;
        *tokens = tokens.saturating_add(load.unshared_tokens);
        let tokens = &mut self.own_total.output_tokens;
        *tokens = tokens.saturating_add(load.output_tokens);
        self.own_total.non_resumable += u32::from(load.is_non_resumable);
    }

    /// Limits the cache estimates to the memory that running requests leave free.
    pub fn update_cache_budgets(&mut self, now: Instant) {
        let memory = self
            .runner_capacity
            .as_ref()
            .map_or(0, |capacity| capacity.kv_cache_tokens);
        let left = memory.saturating_sub(self.load(now).output_tokens);
        self.expected_cache.set_budget(left.into());
        self.current_cache.set_budget(left.into());
    }

    pub fn record_first_event(&mut self, attempt_id: AttemptId) {
        if let Some(load) = self.own_requests.get_mut(&attempt_id) {
            self.own_total.pending_ms -= load.pending_ms;
            self.own_total.urgent_pending_ms -= load.urgent_pending_ms();
            load.pending_ms = 0;
        }
    }

    pub fn remove_request(&mut self, attempt_id: AttemptId) {
        if let Some(load) = self.own_requests.remove(&attempt_id) {
            self.own_total.requests -= 1;
            self.own_total.pending_ms -= load.pending_ms;
            self.own_total.urgent_pending_ms -= load.urgent_pending_ms();
            let tokens = &mut self.own_total.unshared_tokens;
            *tokens = tokens.saturating_sub(load.unshared_tokens);
            let tokens = &mut self.own_total.output_tokens;
            *tokens = tokens.saturating_sub(load.output_tokens);
            self.own_total.non_resumable -= u32::from(load.is_non_resumable);
        }
    }

    /// Returns whether the server runs a request of this host that may crash it for another reason.
    pub fn runs_other_suspect(&self, suspect: Suspect) -> bool {
        let mut running = self.own_requests.values().filter_map(|load| load.suspect);
        running.any(|other| other != suspect)
    }

    pub fn own_load(&self) -> HostLoad {
        self.own_total
    }

    /// Returns the update for peers, with the given load.
    pub fn to_update(&self, load: HostLoad) -> ServerUpdate {
        ServerUpdate {
            server: self.name_hash,
            incarnation: Some(self.server.incarnation),
            load,
            weights: self.weights(),
            is_changing: None,
            is_leaving: self.statements.is_leaving,
            speed: None,
        }
    }

    pub fn set_peer_load(&mut self, now: Instant, source: LoadSource, load: HostLoad) {
        self.peer_loads.insert(
            source,
            PeerLoad {
                load,
                received_at: now,
            },
        );
    }

    pub fn clear_peer_load(&mut self, source: LoadSource) {
        self.peer_loads.remove(&source);
    }

    pub fn set_reported_load(&mut self, now: Instant, load: ReportedLoad) {
        self.reported_load = Some((load, now));
    }

    /// Returns how long work takes at the server at the moment relative to its usual time, as it
    /// reported within `ttl`.
    pub fn slowdown(&self, now: Instant, ttl: Duration) -> f64 {
        let fresh = self
            .reported_load
            .filter(|(_, at)| now.saturating_duration_since(*at) < ttl);
        let percent = fresh.and_then(|(load, _)| load.work_time_percent);
        percent.map_or(1.0, |percent| f64::from(percent.clamp(25, 400)) / 100.0)
    }

    /// Returns the load of all hosts, this one included.
    pub fn load(&self, now: Instant) -> HostLoad {
        self.total_load(now, |_| true)
    }

    /// Returns the load of this host's group, this host included.
    pub fn group_load(&self, now: Instant) -> HostLoad {
        self.total_load(now, |source| matches!(source, LoadSource::Host(_)))
    }

    fn total_load(&self, now: Instant, is_included: impl Fn(&LoadSource) -> bool) -> HostLoad {
        let is_fresh =
            |peer: &PeerLoad| now.saturating_duration_since(peer.received_at) < PEER_LOAD_TTL;
        let fresh = self.peer_loads.iter();
        let fresh = fresh.filter(|&(source, peer)| is_fresh(peer) && is_included(source));
        fresh.fold(self.own_total, |sum, (_, peer)| HostLoad {
            requests: sum.requests + peer.load.requests,
            pending_ms: sum.pending_ms + peer.load.pending_ms,
            urgent_pending_ms: sum.urgent_pending_ms + peer.load.urgent_pending_ms,
            unshared_tokens: sum
                .unshared_tokens
                .saturating_add(peer.load.unshared_tokens),
            output_tokens: sum.output_tokens.saturating_add(peer.load.output_tokens),
            non_resumable: sum.non_resumable + peer.load.non_resumable,
        })
    }

    /// Returns the number of requests at the server: the sum over all hosts, or the number that
    /// the server reported within `reported_load_ttl` if that is larger.
    pub fn request_count(&self, now: Instant, reported_load_ttl: Duration) -> u32 {
        let known = self.load(now).requests;
        let fresh = self
            .reported_load
            .filter(|(_, at)| now.saturating_duration_since(*at) < reported_load_ttl);
        fresh.map_or(known, |(load, _)| known.max(load.running + load.waiting))
    }
}

fn newest_weights(server: &BackendServer) -> WeightsVersion {
    let versions = server.models.iter().map(|(_, version)| *version);
    versions.max().unwrap_or(0)
}
