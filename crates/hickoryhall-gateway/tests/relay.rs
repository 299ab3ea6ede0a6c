//! Followers have the registry of their readers, and read the store when the readers cannot speak
//! for it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hickoryhall_gateway::feeds::relay::{RelayLog, RelayMonitor};
use hickoryhall_gateway::interface::{StoreChange, StoreItem};
use hickoryhall_gateway::store_position::StorePosition;
use proptest::prelude::*;

fn put(revision: u64) -> StoreChange {
    StoreChange::Put(StoreItem {
        key: format!("registry/{}", revision % 5),
        value: Bytes::from(revision.to_string()),
        revision,
    })
}

/// Returns a position in the first era.
fn at(revision: u64) -> StorePosition {
    StorePosition { era: 0, revision }
}

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

proptest! {
    /// Changes come at any time and digests are lost at random: a follower that found no gap has
    /// exactly the records of its reader.
    #[test]
    fn a_follower_without_a_gap_has_the_records_of_its_reader(
        steps in prop::collection::vec((0_usize..40, any::<bool>(), 20_u64..300), 1..40),
    ) {
        let mut now = Instant::now();
        let (mut log, mut monitor) = (RelayLog::default(), RelayMonitor::default());
        let (mut reader, mut follower) = (BTreeMap::new(), BTreeMap::new());
        let (mut revision, mut known) = (1, 1);
        log.record_list(now, at(1));
        for (changes, is_lost, pause_ms) in steps {
            now += ms(pause_ms);
            log.record_answer(now, true);
            let from = revision;
            let changes = (0..changes).map(|_| { revision += 1; put(revision) }).collect::<Vec<_>>();
            apply(&mut reader, &changes);
            log.record_changes(now, from, revision, changes);
            let relay = log.relay(now, None).expect("the store answers");
            if is_lost {
                continue;
            }
            match monitor.on_relay(now, at(known), &relay) {
                Some(changes) => {
                    apply(&mut follower, &changes);
                    known = known.max(relay.until);
                    prop_assert_eq!(&follower, &reader);
                    prop_assert!(monitor.is_current(now));
                }
                None => {
                    prop_assert!(!monitor.is_current(now));
                    // The follower reads the store.
                    follower.clone_from(&reader);
                    known = revision;
                }
            }
        }
    }
}

fn apply(records: &mut BTreeMap<String, u64>, changes: &[StoreChange]) {
    for change in changes {
        match change {
            StoreChange::Put(item) => drop(records.insert(item.key.clone(), item.revision)),
            StoreChange::Removed { key, .. } => drop(records.remove(key)),
        }
    }
}

/// Guards against followers that wait for a reader whose store has gone silent.
#[test]
fn a_reader_speaks_for_the_store_only_while_it_answers() {
    let start = Instant::now();
    let mut log = RelayLog::default();
    assert_eq!(log.relay(start, None), None, "nothing was read yet");
    log.record_list(start, at(7));
    log.record_answer(start, true);
    assert!(log.relay(start + ms(1_000), None).is_some());
    assert_eq!(
        log.relay(start + ms(2_000), None),
        None,
        "no answer for two seconds"
    );
}

/// Guards against followers that drop entries which an outage removed: they must see the outage
/// themselves to keep them.
#[test]
fn a_reader_is_silent_during_an_outage_and_for_a_while_after_it() {
    let start = Instant::now();
    let mut log = RelayLog::default();
    log.record_list(start, at(7));
    log.record_answer(start, true);
    log.record_answer(start + ms(100), false);
    assert_eq!(log.relay(start + ms(100), None), None);
    for at in [1_000, 2_000, 3_000] {
        log.record_answer(start + ms(at), true);
        assert_eq!(log.relay(start + ms(at), None), None, "{at} ms");
    }
    log.record_answer(start + ms(3_600), true);
    assert!(log.relay(start + ms(3_600), None).is_some());
}

#[test]
fn a_follower_that_hears_nothing_reads_the_store() {
    let start = Instant::now();
    let mut log = RelayLog::default();
    log.record_list(start, at(7));
    log.record_answer(start, true);
    let relay = log.relay(start, None).expect("the store answers");
    let mut monitor = RelayMonitor::default();
    assert!(!monitor.is_current(start));
    assert_eq!(monitor.on_relay(start, at(7), &relay), Some(Vec::new()));
    assert!(monitor.is_current(start + ms(500)));
    assert!(!monitor.is_current(start + ms(1_000)));
}

/// Guards against a reader that passes a span on as complete without the changes that another reader
/// brought it: its own next watch begins behind them.
#[test]
fn a_reader_passes_on_what_another_reader_brought_it() {
    let now = Instant::now();
    let mut log = RelayLog::default();
    log.record_list(now, at(100));
    log.record_answer(now, true);
    let brought = (101..=105).map(put).collect::<Vec<_>>();
    log.record_changes(now, 100, 105, brought);
    log.record_changes(now, 105, 107, [put(106), put(107)]);
    let relay = log.relay(now, None).expect("the store answers");
    let revisions = relay.changes.iter().map(StoreChange::revision);
    assert_eq!(
        revisions.collect::<Vec<_>>(),
        (101..=107).collect::<Vec<_>>()
    );
    assert_eq!((relay.after, relay.until), (100, 107));
}

#[test]
fn a_reader_does_not_speak_for_a_span_that_it_has_not_recorded() {
    let now = Instant::now();
    let mut log = RelayLog::default();
    log.record_list(now, at(100));
    log.record_answer(now, true);
    log.record_changes(now, 100, 101, [put(101)]);
    log.record_changes(now, 105, 107, [put(106), put(107)]);
    let relay = log.relay(now, None).expect("the store answers");
    assert_eq!((relay.after, relay.until), (105, 107));
    assert_eq!(relay.changes.len(), 2);
    let mut monitor = RelayMonitor::default();
    assert_eq!(monitor.on_relay(now, at(101), &relay), None);
}

/// Guards against a change that is known already and is passed on once more out of order.
#[test]
fn a_reader_records_each_change_once() {
    let now = Instant::now();
    let mut log = RelayLog::default();
    log.record_list(now, at(100));
    log.record_answer(now, true);
    log.record_changes(now, 100, 103, [put(101), put(103)]);
    // The answer of a watch that was under way when another reader's relay arrived.
    log.record_changes(now, 100, 104, [put(101), put(103), put(104)]);
    let relay = log.relay(now, None).expect("the store answers");
    let revisions = relay.changes.iter().map(StoreChange::revision);
    assert_eq!(revisions.collect::<Vec<_>>(), [101, 103, 104]);
}
