//! Placement among servers of several software versions: streams that go on, and new ones.

mod support;

use std::time::Instant;

use hickoryhall_gateway::registry::{BackendServer, RegistryEvent};
use hickoryhall_gateway::scheduler::{
    HostLoad, LoadSource, Placement, PlacementRequest, RefusalReason, ReportedState, Scheduler,
    SchedulerConfig,
};
use hickoryhall_routing::Level;
use hickoryhall_types::hash_name;
use rstest::rstest;
use support::{model_service, placement_request, runner, table_of};

/// A fleet with runners of two versions.
struct Fleet {
    scheduler: Scheduler,
    now: Instant,
    requests: u64,
}

impl Fleet {
    /// Creates a fleet whose first runners have the version `v1` and the others `v2`.
    fn new(old: usize, new: usize) -> Self {
        let config = SchedulerConfig::new(1, "a".into());
        let mut scheduler = Scheduler::new(config);
        scheduler.set_table(&table_of([("models", model_service(32, 91_671))]));
        for number in 0..old + new {
            let software = if number < old { "v1" } else { "v2" };
            let server = BackendServer {
                software: software.into(),
                ..runner(number, 32)
            };
            scheduler.on_registry(RegistryEvent::Upsert(server));
        }
        Self {
            scheduler,
            now: Instant::now(),
            requests: 0,
        }
    }

    /// Sets the work that waits at some runners.
    fn set_queue(&mut self, runners: impl Iterator<Item = usize>, pending_ms: u32) {
        for number in runners {
            let server = hash_name(&format!("runner-{number}"));
            let load = HostLoad {
                requests: 3,
                pending_ms,
                urgent_pending_ms: pending_ms,
                ..HostLoad::default()
            };
            let source = LoadSource::Host(2);
            self.scheduler
                .set_peer_load(self.now, source, server, None, load);
        }
    }

    /// Places a stream that goes on at a version, or a new one.
    fn place(&mut self, software: Option<&str>) -> Option<Placement> {
        self.requests += 1;
        let levels = vec![
            Level {
                key: hash_name("notice"),
                tokens: 200,
            },
            Level {
                key: self.requests,
                tokens: 600,
            },
        ];
        let request = PlacementRequest {
            software: software.map(hash_name),
            ..placement_request(self.requests, levels, self.now)
        };
        self.scheduler.place(self.now, request)
    }

    /// Returns the version at which a stream is placed.
    fn software_of(&mut self, software: Option<&str>) -> String {
        let placement = self.place(software).expect("placed at once");
        placement
            .expect("a server takes it")
            .server
            .software
            .to_string()
    }
}

#[rstest]
#[case::small(3, 3)]
#[case::large(8, 40)]
fn a_stream_goes_on_at_its_version_although_others_are_idle(
    #[case] old: usize,
    #[case] new: usize,
) {
    let mut fleet = Fleet::new(old, new);
    fleet.set_queue(0..old, 40);
    for _ in 0..20 {
        assert_eq!(fleet.software_of(Some("v1")), "v1");
    }
}

#[test]
fn a_version_without_servers_that_stay_is_gone_at_once() {
    let mut fleet = Fleet::new(1, 3);
    let leaving = BackendServer {
        is_leaving: true,
        ..runner(0, 32)
    };
    fleet.scheduler.on_registry(RegistryEvent::Upsert(leaving));
    for software in ["v1", "v3"] {
        let refused = fleet.place(Some(software)).expect("decided at once");
        let refusal = refused.expect_err("nobody takes it");
        assert_eq!(refusal.reason, RefusalReason::VersionGone);
    }
}

/// Guards against a stream that goes on at a process whose entry has not arrived.
#[test]
fn a_process_without_an_entry_has_no_known_version() {
    let mut fleet = Fleet::new(1, 3);
    let report = ReportedState {
        requested_at: fleet.now,
        incarnation: Some(2),
        weights: Some(1),
        is_busy: false,
        is_leaving: false,
    };
    let server = hash_name("runner-0");
    fleet.scheduler.record_report(fleet.now, server, &report);
    let placement = fleet.place(Some("v1"));
    assert!(!matches!(placement, Some(Ok(_))), "{placement:?}");
}

/// Guards against streams that are broken off because their version's servers have some work, while
/// new ones begin at the others.
#[test]
fn a_stream_goes_on_where_its_version_has_a_queue() {
    let mut fleet = Fleet::new(3, 3);
    fleet.set_queue(0..3, 500);
    assert_eq!(fleet.software_of(None), "v2");
    assert_eq!(fleet.software_of(Some("v1")), "v1");
}

/// Guards against new streams at a version that would end with one server.
#[test]
fn a_new_stream_begins_where_another_server_has_its_version() {
    let mut fleet = Fleet::new(1, 3);
    fleet.set_queue(1..4, 20);
    assert_eq!(fleet.software_of(None), "v2");
    // Waits grow too long elsewhere.
    fleet.set_queue(1..4, 200);
    assert_eq!(fleet.software_of(None), "v1");
}
