//! Chooses the backend server for each request, queues the request, or refuses it.
//!
//! A request goes to the server with the lowest estimated cost, mainly the time to the first event.
//! The estimate depends on the work that all hosts have sent to the server and on the uncached part
//! of the prompt. A request that no server can take waits in a priority queue for a fraction of its
//! target latency. For plain servers, those that are no runners, the cost depends only on the
//! number of requests and on the network.

mod cache_store;
mod cache_store_selection;
mod candidate;
mod config;
mod crossing;
mod crossing_state;
mod demand;
mod desired_versions;
mod placement;
mod search;
mod server;
mod speeds;
mod statements;
mod updates;
mod waiting;
mod weights;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hickoryhall_limits::{RefusalLimits, RoomDecision, ServerLimits, Urgency, UrgentRoom};
use hickoryhall_routing::{PrefixChain, RunnerSpeeds};
use hickoryhall_types::{FailureDomainId, Incarnation, TargetId, WeightsVersion, hash_name};
use slotmap::{SlotMap, new_key_type};

use cache_store::CacheStoreState;
use candidate::{Candidate, millis};
pub use config::SchedulerConfig;
pub use crossing_state::Crossing;
use crossing_state::{CrossingKey, CrossingState};
use demand::FamilyDemand;
pub use desired_versions::{DesiredVersionAge, DesiredVersionHistory};
pub use placement::{
    Assignment, AttemptEnd, Placement, PlacementRefusal, PlacementRequest, PromptInfo,
    RefusalReason, RunnerView, Suspect,
};
pub use server::{HostLoad, LoadSource};
use server::{RequestLoad, ServerState};
use speeds::SampledPrompt;
pub use speeds::{LearnedSpeed, SpeedChange};
use statements::RemovedStatements;
use waiting::{RETRY_AFTER, Wait};
pub use weights::{AnnouncedState, ReportedState, WeightsChange, WeightsSource};

use crate::peers::PromptUpdate;
use crate::registry::{BackendServer, RegistryEvent, ServerId};
use crate::table::{Rank, RouteTable, RunnerCapacity};

/// Id of one attempt, unique within this host.
pub type AttemptId = u64;
/// Stable hash of a host's name.
pub type HostHash = u64;
/// Stable hash of a group of hosts.
pub type GroupHash = u64;
/// Priority of a request: that of its workspace, then that of its route. Lower values go first.
pub type Priority = (Rank, Rank);

/// Urgency of the requests that runners take first.
const MOST_URGENT: Urgency = 0;
/// Urgency of the requests that runners take last.
const LEAST_URGENT: Urgency = 9;

/// Returns the urgency of a request at its runner: the priority of its route, as the order of
/// workspaces is kept by the queue of the host.
#[must_use]
pub fn urgency((_, route): Priority) -> Urgency {
    Urgency::try_from(route).map_or(LEAST_URGENT, |urgency| urgency.min(LEAST_URGENT))
}

new_key_type! {
    struct ServerKey;
}

struct WaitingRequest {
    request: PlacementRequest,
    /// Time at which the request is refused if no server can take it.
    until: Instant,
}

struct ActiveAttempt {
    key: ServerKey,
    /// Process of the server that the attempt was placed on.
    incarnation: Incarnation,
    /// Prompt that the runner has not prefilled yet; `None` after the first event.
    pending_prompt: Option<PrefixChain>,
    placed_at: Instant,
    /// Estimated time from placement to the first event.
    estimate: Duration,
    fetch_from: Option<SocketAddr>,
    /// Set until the first event, if that is a sample of the runner's speed.
    sampled_prompt: Option<SampledPrompt>,
    /// Whether a server with a refusal limit may have to turn the request away.
    is_risky: bool,
    /// Service and domain, if the request left the failure domain; `None` after the first event.
    crossing: Option<CrossingKey>,
}

enum Decision {
    Placed(Box<Assignment>),
    /// No server can take the request now.
    Wait(Wait),
}

/// Assigns requests to backend servers and queues those that no server can take.
pub struct Scheduler {
    config: SchedulerConfig,
    servers: SlotMap<ServerKey, ServerState>,
    by_id: HashMap<ServerId, ServerKey>,
    /// Servers by the hash of their id, under which peers report about them.
    by_hash: HashMap<u64, ServerKey>,
    removed_statements: RemovedStatements,
    /// Servers of each service in the order of the hashes of their ids, which is the same on every
    /// host.
    by_service: HashMap<TargetId, Vec<ServerKey>>,
    /// Capacity of one runner of each model service.
    runner_capacities: HashMap<TargetId, RunnerCapacity>,
    waiting: BTreeMap<(Priority, AttemptId), WaitingRequest>,
    /// Whether requests are not queued any more, because the host ends.
    is_stopping: bool,
    active: HashMap<AttemptId, ActiveAttempt>,
    desired_versions: HashMap<TargetId, DesiredVersionHistory>,
    /// Updates for the next digest.
    prompt_updates: Vec<PromptUpdate>,
    cache_stores: Vec<CacheStoreState>,
    demand: FamilyDemand,
    speeds: RunnerSpeeds,
    limits: ServerLimits,
    refusal_limits: RefusalLimits,
    urgent_room: UrgentRoom<TargetId>,
    /// Failure domains with a recently unreachable server, and when each entry expires.
    unreachable_domains: HashMap<FailureDomainId, Instant>,
    /// Policy for leaving the failure domain; `None` for a fixed cost.
    crossing: Option<CrossingState>,
}

/// Refusal of a request whose host ends; another host takes it at once.
const STOPPING: PlacementRefusal = PlacementRefusal {
    reason: RefusalReason::Stopping,
    retry_after: Duration::from_millis(20),
};
/// Time for which a failure domain counts as unreachable after one of its servers was.
const UNREACHABLE_DOMAIN_TTL: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Creates a scheduler without servers.
    #[must_use]
    pub fn new(config: SchedulerConfig) -> Self {
        let speeds = RunnerSpeeds::new(speeds::constants(&config));
        Self {
            speeds,
            crossing: config.crossing.map(CrossingState::new),
            config,
            servers: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_hash: HashMap::new(),
            removed_statements: RemovedStatements::default(),
            by_service: HashMap::new(),
            runner_capacities: HashMap::new(),
            waiting: BTreeMap::new(),
            is_stopping: false,
            active: HashMap::new(),
            desired_versions: HashMap::new(),
            prompt_updates: Vec::new(),
            cache_stores: Vec::new(),
            demand: FamilyDemand::default(),
            limits: ServerLimits::default(),
            refusal_limits: RefusalLimits::default(),
            urgent_room: UrgentRoom::default(),
            unreachable_domains: HashMap::new(),
        }
    }

    /// Applies a route table: runner capacities of model services and prompt cache stores.
    ///
    /// Servers whose runner capacity changed lose their recorded state.
    pub fn set_table(&mut self, table: &RouteTable) {
        let capacities = table.services().filter_map(|(name, service)| {
            let capacity = service.runner_capacity.clone()?;
            Some((name.clone(), capacity))
        });
        self.runner_capacities = capacities.collect();
        self.set_cache_stores(table);
        let stale = self.servers.iter().filter(|(_, state)| {
            self.runner_capacities.get(&state.server.service) != state.runner_capacity.as_ref()
        });
        let stale = stale
            .map(|(_, state)| state.server.clone())
            .collect::<Vec<_>>();
        for server in stale {
            self.remove(&server.id);
            self.insert(server);
        }
    }

    /// Applies a registry event.
    ///
    /// Returns the change of the belief about a known server's weights, if there is one.
    pub fn on_registry(&mut self, event: RegistryEvent) -> Option<WeightsChange> {
        match event {
            RegistryEvent::Removed(id) => self.remove(&id),
            RegistryEvent::Upsert(server) => match self.by_id.get(&server.id) {
                Some(&key) if self.servers[key].server.service == server.service => {
                    return self.servers[key].update(server);
                }
                _ => {
                    self.remove(&server.id);
                    self.insert(server);
                }
            },
        }
        None
    }

    fn insert(&mut self, server: BackendServer) {
        let capacity = self.runner_capacities.get(&server.service).cloned();
        let (id, service) = (server.id.clone(), server.service.clone());
        let mut state = ServerState::new(server, capacity);
        let name_hash = state.name_hash;
        state.statements = self
            .removed_statements
            .get(name_hash, state.server.incarnation);
        let key = self.servers.insert(state);
        self.by_id.insert(id, key);
        self.by_hash.insert(name_hash, key);
        let keys = self.by_service.entry(service).or_default();
        let position = keys.partition_point(|&other| self.servers[other].name_hash < name_hash);
        keys.insert(position, key);
    }

    fn remove(&mut self, id: &str) {
        let Some(key) = self.by_id.remove(id) else {
            return;
        };
        if let Some(state) = self.servers.remove(key) {
            self.by_hash.remove(&state.name_hash);
            self.removed_statements
                .insert(state.name_hash, state.statements);
            if let Some(keys) = self.by_service.get_mut(&state.server.service) {
                keys.retain(|&other| other != key);
            }
        }
    }

    /// Records a desired version of a model and its age.
    ///
    /// Returns whether it is the newest desired version of the model.
    pub fn record_desired_version(
        &mut self,
        now: Instant,
        model: TargetId,
        version: WeightsVersion,
        age: DesiredVersionAge,
    ) -> bool {
        self.desired_versions
            .entry(model)
            .or_default()
            .record(now, version, age)
    }

    /// Returns whether the exact age of a desired version is known.
    #[must_use]
    pub fn has_exact_age(&self, model: &TargetId, version: WeightsVersion) -> bool {
        let history = self.desired_versions.get(model);
        history.is_some_and(|history| history.has_exact_age(version))
    }

    /// Returns the desired versions of each model.
    pub fn desired_versions(&self) -> impl Iterator<Item = (&TargetId, &DesiredVersionHistory)> {
        self.desired_versions.iter()
    }

    /// Places a request, or queues it and returns `None`.
    pub fn place(&mut self, now: Instant, request: PlacementRequest) -> Option<Placement> {
        if let Some(prompt) = &request.prompt {
            self.speeds.refresh(now);
            let work_factor = self.service_work_factor(hash_name(&request.service));
            self.record_demand(now, prompt.chain.levels(), work_factor);
        }
        match self.try_place(now, &request) {
            Decision::Placed(assignment) => Some(Ok(assignment)),
            Decision::Wait(wait) => {
                let until = wait.until.unwrap_or_else(|| self.wait_until(&request));
                if until <= now {
                    return Some(Err(wait.refusal));
                }
                if self.is_stopping {
                    return Some(Err(STOPPING));
                }
                self.waiting.insert(
                    (request.priority, request.attempt_id),
                    WaitingRequest { request, until },
                );
                None
            }
        }
    }

    /// Tries to place the queued requests in order of priority; refuses those whose wait is over.
    pub fn tick(&mut self, now: Instant) -> Vec<(AttemptId, Placement)> {
        let keys = self.waiting.keys().copied().collect::<Vec<_>>();
        let mut outcomes = Vec::new();
        for key in keys {
            let Some(WaitingRequest { request, until }) = self.waiting.remove(&key) else {
                continue;
            };
            match self.try_place(now, &request) {
                Decision::Placed(assignment) => outcomes.push((request.attempt_id, Ok(assignment))),
                Decision::Wait(wait) => {
                    let until = wait.until.unwrap_or(until);
                    if until <= now {
                        outcomes.push((request.attempt_id, Err(wait.refusal)));
                    } else {
                        self.waiting.insert(key, WaitingRequest { request, until });
                    }
                }
            }
        }
        outcomes
    }

    /// Refuses all queued requests, and from now on those that no server can take at once.
    pub fn stop_waiting(&mut self) -> Vec<(AttemptId, Placement)> {
        self.is_stopping = true;
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let refused = waiting.map(|waiting| (waiting.request.attempt_id, Err(STOPPING)));
        refused.collect()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Records the first event of an attempt.
    pub fn record_first_event(&mut self, now: Instant, attempt_id: AttemptId) {
        self.record_speed(now, attempt_id);
        let Some(active) = self.active.get_mut(&attempt_id) else {
            return;
        };
        let took = now.saturating_duration_since(active.placed_at);
        if let Some(source) = active.fetch_from
            && let Some(store) = self
                .cache_stores
                .iter_mut()
                .find(|store| store.address == source)
        {
            store.record_first_event(now, took, active.estimate);
        }
        let pending_prompt = active.pending_prompt.take();
        let crossing = active.crossing.take();
        if let Some(state) = self.servers.get_mut(active.key)
            && state.is_current(Some(active.incarnation))
        {
            state.record_first_event(attempt_id);
            state.ejection.record_success();
            if let Some(chain) = pending_prompt {
                state.current_cache.insert(now, &chain);
                self.prompt_updates.push(PromptUpdate {
                    server: state.name_hash,
                    incarnation: Some(active.incarnation),
                    weights: state.weights(),
                    levels: chain.levels().to_vec(),
                });
            }
        }
        self.record_crossing_end(now, crossing, AttemptEnd::Answered);
    }

    /// Records the end of an attempt, or removes a queued request whose caller has left.
    pub fn record_end(&mut self, now: Instant, attempt_id: AttemptId, end: AttemptEnd) {
        self.waiting
            .retain(|(_, waiting), _| *waiting != attempt_id);
        let Some(active) = self.active.remove(&attempt_id) else {
            return;
        };
        self.record_crossing_end(now, active.crossing, end);
        let Some(state) = self.servers.get_mut(active.key) else {
            return;
        };
        if !state.is_current(Some(active.incarnation)) {
            return;
        }
        state.remove_request(attempt_id);
        if active.is_risky && end == AttemptEnd::Answered {
            self.refusal_limits.return_risk(now, state.name_hash);
        }
        match end {
            AttemptEnd::Answered => state.ejection.record_success(),
            AttemptEnd::Released => {}
            AttemptEnd::Failed => state.ejection.record_failure(now),
            AttemptEnd::Unreachable => {
                state.ejection.eject(now);
                let domain = state.server.domain.clone();
                self.unreachable_domains
                    .insert(domain, now + UNREACHABLE_DOMAIN_TTL);
            }
        }
    }

    /// Returns the limits that servers name, to record statements and divide them among the hosts.
    pub fn limits_mut(&mut self) -> &mut ServerLimits {
        &mut self.limits
    }

    /// Returns the refusal limits of servers, to record statements.
    pub fn refusal_limits_mut(&mut self) -> &mut RefusalLimits {
        &mut self.refusal_limits
    }

    /// Divides the slots of servers with refusal limits among the hosts, by this host's rank for each.
    pub fn divide_refusal_limits(
        &mut self,
        now: Instant,
        hosts: usize,
        ranks: &HashMap<u64, usize>,
    ) {
        let (by_hash, servers) = (&self.by_hash, &self.servers);
        let slots = |server| Some(servers[*by_hash.get(&server)?].slots());
        let rank = |server| ranks.get(&server).copied().unwrap_or(usize::MAX);
        self.refusal_limits.divide(now, hosts, rank, slots);
    }

    /// Returns the number of attempts at a process of a server that were placed before a time and
    /// have not ended.
    #[must_use]
    pub fn open_attempts(&self, server: &BackendServer, before: Instant) -> usize {
        let Some(&key) = self.by_id.get(&server.id) else {
            return 0;
        };
        let open = self.active.values().filter(|active| {
            active.key == key
                && active.incarnation == server.incarnation
                && active.placed_at < before
        });
        open.count()
    }

    fn try_place(&mut self, now: Instant, request: &PlacementRequest) -> Decision {
        let search = self.search(now, request);
        let Some(best) = search.best else {
            if search.refusal_reason() == RefusalReason::Full && request.prompt.is_some() {
                let urgency = urgency(request.priority);
                self.urgent_room.record_full(now, &request.service, urgency);
            }
            return Decision::Wait(self.wait_without_server(now, request, &search));
        };
        if self.is_worth_placing(now, request, &best) {
            return Decision::Placed(self.assign(now, request, &best, search.candidates));
        }
        let retry_after = best.estimate;
        let refusal = PlacementRefusal {
            reason: RefusalReason::TooLate,
            retry_after: retry_after.clamp(*RETRY_AFTER.start(), *RETRY_AFTER.end()),
        };
        Decision::Wait(refusal.into())
    }

    /// Returns whether the request can meet its target latency, or is late but goes to a server
    /// with so little queued work that it delays no request that can.
    fn is_worth_placing(&self, now: Instant, request: &PlacementRequest, best: &Candidate) -> bool {
        if request.prompt.is_none() {
            return true;
        }
        if self.is_on_time(now, request, best) {
            return true;
        }
        let exceeds_target_latency_alone =
            best.own_work_ms + millis(self.config.slack) > millis(request.target_latency);
        let limit = if request.software.is_some() {
            self.config.bound_queue_limit
        } else if exceeds_target_latency_alone {
            self.config.late_long_queue_limit
        } else {
            self.config.late_queue_limit
        };
        best.queued_ms <= millis(limit)
    }

    /// Returns whether the request meets its target latency at a candidate.
    fn is_on_time(&self, now: Instant, request: &PlacementRequest, candidate: &Candidate) -> bool {
        let elapsed = now.saturating_duration_since(request.arrived_at);
        elapsed + candidate.estimate + self.config.slack <= request.target_latency
    }

    fn assign(
        &mut self,
        now: Instant,
        request: &PlacementRequest,
        candidate: &Candidate,
        candidates: u32,
    ) -> Box<Assignment> {
        let reported_load_ttl = self.config.reported_load_ttl;
        let crossing = self.record_crossing(now, request, candidate);
        let state = &mut self.servers[candidate.key];
        let requests = state.request_count(now, reported_load_ttl);
        let prompt = request.prompt.as_ref();
        let is_risky = room_decision(&self.refusal_limits, reported_load_ttl, now, state)
            == RoomDecision::Risky;
        let load = RequestLoad {
            pending_ms: candidate.own_work_ms.ceil() as u32,
            is_urgent: urgency(request.priority) == MOST_URGENT,
            unshared_tokens: prompt.map_or(0, PromptInfo::unshared_tokens),
            output_tokens: prompt.map_or(0, |prompt| prompt.output_tokens),
            is_non_resumable: !request.is_resumable,
            suspect: request.suspect,
        };
        state.add_request(request.attempt_id, load);
        let (name_hash, process) = (state.name_hash, state.server.incarnation);
        self.limits.take(now, name_hash, process);
        if is_risky {
            self.refusal_limits.take_risk(now, name_hash);
        }
        if let Some(prompt) = prompt {
            state.update_cache_budgets(now);
            state.expected_cache.insert(now, &prompt.chain);
        }
        // The prompt of a stream that goes on is longer than the request states.
        let is_sample = candidate.queued_ms == 0.0
            && candidate.fetch_from.is_none()
            && request.software.is_none();
        let sampled_prompt = prompt.filter(|_| is_sample).map(|prompt| SampledPrompt {
            missing_tokens: candidate.missing_tokens,
            input_tokens: prompt.input_tokens,
        });
        let active = ActiveAttempt {
            key: candidate.key,
            incarnation: state.server.incarnation,
            pending_prompt: prompt.map(|prompt| prompt.chain.clone()),
            placed_at: now,
            estimate: candidate.estimate,
            fetch_from: candidate.fetch_from.map(|(from, _)| from),
            sampled_prompt,
            is_risky,
            crossing,
        };
        self.active.insert(request.attempt_id, active);
        let save_to = prompt.and_then(|prompt| self.save_to(now, prompt, candidate));
        let state = &self.servers[candidate.key];
        Box::new(Assignment {
            server: state.server.clone(),
            estimate: candidate.estimate,
            missing_tokens: candidate.missing_tokens,
            weights: state.weights(),
            begin_by: prompt.and_then(|prompt| self.begin_by(now, state, prompt)),
            fetch_from: candidate.fetch_from,
            save_to,
            urgency: prompt
                .filter(|_| self.uses_urgency(state.service_hash))
                .map(|_| urgency(request.priority)),
            requests,
            candidates,
            waited: now.saturating_duration_since(request.arrived_at),
            crossing: self.crossing_of(request, candidate),
        })
    }
}

/// Returns whether a server has room for another request of this host, if it names a refusal limit.
fn room_decision(
    refusal_limits: &RefusalLimits,
    reported_load_ttl: Duration,
    now: Instant,
    state: &ServerState,
) -> RoomDecision {
    let all = state.request_count(now, reported_load_ttl);
    let load = (state.own_load().requests, all, state.slots());
    refusal_limits.decide(now, state.name_hash, state.server.incarnation, load)
}
