//! Model of hosts and runners in virtual time: a runner prefills one prompt at a time, keeps the
//! shared levels of prompts in its cache, and generates at a constant rate.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::{Duration, Instant};

use hickoryhall_gateway::interface::{ReportedLoad, ResponseId, ResponseMeta, StatedLimit};
use hickoryhall_gateway::outcome::ResponseKind;
use hickoryhall_gateway::registry::{BackendServer, RegistryEvent};
use hickoryhall_gateway::scheduler::{
    Assignment, AttemptEnd, LoadSource, Placement, PlacementRequest, PromptInfo, Scheduler,
    SchedulerConfig,
};
use hickoryhall_gateway::table::{RunnerCapacity, ServiceInfo};
use hickoryhall_routing::{Level, PrefixChain, SpeedConstants, SpeedSource};
use hickoryhall_types::{hash_name, rendezvous_score};

use crate::support::{runner, table_of};

const HOSTS: usize = 4;
const SLOTS: u32 = 12;
/// Prompt families of each kind.
const FAMILIES: u64 = 6;
const STEP_MS: f64 = 4.37;
const DIGEST_INTERVAL_MS: u64 = 200;
const TICK_INTERVAL_MS: u64 = 10;

/// Runners of the second deployment.
pub const FAST_MACHINES: SpeedConstants = SpeedConstants {
    prefill_tokens_per_ms: 93.6,
    attention_ms_per_million_pairs: 0.35,
    first_event_ms: 83.0,
};
/// Runners that the constants are meant for.
pub const USUAL_MACHINES: SpeedConstants = SpeedConstants {
    prefill_tokens_per_ms: 38.4,
    attention_ms_per_million_pairs: 0.65,
    first_event_ms: 25.0,
};

/// Prompts a second, of all hosts.
#[derive(Clone, Copy)]
pub struct Load {
    pub long_per_s: f64,
    pub short_per_s: f64,
}

/// What became of the prompts that arrived in a period.
#[derive(Debug, Default)]
pub struct Outcome {
    pub total: usize,
    pub in_time: usize,
    pub refused: usize,
    pub placed_by_runner: Vec<usize>,
    /// Attempt and runner of each placement.
    pub placements: Vec<(u64, usize)>,
}

impl Outcome {
    pub fn share(&self) -> f64 {
        self.in_time as f64 / self.total as f64
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    FirstEvent,
    End,
}

struct Runner {
    server: BackendServer,
    factor: f64,
    /// Time at which all prompts sent to it are prefilled, in milliseconds.
    free_at: f64,
    cached: HashSet<u64>,
}

struct Arrival {
    at: Instant,
    objective: Duration,
    runner: usize,
}

/// Hosts and the runners of the service `models`.
pub struct Fleet {
    hosts: Vec<Scheduler>,
    runners: Vec<Runner>,
    speed: SpeedConstants,
    /// Share of the time in which each runner takes 2.5 times as long.
    pub slowed_share: f64,
    /// Selects the arrivals.
    pub seed: u64,
    start: Instant,
    now_ms: u64,
    requests: u64,
    random: u64,
    arrivals: HashMap<u64, Arrival>,
    /// By time in microseconds, then by attempt.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    outcome: Outcome,
}

impl Fleet {
    pub fn new(config: &SchedulerConfig, speed: SpeedConstants, factors: &[f64]) -> Self {
        let service = ServiceInfo {
            runner_capacity: Some(RunnerCapacity {
                slots: SLOTS,
                kv_cache_tokens: 103_378,
                kv_token_bytes: 35_136.0,
                link_mbps: 1_100_000.0,
            }),
            ..ServiceInfo::default()
        };
        let table = table_of([("models", service)]);
        let hosts = (0..HOSTS).map(|host| {
            let mut scheduler = Scheduler::new(SchedulerConfig {
                host: hash_name(&format!("host-{host}")),
                ..config.clone()
            });
            scheduler.set_table(&table);
            scheduler
        });
        let mut fleet = Self {
            hosts: hosts.collect(),
            runners: Vec::new(),
            speed,
            slowed_share: 0.0,
            seed: 1,
            start: Instant::now(),
            now_ms: 0,
            requests: 0,
            random: 0,
            arrivals: HashMap::new(),
            events: BinaryHeap::new(),
            outcome: Outcome::default(),
        };
        for &factor in factors {
            fleet.add_runner(factor);
        }
        fleet
    }

    /// Adds a runner whose times are `factor` times the usual ones, and returns its number.
    pub fn add_runner(&mut self, factor: f64) -> usize {
        let number = self.runners.len();
        let server = runner(number, SLOTS);
        self.register(&server);
        self.runners.push(Runner {
            server,
            factor,
            free_at: 0.0,
            cached: HashSet::new(),
        });
        number
    }

    /// Starts a runner again, with another speed. Its requests end without a first event.
    pub fn restart(&mut self, number: usize, factor: f64) {
        let mut server = self.runners[number].server.clone();
        server.incarnation += 1;
        self.register(&server);
        self.runners[number] = Runner {
            server,
            factor,
            free_at: self.now_ms as f64,
            cached: HashSet::new(),
        };
        self.arrivals.retain(|_, arrival| arrival.runner != number);
    }

    fn register(&mut self, server: &BackendServer) {
        for host in &mut self.hosts {
            host.on_registry(RegistryEvent::Upsert(server.clone()));
        }
    }

    /// Serves the load for a while, waits until the runners are idle, and returns what became of it.
    pub fn run(&mut self, duration: Duration, load: Load) -> Outcome {
        self.outcome = Outcome {
            placed_by_runner: vec![0; self.runners.len()],
            ..Outcome::default()
        };
        let end = self.now_ms + duration.as_millis() as u64;
        while self.now_ms < end || !self.arrivals.is_empty() {
            self.now_ms += 1;
            self.handle_events();
            if self.now_ms.is_multiple_of(TICK_INTERVAL_MS) {
                self.tick_hosts();
            }
            if self.now_ms.is_multiple_of(DIGEST_INTERVAL_MS) {
                self.exchange_digests();
            }
            if self.random() < load.long_per_s / 1_000.0 && self.now_ms < end {
                self.arrive(true);
            }
            if self.random() < load.short_per_s / 1_000.0 && self.now_ms < end {
                self.arrive(false);
            }
        }
        std::mem::take(&mut self.outcome)
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    /// Returns the next pseudo-random number from 0 to 1.
    fn random(&mut self) -> f64 {
        self.random += 1;
        fraction(rendezvous_score(self.seed, self.random))
    }

    fn host_of(attempt_id: u64) -> usize {
        (rendezvous_score(2, attempt_id) % HOSTS as u64) as usize
    }

    fn arrive(&mut self, is_long: bool) {
        self.requests += 1;
        let attempt_id = self.requests;
        let family = rendezvous_score(3, attempt_id) % FAMILIES;
        let (shared, unshared, output, objective_ms, rank) = if is_long {
            (6_300, 2_890, 7, 500, 0)
        } else {
            (198, 628, 42, 400, 1)
        };
        let levels = vec![
            Level {
                key: hash_name(&format!("{is_long}-{family}")),
                tokens: shared,
            },
            Level {
                key: hash_name(&format!("own-{attempt_id}")),
                tokens: unshared,
            },
        ];
        let now = self.now();
        let objective = Duration::from_millis(objective_ms);
        let request = PlacementRequest {
            attempt_id,
            service: "models".into(),
            priority: (1, rank),
            prompt: Some(PromptInfo {
                model: "m".into(),
                input_tokens: shared + unshared,
                chain: PrefixChain::from_levels(levels),
                output_tokens: output,
            }),
            is_resumable: true,
            arrived_at: now,
            target_latency: objective,
            deadline: now + Duration::from_secs(15),
            excluded_servers: Vec::new(),
            software: None,
            suspect: None,
        };
        self.outcome.total += 1;
        let arrival = Arrival {
            at: now,
            objective,
            runner: usize::MAX,
        };
        self.arrivals.insert(attempt_id, arrival);
        if let Some(placement) = self.hosts[Self::host_of(attempt_id)].place(now, request.clone()) {
            self.placed(attempt_id, placement);
        }
    }

    fn tick_hosts(&mut self) {
        let now = self.now();
        for host in 0..HOSTS {
            for (attempt_id, placement) in self.hosts[host].tick(now) {
                self.placed(attempt_id, placement);
            }
        }
    }

    fn placed(&mut self, attempt_id: u64, placement: Placement) {
        match placement {
            Ok(assignment) => self.send(attempt_id, &assignment),
            Err(_) => {
                self.outcome.refused += 1;
                self.arrivals.remove(&attempt_id);
            }
        }
    }

    /// Has the runner carry out a request.
    fn send(&mut self, attempt_id: u64, assignment: &Assignment) {
        let id = &assignment.server.id;
        let Some(number) = self.runners.iter().position(|other| other.server.id == *id) else {
            return;
        };
        let is_long = self.arrivals[&attempt_id].objective == Duration::from_millis(500);
        let (shared, unshared, output) = if is_long {
            (6_300, 2_890, 7.0)
        } else {
            (198, 628, 42.0)
        };
        let family = hash_name(&format!(
            "{is_long}-{}",
            rendezvous_score(3, attempt_id) % FAMILIES
        ));
        let factor = self.runners[number].factor * self.slowdown(number);
        let runner = &mut self.runners[number];
        let is_cached = !runner.cached.insert(family) || assignment.fetch_from.is_some();
        let missing = if is_cached {
            unshared
        } else {
            shared + unshared
        };
        let transfer_ms = if assignment.fetch_from.is_some() {
            5.0
        } else {
            0.0
        };
        let now_ms = self.now_ms as f64;
        let work_ms = self.speed.prefill_ms(missing, shared + unshared) * factor;
        runner.free_at = runner.free_at.max(now_ms + transfer_ms) + work_ms;
        let first_ms = runner.free_at + self.speed.first_event_ms * factor;
        let end_ms = first_ms + output * STEP_MS * factor;
        if let Some(arrival) = self.arrivals.get_mut(&attempt_id) {
            arrival.runner = number;
        }
        for (at_ms, event) in [(first_ms, Event::FirstEvent), (end_ms, Event::End)] {
            let at = (at_ms * 1_000.0) as u64;
            self.events.push(Reverse((at, attempt_id, event)));
        }
        self.outcome.placed_by_runner[number] += 1;
        self.outcome.placements.push((attempt_id, number));
    }

    /// Returns how long work takes at a runner at the moment relative to its usual time.
    fn slowdown(&self, number: usize) -> f64 {
        let period = self.now_ms / 600;
        let draw = fraction(rendezvous_score(self.seed * 100 + number as u64, period));
        if draw < self.slowed_share { 2.5 } else { 1.0 }
    }

    fn handle_events(&mut self) {
        let now = self.now();
        while let Some(&Reverse((at, attempt_id, event))) = self.events.peek()
            && at <= self.now_ms * 1_000
        {
            self.events.pop();
            let Some(arrival) = self.arrivals.get(&attempt_id) else {
                continue;
            };
            let (number, took) = (arrival.runner, now - arrival.at);
            let is_in_time = took <= arrival.objective;
            let load = ReportedLoad {
                running: 0,
                waiting: 0,
                work_time_percent: Some((self.slowdown(number) * 100.0) as u32),
            };
            let host = &mut self.hosts[Self::host_of(attempt_id)];
            match event {
                Event::FirstEvent => {
                    let server = &self.runners[number].server;
                    let meta = response_meta(load);
                    host.record_response_head(now, server, ResponseKind::Success, &meta);
                    host.record_first_event(now, attempt_id);
                    self.outcome.in_time += usize::from(is_in_time);
                }
                Event::End => {
                    host.record_end(now, attempt_id, AttemptEnd::Answered);
                    self.arrivals.remove(&attempt_id);
                }
            }
        }
    }

    /// Has every host tell all others its load, its samples and the prompts that it placed.
    fn exchange_digests(&mut self) {
        let now = self.now();
        for teller in 0..HOSTS {
            let source = hash_name(&format!("host-{teller}"));
            let host = &mut self.hosts[teller];
            let loads = host.own_loads().collect::<Vec<_>>();
            let prompts = host.take_prompt_updates();
            let (runners, services) = host.take_own_speeds(now, 8);
            for (index, reader) in self.hosts.iter_mut().enumerate() {
                if index == teller {
                    continue;
                }
                for update in &loads {
                    let (server, process) = (update.server, update.incarnation);
                    let from = LoadSource::Host(source);
                    reader.set_peer_load(now, from, server, process, update.load);
                }
                for prompt in &prompts {
                    reader.on_peer_prompt(now, prompt);
                }
                let from = SpeedSource::Host(source);
                for (service, sums) in &services {
                    reader.merge_service_speed(now, from, *service, sums);
                }
                for told in &runners {
                    let process = Some(told.process);
                    reader.merge_runner_speed(now, from, told.runner, process, &told.statement);
                }
            }
        }
    }
}

fn response_meta(load: ReportedLoad) -> ResponseMeta {
    ResponseMeta {
        id: ResponseId::Matching,
        is_sealed: true,
        says_not_run: false,
        is_encoded: false,
        load: Some(load),
        weights: None,
        closes_connection: false,
        keep_alive: None,
        is_leaving: false,
        pause: None,
        limit: StatedLimit::None,
        refusal_limit: StatedLimit::None,
    }
}

/// Returns a hash as a number from 0 to 1.
fn fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
