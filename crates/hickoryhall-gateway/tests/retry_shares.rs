//! Shares of the fleet's retry budget of a host that joins the fleet.

mod support;

use std::time::{Duration, Instant};

use hickoryhall_gateway::core::{Core, CoreConfig};
use hickoryhall_gateway::scheduler::SchedulerConfig;
use hickoryhall_limits::FleetRetryLimit;
use hickoryhall_types::TargetId;
use support::{model_service, table_of};

const SECOND: Duration = Duration::from_secs(1);

fn joining_host(started_at: Instant) -> Core {
    let config = CoreConfig {
        host: 1,
        scheduler: SchedulerConfig::new(1, "a".into()),
        retry_limit: FleetRetryLimit {
            ratio: 0.0,
            extra_retries: 60.0,
            window: 10 * SECOND,
        },
        restarted_at: Some(started_at),
    };
    let mut core = Core::new(config, slog::Logger::root(slog::Discard, slog::o!()));
    core.set_table(table_of([("models", model_service(8, 90_000))]));
    core
}

/// Returns how many retries a host sends that tries it at each second of some time.
fn retries(core: &mut Core, start: Instant, seconds: u32) -> usize {
    let service = TargetId::from("models");
    core.record_request(start, &service);
    let mut sent = 0;
    for now in (0..seconds).map(|second| start + second * SECOND) {
        while core.reserve_retry(now, &service) && core.spend_retry(now, &service) {
            sent += 1;
        }
    }
    sent
}

/// Guards against a host that starts behind a cut and takes the part of a small fleet's host.
#[test]
fn a_host_that_does_not_know_the_fleet_takes_no_extra_retries() {
    let start = Instant::now();
    let mut core = joining_host(start);
    assert!(core.needs_fleet_size(start));
    assert_eq!(retries(&mut core, start, 50), 0);
}

#[test]
fn the_listed_size_of_the_fleet_divides_the_extra_retries() {
    let start = Instant::now();
    let sent = [6, 60].map(|hosts| {
        let mut core = joining_host(start);
        core.on_listed_fleet_size(start, hosts);
        assert!(!core.needs_fleet_size(start));
        retries(&mut core, start, 42)
    });
    assert_eq!(sent, [9, 0], "a quarter of 54 / 6 in each window");
}

/// Guards against a reload that gives back what was sent.
#[test]
fn a_changed_limit_gives_no_retries_back() {
    let start = Instant::now();
    let mut core = joining_host(start);
    core.on_listed_fleet_size(start, 6);
    let later = start + 20 * SECOND;
    assert!(retries(&mut core, later, 1) > 0);
    core.set_retry_limit(FleetRetryLimit {
        ratio: 0.1,
        extra_retries: 600.0,
        window: 10 * SECOND,
    });
    assert!(!core.reserve_retry(later, &"models".into()));
}
