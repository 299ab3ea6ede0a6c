//! Guards against a thundering herd: hosts whose load updates are equally out of date all send to
//! the one runner that was idle in them.

mod support;

use std::time::Instant;

use hickoryhall_gateway::registry::RegistryEvent;
use hickoryhall_gateway::scheduler::{
    HostLoad, LoadSource, PlacementRequest, Scheduler, SchedulerConfig,
};
use hickoryhall_routing::Level;
use hickoryhall_types::hash_name;
use rstest::rstest;
use support::{model_service, placement_request, table_of};

const HOSTS: u64 = 70;
const RUNNERS: usize = 60;
const FREE: &str = "runner-7";

/// Load of a grown deployment: 70 hosts, 60 runners, and updates that are 0.7 s old.
#[rstest]
#[case::some_are_considered(16, 0.35)]
fn the_free_runner_is_not_overrun(#[case] full_scan_limit: usize, #[case] max_fraction: f64) {
    assert!(fraction_sent_to_free_runner(full_scan_limit) <= max_fraction);
}

/// Shows that the load above causes the fault when every host considers all runners.
#[test]
fn without_a_limit_all_hosts_choose_the_free_runner() {
    assert!(fraction_sent_to_free_runner(usize::MAX) >= 0.9);
}

fn fraction_sent_to_free_runner(full_scan_limit: usize) -> f64 {
    let now = Instant::now();
    let chosen = (0..HOSTS).filter(|&host| {
        let mut scheduler = scheduler(host, full_scan_limit);
        for runner in 0..RUNNERS {
            let name = format!("runner-{runner}");
            let pending_ms = if name == FREE { 0 } else { 250 };
            let load = HostLoad {
                requests: 3,
                pending_ms,
                urgent_pending_ms: pending_ms,
                ..HostLoad::default()
            };
            scheduler.set_peer_load(now, LoadSource::Host(HOSTS), hash_name(&name), None, load);
        }
        let placement = scheduler.place(now, request(now, host));
        placement.is_some_and(|placed| placed.is_ok_and(|placed| &*placed.server.id == FREE))
    });
    chosen.count() as f64 / HOSTS as f64
}

fn scheduler(host: u64, full_scan_limit: usize) -> Scheduler {
    let mut config = SchedulerConfig::new(hash_name(&format!("host-{host}")), "a".into());
    config.full_scan_limit = full_scan_limit;
    let mut scheduler = Scheduler::new(config);
    scheduler.set_table(&table_of([("models", model_service(32, 91_671))]));
    for runner in 0..RUNNERS {
        scheduler.on_registry(RegistryEvent::Upsert(support::runner(runner, 32)));
    }
    scheduler
}

fn request(now: Instant, host: u64) -> PlacementRequest {
    let levels = vec![
        Level {
            key: hash_name(&format!("notice-{host}")),
            tokens: 200,
        },
        Level {
            key: hash_name(&format!("question-{host}")),
            tokens: 600,
        },
    ];
    placement_request(1_000 + host, levels, now)
}
