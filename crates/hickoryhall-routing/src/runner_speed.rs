//! Learns how fast the runners of each service are, from the times to the first event of requests.
//!
//! Samples are noisy upwards: work of other hosts that this host does not know of, prompts that
//! were evicted in the meantime, and machines that are slow for a moment. So samples above the
//! estimate count much less than those below.

mod runner;
mod service;
mod sums;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use hickoryhall_types::{Incarnation, TokenCount};

pub use runner::SpeedStatement;
use runner::{MAX_FACTOR, RunnerSums};
pub use service::{ServiceSpeed, ServiceSums};
pub use sums::SpeedSource;
use sums::{Sums, SumsBySource};

/// Time constant with which samples of a service lose weight.
const SERVICE_MEMORY: Duration = Duration::from_secs(20);
/// Time constant with which samples of a runner lose weight. A slow runner that gets no requests, and
/// so yields no samples, is tried again after a few such times.
const RUNNER_MEMORY: Duration = Duration::from_secs(20);
/// Weight of a sample just above the estimate. With 0.12 for all samples above it, services that match
/// the constants departed from them where runners were busy for three quarters of the time, because
/// most samples then had waited for work of other hosts.
const HIGH_WEIGHT: f64 = 0.06;
/// Exponent with which the weight falls with the ratio of a sample to the estimate: a sample twice as
/// high has a weight of 0.015.
const HIGH_DECAY: f64 = 2.0;
/// Weight of a sample of a machine that reports to be slow or fast at the moment. It may have
/// become so during the request, so that the reported figure does not hold for all of its time.
const UNUSUAL_WEIGHT: f64 = 0.25;
/// Number of samples of a service from which runners are compared with its fit.
const MIN_SERVICE_SAMPLES: f64 = 24.0;
/// Number of samples from which a service may depart from the constants. A lone host of a small fleet
/// takes them in some seconds, the hosts of a large one together in a moment.
const MIN_DEPARTURE_SAMPLES: f64 = 64.0;
/// Deviation of the prefill time from the constants from which learned values are used. Runners for which
/// the constants were measured take 0.83 of it.
const DEPARTURE: f64 = 1.5;
/// Deviation from the constants below which they are used again.
const RETURN: f64 = 1.25;
/// Number of samples below which a source or a runner is forgotten.
const MIN_SAMPLES: f64 = 0.02;
/// Time between two evaluations of all sums, which take one exponential for each runner and source.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Number of digests that carry a changed statement, as one may be lost.
const REPEATS: u8 = 2;

/// Speed that holds until samples show another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedConstants {
    /// Prefill rate.
    pub prefill_tokens_per_ms: f64,
    /// Attention time per million token pairs; each token attends to all tokens before it.
    pub attention_ms_per_million_pairs: f64,
    /// Time to the first event of a fully cached prompt, in milliseconds.
    pub first_event_ms: f64,
}

impl SpeedConstants {
    /// Returns the prefill time of the last `missing` tokens of a prompt, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, missing: TokenCount, input: TokenCount) -> f64 {
        let (missing, input) = (f64::from(missing), f64::from(input));
        let million_pairs = missing * (input - missing / 2.0) / 1e6;
        missing / self.prefill_tokens_per_ms + million_pairs * self.attention_ms_per_million_pairs
    }
}

/// First event of a request that was placed on a runner without queued work and without a transfer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedSample {
    /// Hash of the service's name.
    pub service: u64,
    /// Hash of the runner's id.
    pub runner: u64,
    /// Process of the runner.
    pub process: Incarnation,
    /// Prompt tokens that the runner had to prefill.
    pub missing: TokenCount,
    /// Length of the prompt, in tokens.
    pub input: TokenCount,
    /// Time from sending to the first event.
    pub took: Duration,
    /// How long work takes on the machine at the moment, relative to its usual time.
    pub slowdown: f64,
}

/// Statement about one process of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunnerStatement {
    /// Hash of the runner's id.
    pub runner: u64,
    /// Process of the runner.
    pub process: Incarnation,
    /// What is stated about it.
    pub statement: SpeedStatement,
}

/// A service departed from the constants or returned to them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedChange {
    /// Hash of the service's name.
    pub service: u64,
    /// Whether the learned values are used from now on.
    pub is_departure: bool,
    /// Learned values.
    pub learned: ServiceSpeed,
    /// Number of samples behind them, each weighted by its age.
    pub samples: f64,
}

#[derive(Clone, Debug)]
struct Service {
    sums: SumsBySource<ServiceSums>,
    learned: ServiceSpeed,
    samples: f64,
    is_departed: bool,
}

#[derive(Clone, Debug)]
struct Runner {
    process: Incarnation,
    sums: SumsBySource<RunnerSums>,
    factor: f64,
    /// Number of digests of this host that still have to carry its sums.
    untold: u8,
    /// The same for digests of the group.
    untold_in_group: u8,
}

/// Learned speed of services and runners.
#[derive(Debug)]
pub struct RunnerSpeeds {
    constants: SpeedConstants,
    services: HashMap<u64, Service>,
    /// In the order of the hashes, through which statements rotate.
    runners: BTreeMap<u64, Runner>,
    refreshed_at: Option<Instant>,
    changes: Vec<SpeedChange>,
    /// Runner after which the next statements of this host start, and of its group.
    told: [u64; 2],
}

impl RunnerSpeeds {
    /// Creates the state without samples.
    #[must_use]
    pub fn new(constants: SpeedConstants) -> Self {
        Self {
            constants,
            services: HashMap::new(),
            runners: BTreeMap::new(),
            refreshed_at: None,
            changes: Vec::new(),
            told: [0; 2],
        }
    }

    /// Records a sample of this host.
    pub fn record(&mut self, now: Instant, sample: &SpeedSample) {
        let work = self.constants.prefill_ms(sample.missing, sample.input);
        let slowdown = sample.slowdown.clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        let usual_ms = sample.took.as_secs_f64() * 1_000.0 / slowdown;
        let is_usual = (0.95..=1.05).contains(&slowdown);
        let reliability = if is_usual { 1.0 } else { UNUSUAL_WEIGHT };
        self.start_process(sample.runner, sample.process);
        let factor = self.runners.get(&sample.runner);
        let factor = factor.map_or(1.0, |runner| runner.factor);
        let base = self.constants.first_event_ms;
        let service = self.services.entry(sample.service);
        let service = service.or_insert_with(|| Service::new(base));
        let expected_ms = service.learned.estimate_ms(work).max(0.1);
        let bounded = |ms: f64| ms.clamp(expected_ms / MAX_FACTOR, expected_ms * MAX_FACTOR);
        let weight = |log_error: f64| reliability * weight_by_error(log_error);
        if service.samples >= MIN_SERVICE_SAMPLES
            && let Some(runner) = self.runners.get_mut(&sample.runner)
        {
            let log_factor = (bounded(usual_ms) / expected_ms).ln();
            let weight = weight(log_factor - runner.factor.ln());
            runner.sums.add(now, RunnerSums::sample(weight, log_factor));
            runner.evaluate(now);
            runner.untold = REPEATS;
            runner.untold_in_group = REPEATS;
        }
        let normal_ms = bounded(usual_ms / factor);
        // Relative errors count, so that long prompts do not outweigh short ones.
        let weight = weight((normal_ms / expected_ms).ln()) / (expected_ms * expected_ms);
        service
            .sums
            .add(now, ServiceSums::sample(weight, work, normal_ms));
        self.changes
            .extend(service.evaluate(now, sample.service, base));
    }

    /// Forgets what is known of a runner's process if another one is named.
    fn start_process(&mut self, runner: u64, process: Incarnation) {
        let known = self.runners.entry(runner);
        let known = known.or_insert_with(|| Runner::new(process));
        if known.process != process {
            *known = Runner::new(process);
        }
    }

    /// Records what a peer states about a process of a runner.
    pub fn merge_runner(
        &mut self,
        now: Instant,
        source: SpeedSource,
        runner: u64,
        process: Incarnation,
        statement: &SpeedStatement,
    ) {
        let Some(sums) = RunnerSums::from_statement(statement) else {
            return;
        };
        self.start_process(runner, process);
        if let Some(known) = self.runners.get_mut(&runner) {
            known.sums.set(now, source, sums);
            if matches!(source, SpeedSource::Host(_)) {
                known.untold_in_group = REPEATS;
            }
        }
    }

    /// Records what a peer states about a service.
    pub fn merge_service(
        &mut self,
        now: Instant,
        source: SpeedSource,
        service: u64,
        sums: &ServiceSums,
    ) {
        if sums.is_valid() {
            let base = self.constants.first_event_ms;
            let service = self.services.entry(service);
            let service = service.or_insert_with(|| Service::new(base));
            service.sums.set(now, source, *sums);
        }
    }

    /// Evaluates all sums as of now, unless that was done a moment ago.
    pub fn refresh(&mut self, now: Instant) {
        let is_fresh = self
            .refreshed_at
            .is_some_and(|at| now.saturating_duration_since(at) < REFRESH_INTERVAL);
        if is_fresh {
            return;
        }
        self.refreshed_at = Some(now);
        let base = self.constants.first_event_ms;
        for (&hash, service) in &mut self.services {
            service.sums.drop_old(now, MIN_SAMPLES);
            self.changes.extend(service.evaluate(now, hash, base));
        }
        for runner in self.runners.values_mut() {
            runner.sums.drop_old(now, MIN_SAMPLES);
            runner.evaluate(now);
        }
        self.runners
            .retain(|_, runner| runner.sums.total(now).samples >= MIN_SAMPLES);
    }

    /// Takes the departures from the constants and returns to them since the last call.
    pub fn take_changes(&mut self) -> Vec<SpeedChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns whether learned values are used for a service.
    #[must_use]
    pub fn is_learned(&self, service: u64) -> bool {
        let service = self.services.get(&service);
        service.is_some_and(|service| service.is_departed)
    }

    /// Returns the speed of a service by which its requests are placed.
    #[must_use]
    pub fn service(&self, service: u64) -> ServiceSpeed {
        let service = self.services.get(&service);
        let departed = service.filter(|service| service.is_departed);
        departed.map_or(
            ServiceSpeed::constants(self.constants.first_event_ms),
            |service| service.learned,
        )
    }

    /// Returns the factor of a runner's times by which requests are placed.
    ///
    /// It is 1 unless learned values are used for the service.
    #[must_use]
    pub fn factor(&self, service: u64, runner: u64, process: Incarnation) -> f64 {
        let is_learned = self.is_learned(service);
        let runner = self.runners.get(&runner);
        let used = runner.filter(|runner| is_learned && runner.process == process);
        used.map_or(1.0, |runner| runner.factor)
    }

    /// Returns the learned speed of each service, by the hash of its name, and the number of samples
    /// behind it, also where the constants are used.
    pub fn learned(&self) -> impl Iterator<Item = (u64, ServiceSpeed, f64)> {
        let services = self.services.iter();
        services.map(|(&hash, service)| (hash, service.learned, service.samples))
    }

    /// Returns the sums of this host's samples for each service.
    #[must_use]
    pub fn own_services(&self, now: Instant) -> Vec<(u64, ServiceSums)> {
        self.service_sums(|service| service.sums.own(now))
    }

    /// Returns the sums of the samples of this host's group for each service.
    #[must_use]
    pub fn group_services(&self, now: Instant) -> Vec<(u64, ServiceSums)> {
        self.service_sums(|service| service.sums.group(now))
    }

    fn service_sums(&self, sums: impl Fn(&Service) -> ServiceSums) -> Vec<(u64, ServiceSums)> {
        let services = self.services.iter();
        let sums = services.map(|(&hash, service)| (hash, sums(service)));
        sums.filter(|(_, sums)| sums.samples >= MIN_SAMPLES)
            .collect()
    }

    /// Returns at most `max` statements about runners for the next digest of this host: those whose
    /// samples changed, in rotation.
    pub fn take_own_statements(&mut self, now: Instant, max: usize) -> Vec<RunnerStatement> {
        self.take_statements(max, 0, |runner| {
            let is_untold = runner.untold > 0;
            runner.untold = runner.untold.saturating_sub(1);
            is_untold.then(|| runner.sums.own(now))
        })
    }

    /// Returns at most `max` statements for the next digest of this host's group.
    pub fn take_group_statements(&mut self, now: Instant, max: usize) -> Vec<RunnerStatement> {
        self.take_statements(max, 1, |runner| {
            let is_untold = runner.untold_in_group > 0;
            runner.untold_in_group = runner.untold_in_group.saturating_sub(1);
            is_untold.then(|| runner.sums.group(now))
        })
    }

    fn take_statements(
        &mut self,
        max: usize,
        rotation: usize,
        mut take: impl FnMut(&mut Runner) -> Option<RunnerSums>,
    ) -> Vec<RunnerStatement> {
        let last = self.told[rotation];
        let (before, after) = {
            let mut keys = self.runners.keys().copied().collect::<Vec<_>>();
            let after = keys.split_off(keys.partition_point(|&key| key <= last));
            (keys, after)
        };
        let mut statements = Vec::new();
        for key in after.into_iter().chain(before) {
            if statements.len() == max {
                break;
            }
            let Some(runner) = self.runners.get_mut(&key) else {
                continue;
            };
            let process = runner.process;
            if let Some(statement) = take(runner).and_then(RunnerSums::to_statement) {
                statements.push(RunnerStatement {
                    runner: key,
                    process,
                    statement,
                });
                self.told[rotation] = key;
            }
        }
        statements
    }
}

impl Service {
    fn new(first_event_ms: f64) -> Self {
        Self {
            sums: SumsBySource::new(SERVICE_MEMORY),
            learned: ServiceSpeed::constants(first_event_ms),
            samples: 0.0,
            is_departed: false,
        }
    }

    /// Fits the samples, and returns a departure from the constants or the return to them.
    ///
    /// A service without recent samples keeps what it has learned.
    fn evaluate(&mut self, now: Instant, hash: u64, base: f64) -> Option<SpeedChange> {
        let sums = self.sums.total(now);
        self.samples = sums.samples();
        if sums.samples < 1.0 || !sums.is_valid() {
            return None;
        }
        self.learned = sums.fit(base);
        if sums.samples < MIN_DEPARTURE_SAMPLES {
            return None;
        }
        // The time to the first event is not compared: where it is short, the constant makes up for work
        // of other hosts that is not known yet, and prompts were late without it.
        let work_factor = self.learned.work_factor;
        let deviation = work_factor.max(1.0 / work_factor);
        let is_departed = is_departed(self.is_departed, deviation);
        let was_departed = std::mem::replace(&mut self.is_departed, is_departed);
        (is_departed != was_departed).then_some(SpeedChange {
            service: hash,
            is_departure: is_departed,
            learned: self.learned,
            samples: self.samples,
        })
    }
}

impl Runner {
    fn new(process: Incarnation) -> Self {
        Self {
            process,
            sums: SumsBySource::new(RUNNER_MEMORY),
            factor: 1.0,
            untold: 0,
            untold_in_group: 0,
        }
    }

    fn evaluate(&mut self, now: Instant) {
        let sums = self.sums.total(now);
        self.factor = sums.factor();
    }
}

/// Returns the weight of a sample, given the logarithm of its time over the estimate.
fn weight_by_error(log_error: f64) -> f64 {
    if log_error <= 0.0 {
        1.0
    } else {
        HIGH_WEIGHT * (-HIGH_DECAY * log_error).exp()
    }
}

/// Returns whether learned values are used, given whether they were before.
fn is_departed(was_departed: bool, deviation: f64) -> bool {
    deviation > if was_departed { RETURN } else { DEPARTURE }
}
