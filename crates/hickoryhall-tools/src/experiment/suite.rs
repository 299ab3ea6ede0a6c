//! Runs the simulations for all deployments, cache sizes, loads, faults and seeds.

use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use hickoryhall_routing::{BaselineKind, CostModel};
use hickoryhall_standins::engine::EngineConfig;

use super::{Fault, Outcome, Policy, Scenario, Summary, run};
use crate::workload::Profile;

/// Number of runners of a deployment.
const RUNNERS: usize = 9;
/// Number of entry hosts of a deployment.
const HOSTS: usize = 6;
/// Loads, as fractions of the highest rate that the policy [`EXACT`] sustains.
const LOADS: [f64; 3] = [0.2, 0.7, 0.95];
/// Time at the start of a run that is not measured.
const WARM_UP: Duration = Duration::from_secs(120);
/// Length of a run, including the warm-up.
const LENGTH: Duration = Duration::from_secs(240);
/// Time from the start of a run to the fault.
const FAULT_AT: Duration = Duration::from_secs(180);
/// Number of bisection steps in the search for the capacity.
const CAPACITY_STEPS: u32 = 7;
/// Length of a run in the search for the capacity; its first half is the warm-up.
const CAPACITY_LENGTH: Duration = Duration::from_secs(120);
/// Upper bound of the 99th percentile of the time to the first token for a sustained rate.
const SUSTAINED_P99: Duration = Duration::from_secs(4);

/// Reference policy that knows the queue and the cache of every runner exactly.
pub const EXACT: Policy = Policy::Baseline(BaselineKind::Exact);
/// Baseline that considers only the load.
pub const LEAST_LOAD: Policy = Policy::Baseline(BaselineKind::LeastLoad);
/// Baseline that considers only the prompts.
pub const RENDEZVOUS: Policy = Policy::Baseline(BaselineKind::Rendezvous);
/// The product's placement, with every message to trackers delivered.
pub const TRACKED: Policy = Policy::Tracked {
    delivered_fraction: 1.0,
};

/// Cache memory of all runners together, relative to the distinct prompts of the traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CacheSize {
    /// Name in reports.
    pub name: &'static str,
    /// Cache memory divided by the total length of all distinct prompts.
    pub relative_size: f64,
}

/// Cache sizes that are compared.
pub const CACHES: [CacheSize; 2] = [
    CacheSize {
        name: "ample",
        relative_size: 1.5,
    },
    CacheSize {
        name: "short",
        relative_size: 0.4,
    },
];

/// Deployment, cache size and load of one comparison.
#[derive(Clone, Debug)]
pub struct Setting {
    /// Shape of the traffic, without faults.
    pub profile: Profile,
    /// Cache memory of the runners.
    pub cache: CacheSize,
    /// Rate as a fraction of the highest one that the policy [`EXACT`] sustains.
    pub load: f64,
    /// Rate in requests per second.
    pub requests_per_s: f64,
}

/// Results of one policy in one setting.
#[derive(Clone, Debug)]
pub struct Row {
    /// Setting of the runs.
    pub setting: Setting,
    /// Policy of the runs.
    pub policy: Policy,
    /// Results of the runs, one for each seed.
    pub summaries: Vec<Summary>,
}

impl Row {
    /// Returns the mean of a result over the seeds.
    #[must_use]
    pub fn mean(&self, figure: impl Fn(&Summary) -> f64) -> f64 {
        self.summaries.iter().map(figure).sum::<f64>() / self.summaries.len().max(1) as f64
    }

    /// Returns the mean 99th percentile of the time to the first token, in seconds.
    ///
    /// It is infinite if a run is overloaded, since the requests without a first token are not in
    /// the percentile.
    #[must_use]
    pub fn p99_s(&self) -> f64 {
        self.mean(|s| {
            if s.is_overloaded() {
                f64::INFINITY
            } else {
                s.ttft_p99.as_secs_f64()
            }
        })
    }
}

/// Results before and after a fault.
#[derive(Clone, Debug)]
pub struct FaultRow {
    /// Name of the profile.
    pub profile: &'static str,
    /// Name of the fault in reports.
    pub name: &'static str,
    /// Requests that arrived in the 10 seconds before the fault.
    pub before: Summary,
    /// Requests that arrived in the 10 seconds after the fault.
    pub after: Summary,
    /// Requests that arrived more than 10 seconds after the fault.
    pub later: Summary,
}

/// Runs all policies in all settings, with the seeds from 1 to `seeds`.
#[must_use]
pub fn compare(settings: &[Setting], seeds: u64) -> Vec<Row> {
    let jobs = settings.iter().flat_map(|setting| {
        Policy::ALL
            .into_iter()
            .map(move |policy| (setting.clone(), policy))
    });
    in_parallel(jobs.collect(), |(setting, policy)| {
        let run_seed = |seed| run(&scenario(&setting, seed), policy).0.summary();
        Row {
            policy,
            summaries: (1..=seeds).map(run_seed).collect(),
            setting: setting.clone(),
        }
    })
}

/// Runs the product's placement with each fault, at 70 % load with the short cache.
#[must_use]
pub fn faults(settings: &[Setting], seeds: u64) -> Vec<FaultRow> {
    let faults = [
        ("all hosts restart", Fault::RestartHosts(FAULT_AT)),
        ("one runner crashes", Fault::CrashRunner(FAULT_AT)),
        ("no host reaches another", Fault::IsolateHosts(FAULT_AT)),
        ("hot prompts shift", Fault::None),
    ];
    let settings = settings
        .iter()
        .filter(|s| s.cache.name == "short" && s.load == LOADS[1])
        .cloned();
    let jobs = settings.flat_map(|setting| faults.map(|fault| (setting.clone(), fault)));
    in_parallel(jobs.collect(), |(setting, (name, fault))| {
        let mut totals = [Outcome::default(), Outcome::default(), Outcome::default()];
        for seed in 1..=seeds {
            let mut scenario = Scenario {
                fault,
                ..scenario(&setting, seed)
            };
            if fault == Fault::None {
                scenario.profile.shift_after = Some(FAULT_AT);
            }
            let (_, windows) = run(&scenario, TRACKED);
            for (at, outcome) in &windows {
                let window_index = match at {
                    at if *at + Duration::from_secs(10) == FAULT_AT => 0,
                    at if *at == FAULT_AT => 1,
                    at if *at > FAULT_AT => 2,
                    _ => continue,
                };
                totals[window_index].merge(outcome);
            }
        }
        let [before, after, later] = totals.map(|outcome| outcome.summary());
        FaultRow {
            profile: setting.profile.name,
            name,
            before,
            after,
            later,
        }
    })
}

/// Runs the product's placement without and with a flood of requests of one more workspace, at
/// 20 % load with the ample cache, and returns the results of the other workspaces in this order.
#[must_use]
pub fn flood(settings: &[Setting], seeds: u64) -> Vec<(Setting, Summary, Summary)> {
    let settings = settings
        .iter()
        .filter(|s| s.cache.name == "ample" && s.load == LOADS[0])
        .cloned();
    in_parallel(settings.collect(), |setting| {
        let mut totals = [Outcome::default(), Outcome::default()];
        for seed in 1..=seeds {
            let without_flood = scenario(&setting, seed);
            // No prompt of the flood is cached; its rate is twice what the runners can compute.
            let prompt_s = f64::from(setting.profile.prompt_tokens())
                / f64::from(without_flood.engine.prefill_tokens_per_s);
            let flood_per_s = 2.0 * RUNNERS as f64 / prompt_s;
            totals[0].merge(&run(&without_flood, TRACKED).0);
            totals[1].merge(
                &run(
                    &Scenario {
                        flood_per_s,
                        ..without_flood
                    },
                    TRACKED,
                )
                .0,
            );
        }
        let [without_flood, with_flood] = totals.map(|outcome| outcome.summary());
        (setting, without_flood, with_flood)
    })
}

/// Returns the settings for every profile, cache size and load. Their rates are fractions of the
/// highest rate that the policy [`EXACT`] sustains.
#[must_use]
pub fn settings(profiles: &[Profile]) -> Vec<Setting> {
    let pairs = profiles
        .iter()
        .flat_map(|p| CACHES.map(|cache| (p.clone(), cache)));
    let capacities = in_parallel(pairs.collect(), |(profile, cache)| {
        let setting = Setting {
            profile,
            cache,
            load: 1.0,
            requests_per_s: 1.0,
        };
        let capacity = capacity(&setting);
        (setting, capacity)
    });
    let at_load = |setting: &Setting, capacity: f64, load: f64| Setting {
        load,
        requests_per_s: capacity * load,
        ..setting.clone()
    };
    capacities
        .iter()
        .flat_map(|(setting, capacity)| LOADS.map(|load| at_load(setting, *capacity, load)))
        .collect()
}

/// Finds the highest rate that the policy [`EXACT`] sustains, by bisection.
fn capacity(setting: &Setting) -> f64 {
    let prompt = f64::from(setting.profile.prompt_tokens());
    let rate = f64::from(EngineConfig::default().prefill_tokens_per_s);
    let (mut low, mut high) = (0.0, RUNNERS as f64 * rate / prompt * 50.0);
    for _ in 0..CAPACITY_STEPS {
        let middle = (low + high) / 2.0;
        let trial = Setting {
            requests_per_s: middle,
            ..setting.clone()
        };
        let trial = Scenario {
            length: CAPACITY_LENGTH,
            warm_up: CAPACITY_LENGTH / 2,
            ..scenario(&trial, 1)
        };
        let summary = run(&trial, EXACT).0.summary();
        if !summary.is_overloaded() && summary.ttft_p99 < SUSTAINED_P99 {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

fn scenario(setting: &Setting, seed: u64) -> Scenario {
    let distinct = setting.profile.distinct_tokens() as f64;
    let cache_tokens = (distinct * setting.cache.relative_size / RUNNERS as f64) as u64;
    Scenario {
        profile: setting.profile.clone(),
        requests_per_s: setting.requests_per_s,
        flood_per_s: 0.0,
        engine: EngineConfig {
            cache_tokens,
            ..EngineConfig::default()
        },
        runners: RUNNERS,
        hosts: HOSTS,
        length: LENGTH,
        warm_up: WARM_UP,
        cost: CostModel::default(),
        fault: Fault::None,
        seed,
    }
}

/// Runs jobs in parallel on all processors and returns their results in the order of the jobs.
fn in_parallel<J: Send, R: Send>(jobs: Vec<J>, work: impl Fn(J) -> R + Sync) -> Vec<R> {
    let count = jobs.len();
    let jobs = Mutex::new(jobs.into_iter().enumerate().collect::<Vec<_>>());
    let results = Mutex::new((0..count).map(|_| None).collect::<Vec<Option<R>>>());
    let next = || jobs.lock().expect("no job panics with the lock").pop();
    thread::scope(|scope| {
        let processors = thread::available_parallelism().map_or(1, usize::from);
        for _ in 0..processors.min(count) {
            scope.spawn(|| {
                while let Some((index, job)) = next() {
                    let result = work(job);
                    results.lock().expect("no job panics with the lock")[index] = Some(result);
                }
            });
        }
    });
    let results = results.into_inner().expect("no job panics with the lock");
    results
        .into_iter()
        .map(|result| result.expect("every job has run"))
        .collect()
}
