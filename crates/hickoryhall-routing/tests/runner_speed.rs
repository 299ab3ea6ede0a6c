//! Learning of runner speeds from noisy samples, alone and with statements of peers.

use std::time::{Duration, Instant};

use hickoryhall_routing::{
    RunnerSpeeds, ServiceSums, SpeedConstants, SpeedSample, SpeedSource, SpeedStatement,
};
use hickoryhall_types::rendezvous_score;
use rstest::rstest;

const SERVICE: u64 = 1;
const CONSTANTS: SpeedConstants = SpeedConstants {
    prefill_tokens_per_ms: 32.0,
    attention_ms_per_million_pairs: 0.65,
    first_event_ms: 25.0,
};
/// Runners of the second deployment.
const FAST_MACHINES: SpeedConstants = SpeedConstants {
    prefill_tokens_per_ms: 93.6,
    attention_ms_per_million_pairs: 0.35,
    first_event_ms: 83.0,
};
/// Runners of the first deployment.
const FAST_START: SpeedConstants = SpeedConstants {
    prefill_tokens_per_ms: 81.9,
    attention_ms_per_million_pairs: 0.165,
    first_event_ms: 41.0,
};
/// Runners that are slower than the constants.
const SLOW_MACHINES: SpeedConstants = SpeedConstants {
    prefill_tokens_per_ms: 16.0,
    attention_ms_per_million_pairs: 1.3,
    first_event_ms: 60.0,
};
/// Runners that the constants are meant for.
const USUAL_MACHINES: SpeedConstants = SpeedConstants {
    prefill_tokens_per_ms: 38.4,
    attention_ms_per_million_pairs: 0.65,
    first_event_ms: 25.0,
};
/// Missing and all tokens of a long prompt in the cache, one that is not, and a short one.
const PROMPTS: [(u32, u32); 3] = [(2_890, 9_190), (9_190, 9_190), (628, 826)];

/// Noise of samples, as fractions of all.
#[derive(Clone, Copy, Default)]
struct Noise {
    /// Samples that wait for work that the host does not know of, up to 150 ms.
    hidden_work: f64,
    /// Long prompts believed to be cached that are not.
    evicted: f64,
    /// Samples of a machine that is slowed by a factor of 2.5 and does not say so.
    slowed: f64,
}

const NOISE: Noise = Noise {
    hidden_work: 0.2,
    evicted: 0.1,
    slowed: 0.15,
};

struct Host {
    speeds: RunnerSpeeds,
    seed: u64,
    count: u64,
}

impl Host {
    fn new(seed: u64) -> Self {
        Self {
            speeds: RunnerSpeeds::new(CONSTANTS),
            seed,
            count: 0,
        }
    }

    /// Returns a number from 0 to 1 that depends only on the host and how many it gave before.
    fn random(&mut self) -> f64 {
        self.count += 1;
        (rendezvous_score(self.seed, self.count) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Records a sample of a random prompt at a runner whose times are `factor` times the usual ones.
    fn sample(
        &mut self,
        now: Instant,
        runner: u64,
        true_speed: SpeedConstants,
        factor: f64,
        noise: Noise,
    ) {
        let (missing, input) = PROMPTS[(self.random() * 2.999) as usize];
        let is_evicted = self.random() < noise.evicted;
        let truly_missing = if is_evicted { input } else { missing };
        let mut took_ms =
            (true_speed.first_event_ms + true_speed.prefill_ms(truly_missing, input)) * factor;
        took_ms *= 1.0 + 0.06 * self.random();
        if self.random() < noise.slowed {
            took_ms *= 2.5;
        }
        if self.random() < noise.hidden_work {
            took_ms += 150.0 * self.random();
        }
        self.speeds.record(
            now,
            &SpeedSample {
                service: SERVICE,
                runner,
                process: 1,
                missing,
                input,
                took: Duration::from_secs_f64(took_ms / 1_000.0),
                slowdown: 1.0,
            },
        );
    }

    /// Returns the estimate of a prompt's time at a runner.
    fn estimate_ms(&self, runner: u64, (missing, input): (u32, u32)) -> f64 {
        let work_ms = CONSTANTS.prefill_ms(missing, input);
        let service = self.speeds.service(SERVICE);
        service.estimate_ms(work_ms) * self.speeds.factor(SERVICE, runner, 1)
    }
}

fn true_ms(speed: SpeedConstants, factor: f64, (missing, input): (u32, u32)) -> f64 {
    (speed.first_event_ms + speed.prefill_ms(missing, input)) * factor
}

/// Guards against estimates that stay at the constants on other machines, that follow the noise
/// upwards, or that tell first event and prefill apart wrongly.
#[rstest]
#[case::fast_machines(FAST_MACHINES, Noise::default(), 0.05)]
#[case::fast_machines_with_noise(FAST_MACHINES, NOISE, 0.12)]
#[case::fast_start(FAST_START, Noise::default(), 0.05)]
#[case::fast_start_with_noise(FAST_START, NOISE, 0.12)]
#[case::slow_machines(SLOW_MACHINES, Noise::default(), 0.05)]
#[case::slow_machines_with_noise(SLOW_MACHINES, NOISE, 0.12)]
fn a_service_is_learned(
    #[case] true_speed: SpeedConstants,
    #[case] noise: Noise,
    #[case] max_error: f64,
) {
    let start = Instant::now();
    let mut host = Host::new(7);
    for n in 0..600 {
        let now = start + Duration::from_millis(n * 50);
        host.sample(now, n % 140, true_speed, 1.0, noise);
    }
    for prompt in PROMPTS {
        let ratio = host.estimate_ms(999, prompt) / true_ms(true_speed, 1.0, prompt);
        println!("prompt {prompt:?}: estimate {ratio:.3} of the truth");
        assert!((ratio - 1.0).abs() <= max_error, "{prompt:?}: {ratio}");
    }
    let changes = host.speeds.take_changes();
    assert_eq!(changes.len(), 1);
    assert!(changes[0].is_departure);
}

/// Guards against an estimate that takes all samples for noise after the machines became slower.
#[test]
fn a_service_that_becomes_slower_is_learned_again() {
    let start = Instant::now();
    let mut host = Host::new(7);
    for n in 0..3_600 {
        let factor = if n < 1_200 { 1.0 } else { 2.0 };
        let now = start + Duration::from_millis(n * 50);
        host.sample(now, n % 140, FAST_MACHINES, factor, NOISE);
    }
    for prompt in PROMPTS {
        let estimates_ms = (0..140).map(|runner| host.estimate_ms(runner, prompt));
        let mean_ms = estimates_ms.sum::<f64>() / 140.0;
        let ratio = mean_ms / true_ms(FAST_MACHINES, 2.0, prompt);
        println!("prompt {prompt:?}: estimate {ratio:.3} of the truth");
        assert!((ratio - 1.0).abs() <= 0.15, "{prompt:?}: {ratio}");
    }
}

/// Guards deployments whose runners match the constants against any change of their placement.
#[rstest]
#[case::exact(Noise::default())]
#[case::with_noise(NOISE)]
fn usual_machines_keep_the_constants(#[case] noise: Noise) {
    let start = Instant::now();
    for seed in 0..20 {
        let mut host = Host::new(seed);
        for n in 0..2_000 {
            let now = start + Duration::from_millis(n * 50);
            host.sample(now, n % 140, USUAL_MACHINES, 1.0, noise);
            host.speeds.refresh(now);
        }
        assert_eq!(host.speeds.take_changes(), []);
        assert_eq!(host.speeds.service(SERVICE).work_factor, 1.0);
    }
}

/// Guards against runners that are placed by the usual speed although theirs is another, the slow
/// ones above all, whose samples look like noise.
#[rstest]
#[case::exact(Noise::default(), 0.08)]
#[case::with_noise(NOISE, 0.15)]
fn factors_of_runners_are_learned(#[case] noise: Noise, #[case] max_error: f64) {
    let start = Instant::now();
    let factors = [0.7, 0.7, 1.7];
    let mut host = Host::new(3);
    for n in 0..600 {
        let now = start + Duration::from_millis(n * 100);
        let runner = (host.random() * 2.999) as usize;
        host.sample(now, runner as u64, FAST_MACHINES, factors[runner], noise);
    }
    for (runner, factor) in factors.into_iter().enumerate() {
        for prompt in PROMPTS {
            let estimate_ms = host.estimate_ms(runner as u64, prompt);
            let ratio = estimate_ms / true_ms(FAST_MACHINES, factor, prompt);
            println!("runner {runner}, prompt {prompt:?}: estimate {ratio:.3} of the truth");
            assert!(
                (ratio - 1.0).abs() <= max_error,
                "{runner} {prompt:?}: {ratio}"
            );
        }
    }
}

/// Guards against one odd sample that changes a runner's factor, and against a factor beyond its
/// bounds.
#[test]
fn one_sample_says_little() {
    let start = Instant::now();
    let mut host = Host::new(5);
    for n in 0..400 {
        host.sample(start, n % 10, FAST_MACHINES, 1.0, Noise::default());
    }
    host.sample(start, 77, FAST_MACHINES, 1_000.0, Noise::default());
    let factor = host.speeds.factor(SERVICE, 77, 1);
    // Two samples of 1 are added to it: a third of the bound of 4, as logarithms.
    assert!(factor <= 4.0_f64.cbrt() + 0.001, "{factor}");
    for _ in 0..100 {
        host.sample(start, 77, FAST_MACHINES, 1_000.0, Noise::default());
    }
    let factor = host.speeds.factor(SERVICE, 77, 1);
    assert!((3.0..=4.0).contains(&factor), "{factor}");
}

/// Guards deployments whose runners match the constants against another placement than before: noise
/// moved prompts away from runners that were only busy.
#[test]
fn factors_are_not_used_where_the_constants_hold() {
    let start = Instant::now();
    let mut host = Host::new(5);
    for n in 0..400 {
        let factor = if n % 4 == 0 { 3.0 } else { 1.0 };
        host.sample(start, n % 4, USUAL_MACHINES, factor, Noise::default());
    }
    assert_eq!(host.speeds.factor(SERVICE, 0, 1), 1.0);
}

/// Guards against a new process that is placed by the speed of the one before, and against a slow
/// runner that is never tried again.
#[test]
fn a_factor_ends_with_its_process_and_with_time() {
    let start = Instant::now();
    let mut host = Host::new(5);
    for n in 0..400 {
        let factor = if n % 4 == 0 { 1.7 } else { 1.0 };
        host.sample(start, n % 4, FAST_MACHINES, factor, Noise::default());
    }
    assert!(host.speeds.factor(SERVICE, 0, 1) > 1.4);
    assert_eq!(host.speeds.factor(SERVICE, 0, 2), 1.0);
    host.speeds.refresh(start + Duration::from_secs(150));
    let factor = host.speeds.factor(SERVICE, 0, 1);
    assert!(factor < 1.05, "{factor}");
    let service = host.speeds.service(SERVICE);
    assert!(service.work_factor < 0.6, "the service keeps its speed");
}

/// Guards against samples that count again with each statement, and against a host that forgets
/// what peers said before it has own samples.
#[test]
fn repeated_statements_count_once() {
    let now = Instant::now();
    let mut teller = Host::new(1);
    for n in 0..400 {
        let factor = if n % 4 == 0 { 1.7 } else { 1.0 };
        teller.sample(now, n % 4, FAST_MACHINES, factor, Noise::default());
    }
    let mut reader = Host::new(2);
    let mut samples = 0.0;
    for _ in 0..5 {
        for (service, sums) in teller.speeds.own_services(now) {
            let source = SpeedSource::Host(9);
            reader.speeds.merge_service(now, source, service, &sums);
        }
        for told in teller.speeds.take_own_statements(now, 100) {
            let source = SpeedSource::Host(9);
            let (runner, process) = (told.runner, told.process);
            reader
                .speeds
                .merge_runner(now, source, runner, process, &told.statement);
        }
        reader.speeds.refresh(now + Duration::from_millis(1));
        samples = reader.speeds.group_services(now)[0].1.samples;
    }
    assert!((samples - 400.0).abs() < 1.0, "{samples}");
    for runner in 0..4 {
        let (told, known) = (
            teller.speeds.factor(SERVICE, runner, 1),
            reader.speeds.factor(SERVICE, runner, 1),
        );
        assert!((told / known - 1.0).abs() < 0.02, "{told} {known}");
    }
}

/// Guards against statements that fill the digests: only those that changed are told, twice, and
/// all get their turn.
#[test]
fn statements_rotate_and_end() {
    let now = Instant::now();
    let mut host = Host::new(1);
    for n in 0..200 {
        host.sample(now, n % 50, FAST_MACHINES, 1.0, Noise::default());
    }
    let mut told = (0..10)
        .flat_map(|_| host.speeds.take_own_statements(now, 12))
        .map(|told| told.runner)
        .collect::<Vec<_>>();
    assert_eq!(told.len(), 100);
    told.sort_unstable();
    told.dedup();
    assert_eq!(told.len(), 50);
    assert_eq!(host.speeds.take_own_statements(now, 12), []);
}

/// Guards against statements of a peer that hold numbers which no samples have.
#[test]
fn unusable_statements_change_nothing() {
    let now = Instant::now();
    let mut host = Host::new(1);
    let source = SpeedSource::Group(1);
    let sums = ServiceSums {
        samples: 1e9,
        weight: f64::NAN,
        ..ServiceSums::default()
    };
    host.speeds.merge_service(now, source, SERVICE, &sums);
    let statement = SpeedStatement {
        factor_permille: u32::MAX,
        samples_64: u32::MAX,
        weight_64: u32::MAX,
    };
    host.speeds.merge_runner(now, source, 1, 1, &statement);
    host.speeds.refresh(now);
    assert_eq!(host.speeds.service(SERVICE).work_factor, 1.0);
    assert!(host.speeds.factor(SERVICE, 1, 1) <= 4.0);
}
