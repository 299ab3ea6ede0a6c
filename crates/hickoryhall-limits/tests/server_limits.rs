//! Plays fleets before servers that name limits, and checks what the servers get.
//!
//! Each host knows of limits from the answers that it gets and from digests of others, some of which
//! are lost. Limits move, vanish and come back; hosts are stopped and start with empty memory; servers
//! start again.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hickoryhall_limits::{LimitDecision, LimitStatement, ServerLimits};
use rstest::rstest;

const STEP: Duration = Duration::from_millis(10);
const DIGEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a silent host counts as gone.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(3);
const CONTACT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
const SERVERS: u64 = 6;
/// Hosts that get a digest of a host in each interval in a large fleet.
const PEERS_PER_ROUND: u64 = 5;

fn mixed(seed: u64, salt: u64) -> u64 {
    let mut mixed = seed.wrapping_add(salt.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

struct Host {
    limits: ServerLimits,
    is_up: bool,
    changed_at: Instant,
    /// When the host first passed on an answer with a limit, by server.
    told_at: HashMap<u64, Instant>,
}

/// A stretch of the day in which a server names one limit, in seconds from the start.
struct Phase {
    from_s: u64,
    limit_per_s: Option<f64>,
    /// Whether the server starts again at its beginning.
    is_restart: bool,
}

fn phase(from_s: u64, limit_per_s: Option<f64>, is_restart: bool) -> Phase {
    Phase {
        from_s,
        limit_per_s,
        is_restart,
    }
}

struct Answer {
    at: Instant,
    sent_at: Instant,
    host: usize,
    process: u64,
    limit_per_s: Option<f64>,
}

struct Fleet {
    start: Instant,
    now: Instant,
    hosts: Vec<Host>,
    digests: Vec<(Instant, usize, Vec<LimitStatement>)>,
    answers: Vec<Answer>,
    /// Requests to server 0: the time, and whether its host had been told of the limit.
    arrivals: Vec<(Instant, bool)>,
    all_requests: Vec<Instant>,
    seed: u64,
}

impl Fleet {
    fn random(&mut self, below: u64) -> u64 {
        self.seed += 1;
        mixed(self.seed, 7) % below
    }

    fn play(
        hosts: usize,
        requests_per_s: u64,
        phases: &[Phase],
        day_s: u64,
        restarts: bool,
    ) -> Self {
        let start = Instant::now() + Duration::from_secs(1_000);
        let host = || Host {
            limits: ServerLimits::default(),
            is_up: true,
            changed_at: start - LIVENESS_TIMEOUT,
            told_at: HashMap::new(),
        };
        let mut fleet = Self {
            start,
            now: start,
            hosts: (0..hosts).map(|_| host()).collect(),
            digests: Vec::new(),
            answers: Vec::new(),
            arrivals: Vec::new(),
            all_requests: Vec::new(),
            seed: 1,
        };
        let steps = day_s * 100;
        for step in 0..steps {
            fleet.now = start + STEP * step as u32;
            if restarts && step % 700 == 350 {
                let index = fleet.random(hosts as u64) as usize;
                let now = fleet.now;
                let is_up = !fleet.hosts[index].is_up;
                fleet.hosts[index] = Host {
                    is_up,
                    changed_at: now,
                    ..host()
                };
            }
            fleet.receive(phases);
            if step % 10 == 0 {
                fleet.exchange_digests();
            }
            let due = requests_per_s * (step + 1) / 100 - requests_per_s * step / 100;
            for _ in 0..due {
                fleet.send(phases);
            }
        }
        fleet
    }

    fn phase<'a>(&self, phases: &'a [Phase], at: Instant) -> (u64, &'a Phase) {
        let second = at.duration_since(self.start).as_secs();
        let past = phases.iter().filter(|phase| phase.from_s <= second);
        let past = past.collect::<Vec<_>>();
        let process = 1 + past.iter().filter(|phase| phase.is_restart).count() as u64;
        (process, past.last().expect("a phase from the start"))
    }

    fn receive(&mut self, phases: &[Phase]) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.answers)
            .into_iter()
            .partition::<Vec<_>, _>(|answer| answer.at <= now);
        self.answers = rest;
        let _ = phases;
        for answer in due {
            let host = &mut self.hosts[answer.host];
            if !host.is_up || answer.sent_at < host.changed_at {
                continue;
            }
            let (limit, sent_at) = (answer.limit_per_s, answer.sent_at);
            host.limits.record(now, 0, answer.process, limit, sent_at);
            if limit.is_some() {
                host.told_at.entry(0).or_insert(now);
            }
            self.divide(answer.host);
        }
        let (due, rest) = std::mem::take(&mut self.digests)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _, _)| *at <= now);
        self.digests = rest;
        for (_, to, statements) in due {
            if self.hosts[to].is_up {
                for statement in &statements {
                    self.hosts[to].limits.merge(now, statement);
                }
                self.divide(to);
            }
        }
    }

    /// Divides the limits by the view of one host, which learns late of hosts that end or start.
    fn divide(&mut self, index: usize) {
        let now = self.now;
        let known = |host: &Host| {
            let is_recent = now.duration_since(host.changed_at) < LIVENESS_TIMEOUT;
            host.is_up && now.duration_since(host.changed_at) > DIGEST_INTERVAL
                || !host.is_up && is_recent
        };
        let live =
            (0..self.hosts.len()).filter(|&other| other == index || known(&self.hosts[other]));
        let live = live.collect::<Vec<_>>();
        let rank = |server: u64| {
            let score = |host: usize| mixed(server + 1, host as u64 + 100);
            live.iter()
                .filter(|&&other| score(other) > score(index))
                .count()
        };
        self.hosts[index].limits.divide(now, live.len(), rank);
    }

    fn exchange_digests(&mut self) {
        let count = self.hosts.len();
        for index in 0..count {
            self.divide(index);
            let news = self.hosts[index].limits.news(self.now);
            if news.is_empty() || !self.hosts[index].is_up {
                continue;
            }
            let peers = if count <= 24 {
                (0..count)
                    .filter(|&other| other != index)
                    .collect::<Vec<_>>()
            } else {
                (0..PEERS_PER_ROUND)
                    .map(|_| self.random(count as u64) as usize)
                    .collect()
            };
            for to in peers {
                if self.random(100) > 0 {
                    let at = self.now + STEP;
                    self.digests.push((at, to, news.clone()));
                }
            }
        }
    }

    fn send(&mut self, phases: &[Phase]) {
        let count = self.hosts.len() as u64;
        let host = self.random(count) as usize;
        if !self.hosts[host].is_up {
            return;
        }
        self.all_requests.push(self.now);
        let server = self.random(SERVERS);
        // Only the first server names limits; a request that it cannot get goes elsewhere. A limited
        // server has the least load, so that it gets each request that it may.
        let (process, _) = self.phase(phases, self.now);
        let limits = &mut self.hosts[host].limits;
        if (server != 0 && limits.is_empty())
            || limits.decide(self.now, 0, process) != LimitDecision::Allowed
        {
            return;
        }
        limits.take(self.now, 0, process);
        let told_at = self.hosts[host].told_at.get(&0);
        let is_told = told_at.is_some_and(|&at| self.now >= at + Duration::from_millis(500));
        self.arrivals.push((self.now, is_told));
        // One answer in a hundred is late.
        let delay = if self.random(100) == 0 {
            2_000
        } else {
            20 + self.random(200)
        };
        let stated_at = self.now + Duration::from_millis(delay.min(220) / 2);
        let (process, phase) = self.phase(phases, stated_at);
        self.answers.push(Answer {
            at: self.now + Duration::from_millis(delay),
            sent_at: self.now,
            host,
            process,
            limit_per_s: phase.limit_per_s,
        });
    }

    /// Returns the largest number of requests from hosts that had been told, within the window, in a
    /// span of seconds from the start.
    fn most_in_window(&self, from_s: u64, to_s: u64) -> usize {
        let from = self.start + Duration::from_secs(from_s) + CONTACT;
        let to = self.start + Duration::from_secs(to_s);
        let told = self.arrivals.iter().filter(|(_, is_told)| *is_told);
        let times = told.map(|(at, _)| *at);
        let times = times
            .filter(|at| (from..to).contains(at))
            .collect::<Vec<_>>();
        let counts = times
            .iter()
            .enumerate()
            .map(|(index, &first)| times.partition_point(|&at| at < first + WINDOW) - index);
        counts.max().unwrap_or(0)
    }

    fn count(&self, from_s: u64, to_s: u64) -> usize {
        let from = self.start + Duration::from_secs(from_s) + CONTACT;
        let to = self.start + Duration::from_secs(to_s);
        let times = self.arrivals.iter().map(|(at, _)| *at);
        times.filter(|at| (from..to).contains(at)).count()
    }

    /// Returns the number of requests to all servers in a span.
    fn count_all(&self, from_s: u64, to_s: u64) -> usize {
        let from = self.start + Duration::from_secs(from_s) + CONTACT;
        let to = self.start + Duration::from_secs(to_s);
        let times = self.all_requests.iter();
        times.filter(|at| (from..to).contains(at)).count()
    }

    fn check(&self, phases: &[Phase], day_s: u64) {
        let ends = phases.iter().skip(1).map(|phase| phase.from_s);
        for (phase, end_s) in phases.iter().zip(ends.chain([day_s])) {
            let time_s = (end_s - phase.from_s) as f64 - CONTACT.as_secs_f64();
            let got = self.count(phase.from_s, end_s);
            let Some(limit) = phase.limit_per_s else {
                let share = self.count_all(phase.from_s, end_s) as f64 / SERVERS as f64;
                assert!(
                    got as f64 >= share * 0.6,
                    "{got} of {share} without a limit"
                );
                continue;
            };
            let allowed = 1.5 * limit * WINDOW.as_secs_f64() + 5.0;
            let most = self.most_in_window(phase.from_s, end_s);
            assert!(most as f64 <= allowed, "{most} of {allowed} at {limit}");
            // A host that ends with its part of the limit is missed for some seconds.
            let least = (limit * time_s * 0.3).floor();
            assert!(got as f64 >= least, "{got} of at least {least} at {limit}");
        }
    }
}

#[rstest]
fn hosts_together_keep_to_the_limit_of_a_server(
    #[values(1, 3, 7, 95)] hosts: usize,
    #[values(0.0, 0.5, 1.0, 3.2, 8.0)] limit: f64,
    #[values(false, true)] restarts: bool,
) {
    let phases = [
        phase(0, None, false),
        phase(5, Some(limit), false),
        phase(25, None, false),
        phase(35, Some(limit * 2.0), false),
        phase(50, Some(limit), true),
        phase(65, None, true),
    ];
    let requests_per_s = 120;
    let fleet = Fleet::play(hosts, requests_per_s, &phases, 75, restarts);
    if hosts > 1 {
        fleet.check(&phases, 75);
    }
}

#[test]
fn a_late_answer_does_not_bring_a_limit_back() {
    let start = Instant::now() + Duration::from_secs(1_000);
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut limits = ServerLimits::default();
    assert!(limits.record(at(100), 1, 5, Some(2.0), at(50)));
    limits.divide(at(100), 1, |_| 0);
    assert!(limits.record(at(300), 1, 5, None, at(250)));
    assert!(!limits.record(at(900), 1, 5, Some(2.0), at(60)));
    assert_eq!(limits.decide(at(900), 1, 5), LimitDecision::Allowed);
    // Another process has no limit, and an answer of the one before names none for it.
    assert!(limits.record(at(1_000), 1, 5, Some(2.0), at(950)));
    assert_eq!(limits.decide(at(1_000), 1, 6), LimitDecision::Allowed);
    assert!(limits.record(at(1_100), 1, 6, Some(1.0), at(1_050)));
    assert!(!limits.record(at(1_200), 1, 5, None, at(1_040)));
    limits.divide(at(1_200), 3, |_| 2);
    assert_eq!(limits.decide(at(1_200), 1, 6), LimitDecision::NotHere);
}

#[test]
fn memory_and_digests_stay_bounded_with_many_limits() {
    let start = Instant::now() + Duration::from_secs(1_000);
    let mut limits = ServerLimits::default();
    for server in 0..5_000_u64 {
        let now = start + Duration::from_millis(server);
        limits.record(now, server, 1, Some(1.0), now);
        assert!(limits.news(now).len() <= 16);
    }
    assert!(limits.len() <= 1_024, "{}", limits.len());
}

#[rstest]
fn a_peer_cannot_set_a_limit_that_is_none(
    #[values(f64::NAN, f64::INFINITY, -1.0)] limit_per_s: f64,
) {
    let now = Instant::now() + Duration::from_secs(1_000);
    let mut limits = ServerLimits::default();
    let statement = LimitStatement {
        server: 1,
        process: 1,
        limit_per_s: Some(limit_per_s),
        age: Duration::ZERO,
    };
    assert!(!limits.merge(now, &statement));
    assert!(limits.is_empty());
}

/// Guards against a log line and a digest entry for each answer of a server whose limit moves.
#[test]
fn small_moves_of_a_limit_are_kept_but_not_told_at_once() {
    let start = Instant::now() + Duration::from_secs(1_000);
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut limits = ServerLimits::default();
    assert!(limits.record(at(0), 1, 1, Some(4.0), at(0)));
    for step in 1_u32..100 {
        let limit = 4.0 + f64::from(step % 10) / 20.0;
        let now = at(100 * u64::from(step));
        assert!(!limits.record(now, 1, 1, Some(limit), now));
    }
    limits.divide(at(10_000), 1, |_| 0);
    limits.take(at(10_000), 1, 1);
    let next = at(10_000) + Duration::from_secs_f64(1.0 / 4.45);
    assert_eq!(limits.decide(at(10_000), 1, 1), LimitDecision::From(next));
    assert!(limits.record(at(10_001), 1, 1, Some(6.0), at(10_001)));
    assert!(limits.record(at(10_002), 1, 1, None, at(10_002)));
}
