//! Where requests go whose prompts have a part that may crash servers.

mod support;

use std::collections::HashMap;
use std::time::Instant;

use hickoryhall_gateway::registry::RegistryEvent;
use hickoryhall_gateway::scheduler::{PlacementRequest, Scheduler, SchedulerConfig};
use hickoryhall_routing::Level;
use hickoryhall_types::hash_name;
use support::{model_service, placement_request, runner, table_of};

const RUNNERS: usize = 9;
const SUSPECT: u64 = 77;
/// Runners on which a suspected part may run at the same time.
const MAX_RUNNERS: usize = 3;

fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerConfig::new(hash_name("host"), "a".into()));
    scheduler.set_table(&table_of([("models", model_service(64, 100_000))]));
    for number in 0..RUNNERS {
        scheduler.on_registry(RegistryEvent::Upsert(runner(number, 64)));
    }
    scheduler
}

fn request(now: Instant, id: u64) -> PlacementRequest {
    let level = |name: &str, tokens| Level {
        key: hash_name(name),
        tokens,
    };
    let levels = vec![level("shared", 200), level(&format!("own-{id}"), 600)];
    PlacementRequest {
        suspect: Some(SUSPECT),
        ..placement_request(id, levels, now)
    }
}

/// Places requests at once, and returns the number at each runner that takes some.
fn place(count: u64) -> HashMap<String, usize> {
    let (mut scheduler, now) = (scheduler(), Instant::now());
    let mut placed = HashMap::new();
    for id in 1..=count {
        if let Some(Ok(assignment)) = scheduler.place(now, request(now, id)) {
            let server = assignment.server.id.to_string();
            *placed.entry(server).or_default() += 1;
        }
    }
    placed
}

#[test]
fn a_suspected_part_runs_at_one_server_while_that_is_on_time() {
    assert_eq!(place(8).len(), 1);
}

/// Guards against a sound part that many requests share: they all waited at one server, whatever its load.
#[test]
fn a_suspected_part_that_many_requests_share_does_not_overload_one_server() {
    let placed = place(40);
    let count = placed.values().sum::<usize>();
    assert!(count >= 36, "{count} of 40 placed: {placed:?}");
    assert!(placed.len() <= MAX_RUNNERS, "{placed:?}");
}
