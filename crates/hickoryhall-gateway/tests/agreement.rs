//! Hosts that learned of the same runners in another order choose alike.

mod support;

use std::time::{Duration, Instant};

use hickoryhall_gateway::registry::RegistryEvent;
use hickoryhall_gateway::scheduler::{PlacementRequest, PromptInfo, Scheduler, SchedulerConfig};
use hickoryhall_routing::{Level, PrefixChain};
use hickoryhall_types::hash_name;
use support::{model_service, runner, table_of};

const RUNNERS: usize = 12;
const SLOTS: u32 = 32;

fn scheduler(order: impl Iterator<Item = usize>) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerConfig::new(hash_name("host"), "a".into()));
    scheduler.set_table(&table_of([("models", model_service(SLOTS, 91_671))]));
    for number in order {
        scheduler.on_registry(RegistryEvent::Upsert(runner(number, SLOTS)));
    }
    scheduler
}

fn chosen(scheduler: &mut Scheduler, now: Instant, id: u64, tokens: u32) -> String {
    let level = |name: &str, tokens| Level {
        key: hash_name(&format!("{name}-{id}")),
        tokens,
    };
    let levels = vec![level("shared", 200), level("question", tokens)];
    let request = PlacementRequest {
        attempt_id: id,
        service: "models".into(),
        priority: (1, 0),
        prompt: Some(PromptInfo {
            model: "m".into(),
            input_tokens: 200 + tokens,
            chain: PrefixChain::from_levels(levels),
            output_tokens: 50,
        }),
        is_resumable: true,
        arrived_at: now,
        target_latency: Duration::from_millis(600),
        deadline: now + Duration::from_secs(5),
        excluded_servers: Vec::new(),
        software: None,
        suspect: None,
    };
    let placement = scheduler.place(now, request);
    let assignment = placement.expect("decided at once").expect("not refused");
    assignment.server.id.to_string()
}

/// Guards against hosts that disagree on which runners take short prompts: a host that started
/// later, or saw a runner return under a new id, had them in another order.
#[test]
fn the_order_of_registration_does_not_matter() {
    let now = Instant::now();
    let mut forwards = scheduler(0..RUNNERS);
    let mut backwards = scheduler((0..RUNNERS).rev());
    for id in 0..40 {
        let tokens = if id % 2 == 0 { 600 } else { 4_000 };
        assert_eq!(
            chosen(&mut forwards, now, id, tokens),
            chosen(&mut backwards, now, id, tokens),
            "request {id}"
        );
    }
}
