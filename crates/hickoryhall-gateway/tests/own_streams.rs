//! Tests which streams of a host others have to know, and which of them each recipient gets.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hickoryhall_gateway::registry::BackendServer;
use hickoryhall_gateway::stream_versions::{
    KeeperPositions, OwnStreams, SavedStreamReads, ServiceVersion, StreamLog, StreamOrigin,
    StreamVersions,
};
use hickoryhall_types::hash_name;
use rstest::rstest;
use support::runner;

const LIFETIME: Duration = Duration::from_secs(17);
/// Number of streams that a host remembers at most.
const MAX_STREAMS: u64 = 65_536;

fn server(number: usize, service: &str, software: &str) -> BackendServer {
    BackendServer {
        service: service.into(),
        software: software.into(),
        ..runner(number, 8)
    }
}

fn origin(stream: u64, service: &str, software: &str) -> StreamOrigin {
    StreamOrigin {
        stream,
        service: hash_name(service),
        software: hash_name(software),
    }
}

fn version(service: &str, software: &str) -> ServiceVersion {
    ServiceVersion {
        service: hash_name(service),
        software: hash_name(software),
    }
}

/// Creates a host of a fleet that starts for the first time, before services of one version each.
fn host(now: Instant) -> StreamVersions {
    let mut versions = StreamVersions::new(true);
    versions.set_longest_timeout(Duration::from_secs(15));
    versions.on_server(&server(1, "models", "v1"));
    versions.on_server(&server(2, "others", "v1"));
    versions.on_registry_list(now);
    versions.share_own(now);
    versions
}

fn shared(versions: &StreamVersions) -> Vec<u64> {
    let (streams, _) = versions.own().shared().streams_from(0, usize::MAX);
    streams.iter().map(|origin| origin.stream).collect()
}

/// Guards against streams that no other host knows after a version has joined, by whichever way a host
/// learns of it.
#[rstest]
#[case::in_the_registry(|host: &mut StreamVersions, _| host.on_server(&server(3, "models", "v2")))]
#[case::under_the_id_of_a_server(|host: &mut StreamVersions, _| {
    host.on_server(&BackendServer { incarnation: 9, ..server(1, "models", "v2") });
})]
#[case::at_a_peer(|host: &mut StreamVersions, now| host.record_in_use(now, version("models", "v2")))]
#[case::by_a_stream_of_a_peer(|host: &mut StreamVersions, now| host.record(now, &origin(9, "models", "v2")))]
#[case::in_the_record(|host: &mut StreamVersions, now| {
    host.on_recorded(now, BTreeSet::from([version("models", "v2")]));
})]
fn streams_that_began_before_a_version_joined_are_shared(
    #[case] join: fn(&mut StreamVersions, Instant),
) {
    let start = Instant::now();
    let mut host = host(start);
    host.begin(start, origin(1, "models", "v1"));
    host.begin(start, origin(2, "others", "v1"));
    let later = start + Duration::from_secs(5);
    host.begin(later, origin(3, "models", "v1"));
    assert!(shared(&host).is_empty());
    join(&mut host, later);
    assert!(host.may_have_to_share());
    assert_eq!(host.share_own(later), [(hash_name("models"), 2)]);
    assert_eq!(shared(&host), [1, 3]);
    host.begin(later, origin(4, "models", "v2"));
    assert_eq!(shared(&host), [1, 3, 4]);
    assert!(host.share_own(later).is_empty(), "once only");
}

/// Guards against a second release whose earlier streams are known to nobody, as those of the first
/// were told.
#[test]
fn streams_between_two_releases_are_shared_in_the_second_one() {
    let start = Instant::now();
    let mut host = host(start);
    host.on_server(&server(3, "models", "v2"));
    host.begin(start, origin(1, "models", "v1"));
    host.on_server_gone("runner-3");
    let after = start + LIFETIME * 2;
    host.share_own(start);
    host.share_own(after);
    host.begin(after, origin(2, "models", "v1"));
    assert!(shared(&host).is_empty(), "one version is left");
    host.on_server(&server(4, "models", "v3"));
    host.share_own(after);
    assert_eq!(shared(&host), [2]);
}

fn shared_streams(now: Instant, count: u64) -> OwnStreams {
    let mut streams = OwnStreams::default();
    for stream in 0..count {
        streams.begin(now, origin(stream, "models", "v1"), true);
    }
    streams
}

/// Returns what a keeper is told, in messages of ten streams.
fn told(positions: &mut KeeperPositions<u8>, streams: &OwnStreams, keeper: u8) -> Vec<u64> {
    let mut told = Vec::new();
    while let Some((keepers, message)) = positions.next_message(streams.shared(), 10) {
        assert!(message.len() <= 10);
        if keepers.contains(&keeper) {
            told.extend(message.iter().map(|origin| origin.stream));
        }
    }
    told
}

/// Guards against a keeper that knows nothing of streams that were told before it became one.
#[test]
fn a_new_keeper_is_told_of_all_shared_streams() {
    let start = Instant::now();
    let mut streams = shared_streams(start, 25);
    let mut positions = KeeperPositions::default();
    positions.set_keepers(&[1, 2], streams.shared());
    let all = (0..25).collect::<Vec<_>>();
    assert_eq!(told(&mut positions, &streams, 1), all);
    assert_eq!(positions.next_message(streams.shared(), 10), None);
    streams.begin(start, origin(25, "models", "v1"), true);
    positions.set_keepers(&[2, 3], streams.shared());
    let mut later = positions;
    assert_eq!(told(&mut later, &streams, 3), (0..26).collect::<Vec<_>>());
    later.set_keepers(&[1, 2, 3], streams.shared());
    assert_eq!(
        told(&mut later, &streams, 1),
        (0..26).collect::<Vec<_>>(),
        "it may have forgotten them"
    );
}

#[test]
fn streams_that_can_no_longer_be_taken_up_are_told_to_nobody() {
    let start = Instant::now();
    let mut streams = shared_streams(start, 5);
    let later = start + LIFETIME + Duration::from_millis(1);
    streams.begin(later, origin(5, "models", "v1"), true);
    streams.expire(later, LIFETIME);
    let mut positions = KeeperPositions::default();
    positions.set_keepers(&[1], streams.shared());
    assert_eq!(told(&mut positions, &streams, 1), [5]);
    assert_eq!((streams.shared().first(), streams.shared().end()), (5, 6));
}

/// Guards against streams beyond one part that are left out in silence.
#[test]
fn all_streams_that_a_host_remembers_can_be_read_in_parts() {
    let start = Instant::now();
    let mut streams = OwnStreams::default();
    for stream in 0..MAX_STREAMS + 10 {
        streams.begin(start, origin(stream, "models", "v1"), false);
    }
    assert_eq!(streams.share(hash_name("models")) as u64, MAX_STREAMS);
    let (mut position, mut count) = (0, 0);
    loop {
        let (part, end) = streams.shared().streams_from(position, 16_384);
        if part.is_empty() {
            break;
        }
        count += part.len() as u64;
        position = end;
    }
    assert_eq!((count, position), (MAX_STREAMS, streams.shared().end()));
}

/// Guards against a read of the store for each stream that nobody knows.
#[test]
fn saved_streams_are_read_once_in_an_interval() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut reads = SavedStreamReads::default();
    assert!(reads.demand(at(0), 7) && reads.demand(at(1), 7));
    reads.on_read(at(10));
    assert!(reads.has_read() && !reads.is_demanded());
    assert!(!reads.demand(at(600), 7), "read just now");
    assert!(reads.demand(at(710), 7), "0.1 s a host later");
    reads.on_read(at(720));
    assert!(!reads.demand(at(10_000), 520));
    assert!(reads.demand(at(52_720), 520));
}

fn streams_of(log: &StreamLog) -> Vec<u64> {
    let (streams, _) = log.streams_from(0, usize::MAX);
    streams.iter().map(|origin| origin.stream).collect()
}

/// Guards against streams that only their host knows while their service has one version.
#[test]
fn streams_of_a_service_with_one_version_are_told_and_saved_in_the_background() {
    let start = Instant::now();
    let mut host = host(start);
    host.begin(start, origin(1, "models", "v1"));
    host.record_told(start, &[origin(2, "models", "v1")]);
    assert_eq!(streams_of(host.own().background()), [1]);
    assert_eq!(streams_of(host.kept()), [1, 2]);
    host.on_server(&server(3, "models", "v2"));
    host.share_own(start);
    host.begin(start, origin(3, "models", "v2"));
    host.record_told(start, &[origin(4, "models", "v1")]);
    assert_eq!(
        streams_of(host.own().background()),
        [1],
        "the others are shared at once"
    );
    assert_eq!(
        streams_of(host.kept()),
        [1, 2],
        "their hosts save the others"
    );
    host.expire(start + LIFETIME * 2);
    assert!(streams_of(host.own().background()).is_empty());
    assert!(streams_of(host.kept()).is_empty());
}

/// Guards against streams that are forgotten in silence.
#[test]
fn streams_that_are_forgotten_too_early_are_counted() {
    let start = Instant::now();
    let mut host = host(start);
    for stream in 0..MAX_STREAMS + 10 {
        host.begin(start, origin(stream, "models", "v1"));
    }
    assert_eq!(host.take_forgotten(), 10);
    assert_eq!(host.take_forgotten(), 0, "once only");
}
