//! Servers that say that they want no more requests from this host.

mod support;

use std::time::{Duration, Instant};

use hickoryhall_gateway::core::{Core, CoreConfig};
use hickoryhall_gateway::interface::{ResponseId, ResponseMeta, StatedLimit};
use hickoryhall_gateway::outcome::ResponseKind;
use hickoryhall_gateway::peers::Digest;
use hickoryhall_gateway::registry::{BackendServer, RegistryEvent};
use hickoryhall_gateway::scheduler::{
    Placement, PlacementRefusal, PlacementRequest, RefusalReason, Scheduler, SchedulerConfig,
};
use hickoryhall_gateway::table::ServiceInfo;
use hickoryhall_limits::FleetRetryLimit;
use support::{model_service, runner, table_of};

const SECOND: Duration = Duration::from_secs(1);

fn host(number: u64) -> Core {
    let config = CoreConfig {
        host: number,
        scheduler: SchedulerConfig::new(number, "a".into()),
        retry_limit: FleetRetryLimit {
            ratio: 0.2,
            extra_retries: 50.0,
            window: Duration::from_secs(10),
        },
        restarted_at: None,
    };
    let mut core = Core::new(config, slog::Logger::root(slog::Discard, slog::o!()));
    core.set_table(table_of([("models", model_service(8, 90_000))]));
    core
}

fn response_meta() -> ResponseMeta {
    ResponseMeta {
        id: ResponseId::Matching,
        is_sealed: true,
        says_not_run: false,
        is_encoded: false,
        load: None,
        weights: None,
        closes_connection: false,
        keep_alive: None,
        is_leaving: true,
        pause: None,
        limit: StatedLimit::None,
        refusal_limit: StatedLimit::None,
    }
}

fn is_leaving(core: &Core, now: Instant) -> bool {
    let runners = core.runners(now);
    runners[0].server.is_leaving
}

#[test]
fn each_kind_of_answer_that_says_so_counts() {
    let now = Instant::now();
    for (kind, counts) in [
        (ResponseKind::Success, true),
        (ResponseKind::Failure, true),
        (ResponseKind::NotRun, true),
        (ResponseKind::WrongServer, false),
        (ResponseKind::Unproven, false),
        (ResponseKind::Invalid, false),
    ] {
        let mut core = host(1);
        core.on_registry_entry(runner(1, 8));
        core.on_response_head(now, &runner(1, 8), kind, &response_meta());
        assert_eq!(is_leaving(&core, now), counts, "{kind:?}");
    }
}

#[test]
fn peers_learn_that_a_server_leaves() {
    let now = Instant::now();
    let mut first = host(1);
    first.on_registry_entry(runner(1, 8));
    first.on_response_head(now, &runner(1, 8), ResponseKind::Success, &response_meta());
    let digests = [first.heartbeat(now, 1), first.digest(now, 1)];
    for digest in digests {
        let (digest, _) = Digest::decode(&digest.encode(&[])).expect("a digest");
        let mut registered = host(2);
        registered.on_registry_entry(runner(1, 8));
        registered.on_digest(now, &digest);
        assert!(is_leaving(&registered, now));
        let mut not_registered = host(3);
        not_registered.on_digest(now, &digest);
        not_registered.on_registry_entry(runner(1, 8));
        assert!(is_leaving(&not_registered, now));
        // A digest that was sent before the server started again.
        let restarted = BackendServer {
            software: "v1".into(),
            incarnation: 2,
            ..runner(1, 8)
        };
        registered.on_registry_entry(restarted);
        registered.on_digest(now, &digest);
        assert!(!is_leaving(&registered, now));
    }
}

/// Guards against requests to a server that said that it leaves in an answer which came after its entry was
/// gone, once the entry is back.
#[test]
fn an_answer_of_a_server_without_an_entry_binds_its_process() {
    let now = Instant::now();
    let mut core = host(1);
    core.on_registry_entry(runner(1, 8));
    core.on_registry_removed(now, &runner(1, 8).id);
    core.on_response_head(now, &runner(1, 8), ResponseKind::Success, &response_meta());
    core.on_registry_entry(runner(1, 8));
    assert!(is_leaving(&core, now));
    let restarted = BackendServer {
        incarnation: 2,
        ..runner(1, 8)
    };
    core.on_registry_entry(restarted);
    assert!(!is_leaving(&core, now));
}

/// Guards against a late word about an earlier process that replaces what the later one said.
#[test]
fn a_word_about_an_earlier_process_does_not_replace_that_of_a_later_one() {
    let now = Instant::now();
    let later = BackendServer {
        incarnation: 2,
        ..runner(1, 8)
    };
    let mut first = host(1);
    first.on_registry_entry(runner(1, 8));
    first.on_response_head(now, &runner(1, 8), ResponseKind::Success, &response_meta());
    let about_earlier = first.heartbeat(now, 1);
    let mut core = host(2);
    core.on_registry_entry(later.clone());
    core.on_response_head(now, &later, ResponseKind::Success, &response_meta());
    core.on_registry_removed(now, &later.id);
    core.on_digest(now, &about_earlier);
    core.on_registry_entry(later);
    assert!(is_leaving(&core, now));
}

/// A scheduler with plain servers.
struct Fixture {
    now: Instant,
    scheduler: Scheduler,
}

impl Fixture {
    fn new(servers: usize) -> Self {
        let mut scheduler = Scheduler::new(SchedulerConfig::new(1, "a".into()));
        scheduler.set_table(&table_of([("models", ServiceInfo::default())]));
        for number in 0..servers {
            scheduler.on_registry(RegistryEvent::Upsert(runner(number, 8)));
        }
        Self {
            now: Instant::now() + 1_000 * SECOND,
            scheduler,
        }
    }

    fn pause(&mut self, number: usize, pause: Duration) {
        let response_meta = ResponseMeta {
            is_leaving: false,
            pause: Some(pause),
            ..response_meta()
        };
        self.scheduler.record_response_head(
            self.now,
            &runner(number, 8),
            ResponseKind::NotRun,
            &response_meta,
        );
    }

    /// Places a request with a deadline in 5 s; `None` if it waits.
    fn place(&mut self, attempt_id: u64, excluded: &[usize]) -> Option<Placement> {
        let excluded = excluded.iter().map(|&number| runner(number, 8).id);
        let request = PlacementRequest {
            attempt_id,
            service: "models".into(),
            priority: (0, 0),
            prompt: None,
            is_resumable: true,
            arrived_at: self.now,
            target_latency: SECOND / 10,
            deadline: self.now + 5 * SECOND,
            excluded_servers: excluded.collect(),
            software: None,
            suspect: None,
        };
        self.scheduler.place(self.now, request)
    }

    /// Returns the number of the server that takes a request at once.
    fn server_of(&mut self, attempt_id: u64) -> Option<usize> {
        let placement = self.place(attempt_id, &[]);
        let assignment = placement.and_then(Result::ok)?;
        (0..9).find(|&number| runner(number, 8).id == assignment.server.id)
    }
}

fn refusal(placement: Option<Placement>) -> PlacementRefusal {
    let placement = placement.expect("the request does not wait");
    placement.expect_err("the request is refused")
}

#[test]
fn a_paused_server_gets_no_requests_until_the_end() {
    let mut fixture = Fixture::new(2);
    fixture.pause(0, 3 * SECOND);
    fixture.pause(0, SECOND);
    for attempt_id in 1..10 {
        assert_eq!(fixture.server_of(attempt_id), Some(1));
    }
    fixture.now += 3 * SECOND;
    assert_eq!(fixture.server_of(10), Some(0), "it has fewer requests");
}

#[test]
fn requests_wait_for_the_earliest_end_of_a_pause_before_their_deadline() {
    let mut fixture = Fixture::new(2);
    fixture.pause(0, 9 * SECOND);
    fixture.pause(1, 2 * SECOND);
    assert!(fixture.place(1, &[]).is_none());
    fixture.now += SECOND;
    assert!(fixture.scheduler.tick(fixture.now).is_empty());
    fixture.now += SECOND;
    let outcomes = fixture.scheduler.tick(fixture.now);
    assert!(matches!(&outcomes[..], [(1, Ok(_))]), "{outcomes:?}");
}

#[test]
fn requests_whose_deadline_is_before_the_end_of_all_pauses_are_refused_at_once() {
    let mut fixture = Fixture::new(2);
    fixture.pause(0, 9 * SECOND);
    fixture.pause(1, 6 * SECOND);
    let refused = refusal(fixture.place(1, &[]));
    assert_eq!(refused.reason, RefusalReason::Paused);
    assert_eq!(refused.retry_after, 6 * SECOND);
    // A longer pause that begins while a request waits.
    let mut fixture = Fixture::new(1);
    fixture.pause(0, SECOND);
    assert!(fixture.place(1, &[]).is_none());
    fixture.pause(0, 7 * SECOND);
    let outcomes = fixture.scheduler.tick(fixture.now);
    assert!(matches!(&outcomes[..], [(1, Err(_))]), "{outcomes:?}");
}

/// The servers that turned a request away do not take it again; its caller may return after that.
#[test]
fn a_request_that_all_servers_turned_away_is_refused_with_the_end_of_a_pause() {
    let mut fixture = Fixture::new(2);
    fixture.pause(0, 3 * SECOND);
    fixture.pause(1, 4 * SECOND);
    fixture.now += SECOND;
    assert!(fixture.place(1, &[0, 1]).is_none());
    fixture.now += SECOND;
    let outcomes = fixture.scheduler.tick(fixture.now);
    let [(1, Err(refused))] = &outcomes[..] else {
        panic!("{outcomes:?}");
    };
    assert_eq!(refused.retry_after, SECOND);
}

#[test]
fn an_absurd_pause_is_limited() {
    let mut fixture = Fixture::new(1);
    fixture.pause(0, 1_000_000_000 * SECOND);
    assert_eq!(fixture.server_of(1), None);
    fixture.now += 601 * SECOND;
    assert_eq!(fixture.server_of(2), Some(0));
}

/// Guards against requests to a server that asked for a pause after its entry was gone.
#[test]
fn a_pause_that_comes_after_the_entry_is_gone_holds_when_it_is_back() {
    let mut fixture = Fixture::new(1);
    let server = runner(0, 8);
    fixture
        .scheduler
        .on_registry(RegistryEvent::Removed(server.id.clone()));
    fixture.pause(0, 2 * SECOND);
    fixture.scheduler.on_registry(RegistryEvent::Upsert(server));
    assert_eq!(fixture.server_of(1), None);
}

#[test]
fn a_pause_ends_with_the_process_but_not_with_its_entry() {
    let mut fixture = Fixture::new(1);
    fixture.pause(0, 60 * SECOND);
    let id = runner(0, 8).id;
    fixture.scheduler.on_registry(RegistryEvent::Removed(id));
    let returned = RegistryEvent::Upsert(runner(0, 8));
    fixture.scheduler.on_registry(returned);
    assert_eq!(fixture.server_of(1), None);
    let restarted = BackendServer {
        software: "v1".into(),
        incarnation: 2,
        ..runner(0, 8)
    };
    fixture
        .scheduler
        .on_registry(RegistryEvent::Upsert(restarted));
    assert_eq!(fixture.server_of(2), Some(0));
}
