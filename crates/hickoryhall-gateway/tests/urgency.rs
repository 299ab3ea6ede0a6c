//! Urgent requests beside a surge of long prompts, at runners whose speed is learned.
//!
//! The load: short urgent prompts with an objective of 250 ms at a runner whose queue holds seconds of
//! long prompts that may wait. Runners that are told the urgency take the short ones first.

mod support;

use std::time::{Duration, Instant};

use hickoryhall_gateway::registry::RegistryEvent;
use hickoryhall_gateway::scheduler::{
    HostLoad, LoadSource, Placement, PlacementRequest, Scheduler, SchedulerConfig,
};
use hickoryhall_routing::{Level, ServiceSums, SpeedSource};
use hickoryhall_types::hash_name;
use support::{model_service, placement_request, runner, table_of};

const SLOTS: u32 = 12;
const URGENT: u8 = 0;
const LESS_URGENT: u8 = 2;

struct Host {
    scheduler: Scheduler,
    now: Instant,
    next_id: u64,
}

impl Host {
    fn new() -> Self {
        let mut scheduler = Scheduler::new(SchedulerConfig::new(1, "a".into()));
        scheduler.set_table(&table_of([("models", model_service(SLOTS, 110_000))]));
        scheduler.on_registry(RegistryEvent::Upsert(runner(0, SLOTS)));
        Self {
            scheduler,
            now: Instant::now(),
            next_id: 0,
        }
    }

    /// Tells the host of samples that take 41 ms and 0.4 times the prefill time of the constants.
    fn learn(&mut self) {
        let (count, works) = (100.0, [20.0, 200.0]);
        let sum = |value: fn(f64) -> f64| works.iter().map(|&work| count * value(work)).sum();
        let time = |work: f64| 41.0 + 0.4 * work;
        let sums = ServiceSums {
            samples: 2.0 * count,
            weight: 2.0 * count,
            work: sum(|work| work),
            work_squared: sum(|work| work * work),
            time: works.iter().map(|&work| count * time(work)).sum(),
            work_time: works.iter().map(|&work| count * work * time(work)).sum(),
        };
        let (source, service) = (SpeedSource::Host(2), hash_name("models"));
        self.scheduler
            .merge_service_speed(self.now, source, service, &sums);
        assert_eq!(self.scheduler.take_speed_changes(self.now).len(), 1);
    }

    fn set_load(&mut self, requests: u32, pending_ms: u32, urgent_pending_ms: u32) {
        let load = HostLoad {
            requests,
            pending_ms,
            urgent_pending_ms,
            ..HostLoad::default()
        };
        let (source, server) = (LoadSource::Host(2), hash_name("runner-0"));
        self.scheduler
            .set_peer_load(self.now, source, server, None, load);
    }

    fn place(&mut self, urgency: u8) -> Option<Placement> {
        self.next_id += 1;
        let level = Level {
            key: self.next_id,
            tokens: 800,
        };
        let request = PlacementRequest {
            priority: (1, u64::from(urgency)),
            target_latency: Duration::from_millis(250),
            ..placement_request(self.next_id, vec![level], self.now)
        };
        self.scheduler.place(self.now, request)
    }
}

/// Guards against urgent requests that are refused as too late because of long prompts that the runner
/// takes after them.
#[test]
fn urgent_request_passes_work_that_may_wait() {
    let mut host = Host::new();
    host.learn();
    host.set_load(4, 3_000, 0);
    assert!(host.place(LESS_URGENT).is_none(), "it waits");
    let placed = host.place(URGENT).expect("no wait").expect("placed");
    assert_eq!(placed.urgency, Some(URGENT));
    assert!(placed.estimate < Duration::from_millis(120), "{placed:?}");
}

/// Guards against urgent requests that are all let in, and are late behind each other.
#[test]
fn urgent_request_waits_behind_urgent_work() {
    let mut host = Host::new();
    host.learn();
    host.set_load(4, 3_000, 3_000);
    assert!(host.place(URGENT).is_none(), "it waits");
}

/// Guards against urgent requests that find no slot for as long as a surge of others lasts.
#[test]
fn less_urgent_requests_leave_slots_after_an_urgent_one_found_none() {
    let mut host = Host::new();
    host.learn();
    host.set_load(SLOTS, 0, 0);
    assert!(host.place(URGENT).is_none(), "it waits");
    host.set_load(SLOTS - 2, 0, 0);
    assert!(host.place(LESS_URGENT).is_none(), "it leaves the slot free");
    let placed = host.place(URGENT).expect("no wait");
    assert!(placed.is_ok());
    host.now += Duration::from_secs(3);
    host.set_load(SLOTS - 2, 0, 0);
    let placed = host.place(LESS_URGENT).expect("no wait");
    assert!(placed.is_ok());
}

/// Guards deployments whose runners match the constants against another order than before.
#[test]
fn the_order_of_arrival_holds_without_learned_speeds() {
    let mut host = Host::new();
    host.set_load(4, 3_000, 0);
    assert!(host.place(URGENT).is_none(), "it waits");
    host.set_load(SLOTS, 0, 0);
    assert!(host.place(URGENT).is_none(), "it waits");
    host.set_load(SLOTS - 2, 0, 0);
    let placed = host.place(LESS_URGENT).expect("no wait").expect("placed");
    assert_eq!(placed.urgency, None);
}
