//! Chooses the backend server for each request, queues the request, or refuses it.
//!
//! A request goes to the server with the lowest estimated cost, mainly the time to the first event.
//! The estimate depends on the work that all hosts have sent to the server and on the uncached part
//! of the prompt. A request that no server can take waits in a priority queue for a fraction of its
//! target latency.

mod config;
mod keep;
mod keeping;
mod need;
mod news;
mod offer;
mod server;
mod wanted;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hickoryhall_routing::PrefixChain;
use hickoryhall_types::{FailureDomainId, TargetId, WeightsVersion};
use slotmap::{SlotMap, new_key_type};

pub use config::SchedulerConfig;
use keep::Keep;
pub use need::{
    Assignment, AttemptEnd, Denied, DenyReason, Need, Placement, PromptNeed, RunnerView,
};
use offer::{Offer, millis};
pub use server::{HostLoad, LoadSource};
use server::{RequestLoad, ServerState};
pub use wanted::WantedVersions;

use crate::peers::PromptNews;
use crate::registry::{BackendServer, RegistryEvent, ServerId};
use crate::table::{EngineShape, RouteTable};

/// Id of one attempt, unique within this host.
pub type Ticket = u64;
/// Stable hash of a host's name.
pub type HostHash = u64;
/// Stable hash of a group of hosts.
pub type GroupHash = u64;
/// Priority of a request, most urgent (lowest) first: that of its workspace, then of its route.
pub type Rank = (u8, u8);

new_key_type! {
    struct ServerKey;
}

struct Waiting {
    need: Need,
    until: Instant,
}

struct Active {
    key: ServerKey,
    /// Prompt that the runner has not prefilled yet; `None` after the first event.
    unread: Option<PrefixChain>,
    placed_at: Instant,
    estimate: Duration,
    fetch_from: Option<SocketAddr>,
}

enum Tried {
    Placed(Box<Assignment>),
    Wait(DenyReason, Duration),
}

/// Assigns requests to backend servers and queues those that no server can take.
pub struct Scheduler {
    config: SchedulerConfig,
    servers: SlotMap<ServerKey, ServerState>,
    by_id: HashMap<ServerId, ServerKey>,
    by_hash: HashMap<u64, ServerKey>,
    by_service: HashMap<TargetId, Vec<ServerKey>>,
    engines: HashMap<TargetId, EngineShape>,
    waiting: BTreeMap<(Rank, Ticket), Waiting>,
    active: HashMap<Ticket, Active>,
    wanted: HashMap<TargetId, WantedVersions>,
    prompts: Vec<PromptNews>,
    keeps: Vec<Keep>,
    /// Failure domains with a recently unreachable server, and when each entry expires.
    doubted: HashMap<FailureDomainId, Instant>,
}

/// Time for which a failure domain counts as unreachable after one of its servers was.
const DOUBTED: Duration = Duration::from_secs(1);

/// Bounds of the retry delay that a refusal suggests.
const RETRY_AFTER: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(2);
/// Suggested retry delay when no server takes work: roughly the time to load new weights.
const RETRY_AFTER_AWAY: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Creates a scheduler without servers.
    #[must_use]
    pub fn new(config: SchedulerConfig) -> Self {
        Self {
            config,
            servers: SlotMap::with_key(),
            by_id: HashMap::new(),
            by_hash: HashMap::new(),
            by_service: HashMap::new(),
            engines: HashMap::new(),
            waiting: BTreeMap::new(),
            active: HashMap::new(),
            wanted: HashMap::new(),
            prompts: Vec::new(),
            keeps: Vec::new(),
            doubted: HashMap::new(),
        }
    }

    /// Applies a route table: engine capacities of model services and prompt cache stores.
    ///
    /// Servers whose engine capacity changed lose their recorded state.
    pub fn set_table(&mut self, table: &RouteTable) {
        let engines = table.services().filter_map(|(name, service)| {
            let engine = service.engine.clone()?;
            Some((name.clone(), engine))
        });
        self.engines = engines.collect();
        self.set_keeps(table);
        let stale = self
            .servers
            .iter()
            .filter(|(_, state)| self.engines.get(&state.server.service) != state.engine.as_ref());
        let stale = stale
            .map(|(_, state)| state.server.clone())
            .collect::<Vec<_>>();
        for server in stale {
            self.remove(&server.id);
            self.insert(server);
        }
    }

    /// Applies a registry event.
    pub fn on_registry(&mut self, event: RegistryEvent) {
        match event {
            RegistryEvent::Gone(id) => self.remove(&id),
            RegistryEvent::Upsert(server) => match self.by_id.get(&server.id) {
                Some(&key) if self.servers[key].server.service == server.service => {
                    self.servers[key].update(server);
                }
                _ => {
                    self.remove(&server.id);
                    self.insert(server);
                }
            },
        }
    }

    fn insert(&mut self, server: BackendServer) {
        let engine = self.engines.get(&server.service).cloned();
        let (id, service) = (server.id.clone(), server.service.clone());
        let state = ServerState::new(server, engine);
        let name_hash = state.name_hash;
        let key = self.servers.insert(state);
        self.by_id.insert(id, key);
        self.by_hash.insert(name_hash, key);
        self.by_service.entry(service).or_default().push(key);
    }

    fn remove(&mut self, id: &str) {
        let Some(key) = self.by_id.remove(id) else {
            return;
        };
        if let Some(state) = self.servers.remove(key) {
            self.by_hash.remove(&state.name_hash);
            if let Some(keys) = self.by_service.get_mut(&state.server.service) {
                keys.retain(|&other| other != key);
            }
        }
    }

    /// Records a target version of a model that has been known for `age`.
    ///
    /// Returns whether it is the newest target version of the model.
    pub fn set_wanted(
        &mut self,
        now: Instant,
        model: TargetId,
        version: WeightsVersion,
        age: Duration,
    ) -> bool {
        self.wanted
            .entry(model)
            .or_default()
            .name(now, version, age)
    }

    /// Returns the target versions of each model.
    pub fn wanted(&self) -> impl Iterator<Item = (&TargetId, &WantedVersions)> {
        self.wanted.iter()
    }

    /// Places a request, or queues it and returns `None`.
    pub fn place(&mut self, now: Instant, need: Need) -> Option<Placement> {
        match self.try_place(now, &need) {
            Tried::Placed(assignment) => Some(Ok(assignment)),
            Tried::Wait(reason, retry_after) => {
                let until = self.waits_until(&need);
                if until <= now {
                    return Some(Err(Denied {
                        reason,
                        retry_after,
                    }));
                }
                self.waiting
                    .insert((need.rank, need.ticket), Waiting { need, until });
                None
            }
        }
    }

    /// Retries the queued requests in order of priority and refuses those whose wait is over.
    pub fn tick(&mut self, now: Instant) -> Vec<(Ticket, Placement)> {
        let keys = self.waiting.keys().copied().collect::<Vec<_>>();
        let mut outcomes = Vec::new();
        for key in keys {
            let Some(Waiting { need, until }) = self.waiting.remove(&key) else {
                continue;
            };
            match self.try_place(now, &need) {
                Tried::Placed(assignment) => outcomes.push((need.ticket, Ok(assignment))),
                Tried::Wait(reason, retry_after) if until <= now => {
                    outcomes.push((
                        need.ticket,
                        Err(Denied {
                            reason,
                            retry_after,
                        }),
                    ));
                }
                Tried::Wait(..) => {
                    self.waiting.insert(key, Waiting { need, until });
                }
            }
        }
        outcomes
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Records the first event of an attempt.
    pub fn first_event(&mut self, now: Instant, ticket: Ticket) {
        let Some(active) = self.active.get_mut(&ticket) else {
            return;
        };
        let took = now.saturating_duration_since(active.placed_at);
        if let Some(source) = active.fetch_from
            && let Some(keep) = self.keeps.iter_mut().find(|keep| keep.address == source)
        {
            keep.observe(now, took, active.estimate);
        }
        let unread = active.unread.take();
        if let Some(state) = self.servers.get_mut(active.key) {
            state.first_event(ticket);
            state.ejection.succeed();
            if let Some(chain) = unread {
                state.held.insert(now, &chain);
                self.prompts.push(PromptNews {
                    server: state.name_hash,
                    weights: state.weights(),
                    levels: chain.levels().to_vec(),
                });
            }
        }
    }

    /// Records the end of an attempt, or removes a queued request whose caller has left.
    pub fn ended(&mut self, now: Instant, ticket: Ticket, end: AttemptEnd) {
        self.waiting.retain(|(_, waiting), _| *waiting != ticket);
        let Some(active) = self.active.remove(&ticket) else {
            return;
        };
        let Some(state) = self.servers.get_mut(active.key) else {
            return;
        };
        state.release(ticket);
        match end {
            AttemptEnd::Answered => state.ejection.succeed(),
            AttemptEnd::Released => {}
            AttemptEnd::Failed => state.ejection.fail(now),
            AttemptEnd::Unreachable => {
                state.ejection.eject(now);
                let domain = state.server.domain.clone();
                self.doubted.insert(domain, now + DOUBTED);
            }
        }
    }

    fn waits_until(&self, need: &Need) -> Instant {
        let part = if need.prompt.is_some() {
            self.config.prompt_wait_part
        } else {
            self.config.wait_part
        };
        let useful = need.arrived + need.target.mul_f64(part);
        useful.min(need.deadline)
    }

    fn try_place(&mut self, now: Instant, need: &Need) -> Tried {
        let keys = self.by_service.get(&need.service);
        let keys = keys.map(Vec::as_slice).unwrap_or_default();
        let prompt = need.prompt.as_ref();
        let holders = prompt.map(|prompt| self.holders(keys, prompt));
        let considered = self.considered(keys, holders.as_deref(), need.ticket);
        let mut best: Option<Offer> = None;
        let mut candidates = 0;
        let mut reason = DenyReason::NoServer;
        for index in considered {
            match self.offer(now, keys[index], need, holders.as_deref(), index) {
                Ok(offer) => {
                    candidates += 1;
                    if best.is_none_or(|best| offer.cost_ms < best.cost_ms) {
                        best = Some(offer);
                    }
                }
                Err(DenyReason::Full) => reason = DenyReason::Full,
                Err(_) => {}
            }
        }
        let Some(best) = best else {
            let retry_after = match reason {
                DenyReason::Full => *RETRY_AFTER.start(),
                _ => RETRY_AFTER_AWAY,
            };
            return Tried::Wait(reason, retry_after);
        };
        if self.is_worth_while(now, need, &best) {
            return Tried::Placed(self.assign(now, need, &best, candidates));
        }
        let retry_after = best.estimate;
        Tried::Wait(
            DenyReason::TooLate,
            retry_after.clamp(*RETRY_AFTER.start(), *RETRY_AFTER.end()),
        )
    }

    /// Returns whether the request can meet its target, or is late but delays no request that can.
    fn is_worth_while(&self, now: Instant, need: &Need, best: &Offer) -> bool {
        if need.prompt.is_none() {
            return true;
        }
        let elapsed = now.saturating_duration_since(need.arrived);
        if elapsed + best.estimate + self.config.slack <= need.target {
            return true;
        }
        let is_long = best.own_ms + millis(self.config.slack) > millis(need.target);
        let limit = if is_long {
            self.config.long_late_work
        } else {
            self.config.late_work
        };
        best.ahead_ms <= millis(limit)
    }

    fn assign(
        &mut self,
        now: Instant,
        need: &Need,
        offer: &Offer,
        candidates: u32,
    ) -> Box<Assignment> {
        let told_ttl = self.config.told_ttl;
        let state = &mut self.servers[offer.key];
        let requests = state.requests(now, told_ttl);
        let prompt = need.prompt.as_ref();
        let load = RequestLoad {
            pending_ms: offer.own_ms.ceil() as u32,
            own_tokens: prompt.map_or(0, PromptNeed::own_tokens),
            output_tokens: prompt.map_or(0, |prompt| prompt.output_tokens),
            is_bound: !need.is_resumable,
        };
        state.take(need.ticket, load);
        if let Some(prompt) = prompt {
            state.fit_caches(now);
            state.shadow.insert(now, &prompt.chain);
        }
        let active = Active {
            key: offer.key,
            unread: prompt.map(|prompt| prompt.chain.clone()),
            placed_at: now,
            estimate: offer.estimate,
            fetch_from: offer.fetch_from.map(|(from, _)| from),
        };
        self.active.insert(need.ticket, active);
        let save_to = prompt.and_then(|prompt| self.save_to(now, prompt, offer));
        let state = &self.servers[offer.key];
        Box::new(Assignment {
            server: state.server.clone(),
            estimate: offer.estimate,
            missing_tokens: offer.missing_tokens,
            weights: state.weights(),
            fetch_from: offer.fetch_from,
            save_to,
            requests,
            candidates,
            waited: now.saturating_duration_since(need.arrived),
        })
    }
}
