//! Which backend server takes a request, and when; or that it is refused.
//!
//! A request goes to the server that will start on it soonest, by the work that all hosts have
//! promised to it and the part of the prompt that it has to read. Where none can take it, it waits
//! here for a part of the time in which an answer is of use, more urgent requests first.

mod server;
mod wanted;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hickoryhall_routing::{Level, PrefixChain, ShadowCache};
use hickoryhall_types::{
    FailureDomainId, TargetId, TokenCount, WeightsVersion, hash_name, rendezvous_score,
};
use slotmap::{SlotMap, new_key_type};

pub use server::HostLoad;
use server::{RequestLoad, ServerState};
pub use wanted::WantedVersions;

use crate::interface::Judged;
use crate::peers::PromptNews;
use crate::registry::{BackendServer, RegistryEvent, ServerId};
use crate::table::{EngineShape, RouteTable};

/// Id of one attempt at this host.
pub type Ticket = u64;
/// Stable hash of a host's name.
pub type HostHash = u64;
/// Urgency of a request, lowest first: that of its workspace, then that of its route.
pub type Rank = (u8, u8);

new_key_type! {
    struct ServerKey;
}

/// Settings of the scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// Failure domain of this host.
    pub domain: FailureDomainId,
    /// Rate at which a runner reads prompts, in tokens per millisecond; the engines' sheet says
    /// 38.4, less what generation takes beside it.
    pub prefill_tokens_per_ms: f64,
    /// Time until the first event of a prompt that is cached in full.
    pub first_event: Duration,
    /// Cost of a server in another failure domain: its way, and the bytes between the domains.
    pub cross_domain: Duration,
    /// Advantage of the runner that all hosts name first for a prompt, so that its parts gather
    /// there; less than reading one part again takes.
    pub owner_advantage: Duration,
    /// Tokens of a prompt from which it counts as long: it holds up what its runner generates.
    pub long_prompt_tokens: TokenCount,
    /// Part of the runners that take the short prompts, where generation then runs fast.
    pub short_part: f64,
    /// Cost of a runner of the other part.
    pub other_part: Duration,
    /// Tokens that another runner must hold more of for a transfer to be worth its set-up.
    pub fetch_tokens: TokenCount,
    /// Time to set a transfer up.
    pub fetch_setup: Duration,
    /// Part of the time to read displaced prompts again that counts, as others may hold them.
    pub displaced_part: f64,
    /// Cost of old weights, once an answer on them is of less use.
    pub old_weights: Duration,
    /// Age of newer weights from which an answer on old ones is of less use.
    pub old_weights_free: Duration,
    /// Age of newer weights from which old ones take no requests.
    pub old_weights_limit: Duration,
    /// Time to the first event above which a request that would be late is refused: work that is
    /// late already must not delay what can still be on time.
    pub late_limit: Duration,
    /// Part of the time in which an answer is of full use that a request may wait here.
    pub wait_part: f64,
    /// Time for which the load that a server told counts.
    pub told_ttl: Duration,
    /// Part of a runner's memory that placed requests may take.
    pub memory_part: f64,
    /// Requests sent to a plain server for each of its slots.
    pub plain_fill: f64,
}

impl SchedulerConfig {
    /// Creates settings for a host of a failure domain.
    #[must_use]
    pub fn new(domain: FailureDomainId) -> Self {
        Self {
            domain,
            prefill_tokens_per_ms: 32.0,
            first_event: Duration::from_millis(25),
            cross_domain: Duration::from_millis(4),
            owner_advantage: Duration::from_millis(40),
            long_prompt_tokens: 3_000,
            short_part: 0.34,
            other_part: Duration::from_millis(60),
            fetch_tokens: 128,
            fetch_setup: Duration::from_millis(3),
            displaced_part: 0.2,
            old_weights: Duration::from_millis(120),
            old_weights_free: Duration::from_millis(1_300),
            old_weights_limit: Duration::from_millis(7_000),
            late_limit: Duration::from_millis(1_500),
            wait_part: 0.6,
            told_ttl: Duration::from_millis(150),
            memory_part: 0.95,
            plain_fill: 1.0,
        }
    }
}

/// Prompt of a request, as placement needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptNeed {
    /// Model.
    pub model: TargetId,
    /// Levels, their keys depending on who may share them.
    pub chain: PrefixChain,
    /// Tokens to read.
    pub input_tokens: TokenCount,
    /// Tokens to generate.
    pub output_tokens: TokenCount,
}

/// A request that needs a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// Id of the attempt.
    pub ticket: Ticket,
    /// Service.
    pub service: TargetId,
    /// Urgency.
    pub rank: Rank,
    /// Prompt, where it is a model request.
    pub prompt: Option<PromptNeed>,
    /// Whether another server may go on with its answer.
    pub is_resumable: bool,
    /// Moment at which the request came.
    pub arrived: Instant,
    /// Time from then in which an answer is of full use.
    pub target: Duration,
    /// Moment of the final answer at the latest.
    pub deadline: Instant,
    /// Servers that failed it.
    pub exclude: Vec<ServerId>,
}

/// The server of a request, with what decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The server.
    pub server: BackendServer,
    /// Time until its first event, as estimated.
    pub estimate: Duration,
    /// Prompt tokens that it has to read, as estimated.
    pub missing_tokens: TokenCount,
    /// Version of its weights, as known.
    pub weights: WeightsVersion,
    /// Runner that has more of the prompt, with the tokens that it holds beyond this one.
    pub fetch_from: Option<(SocketAddr, TokenCount)>,
    /// Store that shall keep the shared parts that it reads.
    pub save_to: Option<SocketAddr>,
    /// Requests at it, as known.
    pub requests: u32,
    /// Servers that could take it.
    pub candidates: u32,
    /// Time that the request waited here.
    pub waited: Duration,
}

/// A runner as its order-giver sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerView {
    /// The runner.
    pub server: BackendServer,
    /// Version of its weights.
    pub weights: WeightsVersion,
    /// What all hosts have there.
    pub load: HostLoad,
    /// Whether it takes no work because it failed.
    pub is_away: bool,
}

/// Why no server took a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenyReason {
    /// No server is known, or none that takes work.
    NoServer,
    /// Every server is full.
    Full,
    /// An answer would come too late to be of use.
    TooLate,
}

impl DenyReason {
    /// Returns the reason as a word for logs and callers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::Full => "full",
            Self::TooLate => "too_late",
        }
    }
}

/// A request that no server takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    /// Why.
    pub reason: DenyReason,
    /// When to come back.
    pub retry_after: Duration,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server answered.
    Answered,
    /// The server did not run it, or the caller left.
    Released,
    /// The server broke the answer off, or gave none in time.
    Failed,
    /// The server cannot be reached.
    Unreachable,
}

/// Outcome for a request that asked for a server.
pub type Placement = Result<Box<Assignment>, Denied>;

struct Waiting {
    need: Need,
    until: Instant,
}

struct Active {
    key: ServerKey,
    /// Its prompt, until its first event says that it was read.
    unread: Option<PrefixChain>,
    placed_at: Instant,
    estimate: Duration,
    fetched_from_keep: bool,
}

/// A store of cached prompts beside the runners.
struct Keep {
    address: SocketAddr,
    domain: FailureDomainId,
    held: ShadowCache,
    avoided_until: Option<Instant>,
}

enum Tried {
    Placed(Box<Assignment>),
    Wait(DenyReason, Duration),
    Deny(Denied),
}

#[derive(Clone, Copy)]
struct Offer {
    key: ServerKey,
    cost_ms: f64,
    estimate: Duration,
    missing_tokens: TokenCount,
    fetch_from: Option<(SocketAddr, TokenCount)>,
}

/// Cached parts of a prompt that come from another runner.
#[derive(Clone, Copy)]
struct Transfer {
    from: SocketAddr,
    tokens: TokenCount,
    ms: f64,
}

/// What a runner holds of a prompt, and its place among the prompt's owners.
struct Holder {
    key: ServerKey,
    /// Tokens that it will hold when it comes to the request.
    cached_tokens: TokenCount,
    /// Tokens that others can fetch from it now.
    held_tokens: TokenCount,
    owner_part: f64,
}

/// Places requests on backend servers.
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
    keep: Option<Keep>,
}

/// Time of a transfer from a store against that from a runner, whose link is faster.
const KEEP_LINK_FACTOR: f64 = 4.0;
/// Prompt levels remembered of a store of cached prompts.
const KEEP_LEVELS: usize = 4_096;
/// Time beyond its estimate from which a request that fetched from a store says that the store is
/// away: an answer from a dead source takes some hundred milliseconds.
const KEEP_LATE: Duration = Duration::from_millis(250);
/// Time for which a store that seems away is left out.
const KEEP_AVOIDED: Duration = Duration::from_secs(3);
/// Time without use after which a cached prompt counts by half when it is displaced.
const HALF_LIFE: Duration = Duration::from_secs(8);
/// Shortest and longest advice on when to come back.
const RETRY_AFTER: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_secs(2);
/// Advice where every server is away: about the time in which new weights are loaded.
const RETRY_AFTER_AWAY: Duration = Duration::from_millis(500);

impl Scheduler {
    /// Creates a scheduler that knows no server.
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
            keep: None,
        }
    }

    /// Takes the shapes of the model services from the table in force.
    pub fn set_table(&mut self, table: &RouteTable) {
        let engines = table.services().filter_map(|(name, service)| {
            let engine = service.engine.clone()?;
            Some((name.clone(), engine))
        });
        self.engines = engines.collect();
        self.set_keep(table);
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

    /// Takes the store of cached prompts from the table in force, if there is one.
    fn set_keep(&mut self, table: &RouteTable) {
        let info = table
            .services()
            .find_map(|(_, service)| service.keep.as_ref());
        let is_known = self.keep.as_ref().map(|keep| keep.address) == info.map(|info| info.address);
        if !is_known {
            self.keep = info.map(|info| Keep {
                address: info.address,
                domain: info.domain.clone(),
                held: ShadowCache::new(info.memory_tokens, KEEP_LEVELS),
                avoided_until: None,
            });
        }
    }

    /// Takes a change of the registry.
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

    /// Records a version that a model's runners shall have, and for how long that is known; tells
    /// whether it is the newest one.
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

    /// Returns the versions named of each model.
    pub fn wanted(&self) -> impl Iterator<Item = (&TargetId, &WantedVersions)> {
        self.wanted.iter()
    }

    /// Gives a request a server, or puts it among those that wait.
    pub fn place(&mut self, now: Instant, need: Need) -> Option<Placement> {
        match self.try_place(now, &need) {
            Tried::Placed(assignment) => Some(Ok(assignment)),
            Tried::Deny(denied) => Some(Err(denied)),
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

    /// Tries those that wait, the most urgent first, and gives up on the overdue.
    pub fn tick(&mut self, now: Instant) -> Vec<(Ticket, Placement)> {
        let keys = self.waiting.keys().copied().collect::<Vec<_>>();
        let mut outcomes = Vec::new();
        for key in keys {
            let Some(Waiting { need, until }) = self.waiting.remove(&key) else {
                continue;
            };
            match self.try_place(now, &need) {
                Tried::Placed(assignment) => outcomes.push((need.ticket, Ok(assignment))),
                Tried::Deny(denied) => outcomes.push((need.ticket, Err(denied))),
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

    /// Returns the number of requests that wait here.
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
        if active.fetched_from_keep
            && took > active.estimate + KEEP_LATE
            && let Some(keep) = &mut self.keep
        {
            keep.avoided_until = Some(now + KEEP_AVOIDED);
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

    /// Records the end of an attempt, or that its caller no longer waits.
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
            AttemptEnd::Unreachable => state.ejection.eject(now),
        }
    }

    /// Takes what the head of an answer tells of its server.
    pub fn observe(&mut self, now: Instant, id: &str, judged: &Judged) {
        let Some(state) = self
            .by_id
            .get(id)
            .and_then(|&key| self.servers.get_mut(key))
        else {
            return;
        };
        if let Some(load) = judged.load {
            state.observe(now, load);
        }
        if let Some(weights) = judged.weights {
            state.set_weights(weights);
        }
    }

    /// Records that a server refuses work because it is leaving.
    pub fn mark_leaving(&mut self, id: &str) {
        if let Some(state) = self
            .by_id
            .get(id)
            .and_then(|&key| self.servers.get_mut(key))
        {
            state.server.is_leaving = true;
        }
    }

    /// Records the version that a runner reports, and whether it changes its weights now.
    pub fn set_runner(
        &mut self,
        now: Instant,
        hash: u64,
        weights: WeightsVersion,
        is_changing: bool,
    ) {
        let Some(state) = self
            .by_hash
            .get(&hash)
            .and_then(|&key| self.servers.get_mut(key))
        else {
            return;
        };
        state.set_weights(weights);
        if is_changing {
            state.set_changing(now);
        } else {
            state.end_change();
        }
    }

    /// Takes the load that another host has at a server.
    pub fn set_peer_load(&mut self, now: Instant, host: HostHash, server: u64, load: HostLoad) {
        if let Some(state) = self
            .by_hash
            .get(&server)
            .and_then(|&key| self.servers.get_mut(key))
        {
            state.set_peer(now, host, load);
        }
    }

    /// Forgets the load of another host where its news no longer name a server.
    pub fn keep_peer_loads(&mut self, host: HostHash, named: &[u64]) {
        for state in self.servers.values_mut() {
            if !named.contains(&state.name_hash) {
                state.clear_peer(host);
            }
        }
    }

    /// Returns this host's load at each server that has any, and the weights of each.
    pub fn own_loads(&self) -> impl Iterator<Item = (u64, HostLoad, WeightsVersion)> {
        self.servers
            .values()
            .map(|state| (state.name_hash, state.own_load(), state.weights()))
    }

    /// Returns the servers of model services with what all hosts have there.
    #[must_use]
    pub fn runners(&self, now: Instant) -> Vec<RunnerView> {
        let runners = self.servers.values().filter(|state| state.engine.is_some());
        let views = runners.map(|state| RunnerView {
            server: state.server.clone(),
            weights: state.weights(),
            load: state.load(now),
            is_away: state.ejection.is_ejected(now),
        });
        views.collect()
    }

    fn waits_until(&self, need: &Need) -> Instant {
        let useful = need.arrived + need.target.mul_f64(self.config.wait_part);
        useful.min(need.deadline)
    }

    fn try_place(&mut self, now: Instant, need: &Need) -> Tried {
        let keys = self.by_service.get(&need.service);
        let keys = keys.map(Vec::as_slice).unwrap_or_default();
        let holders = need
            .prompt
            .as_ref()
            .map(|prompt| self.holders(keys, prompt));
        let mut best: Option<Offer> = None;
        let mut candidates = 0;
        let mut reason = DenyReason::NoServer;
        for (index, &key) in keys.iter().enumerate() {
            match self.offer(now, key, need, holders.as_deref(), index) {
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
        match self.too_late(now, need, &best) {
            Some(denied) => Tried::Deny(denied),
            None => Tried::Placed(self.assign(now, need, &best, candidates)),
        }
    }

    /// Returns what each runner holds of a prompt, and its place among the prompt's owners.
    fn holders(&self, keys: &[ServerKey], prompt: &PromptNeed) -> Vec<Holder> {
        let shared = prompt.chain.shared();
        let score = |key: ServerKey| rendezvous_score(shared, self.servers[key].name_hash);
        let mut by_score = keys
            .iter()
            .map(|&key| (score(key), key))
            .collect::<Vec<_>>();
        by_score.sort_unstable_by(|one, other| other.cmp(one));
        let count = keys.len().max(1) as f64;
        let place = |key: ServerKey| by_score.iter().position(|&(_, other)| other == key);
        let holders = keys.iter().map(|&key| Holder {
            key,
            cached_tokens: self.servers[key].shadow.cached_tokens(&prompt.chain),
            held_tokens: self.servers[key].held.cached_tokens(&prompt.chain),
            owner_part: place(key).unwrap_or(0) as f64 / count,
        });
        holders.collect()
    }

    /// Refuses a request whose first event would come late and only after much other work.
    fn too_late(&self, now: Instant, need: &Need, best: &Offer) -> Option<Denied> {
        let elapsed = now.saturating_duration_since(need.arrived);
        let left = need.deadline.saturating_duration_since(now);
        let is_on_time = elapsed + best.estimate <= need.target;
        let is_bearable = best.estimate <= self.config.late_limit && best.estimate < left;
        if need.prompt.is_none() || is_on_time || is_bearable {
            return None;
        }
        let excess = best.estimate.saturating_sub(need.target);
        Some(Denied {
            reason: DenyReason::TooLate,
            retry_after: excess.clamp(*RETRY_AFTER.start(), *RETRY_AFTER.end()),
        })
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
        let load = RequestLoad {
            pending_tokens: offer.missing_tokens,
            own_tokens: need.prompt.as_ref().map_or(0, own_tokens),
            output_tokens: need
                .prompt
                .as_ref()
                .map_or(0, |prompt| prompt.output_tokens),
            is_bound: !need.is_resumable,
        };
        state.take(need.ticket, load);
        let mut unread = None;
        if let Some(prompt) = &need.prompt {
            state.fit_caches(now);
            state.shadow.insert(now, &prompt.chain);
            unread = Some(prompt.chain.clone());
        }
        let keep_address = self.keep.as_ref().map(|keep| keep.address);
        let active = Active {
            key: offer.key,
            unread,
            placed_at: now,
            estimate: offer.estimate,
            fetched_from_keep: offer.fetch_from.map(|(from, _)| from) == keep_address,
        };
        self.active.insert(need.ticket, active);
        let save_to = self.save_to(now, need, offer);
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

    /// Returns the store for shared parts that the runner will read and the store does not hold.
    fn save_to(&mut self, now: Instant, need: &Need, offer: &Offer) -> Option<SocketAddr> {
        let prompt = need.prompt.as_ref()?;
        let keep = self.keep.as_mut()?;
        if keep.avoided_until.is_some_and(|until| now < until) {
            return None;
        }
        let weights = self.servers[offer.key].weights();
        let shared = keep_chain(shared_levels(&prompt.chain), weights);
        let shared_tokens = shared.tokens();
        let own_tokens = prompt.input_tokens.saturating_sub(shared_tokens);
        let reads_shared = offer.missing_tokens > own_tokens;
        if !reads_shared || keep.held.cached_tokens(&shared) == shared_tokens {
            return None;
        }
        keep.held.insert(now, &shared);
        self.prompts.push(PromptNews {
            server: keep_hash(keep.address),
            weights,
            levels: shared.levels().to_vec(),
        });
        Some(keep.address)
    }

    /// Returns the prompts that runners have read since the last call.
    pub fn take_prompts(&mut self) -> Vec<PromptNews> {
        std::mem::take(&mut self.prompts)
    }

    /// Records a prompt of another host that a runner has read.
    pub fn on_peer_prompt(&mut self, now: Instant, news: &PromptNews) {
        let chain = PrefixChain::from_levels(news.levels.clone());
        if let Some(keep) = &mut self.keep
            && keep_hash(keep.address) == news.server
        {
            keep.held.insert(now, &chain);
            return;
        }
        let key = self.by_hash.get(&news.server);
        let Some(state) = key.and_then(|&key| self.servers.get_mut(key)) else {
            return;
        };
        if state.weights() == news.weights {
            state.fit_caches(now);
            state.shadow.insert(now, &chain);
            state.held.insert(now, &chain);
        }
    }

    fn offer(
        &self,
        now: Instant,
        key: ServerKey,
        need: &Need,
        holders: Option<&[Holder]>,
        index: usize,
    ) -> Result<Offer, DenyReason> {
        let state = &self.servers[key];
        let is_away = state.server.is_leaving
            || state.ejection.is_ejected(now)
            || state.is_changing(now)
            || need.exclude.contains(&state.server.id);
        if is_away {
            return Err(DenyReason::NoServer);
        }
        match (&need.prompt, &state.engine, holders) {
            (Some(prompt), Some(engine), Some(holders)) => {
                self.engine_offer(now, prompt, engine, holders, index)
            }
            _ => self.plain_offer(now, key),
        }
    }

    fn plain_offer(&self, now: Instant, key: ServerKey) -> Result<Offer, DenyReason> {
        let state = &self.servers[key];
        let requests = f64::from(state.requests(now, self.config.told_ttl));
        let slots = f64::from(state.server.slots.max(1));
        if requests >= slots * self.config.plain_fill {
            return Err(DenyReason::Full);
        }
        // A full server takes about as long again for each round of its slots.
        let cost_ms = requests / slots * 100.0 + self.distance_ms(state);
        Ok(Offer {
            key,
            cost_ms,
            estimate: Duration::ZERO,
            missing_tokens: 0,
            fetch_from: None,
        })
    }

    fn engine_offer(
        &self,
        now: Instant,
        prompt: &PromptNeed,
        engine: &EngineShape,
        holders: &[Holder],
        index: usize,
    ) -> Result<Offer, DenyReason> {
        let holder = &holders[index];
        let state = &self.servers[holder.key];
        let load = state.load(now);
        let memory = f64::from(engine.memory_tokens) * self.config.memory_part;
        let is_fitting = f64::from(load.own_tokens + own_tokens(prompt)) <= memory;
        if load.requests >= engine.slots || (!is_fitting && load.requests > 0) {
            return Err(DenyReason::Full);
        }
        let transfer = self
            .transfer(now, engine, holders, holder)
            .or_else(|| self.keep_transfer(now, prompt, engine, holder));
        let fetched_tokens = transfer.map_or(0, |transfer| transfer.tokens);
        let transfer_ms = transfer.map_or(0.0, |transfer| transfer.ms);
        let held = holder.cached_tokens + fetched_tokens;
        let missing_tokens = prompt.input_tokens.saturating_sub(held);
        let to_read = f64::from(load.pending_tokens + missing_tokens);
        let estimate_ms = to_read / self.config.prefill_tokens_per_ms
            + transfer_ms
            + millis(self.config.first_event);
        let old_weights_ms = self.old_weights_ms(now, state, &prompt.model, estimate_ms)?;
        let owner_ms = holder.owner_part * millis(self.config.owner_advantage);
        let displaced =
            state
                .shadow
                .eviction_tokens(now, missing_tokens + fetched_tokens, HALF_LIFE);
        let displaced_ms =
            displaced / self.config.prefill_tokens_per_ms * self.config.displaced_part;
        let part_ms = self.part_ms(prompt, holders.len(), index);
        Ok(Offer {
            key: holder.key,
            cost_ms: estimate_ms
                + old_weights_ms
                + owner_ms
                + displaced_ms
                + part_ms
                + self.distance_ms(state),
            estimate: Duration::from_secs_f64(estimate_ms / 1_000.0),
            missing_tokens,
            fetch_from: transfer.map(|transfer| (transfer.from, transfer.tokens)),
        })
    }

    /// Returns the transfer that spares a runner most of what it has to read.
    fn transfer(
        &self,
        now: Instant,
        engine: &EngineShape,
        holders: &[Holder],
        to: &Holder,
    ) -> Option<Transfer> {
        let weights = self.servers[to.key].weights();
        let sources = holders.iter().filter(|from| {
            let state = &self.servers[from.key];
            let is_up = !state.server.is_leaving && !state.ejection.is_ejected(now);
            is_up && state.weights() == weights && !state.is_changing(now)
        });
        let is_near = |from: &Holder| {
            self.servers[from.key].server.domain == self.servers[to.key].server.domain
        };
        let best = sources.max_by_key(|from| (from.held_tokens, is_near(from)));
        let tokens = best.map_or(0, |best| best.held_tokens);
        let tokens = tokens.saturating_sub(to.cached_tokens);
        let best = best.filter(|_| tokens >= self.config.fetch_tokens)?;
        let distance = if is_near(best) { 1.0 } else { 2.0 };
        Some(Transfer {
            from: self.servers[best.key].server.address,
            tokens,
            ms: transfer_ms(engine, tokens) * distance + millis(self.config.fetch_setup),
        })
    }

    /// Returns the transfer from the store of cached prompts.
    fn keep_transfer(
        &self,
        now: Instant,
        prompt: &PromptNeed,
        engine: &EngineShape,
        to: &Holder,
    ) -> Option<Transfer> {
        let keep = self.keep.as_ref()?;
        if keep.avoided_until.is_some_and(|until| now < until) {
            return None;
        }
        let state = &self.servers[to.key];
        let shared = keep_chain(shared_levels(&prompt.chain), state.weights());
        let tokens = keep.held.cached_tokens(&shared);
        let tokens = tokens.saturating_sub(to.cached_tokens);
        if tokens < self.config.fetch_tokens {
            return None;
        }
        let is_near = state.server.domain == keep.domain;
        let distance = if is_near { 1.0 } else { 2.0 } * KEEP_LINK_FACTOR;
        Some(Transfer {
            from: keep.address,
            tokens,
            ms: transfer_ms(engine, tokens) * distance + millis(self.config.fetch_setup),
        })
    }

    /// Returns the cost of a runner's old weights; a request that would begin on them too late
    /// does not go there.
    fn old_weights_ms(
        &self,
        now: Instant,
        state: &ServerState,
        model: &str,
        estimate_ms: f64,
    ) -> Result<f64, DenyReason> {
        let wanted = self.wanted.get(model);
        let replaced_for = wanted.and_then(|wanted| wanted.replaced_for(now, state.weights()));
        let Some(replaced_for) = replaced_for else {
            return Ok(0.0);
        };
        let at_begin = replaced_for + Duration::from_secs_f64(estimate_ms / 1_000.0);
        if at_begin >= self.config.old_weights_limit {
            return Err(DenyReason::NoServer);
        }
        if at_begin < self.config.old_weights_free {
            return Ok(0.0);
        }
        Ok(millis(self.config.old_weights))
    }

    /// Returns the cost of a runner that serves prompts of the other length.
    fn part_ms(&self, prompt: &PromptNeed, runners: usize, index: usize) -> f64 {
        let short_runners = (runners as f64 * self.config.short_part).round() as usize;
        let is_short_runner = index < short_runners;
        let is_short = prompt.input_tokens < self.config.long_prompt_tokens;
        if is_short == is_short_runner {
            0.0
        } else {
            millis(self.config.other_part)
        }
    }

    fn distance_ms(&self, state: &ServerState) -> f64 {
        if state.server.domain == self.config.domain {
            0.0
        } else {
            millis(self.config.cross_domain)
        }
    }
}

/// Returns the memory that a request takes beside the parts that others share.
fn own_tokens(prompt: &PromptNeed) -> TokenCount {
    let shared = shared_levels(&prompt.chain).iter();
    let shared = shared.map(|level| level.tokens).sum();
    prompt.input_tokens.saturating_sub(shared) + prompt.output_tokens
}

/// Returns the levels as a store holds them, which tells versions of the weights apart.
fn keep_chain(levels: &[Level], weights: WeightsVersion) -> PrefixChain {
    let levels = levels.iter().map(|level| Level {
        key: rendezvous_score(level.key, weights),
        tokens: level.tokens,
    });
    PrefixChain::from_levels(levels.collect())
}

/// Returns the name of a store of cached prompts among hosts.
fn keep_hash(address: SocketAddr) -> u64 {
    hash_name(&address.to_string())
}

/// Returns the time that the memory of some tokens takes over a link between runners.
fn transfer_ms(engine: &EngineShape, tokens: TokenCount) -> f64 {
    if engine.link_mbps <= 0.0 {
        return f64::INFINITY;
    }
    f64::from(tokens) * engine.token_bytes * 8.0 / (engine.link_mbps * 1_000.0)
}

/// Returns the levels of a prompt that other requests may share: all but the last.
fn shared_levels(chain: &PrefixChain) -> &[Level] {
    let levels = chain.levels();
    &levels[..levels.len().saturating_sub(1)]
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
