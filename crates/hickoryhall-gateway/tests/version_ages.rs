//! Ages of desired versions that a host did not see being written.

mod support;

use std::time::{Duration, Instant};

use hickoryhall_gateway::core::{Core, CoreConfig, DesiredVersionSource};
use hickoryhall_gateway::peers::Digest;
use hickoryhall_gateway::registry::RegistryEvent;
use hickoryhall_gateway::scheduler::{
    DesiredVersionAge, HostLoad, LoadSource, PlacementRequest, PromptInfo, Scheduler,
    SchedulerConfig,
};
use hickoryhall_limits::FleetRetryLimit;
use hickoryhall_routing::{Level, PrefixChain};
use hickoryhall_types::hash_name;
use support::{model_service, runner, table_of};

const SECOND: Duration = Duration::from_secs(1);

fn config(host: &str) -> SchedulerConfig {
    SchedulerConfig::new(hash_name(host), "a".into())
}

/// Returns a scheduler with one runner, which has version 1.
fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::new(config("me"));
    scheduler.set_table(&table_of([("models", model_service(8, 90_000))]));
    scheduler.on_registry(RegistryEvent::Upsert(runner(1, 8)));
    scheduler
}

fn request(now: Instant, attempt_id: u64, target_latency: Duration) -> PlacementRequest {
    PlacementRequest {
        attempt_id,
        service: "models".into(),
        priority: (0, 0),
        prompt: Some(PromptInfo {
            model: "m".into(),
            chain: PrefixChain::from_levels(vec![Level {
                key: attempt_id,
                tokens: 100,
            }]),
            input_tokens: 100,
            output_tokens: 10,
        }),
        is_resumable: true,
        arrived_at: now,
        target_latency,
        deadline: now + 15 * SECOND,
        excluded_servers: Vec::new(),
        software: None,
        suspect: None,
    }
}

/// Returns whether a request is placed at the runner.
fn is_placed(scheduler: &mut Scheduler, now: Instant, attempt_id: u64) -> bool {
    let placement = scheduler.place(now, request(now, attempt_id, SECOND));
    placement.is_some_and(|placement| placement.is_ok())
}

/// Guards against a host that started, took an old version for a new one and used the weights before
/// it for seconds longer than the others.
#[test]
fn weights_before_a_version_of_unknown_age_are_used_only_shortly() {
    let now = Instant::now() + 1_000 * SECOND;
    let mut scheduler = scheduler();
    let age = DesiredVersionAge::AtLeast(Duration::ZERO);
    scheduler.record_desired_version(now, "m".into(), 2, age);
    assert!(is_placed(&mut scheduler, now + SECOND, 1));
    assert!(!is_placed(&mut scheduler, now + 3 * SECOND, 2));
}

#[test]
fn weights_are_used_as_long_as_the_age_that_a_peer_knows_allows() {
    let now = Instant::now() + 1_000 * SECOND;
    let mut scheduler = scheduler();
    let age = DesiredVersionAge::AtLeast(Duration::ZERO);
    scheduler.record_desired_version(now, "m".into(), 2, age);
    scheduler.record_desired_version(now, "m".into(), 2, DesiredVersionAge::Exact(SECOND));
    assert!(is_placed(&mut scheduler, now + 3 * SECOND, 1));
    assert!(!is_placed(&mut scheduler, now + 7 * SECOND, 2));
}

#[test]
fn a_version_of_unknown_age_is_not_hidden_by_a_newer_one() {
    let now = Instant::now() + 1_000 * SECOND;
    let mut scheduler = scheduler();
    let age = DesiredVersionAge::AtLeast(Duration::ZERO);
    scheduler.record_desired_version(now, "m".into(), 2, age);
    let age = DesiredVersionAge::Exact(Duration::ZERO);
    scheduler.record_desired_version(now, "m".into(), 3, age);
    assert!(!is_placed(&mut scheduler, now + 3 * SECOND, 1));
}

/// A host that does not know the age of a version must not make its peers believe that it does.
#[test]
fn peers_tell_whether_they_know_an_age() {
    let now = Instant::now() + 1_000 * SECOND;
    for age in [
        DesiredVersionAge::AtLeast(SECOND),
        DesiredVersionAge::Exact(SECOND),
    ] {
        let config = CoreConfig {
            host: 1,
            scheduler: config("peer"),
            retry_limit: FleetRetryLimit {
                ratio: 0.2,
                extra_retries: 50.0,
                window: 10 * SECOND,
            },
            restarted_at: None,
        };
        let mut core = Core::new(config, slog::Logger::root(slog::Discard, slog::o!()));
        core.set_desired_version(now, "m".into(), 2, age, DesiredVersionSource::Store);
        let digest = core.digest(now, 1).encode(&[]);
        let (digest, _) = Digest::decode(&digest).expect("a digest");
        assert_eq!(digest.desired_versions[0].age, age);
    }
}

/// Guards against requests that begin on replaced weights after the limit, because their runner is
/// slower than estimated: as long as another runner may take over, a first event may take 1.5 times
/// its estimate and 1.2 s.
#[test]
fn requests_that_take_longer_than_estimated_begin_on_old_weights_before_the_limit() {
    let limit = 8 * SECOND;
    let ms = Duration::from_millis;
    let mut placed = 0;
    for pending_ms in (0..3_000).step_by(300) {
        for age_ms in (0..8_000).step_by(100) {
            let now = Instant::now() + 1_000 * SECOND;
            let mut scheduler = Scheduler::new(SchedulerConfig {
                // That of the settings for this limit.
                old_weights_limit: limit.mul_f64(0.85),
                ..config("me")
            });
            scheduler.set_table(&table_of([("models", model_service(8, 90_000))]));
            scheduler.on_registry(RegistryEvent::Upsert(runner(1, 8)));
            let load = HostLoad {
                requests: 1,
                pending_ms,
                urgent_pending_ms: pending_ms,
                ..HostLoad::default()
            };
            let server = hash_name(&runner(1, 8).id);
            scheduler.set_peer_load(now, LoadSource::Host(7), server, Some(1), load);
            let age = DesiredVersionAge::Exact(ms(age_ms));
            scheduler.record_desired_version(now, "m".into(), 2, age);
            let Some(Ok(assignment)) = scheduler.place(now, request(now, 1, 10 * SECOND)) else {
                continue;
            };
            placed += 1;
            let first_event = assignment.estimate.mul_f64(1.5) + ms(1_200);
            let begins_at = ms(age_ms) + first_event;
            assert!(
                begins_at <= limit,
                "age {age_ms} ms, {pending_ms} ms pending"
            );
        }
    }
    assert!(placed > 400, "{placed} requests placed");
}
