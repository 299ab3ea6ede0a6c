//! Event loop of a run.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use hickoryhall_routing::{
    Baseline, BaselineKind, CostModel, Ledger, LoadReport, Placement, PlacementConfig, PrefixChain,
    RunnerInfo, RunnerKey, RunnerTruth,
};
use hickoryhall_standins::engine::{EngineConfig, EngineEvent, EngineModel, Job, Piece};
use hickoryhall_types::rendezvous_score;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Outcome, Policy};
use crate::workload::{Arrival, Profile, Workload};

/// Tokens of a cached piece.
const PIECE_TOKENS: u32 = 2_000;
/// Age of load reports.
const LOAD_LAG: Duration = Duration::from_millis(500);
/// Prefix levels that a tracker remembers for a runner.
const TRACKER_ENTRIES: usize = 4_096;
/// Time after its start in which a tracker does not know what a runner holds.
const WARM_START: Duration = Duration::from_secs(30);
const MODEL: &str = "model";

/// A fault at a moment of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Nothing happens.
    None,
    /// Every entry host restarts at once.
    HerdRestart(Duration),
    /// One runner crashes and comes back empty.
    CrashRunner(Duration),
}

/// One run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Traffic.
    pub profile: Profile,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Engines.
    pub engine: EngineConfig,
    /// Runners.
    pub runners: usize,
    /// Entry hosts.
    pub hosts: usize,
    /// Time simulated.
    pub length: Duration,
    /// Time at the start that is not measured.
    pub warm_up: Duration,
    /// Weights of the placement cost.
    pub cost: CostModel,
    /// Fault.
    pub fault: Fault,
    /// Seed.
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Engine { runner: usize },
    Report,
    Fault,
}

#[derive(Clone, Debug)]
struct InFlight {
    arrived: Instant,
    host: usize,
    runner: usize,
    chain: PrefixChain,
    elsewhere_tokens: u32,
}

struct Driver<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    start: Instant,
    hosts_started: Instant,
    engines: Vec<EngineModel>,
    hashes: Vec<u64>,
    hosts: Vec<Placement>,
    keys: Vec<RunnerKey>,
    baselines: Vec<Baseline>,
    trackers: Vec<Ledger>,
    seen_load: Vec<u64>,
    sent_since_report: Vec<Vec<u64>>,
    in_flight: HashMap<u64, InFlight>,
    queue: BinaryHeap<Reverse<(Instant, Event)>>,
    scheduled: Vec<Option<Instant>>,
    next_id: u64,
    rng: ChaCha8Rng,
    outcome: Outcome,
    windows: Vec<(Duration, Outcome)>,
}

/// Runs a policy through a scenario; returns the whole and 10-second windows.
#[must_use]
pub fn run(scenario: &Scenario, policy: Policy) -> (Outcome, Vec<(Duration, Outcome)>) {
    let mut driver = Driver::new(scenario, policy);
    driver.run();
    (driver.outcome, driver.windows)
}

impl<'a> Driver<'a> {
    fn new(scenario: &'a Scenario, policy: Policy) -> Self {
        let start = Instant::now();
        let names = (0..scenario.runners)
            .map(|i| format!("runner-{i}"))
            .collect::<Vec<_>>();
        let hashes = names
            .iter()
            .map(|name| hickoryhall_types::hash_name(name))
            .collect();
        let kind = match policy {
            Policy::Baseline(kind) => kind,
            _ => BaselineKind::Exact,
        };
        let mut driver = Self {
            scenario,
            policy,
            start,
            hosts_started: start,
            engines: vec![EngineModel::new(scenario.engine); scenario.runners],
            hashes,
            hosts: Vec::new(),
            keys: Vec::new(),
            baselines: (0..scenario.hosts)
                .map(|host| Baseline::new(kind, host))
                .collect(),
            trackers: Vec::new(),
            seen_load: vec![0; scenario.runners],
            sent_since_report: vec![vec![0; scenario.runners]; scenario.hosts],
            in_flight: HashMap::new(),
            queue: BinaryHeap::new(),
            scheduled: vec![None; scenario.runners],
            next_id: 1,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed ^ 0xdead),
            outcome: Outcome::default(),
            windows: Vec::new(),
        };
        driver.start_hosts(start);
        driver
    }

    fn start_hosts(&mut self, now: Instant) {
        let config = PlacementConfig::new("a".into());
        self.hosts = (0..self.scenario.hosts)
            .map(|_| {
                let mut placement = Placement::new(config.clone());
                self.keys = (0..self.engines.len())
                    .map(|runner| placement.upsert(now, self.info(runner)))
                    .collect();
                placement
            })
            .collect();
        self.hosts_started = now;
        self.trackers = (0..self.engines.len())
            .map(|runner| Ledger::new(&self.report(runner), TRACKER_ENTRIES, config.half_life))
            .collect();
    }

    fn info(&self, runner: usize) -> RunnerInfo {
        let id = format!("runner-{runner}");
        RunnerInfo::new(
            id.as_str().into(),
            "a".into(),
            MODEL.into(),
            self.report(runner),
        )
    }

    fn report(&self, runner: usize) -> LoadReport {
        let engine = &self.engines[runner];
        LoadReport {
            incarnation: engine.incarnation(),
            weights: 1,
            waiting_tokens: self.seen_load[runner],
            prefill_tokens_per_s: engine.config().prefill_tokens_per_s,
            cache_tokens: engine.config().cache_tokens,
            leaving: false,
        }
    }

    fn run(&mut self) {
        let profile = self.scenario.profile.clone();
        let rate = self.scenario.requests_per_s;
        let mut workload =
            Workload::new(profile, rate, self.scenario.seed).filter(|a| !a.is_service);
        let mut next = workload.next().expect("a workload has no end");
        self.push(self.start + next.at, Event::Arrive);
        self.push(self.start, Event::Report);
        match self.scenario.fault {
            Fault::None => {}
            Fault::HerdRestart(at) | Fault::CrashRunner(at) => {
                self.push(self.start + at, Event::Fault);
            }
        }
        let end = self.start + self.scenario.length;
        while let Some(Reverse((now, event))) = self.queue.pop() {
            if now > end {
                break;
            }
            match event {
                Event::Arrive => {
                    self.arrive(now, &next);
                    next = workload.next().expect("a workload has no end");
                    self.push(self.start + next.at, Event::Arrive);
                }
                // An event that another one has replaced is stale.
                Event::Engine { runner } if self.scheduled[runner] != Some(now) => {}
                Event::Engine { runner } => self.advance(now, runner),
                Event::Report => {
                    self.take_reports(now);
                    self.push(now + LOAD_LAG, Event::Report);
                }
                Event::Fault => self.fault(now),
            }
        }
        let warm = self.start + self.scenario.warm_up;
        let lost = self
            .in_flight
            .values()
            .filter(|flight| flight.arrived >= warm)
            .count();
        (0..lost).for_each(|_| self.outcome.lost());
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.queue.push(Reverse((at, event)));
    }

    fn fault(&mut self, now: Instant) {
        match self.scenario.fault {
            Fault::None => {}
            Fault::HerdRestart(_) => self.start_hosts(now),
            Fault::CrashRunner(_) => {
                self.engines[0].crash();
                let died = self
                    .in_flight
                    .iter()
                    .filter(|(_, flight)| flight.runner == 0);
                let died = died.map(|(&id, _)| id).collect::<Vec<_>>();
                for id in died {
                    self.retry(now, id);
                }
            }
        }
    }

    fn retry(&mut self, now: Instant, id: u64) {
        let Some(flight) = self.in_flight.remove(&id) else {
            return;
        };
        self.hosts[flight.host].failed(now, self.keys[flight.runner], id);
        self.trackers[flight.runner].release(now, id);
        self.place(now, flight.arrived, flight.host, flight.chain);
    }

    fn arrive(&mut self, now: Instant, arrival: &Arrival) {
        let host = self.rng.random_range(0..self.scenario.hosts);
        let chain = PrefixChain::from_levels(arrival.levels.clone());
        self.place(now, now, host, chain);
    }

    fn place(&mut self, now: Instant, arrived: Instant, host: usize, chain: PrefixChain) {
        let pieces = pieces(&chain);
        let id = self.next_id;
        self.next_id += 1;
        let runner = match self.policy {
            Policy::Baseline(kind) => self.baseline(now, kind, host, &chain, &pieces),
            Policy::Own => self.choose(now, host, id, &chain, false),
            Policy::Tracked { part } => {
                let tracked = self.rng.random::<f64>() < part;
                self.choose(now, host, id, &chain, tracked)
            }
        };
        let cached = self
            .engines
            .iter()
            .map(|engine| engine.cached_tokens(&pieces));
        let elsewhere_tokens = cached.max().unwrap_or(0);
        self.sent_since_report[host][runner] += u64::from(chain.tokens());
        self.advance(now, runner);
        let output_tokens = self.scenario.profile.output_tokens;
        self.engines[runner].submit(
            now,
            Job {
                id,
                pieces,
                output_tokens,
                priority: 0,
            },
        );
        self.in_flight.insert(
            id,
            InFlight {
                arrived,
                host,
                runner,
                chain,
                elsewhere_tokens,
            },
        );
        self.schedule(runner);
    }

    fn baseline(
        &mut self,
        now: Instant,
        kind: BaselineKind,
        host: usize,
        chain: &PrefixChain,
        pieces: &[Piece],
    ) -> usize {
        let is_exact = kind == BaselineKind::Exact;
        let truths = (0..self.engines.len())
            .map(|runner| RunnerTruth {
                name_hash: self.hashes[runner],
                waiting_tokens: if is_exact {
                    self.engines[runner].waiting_tokens(now)
                } else {
                    self.seen_load[runner] + self.sent_since_report[host][runner]
                },
                cached_tokens: self.engines[runner].cached_tokens(pieces),
            })
            .collect::<Vec<_>>();
        self.baselines[host].pick(chain, &truths)
    }

    fn choose(
        &mut self,
        now: Instant,
        host: usize,
        id: u64,
        chain: &PrefixChain,
        tracked: bool,
    ) -> usize {
        let mut candidates = self.hosts[host].candidates(now, chain, MODEL, 1);
        if tracked {
            for candidate in &mut candidates {
                let runner = self.runner_of(candidate.key);
                let own = candidate.quote;
                candidate.quote = self.trackers[runner].quote(now, chain);
                if now.duration_since(self.hosts_started) < WARM_START {
                    let expected = candidate.quote.cached_tokens.max(own.cached_tokens);
                    candidate.quote.cached_tokens = expected;
                }
            }
        } else {
            candidates.truncate(self.hosts[host].config().own_candidates);
        }
        let choice = self.hosts[host].choose(chain, &self.scenario.cost, &candidates);
        let key = choice.expect("every runner takes work").key;
        let runner = self.runner_of(key);
        self.hosts[host].sent(now, key, id, chain);
        self.trackers[runner].reserve(now, id, chain);
        runner
    }

    fn runner_of(&self, key: RunnerKey) -> usize {
        self.keys
            .iter()
            .position(|&other| other == key)
            .expect("a known runner")
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
                self.first_token(at, id, cached_tokens);
            }
        }
        self.schedule(runner);
    }

    fn schedule(&mut self, runner: usize) {
        let next = self.engines[runner].next_change_at();
        if next != self.scheduled[runner] {
            self.scheduled[runner] = next;
            next.into_iter()
                .for_each(|at| self.push(at, Event::Engine { runner }));
        }
    }

    fn first_token(&mut self, at: Instant, id: u64, cached_tokens: u32) {
        let Some(flight) = self.in_flight.remove(&id) else {
            return;
        };
        self.hosts[flight.host].first_token(at, self.keys[flight.runner], id, cached_tokens);
        self.trackers[flight.runner].confirm(at, id, cached_tokens);
        let since = flight.arrived - self.start;
        if since < self.scenario.warm_up {
            return;
        }
        let ttft = at - flight.arrived;
        let prompt = flight.chain.tokens();
        self.outcome
            .first_token(ttft, prompt, cached_tokens, flight.elsewhere_tokens);
        let window = Duration::from_secs(since.as_secs() / 10 * 10);
        if self.windows.last().is_none_or(|(at, _)| *at < window) {
            self.windows.push((window, Outcome::default()));
        }
        if let Some((_, outcome)) = self.windows.iter_mut().find(|(at, _)| *at == window) {
            outcome.first_token(ttft, prompt, cached_tokens, flight.elsewhere_tokens);
        }
    }

    fn take_reports(&mut self, now: Instant) {
        for runner in 0..self.engines.len() {
            self.seen_load[runner] = self.engines[runner].waiting_tokens(now);
            let report = self.report(runner);
            self.trackers[runner].observe_report(now, &report, false);
            let key = self.keys[runner];
            for host in &mut self.hosts {
                host.observe_report(now, key, &report);
                host.expire(now);
            }
        }
        self.sent_since_report
            .iter_mut()
            .for_each(|sent| sent.fill(0));
    }
}

fn pieces(chain: &PrefixChain) -> Vec<Piece> {
    let mut pieces = Vec::new();
    for level in chain.levels() {
        let mut left = level.tokens;
        while left > 0 {
            let tokens = left.min(PIECE_TOKENS);
            let key = rendezvous_score(level.key, u64::from(left));
            pieces.push(Piece { key, tokens });
            left -= tokens;
        }
    }
    pieces
}
