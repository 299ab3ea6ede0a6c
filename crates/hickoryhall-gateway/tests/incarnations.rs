//! What is known of a server belongs to one of its processes, also where a new one starts under the
//! same id.

mod support;

use std::time::{Duration, Instant};

use hickoryhall_gateway::interface::{ResponseId, ResponseMeta, StatedLimit};
use hickoryhall_gateway::outcome::ResponseKind;
use hickoryhall_gateway::registry::{BackendServer, RegistryEvent};
use hickoryhall_gateway::scheduler::{
    AnnouncedState, AttemptEnd, HostLoad, LoadSource, PlacementRequest, PromptInfo, ReportedState,
    RunnerView, Scheduler, SchedulerConfig, WeightsSource,
};
use hickoryhall_routing::{Level, PrefixChain};
use hickoryhall_types::{Incarnation, WeightsVersion, hash_name};
use support::{model_service, runner, table_of};

const SECOND: Duration = Duration::from_secs(1);

/// A scheduler with one runner.
struct Fixture {
    now: Instant,
    scheduler: Scheduler,
}

impl Fixture {
    /// Creates a scheduler with the first process of a runner, which has version 1.
    fn new() -> Self {
        let mut scheduler = Scheduler::new(SchedulerConfig::new(hash_name("me"), "a".into()));
        scheduler.set_table(&table_of([("models", model_service(8, 90_000))]));
        let mut fixture = Self {
            now: Instant::now() + 1_000 * SECOND,
            scheduler,
        };
        fixture.register(1, 1);
        fixture
    }

    fn register(&mut self, incarnation: Incarnation, weights: WeightsVersion) {
        let entry = entry(incarnation, weights);
        self.scheduler.on_registry(RegistryEvent::Upsert(entry));
    }

    fn announce(
        &mut self,
        incarnation: Option<Incarnation>,
        weights: WeightsVersion,
        is_changing: bool,
    ) {
        let announced = AnnouncedState {
            incarnation,
            weights,
            is_changing,
        };
        self.scheduler
            .record_announcement(self.now, hash(), &announced);
    }

    fn report(&mut self, incarnation: Option<Incarnation>, weights: WeightsVersion) {
        let report = ReportedState {
            requested_at: self.now,
            incarnation,
            weights: Some(weights),
            is_busy: false,
            is_leaving: false,
        };
        self.scheduler.record_report(self.now, hash(), &report);
    }

    fn respond(&mut self, incarnation: Incarnation, weights: WeightsVersion) {
        let response_meta = ResponseMeta {
            id: ResponseId::Matching,
            is_sealed: true,
            says_not_run: false,
            is_encoded: false,
            load: None,
            weights: Some(weights),
            closes_connection: false,
            keep_alive: None,
            is_leaving: false,
            pause: None,
            limit: StatedLimit::None,
            refusal_limit: StatedLimit::None,
        };
        let server = entry(incarnation, 1);
        self.scheduler.record_response_head(
            self.now,
            &server,
            ResponseKind::Success,
            &response_meta,
        );
    }

    fn view(&self) -> RunnerView {
        let mut runners = self.scheduler.runners(self.now);
        runners.pop().expect("the runner is registered")
    }

    fn weights(&self) -> WeightsVersion {
        self.view().weights
    }

    /// Places a request and returns whether the runner takes it.
    fn place(&mut self, attempt_id: u64) -> bool {
        let chain = PrefixChain::from_levels(vec![Level {
            key: attempt_id,
            tokens: 100,
        }]);
        let request = PlacementRequest {
            attempt_id,
            service: "models".into(),
            priority: (0, 0),
            prompt: Some(PromptInfo {
                model: "m".into(),
                chain,
                input_tokens: 100,
                output_tokens: 10,
            }),
            is_resumable: true,
            arrived_at: self.now,
            target_latency: SECOND,
            deadline: self.now + 5 * SECOND,
            excluded_servers: Vec::new(),
            software: None,
            suspect: None,
        };
        let placement = self.scheduler.place(self.now, request);
        placement.is_some_and(|placement| placement.is_ok())
    }
}

fn entry(incarnation: Incarnation, weights: WeightsVersion) -> BackendServer {
    BackendServer {
        incarnation,
        models: vec![("m".into(), weights)],
        ..runner(1, 8)
    }
}

fn hash() -> u64 {
    hash_name(&runner(1, 8).id)
}

/// Guards against a runner that lost its weights in a restart and kept the version of before.
#[test]
fn a_new_process_has_the_weights_of_its_entry() {
    let mut fixture = Fixture::new();
    fixture.announce(Some(1), 2, false);
    assert_eq!(fixture.weights(), 2);
    let change = fixture
        .scheduler
        .on_registry(RegistryEvent::Upsert(entry(2, 1)))
        .expect("a change of the belief");
    assert_eq!(
        (change.before, change.weights, change.source),
        (2, 1, WeightsSource::Entry)
    );
    assert_eq!(fixture.weights(), 1);
}

/// Starts are numbered by clocks, which may go back.
#[test]
fn a_new_process_with_a_lower_number_has_the_weights_of_its_entry() {
    let mut fixture = Fixture::new();
    fixture.register(9, 2);
    fixture.register(5, 1);
    assert_eq!(fixture.weights(), 1);
    fixture.announce(Some(9), 2, true);
    assert_eq!(fixture.weights(), 1);
    assert!(fixture.place(1));
    fixture.report(Some(5), 2);
    assert_eq!(fixture.weights(), 2);
}

#[test]
fn statements_about_an_earlier_process_are_ignored() {
    let mut fixture = Fixture::new();
    fixture.register(2, 1);
    fixture.announce(Some(1), 2, true);
    fixture.report(Some(1), 3);
    fixture.respond(1, 4);
    let load = HostLoad {
        requests: 8,
        ..HostLoad::default()
    };
    let source = LoadSource::Host(7);
    fixture
        .scheduler
        .set_peer_load(fixture.now, source, hash(), Some(1), load);
    assert_eq!(fixture.weights(), 1);
    assert_eq!(fixture.view().load, HostLoad::default());
    assert!(fixture.place(1));
}

#[test]
fn a_new_process_is_known_before_its_entry_arrives() {
    let mut fixture = Fixture::new();
    fixture.register(1, 2);
    fixture.report(Some(2), 1);
    assert_eq!(fixture.weights(), 1);
    assert_eq!(fixture.view().server.incarnation, 2);
    // A change of the entry that its process wrote before it ended.
    fixture.register(1, 3);
    assert_eq!(fixture.weights(), 1);
    fixture.respond(2, 2);
    fixture.register(2, 1);
    assert_eq!(fixture.weights(), 2, "the entry is older than the response");
}

#[test]
fn a_lower_version_of_the_same_process_counts_once_a_later_report_repeats_it() {
    let mut fixture = Fixture::new();
    fixture.announce(Some(1), 3, false);
    fixture.report(Some(1), 2);
    assert_eq!(fixture.weights(), 3, "the report may be outdated");
    fixture.now += SECOND / 2;
    fixture.report(Some(1), 2);
    assert_eq!(fixture.weights(), 3);
    fixture.now += SECOND;
    fixture.report(Some(1), 2);
    assert_eq!(fixture.weights(), 2);
    // The lease holder repeats what it announced before.
    fixture.announce(Some(1), 3, false);
    assert_eq!(fixture.weights(), 2);
}

#[test]
fn a_response_confirms_a_version_that_a_report_does_not_show_yet() {
    let mut fixture = Fixture::new();
    fixture.announce(Some(1), 2, false);
    fixture.report(Some(1), 1);
    fixture.now += 2 * SECOND;
    fixture.respond(1, 2);
    fixture.report(Some(1), 1);
    assert_eq!(fixture.weights(), 2);
}

#[test]
fn an_entry_that_goes_back_lowers_the_version_it_set() {
    let mut fixture = Fixture::new();
    fixture.register(1, 3);
    fixture.register(1, 2);
    assert_eq!(fixture.weights(), 2);
    fixture.announce(Some(1), 4, false);
    fixture.register(1, 3);
    assert_eq!(fixture.weights(), 4, "the entry lags behind");
}

#[test]
fn the_end_of_a_request_of_an_earlier_process_does_not_count() {
    let mut fixture = Fixture::new();
    assert!(fixture.place(1));
    fixture.register(2, 1);
    assert_eq!(fixture.view().load, HostLoad::default());
    fixture
        .scheduler
        .record_end(fixture.now, 1, AttemptEnd::Unreachable);
    assert!(!fixture.view().is_ejected);
    assert!(fixture.place(2));
}

/// Guards against new work at a runner that is drained, after an answer of a request that the runner
/// refused.
#[test]
fn an_idle_runner_that_is_drained_for_a_change_takes_no_work() {
    let mut fixture = Fixture::new();
    fixture.announce(Some(1), 1, true);
    fixture.report(Some(1), 1);
    assert!(!fixture.place(1));
    fixture.announce(Some(1), 1, false);
    assert!(fixture.place(2));
}
