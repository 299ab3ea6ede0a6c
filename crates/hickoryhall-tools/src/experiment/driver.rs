//! Event loop of a simulation run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use hickoryhall_clients::LoadResponse;
use hickoryhall_entry::dispatch::{
    AttemptEnd, AttemptId, Dispatch, DispatchConfig, Effect, Placed, PlacementRequest, Server,
    ServerKind,
};
use hickoryhall_routing::{
    Baseline, BaselineKind, CostModel, PlacementConfig, PrefixChain, RunnerSnapshot,
};
use hickoryhall_standins::engine::{EngineConfig, EngineEvent, Job, Piece, SimulatedEngine};
use hickoryhall_types::{hash_name, rendezvous_score};
use hickoryhall_wire::{Body, HostHash, QuoteResponse};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Outcome, Policy};
use crate::workload::{Arrival, Profile, Workload};

/// Maximum length of a piece, the unit in which engines cache prompts, in tokens.
const MAX_PIECE_TOKENS: u32 = 2_000;
/// Time between two load reports of a runner, and therefore their maximum age.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two timer ticks of a host, in which it places waiting requests.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Deadline of a request; longer than any run, so that no request exceeds it.
const DEADLINE: Duration = Duration::from_secs(3_600);
/// Number of the workspace that sends the flood; higher than that of any other workspace.
const FLOOD_WORKSPACE: u32 = 1_000;
const MODEL: &str = "model";

/// Fault to inject, with the time from the start of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// All entry hosts restart at the same time.
    RestartHosts(Duration),
    /// One runner crashes and is back at once, with an empty cache.
    CrashRunner(Duration),
    /// From this time on no host can reach another one.
    IsolateHosts(Duration),
}

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Shape of the traffic.
    pub profile: Profile,
    /// Rate of the traffic in requests per second, without the flood.
    pub requests_per_s: f64,
    /// Rate of a flood in requests per second; 0 for none. One more workspace sends it; its
    /// requests share no prompts and are not measured.
    pub flood_per_s: f64,
    /// Rates and limits of each runner's engine.
    pub engine: EngineConfig,
    /// Number of runners.
    pub runners: usize,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Virtual time of the whole run.
    pub length: Duration,
    /// Time at the start that is not measured.
    pub warm_up: Duration,
    /// Factors of the placement cost.
    pub cost: CostModel,
    /// Fault to inject.
    pub fault: Fault,
    /// Seed of the traffic, the choice of hosts and the loss of messages.
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Flood,
    Engine { runner: usize },
    LoadReport,
    Tick,
    Fault,
}

#[derive(Clone, Debug)]
struct Request {
    arrived: Instant,
    host: usize,
    workspace: u32,
    chain: PrefixChain,
}

#[derive(Clone, Debug)]
struct InFlight {
    request: Request,
    runner: usize,
    /// Prompt tokens in the cache of the runner that had the most when the request was sent.
    best_cached_tokens: u32,
}

struct Driver<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    start: Instant,
    engines: Vec<SimulatedEngine>,
    servers: Vec<Server>,
    hosts: Vec<Dispatch>,
    host_hashes: Vec<HostHash>,
    baselines: Vec<Baseline>,
    /// Waiting prompt tokens of each runner at its last load report.
    reported_waiting_tokens: Vec<u64>,
    /// Prompt tokens that each host sent to each runner since the last load report.
    sent_since_report: Vec<Vec<u64>>,
    hosts_are_isolated: bool,
    waiting: BTreeMap<AttemptId, Request>,
    in_flight: BTreeMap<AttemptId, InFlight>,
    queue: BinaryHeap<Reverse<(Instant, Event)>>,
    /// Time of the pending event of each engine, if it has one.
    engine_event_at: Vec<Option<Instant>>,
    next_attempt_id: AttemptId,
    rng: ChaCha8Rng,
    outcome: Outcome,
    windows: Vec<(Duration, Outcome)>,
}

/// Runs a scenario with a policy. Returns the results after the warm-up, and those of windows of 10
/// seconds by the time at which each begins. Windows do not count lost requests.
#[must_use]
pub fn run(scenario: &Scenario, policy: Policy) -> (Outcome, Vec<(Duration, Outcome)>) {
    let mut driver = Driver::new(scenario, policy);
    driver.run();
    (driver.outcome, driver.windows)
}

impl<'a> Driver<'a> {
    fn new(scenario: &'a Scenario, policy: Policy) -> Self {
        let kind = match policy {
            Policy::Baseline(kind) => kind,
            _ => BaselineKind::Exact,
        };
        let names = (0..scenario.hosts).map(|host| hash_name(&format!("entry-{host}")));
        let mut driver = Self {
            scenario,
            policy,
            start: Instant::now(),
            engines: vec![SimulatedEngine::new(scenario.engine); scenario.runners],
            servers: (0..scenario.runners).map(server).collect(),
            hosts: Vec::new(),
            host_hashes: names.collect(),
            baselines: (0..scenario.hosts)
                .map(|host| Baseline::new(kind, host))
                .collect(),
            reported_waiting_tokens: vec![0; scenario.runners],
            sent_since_report: vec![vec![0; scenario.runners]; scenario.hosts],
            hosts_are_isolated: false,
            waiting: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            queue: BinaryHeap::new(),
            engine_event_at: vec![None; scenario.runners],
            next_attempt_id: 1,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed ^ 0xdead),
            outcome: Outcome::default(),
            windows: Vec::new(),
        };
        driver.start_hosts(driver.start);
        driver
    }

    fn start_hosts(&mut self, now: Instant) {
        let trackers = match self.policy {
            Policy::Tracked { .. } => self
                .servers
                .iter()
                .map(|server| hash_name(&server.id))
                .map(|runner_hash| (runner_hash, self.tracker(runner_hash)))
                .collect::<HashMap<_, _>>(),
            _ => HashMap::new(),
        };
        self.hosts = self
            .host_hashes
            .iter()
            .map(|&local_host| {
                let placement = PlacementConfig::new("a".into());
                let mut dispatch = Dispatch::new(DispatchConfig {
                    local_host,
                    placement,
                });
                dispatch.set_servers(&self.servers);
                dispatch.set_trackers(trackers.clone());
                dispatch
            })
            .collect();
        self.report_loads(now);
    }

    /// Returns the host that tracks the cache of a runner, given the hash of the runner's id.
    fn tracker(&self, runner_hash: u64) -> HostHash {
        let best = self
            .host_hashes
            .iter()
            .max_by_key(|&&host| rendezvous_score(runner_hash, host));
        *best.expect("a scenario has hosts")
    }

    fn run(&mut self) {
        let scenario = self.scenario;
        let traffic = |rate, seed| Workload::new(scenario.profile.clone(), rate, seed);
        let mut workload =
            traffic(scenario.requests_per_s, scenario.seed).filter(|a| !a.is_service);
        let mut flood = traffic(scenario.flood_per_s.max(1e-9), scenario.seed ^ 0xf100d);
        let mut next = workload.next().expect("a workload has no end");
        let mut next_flood = flood.next().expect("a workload has no end");
        self.push(self.start + next.at, Event::Arrive);
        self.push(
            self.start + next_flood.at.min(scenario.length * 2),
            Event::Flood,
        );
        self.push(self.start, Event::LoadReport);
        self.push(self.start, Event::Tick);
        match scenario.fault {
            Fault::None => {}
            Fault::RestartHosts(at) | Fault::CrashRunner(at) | Fault::IsolateHosts(at) => {
                self.push(self.start + at, Event::Fault);
            }
        }
        let end = self.start + scenario.length;
        while let Some(Reverse((now, event))) = self.queue.pop().filter(|e| e.0.0 <= end) {
            match event {
                Event::Arrive => {
                    self.on_arrival(now, &next);
                    next = workload.next().expect("a workload has no end");
                    self.push(self.start + next.at, Event::Arrive);
                }
                Event::Flood => {
                    self.on_flood_arrival(now, &next_flood);
                    next_flood = flood.next().expect("a workload has no end");
                    self.push(self.start + next_flood.at, Event::Flood);
                }
                // The event is outdated if the engine has been scheduled for another time since.
                Event::Engine { runner } if self.engine_event_at[runner] != Some(now) => {}
                Event::Engine { runner } => self.advance(now, runner),
                Event::LoadReport => {
                    self.report_loads(now);
                    self.push(now + LOAD_REPORT_INTERVAL, Event::LoadReport);
                }
                Event::Tick => {
                    self.tick(now);
                    self.push(now + TICK_INTERVAL, Event::Tick);
                }
                Event::Fault => self.inject_fault(now),
            }
        }
        self.count_lost();
    }

    /// Counts the measured requests that have no first token at the end of the run as lost.
    fn count_lost(&mut self) {
        let measured_from = self.start + self.scenario.warm_up;
        let in_flight_requests = self.in_flight.values().map(|flight| &flight.request);
        let is_lost = |request: &&Request| {
            request.arrived >= measured_from && request.workspace != FLOOD_WORKSPACE
        };
        let lost = in_flight_requests
            .chain(self.waiting.values())
            .filter(is_lost)
            .count();
        (0..lost).for_each(|_| self.outcome.record_lost());
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.queue.push(Reverse((at, event)));
    }

    fn inject_fault(&mut self, now: Instant) {
        match self.scenario.fault {
            Fault::None => {}
            Fault::IsolateHosts(_) => self.hosts_are_isolated = true,
            Fault::RestartHosts(_) => {
                // Callers repeat the requests that no runner has received yet.
                let waiting = std::mem::take(&mut self.waiting);
                self.start_hosts(now);
                waiting
                    .into_values()
                    .for_each(|request| self.place(now, request));
            }
            Fault::CrashRunner(_) => {
                self.engines[0].crash();
                let crashed = self
                    .in_flight
                    .iter()
                    .filter(|(_, flight)| flight.runner == 0);
                for attempt_id in crashed
                    .map(|(&attempt_id, _)| attempt_id)
                    .collect::<Vec<_>>()
                {
                    self.retry(now, attempt_id);
                }
                self.report_loads(now);
            }
        }
    }

    /// Ends an attempt as failed and places its request again.
    fn retry(&mut self, now: Instant, attempt_id: AttemptId) {
        let Some(InFlight { request, .. }) = self.in_flight.remove(&attempt_id) else {
            return;
        };
        let effects = self.hosts[request.host].record_end(now, attempt_id, AttemptEnd::Failed);
        self.apply_effects(now, request.host, effects);
        self.place(now, request);
    }

    fn on_arrival(&mut self, now: Instant, arrival: &Arrival) {
        let host = self.rng.random_range(0..self.scenario.hosts);
        let chain = PrefixChain::from_levels(arrival.levels.clone());
        self.place(
            now,
            Request {
                arrived: now,
                host,
                workspace: arrival.workspace,
                chain,
            },
        );
    }

    /// Handles the arrival of a request of the flood, whose levels have the usual lengths but new
    /// keys, so that nothing of the prompt is cached.
    fn on_flood_arrival(&mut self, now: Instant, arrival: &Arrival) {
        let host = self.rng.random_range(0..self.scenario.hosts);
        let mut levels = arrival.levels.clone();
        let question = levels.last().map_or(0, |level| level.key);
        levels
            .iter_mut()
            .for_each(|level| level.key = rendezvous_score(question, level.key));
        let chain = PrefixChain::from_levels(levels);
        self.place(
            now,
            Request {
                arrived: now,
                host,
                workspace: FLOOD_WORKSPACE,
                chain,
            },
        );
    }

    fn place(&mut self, now: Instant, request: Request) {
        let attempt_id = self.next_attempt_id;
        self.next_attempt_id += 1;
        if let Policy::Baseline(kind) = self.policy {
            let runner = self.choose_by_baseline(now, kind, &request);
            return self.submit(now, attempt_id, request, runner, 0);
        }
        let host = request.host;
        let placement_request = PlacementRequest {
            attempt_id,
            workspace: request.workspace.to_string().as_str().into(),
            weight: 1,
            chain: request.chain.clone(),
            model: MODEL.into(),
            weights_version: 1,
            cost: self.scenario.cost,
            deadline: now + DEADLINE,
            excluded_runners: Vec::new(),
            is_suspect: false,
        };
        self.waiting.insert(attempt_id, request);
        let effects = self.hosts[host].place(now, placement_request);
        self.apply_effects(now, host, effects);
    }

    fn apply_effects(&mut self, now: Instant, host: usize, effects: Vec<Effect>) {
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Placed { attempt_id, placed } => self.on_placed(now, attempt_id, &placed),
                Effect::Refused { attempt_id, .. } => {
                    self.waiting.remove(&attempt_id);
                    self.outcome.record_lost();
                }
                Effect::Send {
                    to,
                    body,
                    is_optional,
                } => {
                    effects.extend(self.deliver(now, host, to, body, is_optional));
                }
            }
        }
    }

    /// Delivers a message without delay, or loses it. Returns the effects of the response at the
    /// sender.
    fn deliver(
        &mut self,
        now: Instant,
        from: usize,
        to: HostHash,
        body: Body,
        is_optional: bool,
    ) -> Vec<Effect> {
        let delivered_fraction = match self.policy {
            Policy::Tracked { delivered_fraction } => delivered_fraction,
            _ => 0.0,
        };
        let is_lost = self.hosts_are_isolated
            || (is_optional && self.rng.random::<f64>() >= delivered_fraction);
        let receiver = self.host_hashes.iter().position(|&host| host == to);
        let receiver = receiver.expect("a host of the scenario");
        match body {
            Body::QuoteRequest(quote_request) => {
                let response = if is_lost {
                    QuoteResponse {
                        id: quote_request.id,
                        quotes: Vec::new(),
                    }
                } else {
                    self.hosts[receiver].quotes_for(now, &quote_request)
                };
                self.hosts[from].on_quotes(now, to, &response)
            }
            body if !is_lost => {
                self.hosts[receiver].on_tracker_message(now, self.host_hashes[from], &body);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn on_placed(&mut self, now: Instant, attempt_id: AttemptId, placed: &Placed) {
        let Some(request) = self.waiting.remove(&attempt_id) else {
            return;
        };
        let runner = self
            .servers
            .iter()
            .position(|server| server.id == placed.server.id);
        let runner = runner.expect("a runner of the scenario");
        self.submit(now, attempt_id, request, runner, placed.class);
    }

    fn submit(
        &mut self,
        now: Instant,
        attempt_id: AttemptId,
        request: Request,
        runner: usize,
        priority: u32,
    ) {
        let pieces = pieces(&request.chain);
        let cached = self
            .engines
            .iter()
            .map(|engine| engine.cached_tokens(&pieces));
        let best_cached_tokens = cached.max().unwrap_or(0);
        self.sent_since_report[request.host][runner] += u64::from(request.chain.tokens());
        self.advance(now, runner);
        let output_tokens = self.scenario.profile.output_tokens;
        self.engines[runner].submit(
            now,
            Job {
                id: attempt_id,
                pieces,
                output_tokens,
                priority,
            },
        );
        self.in_flight.insert(
            attempt_id,
            InFlight {
                request,
                runner,
                best_cached_tokens,
            },
        );
        self.schedule(runner);
    }

    fn choose_by_baseline(&mut self, now: Instant, kind: BaselineKind, request: &Request) -> usize {
        let is_exact = kind == BaselineKind::Exact;
        let pieces = pieces(&request.chain);
        let snapshots = (0..self.engines.len())
            .map(|runner| RunnerSnapshot {
                name_hash: hash_name(&self.servers[runner].id),
                waiting_tokens: if is_exact {
                    self.engines[runner].waiting_tokens(now)
                } else {
                    self.reported_waiting_tokens[runner]
                        + self.sent_since_report[request.host][runner]
                },
                cached_tokens: self.engines[runner].cached_tokens(&pieces),
            })
            .collect::<Vec<_>>();
        self.baselines[request.host].pick(&request.chain, &snapshots)
    }

    fn advance(&mut self, now: Instant, runner: usize) {
        let mut events = Vec::new();
        self.engines[runner].advance(now, &mut events);
        for event in events {
            if let EngineEvent::FirstToken {
                id,
                cached_tokens,
                at,
            } = event
            {
                self.on_first_token(at, id, cached_tokens);
            }
        }
        self.schedule(runner);
    }

    fn schedule(&mut self, runner: usize) {
        let next = self.engines[runner].next_completion_at();
        if next != self.engine_event_at[runner] {
            self.engine_event_at[runner] = next;
            next.into_iter()
                .for_each(|at| self.push(at, Event::Engine { runner }));
        }
    }

    fn on_first_token(&mut self, at: Instant, attempt_id: AttemptId, cached_tokens: u32) {
        let Some(InFlight {
            request,
            best_cached_tokens,
            ..
        }) = self.in_flight.remove(&attempt_id)
        else {
            return;
        };
        let effects = self.hosts[request.host].record_first_token(at, attempt_id, cached_tokens);
        self.apply_effects(at, request.host, effects);
        let effects = self.hosts[request.host].record_end(at, attempt_id, AttemptEnd::Finished);
        self.apply_effects(at, request.host, effects);
        let arrived_after = request.arrived - self.start;
        if arrived_after < self.scenario.warm_up || request.workspace == FLOOD_WORKSPACE {
            return;
        }
        let ttft = at - request.arrived;
        let prompt = request.chain.tokens();
        self.outcome
            .record_first_token(ttft, prompt, cached_tokens, best_cached_tokens);
        let window = Duration::from_secs(arrived_after.as_secs() / 10 * 10);
        let index = self.windows.iter().position(|(at, _)| *at == window);
        let index = index.unwrap_or_else(|| {
            self.windows.push((window, Outcome::default()));
            self.windows.len() - 1
        });
        self.windows[index]
            .1
            .record_first_token(ttft, prompt, cached_tokens, best_cached_tokens);
    }

    fn tick(&mut self, now: Instant) {
        for host in 0..self.hosts.len() {
            if self.hosts[host].is_waiting() {
                let effects = self.hosts[host].tick(now);
                self.apply_effects(now, host, effects);
            }
        }
    }

    fn report_loads(&mut self, now: Instant) {
        for runner in 0..self.engines.len() {
            let engine = &self.engines[runner];
            self.reported_waiting_tokens[runner] = engine.waiting_tokens(now);
            let load = LoadResponse {
                incarnation: engine.incarnation(),
                weights_version: 1,
                waiting_tokens: self.reported_waiting_tokens[runner],
                prefill_tokens_per_s: engine.config().prefill_tokens_per_s,
                cache_tokens: engine.config().cache_tokens,
                leaving: false,
            };
            let name = self.servers[runner].id.clone();
            self.hosts.iter_mut().for_each(|host| {
                host.observe_load(now, &name, &load);
            });
        }
        self.sent_since_report
            .iter_mut()
            .for_each(|sent| sent.fill(0));
    }
}

fn server(index: usize) -> Server {
    Server {
        id: format!("runner-{index}").as_str().into(),
        kind: ServerKind::Runner,
        domain: "a".into(),
        address: ([127, 0, 0, 1], 1).into(),
        target: MODEL.into(),
        leaving: false,
    }
}

fn pieces(chain: &PrefixChain) -> Vec<Piece> {
    let mut pieces = Vec::new();
    for level in chain.levels() {
        let mut left = level.tokens;
        while left > 0 {
            let tokens = left.min(MAX_PIECE_TOKENS);
            let key = rendezvous_score(level.key, u64::from(left));
            pieces.push(Piece { key, tokens });
            left -= tokens;
        }
    }
    pieces
}
