//! Tests what a host concludes about the software version of a stream.

mod support;

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use hickoryhall_gateway::registry::BackendServer;
use hickoryhall_gateway::stream_versions::{
    Inquiry, Moment, OwnKnowledge, ServiceVersion, StreamKnowledge, StreamOrigin, StreamQuestion,
    StreamVersions, TakeUp,
};
use hickoryhall_types::hash_name;
use rstest::rstest;
use support::runner;

/// Longest timeout of a route in these tests; streams are taken up for two seconds more.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Unix time of the tests in milliseconds.
const UNIX_MS: u64 = 1_000_000_000;

fn server(number: usize, software: &str) -> BackendServer {
    BackendServer {
        software: software.into(),
        incarnation: UNIX_MS - 1_000,
        ..runner(number, 8)
    }
}

/// A host, and the time that has passed for it.
struct Host {
    versions: StreamVersions,
    start: Instant,
    elapsed: Duration,
}

impl Host {
    /// Creates a host that has just read a registry of servers that have just started.
    fn new(software: &[&str]) -> Self {
        let start = Instant::now();
        let mut versions = StreamVersions::new(false);
        versions.set_longest_timeout(TIMEOUT);
        for (number, software) in software.iter().enumerate() {
            versions.on_server(&server(number, software));
        }
        versions.on_registry_list(start);
        Self {
            versions,
            start,
            elapsed: Duration::ZERO,
        }
    }

    fn wait(mut self, seconds: u64) -> Self {
        self.elapsed += Duration::from_secs(seconds);
        self.versions.expire(self.start + self.elapsed);
        self
    }

    fn moment(&self) -> Moment {
        Moment {
            now: self.start + self.elapsed,
            registry_age: Some(Duration::ZERO),
        }
    }

    fn knowledge(&mut self, stream: u64) -> StreamKnowledge {
        let moment = self.moment();
        self.versions.knowledge(moment, &question(stream))
    }
}

fn question(stream: u64) -> StreamQuestion {
    StreamQuestion {
        stream: Some(stream),
        service: hash_name("models"),
    }
}

fn origin(stream: u64, software: &str) -> StreamOrigin {
    StreamOrigin {
        stream,
        service: hash_name("models"),
        software: hash_name(software),
    }
}

fn only(software: &str, is_current: bool) -> StreamKnowledge {
    StreamKnowledge::Only {
        software: hash_name(software),
        is_current,
    }
}

#[test]
fn one_version_is_certain_once_no_stream_can_be_older() {
    let mut host = Host::new(&["v1", "v1"]);
    assert_eq!(host.knowledge(1), StreamKnowledge::Unknown);
    let mut host = host.wait(17);
    assert_eq!(host.knowledge(1), StreamKnowledge::Unknown);
    let mut host = host.wait(1);
    assert_eq!(host.knowledge(1), only("v1", true));
    for registry_age in [None, Some(Duration::from_secs(1))] {
        let moment = Moment {
            registry_age,
            ..host.moment()
        };
        assert_eq!(
            host.versions.take_up(moment, &question(1)),
            TakeUp::Ask,
            "another version may serve unseen"
        );
    }
}

/// Guards against a host that takes the version of old servers for the only one: servers of another
/// one may have left with nothing in their place.
#[test]
fn old_servers_do_not_prove_that_no_version_has_left() {
    let mut host = Host::new(&["v1"]);
    assert_eq!(host.knowledge(1), StreamKnowledge::Unknown);
    assert_eq!(
        host.versions.take_up(host.moment(), &question(1)),
        TakeUp::Ask
    );
}

fn recorded(software: &[&str]) -> BTreeSet<ServiceVersion> {
    let version = |name: &&str| ServiceVersion {
        service: hash_name("models"),
        software: hash_name(name),
    };
    software.iter().map(version).collect()
}

/// The registry may have been read before the record or after it.
#[rstest]
#[case::only_one(&["v1"], &["v1"], only("v1", false))]
#[case::one_has_left(&["v1"], &["v1", "v2"], StreamKnowledge::Several)]
#[case::one_has_joined(&["v1", "v2"], &["v1"], StreamKnowledge::Several)]
#[case::all_replaced(&["v2"], &["v1"], StreamKnowledge::Several)]
#[case::not_recorded(&["v1"], &[], StreamKnowledge::Unknown)]
fn a_host_that_has_just_started_knows_the_versions_that_the_store_records(
    #[case] registered: &[&str],
    #[case] in_store: &[&str],
    #[case] expected: StreamKnowledge,
) {
    let mut host = Host::new(registered);
    let now = host.moment().now;
    host.versions.on_recorded(now, recorded(in_store));
    assert_eq!(host.knowledge(1), expected);

    let mut versions = StreamVersions::new(false);
    versions.set_longest_timeout(TIMEOUT);
    versions.on_recorded(now, recorded(in_store));
    let mut unread = Host {
        versions,
        ..Host::new(&[])
    };
    let before = unread.knowledge(1);
    assert!(
        !matches!(before, StreamKnowledge::Only { .. }),
        "{before:?}"
    );
    for (number, software) in registered.iter().enumerate() {
        unread.versions.on_server(&server(number, software));
    }
    unread.versions.on_registry_list(now);
    assert_eq!(unread.knowledge(1), expected);
}

#[test]
fn the_record_changes_with_the_versions_in_use() {
    let mut host = Host::new(&["v1"]);
    let now = host.moment().now;
    let update = |host: &mut Host| host.versions.record_update(host.moment().now);
    assert_eq!(update(&mut host), None, "the record is not read yet");
    host.versions.on_recorded(now, recorded(&[]));
    assert_eq!(update(&mut host), None, "another version may have left");
    let mut host = host.wait(18);
    assert_eq!(update(&mut host), Some(recorded(&["v1"])));
    host.versions.on_recorded(now, recorded(&["v1"]));
    assert_eq!(update(&mut host), None);
    host.versions.on_server(&server(7, "v2"));
    assert!(host.versions.may_need_record());
    assert_eq!(update(&mut host), Some(recorded(&["v1", "v2"])));
    let now = host.moment().now;
    host.versions.on_recorded(now, recorded(&["v1", "v2"]));
    host.versions.on_server_gone("runner-7");
    let mut host = host.wait(0).wait(16);
    assert_eq!(update(&mut host), None, "its streams may be taken up");
    let mut host = host.wait(2);
    assert_eq!(update(&mut host), Some(recorded(&["v1"])));
}

/// A host that has just started records a version that joins, and drops none.
#[test]
fn a_host_that_has_just_started_only_adds_to_the_record() {
    let mut host = Host::new(&["v2"]);
    let now = host.moment().now;
    host.versions.on_recorded(now, recorded(&["v1"]));
    let both = recorded(&["v1", "v2"]);
    assert_eq!(host.versions.record_update(now), Some(both.clone()));
    host.versions.on_recorded(now, both);
    let mut host = host.wait(16);
    let now = host.moment().now;
    assert_eq!(host.versions.record_update(now), None);
}

#[test]
fn the_record_is_bounded() {
    let mut host = Host::new(&[]);
    let now = host.moment().now;
    host.versions.on_recorded(now, recorded(&[]));
    for number in 0..1_998 {
        let service = format!("service-{}", number / 3);
        let server = BackendServer {
            service: service.as_str().into(),
            ..server(number, &format!("v{number}"))
        };
        host.versions.on_server(&server);
    }
    let mut host = host.wait(18);
    let now = host.moment().now;
    let update = host.versions.record_update(now).expect("an update");
    assert!((500..=512).contains(&update.len()), "{}", update.len());
    let services = update.iter().map(|version| version.service);
    let services = services.collect::<BTreeSet<_>>();
    assert_eq!(
        update.len(),
        3 * services.len(),
        "no service is recorded in part"
    );
}

#[test]
fn one_version_is_certain_when_the_fleet_starts_for_the_first_time() {
    let mut versions = StreamVersions::new(true);
    versions.on_server(&server(1, "v1"));
    versions.on_registry_list(Instant::now());
    let mut host = Host {
        versions,
        ..Host::new(&[])
    };
    assert_eq!(host.knowledge(1), only("v1", true));
}

#[rstest]
#[case::gone(|host: &mut StreamVersions| host.on_server_gone("runner-1"))]
#[case::replaced_under_its_id(|host: &mut StreamVersions| {
    let restarted = BackendServer { incarnation: UNIX_MS, ..server(1, "v1") };
    host.on_server(&restarted);
})]
fn a_version_counts_for_as_long_as_its_streams_may_be_taken_up(
    #[case] leave: fn(&mut StreamVersions),
) {
    let mut host = Host::new(&["v1", "v1.1"]).wait(30);
    assert_eq!(host.knowledge(1), StreamKnowledge::Several);
    leave(&mut host.versions);
    let mut host = host.wait(0).wait(16);
    assert_eq!(host.knowledge(1), StreamKnowledge::Several);
    let mut host = host.wait(2);
    assert_eq!(host.knowledge(1), only("v1", true));
}

#[test]
fn a_stream_is_remembered_for_as_long_as_it_may_be_taken_up() {
    let mut host = Host::new(&["v1", "v1.1"]);
    let now = host.moment().now;
    host.versions.record(now, &origin(1, "v1"));
    let began = StreamKnowledge::Began(hash_name("v1"));
    let mut host = host.wait(16);
    assert_eq!(host.knowledge(1), began);
    // Taken up: it may be taken up again.
    let now = host.moment().now;
    host.versions.record(now, &origin(1, "v1"));
    let mut host = host.wait(16);
    assert_eq!(host.knowledge(1), began);
    let mut host = host.wait(2);
    assert_eq!(host.knowledge(1), StreamKnowledge::Several);
}

/// Guards against a request that names another one's stream and changes its version.
#[test]
fn a_known_stream_keeps_its_version() {
    let mut host = Host::new(&["v1", "v1.1"]);
    let now = host.moment().now;
    host.versions.record(now, &origin(1, "v1"));
    host.versions.record(now, &origin(1, "v1.1"));
    let began = StreamKnowledge::Began(hash_name("v1"));
    assert_eq!(host.knowledge(1), began);
}

/// A peer that tells of a stream may know a version that this host does not.
#[test]
fn a_version_that_a_peer_tells_of_counts() {
    let mut host = Host::new(&["v1"]).wait(30);
    let now = host.moment().now;
    host.versions.record(now, &origin(1, "v1.1"));
    assert_eq!(host.knowledge(2), StreamKnowledge::Several);
}

/// Guards against a host that reads the registry a second after another one, and takes the version
/// that it knows for the only one while streams begin at the new one.
#[test]
fn a_version_that_a_peer_has_just_found_counts() {
    let (mut first, mut second) = (Host::new(&["v1"]).wait(30), Host::new(&["v1"]).wait(30));
    assert!(!first.versions.has_new(), "the first list holds no news");
    first.versions.on_server(&server(5, "v1"));
    assert!(
        !first.versions.has_new(),
        "another server of a known version"
    );
    first.versions.on_server(&server(6, "v2"));
    let news = first.versions.take_new();
    assert_eq!(news.len(), 1);
    assert!(!first.versions.has_new());
    let now = second.moment().now;
    second.versions.record_in_use(now, news[0]);
    assert_eq!(second.knowledge(1), StreamKnowledge::Several);
    let mut second = second.wait(18);
    assert_eq!(second.knowledge(1), only("v1", true));
}

#[test]
fn a_stream_of_another_service_does_not_go_on() {
    let mut host = Host::new(&["v1"]).wait(30);
    let elsewhere = StreamOrigin {
        service: hash_name("other"),
        ..origin(1, "v1")
    };
    let now = host.moment().now;
    host.versions.record(now, &elsewhere);
    assert_eq!(host.knowledge(1), StreamKnowledge::Several);
}

#[test]
fn the_software_of_a_process_that_may_have_restarted_is_uncertain() {
    let mut host = Host::new(&["v1", "v1"]);
    let sent_to = server(1, "v1");
    assert_eq!(host.versions.software_of(&sent_to), Some(hash_name("v1")));
    let restarted = BackendServer {
        incarnation: UNIX_MS,
        ..server(1, "v1.1")
    };
    host.versions.on_server(&restarted);
    assert_eq!(host.versions.software_of(&sent_to), None);
    host.versions.on_server_gone("runner-1");
    assert_eq!(host.versions.software_of(&sent_to), Some(hash_name("v1")));
}

#[test]
fn memory_is_bounded() {
    let mut host = Host::new(&["v1", "v1.1"]);
    let now = host.moment().now;
    for stream in 0..100_000 {
        let at = now + Duration::from_micros(stream);
        host.versions.record(at, &origin(stream, "v1"));
    }
    assert_eq!(host.knowledge(0), StreamKnowledge::Several);
    let newest = host.knowledge(99_999);
    assert_eq!(newest, StreamKnowledge::Began(hash_name("v1")));
}

const BEGAN: StreamKnowledge = StreamKnowledge::Began(7);
const CURRENT: StreamKnowledge = StreamKnowledge::Only {
    software: 7,
    is_current: true,
};
const OUTDATED: StreamKnowledge = StreamKnowledge::Only {
    software: 7,
    is_current: false,
};
const OTHER: StreamKnowledge = StreamKnowledge::Only {
    software: 8,
    is_current: false,
};
const SEVERAL: StreamKnowledge = StreamKnowledge::Several;
const UNKNOWN: StreamKnowledge = StreamKnowledge::Unknown;

fn own(knowledge: StreamKnowledge, is_registry_current: bool) -> OwnKnowledge {
    OwnKnowledge {
        knowledge,
        is_registry_current,
    }
}

fn peer(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number as u8)
}

#[rstest]
#[case::one_remembers(SEVERAL, &[UNKNOWN, SEVERAL, BEGAN], true)]
#[case::one_knows_for_long(UNKNOWN, &[UNKNOWN, CURRENT], true)]
#[case::one_out_of_step_names_another(UNKNOWN, &[CURRENT, OTHER], false)]
#[case::one_out_of_step_is_contradicted(UNKNOWN, &[CURRENT, SEVERAL], false)]
#[case::nobody_remembers(SEVERAL, &[SEVERAL, UNKNOWN], false)]
#[case::this_host_knows_several(SEVERAL, &[CURRENT], false)]
#[case::another_knows_several(OUTDATED, &[OUTDATED, SEVERAL], false)]
#[case::nobody_reads_the_registry(OUTDATED, &[OUTDATED, UNKNOWN], true)]
#[case::nobody_knows_for_long(UNKNOWN, &[UNKNOWN, UNKNOWN], false)]
#[case::they_disagree(OUTDATED, &[OTHER], false)]
#[case::cut_off_from_all(OUTDATED, &[], false)]
fn an_inquiry_finds_a_version_only_if_it_is_certain(
    #[case] knowledge: StreamKnowledge,
    #[case] answers: &[StreamKnowledge],
    #[case] is_found: bool,
) {
    let (now, mut inquiry) = (Instant::now(), Inquiry::default());
    inquiry.ask((0..4).map(peer));
    let mut answers = (0..4).map(peer).zip(answers);
    let found = answers.find_map(|(peer, answer)| inquiry.on_answer(now, peer, *answer));
    assert!(!inquiry.is_complete(now), "one peer is silent");
    let found = found.or_else(|| inquiry.finish(own(knowledge, false)));
    assert_eq!(found, is_found.then_some(7));
}

/// Peers that are down do not delay a stream that the others know where to continue.
#[test]
fn an_inquiry_waits_only_for_peers_that_were_heard_of_lately() {
    let (now, mut inquiry) = (Instant::now(), Inquiry::default());
    inquiry.ask([peer(1)]);
    assert!(!inquiry.is_complete(now));
    assert_eq!(inquiry.on_answer(now, peer(1), OUTDATED), None);
    assert!(inquiry.is_complete(now));
    assert_eq!(inquiry.finish(own(OUTDATED, false)), Some(7));
}

/// Guards against a host that has just started, asks the only peer that it has heard of, which has just
/// started too, and refuses the stream before it hears of the others.
#[test]
fn an_inquiry_waits_for_a_peer_that_knows_something() {
    let (now, mut inquiry) = (Instant::now(), Inquiry::default());
    inquiry.ask([peer(1)]);
    inquiry.on_answer(now, peer(1), UNKNOWN);
    assert!(!inquiry.is_complete(now));
    inquiry.ask([peer(1), peer(2)]);
    inquiry.on_answer(now, peer(2), CURRENT);
    assert!(inquiry.is_complete(now));
    assert_eq!(inquiry.finish(own(UNKNOWN, true)), Some(7));
}

/// Guards against an answer of a peer that is out of step, where others know better.
#[test]
fn peers_have_time_to_object_to_one_that_names_the_only_version() {
    let (now, mut inquiry) = (Instant::now(), Inquiry::default());
    inquiry.ask((0..3).map(peer));
    assert_eq!(inquiry.on_answer(now, peer(0), CURRENT), None);
    assert!(!inquiry.is_complete(now));
    assert_eq!(inquiry.on_answer(now, peer(1), SEVERAL), None);
    let later = now + Duration::from_millis(40);
    assert!(
        inquiry.is_complete(later),
        "a silent peer is not waited for"
    );
    assert_eq!(inquiry.finish(own(UNKNOWN, true)), None);
}

/// Guards against a host that was cut off from all others and trusts its own view.
#[test]
fn an_inquiry_without_live_peers_is_not_complete() {
    let (now, mut inquiry) = (Instant::now(), Inquiry::default());
    inquiry.ask([]);
    assert!(!inquiry.is_complete(now));
    assert_eq!(inquiry.finish(own(OUTDATED, false)), None);
}

/// Guards against a host that goes on with an old list of servers because it knows no peers.
#[rstest]
#[case::old_list(OUTDATED, false, None)]
#[case::new_list(OUTDATED, true, Some(7))]
#[case::unknown(UNKNOWN, true, None)]
#[case::several(SEVERAL, true, None)]
#[case::told_meanwhile(BEGAN, false, Some(7))]
fn a_host_without_peers_relies_on_a_list_that_it_has_just_read(
    #[case] knowledge: StreamKnowledge,
    #[case] is_registry_current: bool,
    #[case] expected: Option<u64>,
) {
    let finished = Inquiry::default().finish(own(knowledge, is_registry_current));
    assert_eq!(finished, expected);
}

/// A host that knows the service for long needs no peer once the store has answered, unless one of
/// them objects.
#[test]
fn an_inquiry_ends_when_the_registry_was_read() {
    let (now, mut inquiry) = (Instant::now(), Inquiry::default());
    inquiry.ask([peer(1)]);
    assert_eq!(inquiry.on_registry_read(own(OUTDATED, true)), None);
    assert_eq!(inquiry.on_registry_read(own(CURRENT, true)), Some(7));
    inquiry.on_answer(now, peer(1), SEVERAL);
    assert_eq!(inquiry.on_registry_read(own(CURRENT, true)), None);
}

/// A host of an earlier build that knows a service for long is asked by one that has just started.
#[test]
fn a_service_that_a_peer_vouches_for_is_known_and_recorded() {
    let mut host = Host::new(&["v1"]);
    let now = host.moment().now;
    assert!(host.versions.unknown_services(now).is_empty());
    host.versions.on_recorded(now, recorded(&[]));
    let service = hash_name("models");
    assert!(host.versions.unknown_services(now).contains(&service));
    let mut inquiry = Inquiry::default();
    inquiry.on_answer(now, peer(1), CURRENT);
    assert_eq!(inquiry.vouched_version(), Some(7));
    inquiry.on_answer(now, peer(2), SEVERAL);
    assert_eq!(inquiry.vouched_version(), None);
    let version = |name: &str| ServiceVersion {
        service,
        software: hash_name(name),
    };
    let mut other = Host::new(&["v1"]);
    other.versions.vouch(now, version("v0"));
    assert_eq!(other.knowledge(1), StreamKnowledge::Several);
    host.versions.vouch(now, version("v1"));
    assert!(host.versions.unknown_services(now).is_empty());
    assert_eq!(host.knowledge(1), only("v1", true));
    assert_eq!(host.versions.record_update(now), Some(recorded(&["v1"])));
    host.versions.on_server(&server(7, "v2"));
    assert_eq!(host.knowledge(1), StreamKnowledge::Several);
}
