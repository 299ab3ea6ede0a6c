//! Plays the load of a large fleet against the schedulers of all its hosts and checks what callers
//! get.
//!
//! The load: requests for many prompt families, each family with levels that its requests share,
//! spread over all hosts, as many as in a burst; a quarter of the runners is lost, and new weights
//! make all caches useless twice. Each host knows the loads and prompts of the others only from updates that are some
//! tenths of a second old. The fault that the test guards against: hosts that compare many runners
//! with such updates spread each family over all of these; the copies evict each other, and runners
//! prefill the same levels again and again.

mod support;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::{Duration, Instant};

use hickoryhall_gateway::peers::PromptUpdate;
use hickoryhall_gateway::registry::RegistryEvent;
use hickoryhall_gateway::scheduler::{
    AnnouncedState, AttemptEnd, AttemptId, HostLoad, LoadSource, Placement, PlacementRequest,
    PromptInfo, Scheduler, SchedulerConfig,
};
use hickoryhall_routing::{CacheEstimate, Level, PrefixChain};
use hickoryhall_types::{hash_name, rendezvous_score};
use support::{model_service, table_of};

const RUNNERS: usize = 53;
const SLOTS: u32 = 24;
const CACHE_TOKENS: u32 = 88_493;
const PREFILL_TOKENS_PER_MS: f64 = 38.4;
const ATTENTION_MS_PER_MILLION_PAIRS: f64 = 0.65;
const TRANSFER_TOKENS_PER_MS: f64 = 420.0;
/// Age of the updates that hosts get of each other, and the time between two of them.
const UPDATE_AGE: Duration = Duration::from_millis(150);
/// Load of the fleet over all hosts.
const REQUESTS_PER_S: u64 = 430;
const DAY: Duration = Duration::from_secs(14);
const NEW_WEIGHTS_AT: [Duration; 2] = [Duration::from_secs(4), Duration::from_secs(9)];
const RUNNERS_LOST_AT: Duration = Duration::from_secs(3);

/// A kind of request, with the length of its prompt levels and its answer.
struct RequestKind {
    name: &'static str,
    outer_count: u64,
    outer_tokens: u32,
    family_count: u64,
    family_tokens: u32,
    private_tokens: u32,
    output_tokens: u32,
    target_latency: Duration,
}

const SCAN: RequestKind = RequestKind {
    name: "scan",
    outer_count: 4,
    outer_tokens: 2_520,
    family_count: 353,
    family_tokens: 3_780,
    private_tokens: 2_890,
    output_tokens: 52,
    target_latency: Duration::from_millis(600),
};
const DRAFT: RequestKind = RequestKind {
    name: "draft",
    outer_count: 53,
    outer_tokens: 119,
    family_count: 513,
    family_tokens: 79,
    private_tokens: 628,
    output_tokens: 291,
    target_latency: Duration::from_millis(400),
};

/// A runner that prefills prompts one after another and evicts the least recently used levels.
struct Runner {
    cache: CacheEstimate,
    busy_until: Instant,
    unshared_tokens: u32,
    is_lost: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(u64),
    Started(usize, AttemptId),
    End(usize, AttemptId),
    Updates,
    Tick,
    RunnersLost,
    NewWeights(u64),
}

struct InFlight {
    runner: usize,
    unshared_tokens: u32,
}

/// What callers got, and what runners had to prefill.
#[derive(Debug, Default)]
struct Outcome {
    requests: u32,
    on_time: u32,
    refused: u32,
    broken_off: u32,
    prefilled_tokens: u64,
    /// Prefilled tokens of shared levels that some runner had prefilled before.
    prefilled_again_tokens: u64,
}

impl Outcome {
    fn on_time_fraction(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.requests)
    }
}

/// The load and prompts of each host as its peers learn them one update later.
#[derive(Default)]
struct HostUpdate {
    loads: Vec<(u64, HostLoad)>,
    prompts: Vec<PromptUpdate>,
}

struct Fleet {
    now: Instant,
    start: Instant,
    hosts: Vec<Scheduler>,
    runners: Vec<Runner>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    sequence: u64,
    requests: HashMap<AttemptId, PlacementRequest>,
    in_flight: HashMap<AttemptId, InFlight>,
    pending_updates: Vec<HostUpdate>,
    known_levels: HashSet<u64>,
    outcome: Outcome,
}

impl Fleet {
    /// Starts a fleet whose hosts compare every runner of a service up to `full_scan_limit` runners.
    fn new(host_count: usize, full_scan_limit: usize) -> Self {
        let start = Instant::now() + Duration::from_secs(1_000);
        let hosts = (0..host_count).map(|host| {
            let name = hash_name(&format!("host-{host}"));
            let mut config = SchedulerConfig::new(name, "a".into());
            config.full_scan_limit = full_scan_limit;
            let mut scheduler = Scheduler::new(config);
            scheduler.set_table(&table_of([("models", model_service(SLOTS, CACHE_TOKENS))]));
            for runner in 0..RUNNERS {
                scheduler.on_registry(RegistryEvent::Upsert(support::runner(runner, SLOTS)));
            }
            scheduler
        });
        let runners = (0..RUNNERS).map(|_| Runner {
            cache: CacheEstimate::new(CACHE_TOKENS.into(), usize::MAX),
            busy_until: start,
            unshared_tokens: 0,
            is_lost: false,
        });
        Self {
            now: start,
            start,
            hosts: hosts.collect(),
            runners: runners.collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            requests: HashMap::new(),
            in_flight: HashMap::new(),
            pending_updates: Vec::new(),
            known_levels: HashSet::new(),
            outcome: Outcome::default(),
        }
    }

    fn play(mut self) -> Outcome {
        let count = DAY.as_millis() as u64 * REQUESTS_PER_S / 1_000;
        for id in 0..count {
            let jitter = rendezvous_score(id, 1) % 1_000_000;
            let at = Duration::from_nanos((id * 1_000_000 + jitter) * 1_000 / REQUESTS_PER_S);
            self.schedule(self.start + at, Event::Arrival(id));
        }
        self.schedule(self.start, Event::Updates);
        self.schedule(self.start, Event::Tick);
        self.schedule(self.start + RUNNERS_LOST_AT, Event::RunnersLost);
        for (version, at) in (2..).zip(NEW_WEIGHTS_AT) {
            self.schedule(self.start + at, Event::NewWeights(version));
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self.outcome
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(id) => self.arrive(id),
            Event::Started(host, id) => self.first_event(host, id),
            Event::End(host, id) => self.end(host, id),
            Event::Updates => {
                self.exchange_updates();
                self.repeat(UPDATE_AGE, Event::Updates);
            }
            Event::Tick => {
                for host in 0..self.hosts.len() {
                    for (id, placement) in self.hosts[host].tick(self.now) {
                        self.placed(host, id, placement);
                    }
                }
                self.repeat(Duration::from_millis(10), Event::Tick);
            }
            Event::RunnersLost => self.lose_runners(),
            Event::NewWeights(version) => self.change_weights(version),
        }
    }

    /// Schedules an event again while requests arrive or run.
    fn repeat(&mut self, after: Duration, event: Event) {
        if self.now < self.start + DAY || !self.requests.is_empty() {
            self.schedule(self.now + after, event);
        }
    }

    fn arrive(&mut self, id: u64) {
        self.outcome.requests += 1;
        let host = (rendezvous_score(id, 2) % self.hosts.len() as u64) as usize;
        let kind = if rendezvous_score(id, 3) % 100 < 41 {
            &SCAN
        } else {
            &DRAFT
        };
        let request = request(self.now, id, kind);
        self.requests.insert(id, request.clone());
        if let Some(placement) = self.hosts[host].place(self.now, request) {
            self.placed(host, id, placement);
        }
    }

    fn placed(&mut self, host: usize, id: AttemptId, placement: Placement) {
        let Ok(assignment) = placement else {
            self.requests.remove(&id);
            self.outcome.refused += 1;
            return;
        };
        let request = &self.requests[&id];
        let prompt = request.prompt.as_ref().expect("a model request");
        let runner = runner_index(&assignment.server.id);
        if self.runners[runner].is_lost {
            self.requests.remove(&id);
            self.outcome.broken_off += 1;
            self.hosts[host].record_end(self.now, id, AttemptEnd::Unreachable);
            return;
        }
        let fetchable = assignment.fetch_from.map_or(0, |(from, _)| {
            let source = &self.runners[usize::from(from.port() - 1_000)];
            source.cache.cached_tokens(&prompt.chain)
        });
        let state = &mut self.runners[runner];
        state.unshared_tokens += prompt.unshared_tokens();
        let budget = CACHE_TOKENS.saturating_sub(state.unshared_tokens);
        state.cache.set_budget(budget.into());
        let cached = state.cache.cached_tokens(&prompt.chain);
        let fetched = fetchable.saturating_sub(cached);
        let missing = prompt.input_tokens - cached - fetched;
        state.cache.insert(self.now, &prompt.chain);
        let mut end = 0;
        for level in prompt.shared_levels() {
            end += level.tokens;
            let is_first = self.known_levels.insert(level.key);
            if end > cached + fetched && !is_first {
                self.outcome.prefilled_again_tokens += u64::from(level.tokens);
            }
        }
        self.outcome.prefilled_tokens += u64::from(missing);
        let (missing, input) = (f64::from(missing), f64::from(prompt.input_tokens));
        let pairs = missing * (input - missing / 2.0) / 1e6;
        let work_ms = missing / PREFILL_TOKENS_PER_MS
            + pairs * ATTENTION_MS_PER_MILLION_PAIRS
            + f64::from(fetched) / TRANSFER_TOKENS_PER_MS;
        state.busy_until = state.busy_until.max(self.now) + ms(work_ms);
        let first = state.busy_until + ms(15.0);
        let unshared_tokens = prompt.unshared_tokens();
        self.in_flight.insert(
            id,
            InFlight {
                runner,
                unshared_tokens,
            },
        );
        self.schedule(first, Event::Started(host, id));
    }

    fn first_event(&mut self, host: usize, id: AttemptId) {
        if !self.in_flight.contains_key(&id) {
            return;
        }
        let request = self.requests.get(&id).expect("a request in flight");
        let is_on_time = self.now <= request.arrived_at + request.target_latency;
        let output_tokens = request
            .prompt
            .as_ref()
            .map_or(0, |prompt| prompt.output_tokens);
        self.outcome.on_time += u32::from(is_on_time);
        self.hosts[host].record_first_event(self.now, id);
        let end = self.now + ms(f64::from(output_tokens) / 3.0 * 10.0);
        self.schedule(end, Event::End(host, id));
    }

    fn end(&mut self, host: usize, id: AttemptId) {
        let Some(in_flight) = self.in_flight.remove(&id) else {
            return;
        };
        self.requests.remove(&id);
        self.runners[in_flight.runner].unshared_tokens -= in_flight.unshared_tokens;
        self.hosts[host].record_end(self.now, id, AttemptEnd::Answered);
    }

    /// Gives all runners new weights, which makes their caches useless.
    fn change_weights(&mut self, version: u64) {
        self.known_levels.clear();
        for (runner, state) in self.runners.iter_mut().enumerate() {
            state.cache.clear();
            for host in &mut self.hosts {
                let hash = hash_name(&support::runner(runner, SLOTS).id);
                let announced = AnnouncedState {
                    incarnation: None,
                    weights: version,
                    is_changing: false,
                };
                host.record_announcement(self.now, hash, &announced);
            }
        }
    }

    /// Takes a quarter of the runners out, with all that runs there.
    fn lose_runners(&mut self) {
        for runner in (0..RUNNERS).step_by(4) {
            self.runners[runner].is_lost = true;
            for host in &mut self.hosts {
                host.on_registry(RegistryEvent::Removed(support::runner(runner, SLOTS).id));
            }
        }
        let lost = self.in_flight.iter();
        let lost = lost.filter(|(_, in_flight)| self.runners[in_flight.runner].is_lost);
        let lost = lost.map(|(&id, _)| id).collect::<Vec<_>>();
        for id in lost {
            self.in_flight.remove(&id);
            self.requests.remove(&id);
            self.outcome.broken_off += 1;
        }
    }

    /// Delivers the updates that were collected one interval ago, and collects the next ones.
    fn exchange_updates(&mut self) {
        let pending = std::mem::take(&mut self.pending_updates);
        for (from, update) in pending.iter().enumerate() {
            let source = LoadSource::Host(from as u64);
            let listed = update.loads.iter().map(|&(server, _)| server);
            let listed = listed.collect::<Vec<_>>();
            for (to, host) in self.hosts.iter_mut().enumerate() {
                if to == from {
                    continue;
                }
                host.retain_peer_loads(source, &listed);
                for &(server, load) in &update.loads {
                    host.set_peer_load(self.now, source, server, None, load);
                }
                for prompt in &update.prompts {
                    host.on_peer_prompt(self.now, prompt);
                }
            }
        }
        let updates = self.hosts.iter_mut().map(|host| {
            let loads = host.own_loads().map(|update| (update.server, update.load));
            let loads = loads.filter(|(_, load)| load.requests > 0).collect();
            HostUpdate {
                loads,
                prompts: host.take_prompt_updates(),
            }
        });
        self.pending_updates = updates.collect();
    }
}

fn ms(value: f64) -> Duration {
    Duration::from_secs_f64(value / 1_000.0)
}

fn runner_index(id: &str) -> usize {
    let number = id.strip_prefix("runner-").expect("a runner's id");
    number.parse().expect("a runner's number")
}

fn request(now: Instant, id: u64, kind: &RequestKind) -> PlacementRequest {
    let family = rendezvous_score(id, 4) % kind.family_count;
    let outer = family % kind.outer_count;
    let level = |text: String, tokens: u32| Level {
        key: hash_name(&text),
        tokens,
    };
    let name = kind.name;
    let levels = vec![
        level(format!("{name}-outer-{outer}"), kind.outer_tokens),
        level(format!("{name}-family-{family}"), kind.family_tokens),
        level(format!("{name}-private-{id}"), kind.private_tokens),
    ];
    PlacementRequest {
        attempt_id: id,
        service: "models".into(),
        priority: (1, 0),
        prompt: Some(PromptInfo {
            model: "m".into(),
            input_tokens: levels.iter().map(|level| level.tokens).sum(),
            chain: PrefixChain::from_levels(levels),
            output_tokens: kind.output_tokens,
        }),
        is_resumable: true,
        arrived_at: now,
        target_latency: kind.target_latency,
        deadline: now + Duration::from_secs(5),
        excluded_servers: Vec::new(),
        software: None,
        suspect: None,
    }
}

/// Returns the tokens of all levels that requests share, each counted once.
fn shared_tokens() -> u64 {
    let kinds = [SCAN, DRAFT].into_iter();
    let tokens = kinds.map(|kind| {
        kind.outer_count * u64::from(kind.outer_tokens)
            + kind.family_count * u64::from(kind.family_tokens)
    });
    tokens.sum()
}

const FULL_SCAN_LIMIT: usize = 16;

/// The stated target: with many hosts callers get within 0.05 of what few hosts give them.
#[test]
fn many_hosts_serve_as_many_requests_on_time_as_few() {
    let few = Fleet::new(22, FULL_SCAN_LIMIT).play();
    let many = Fleet::new(95, FULL_SCAN_LIMIT).play();
    assert!(
        many.on_time_fraction() >= few.on_time_fraction() - 0.05,
        "few hosts: {few:?}, many hosts: {many:?}"
    );
}

/// The stated target: two owners read the levels of a family, so each level is read again once a
/// version. Hosts that compare every runner serve fewer requests on time.
#[test]
fn a_family_is_read_by_few_runners_and_callers_are_served_better() {
    let by_demand = Fleet::new(95, FULL_SCAN_LIMIT).play();
    let versions = NEW_WEIGHTS_AT.len() as u64 + 1;
    assert!(
        by_demand.prefilled_again_tokens <= versions * shared_tokens(),
        "{by_demand:?}"
    );
    let by_load = Fleet::new(95, usize::MAX).play();
    assert!(
        by_demand.on_time > by_load.on_time,
        "by demand: {by_demand:?}, by load: {by_load:?}"
    );
}
