//! Positions in a store that comes back from older copies, and what is kept across eras.

use std::collections::BTreeMap;

use bytes::Bytes;
use hickoryhall_gateway::feeds::records::OperatorRecords;
use hickoryhall_gateway::interface::StoreItem;
use hickoryhall_gateway::store_position::{EraObservation, EraTracker, StorePosition};
use proptest::prelude::*;

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

fn item(key: &str, version: u64, revision: u64) -> StoreItem {
    StoreItem {
        key: key.to_owned(),
        value: Bytes::from(version.to_string()),
        revision,
    }
}

#[test]
fn a_newer_era_is_ahead_of_every_revision_of_an_older_one() {
    assert!(at(1, 1) > at(0, u64::MAX));
    assert!(at(1, 2) > at(1, 1));
    assert!(at(0, 0).is_unread());
    assert!(!at(1, 0).is_unread());
}

#[test]
fn the_first_era_is_no_change_and_older_answers_are_told_apart() {
    let mut tracker = EraTracker::default();
    assert_eq!(tracker.observe(3, Some(70)), EraObservation::Current);
    assert_eq!(tracker.observe(3, None), EraObservation::Current);
    let before = at(3, 70);
    assert_eq!(
        tracker.observe(4, Some(20)),
        EraObservation::Newer { before }
    );
    assert_eq!(tracker.observe(3, Some(90)), EraObservation::Older);
    assert_eq!(tracker.observe(4, Some(25)), EraObservation::Current);
    let before = at(4, 25);
    assert_eq!(tracker.observe(6, None), EraObservation::Newer { before });
    assert_eq!(tracker.era(), 6);
}

#[test]
fn the_fencing_number_without_eras_is_the_revision() {
    assert_eq!(at(0, 41).fencing_number(), 41);
}

proptest! {
    /// Fencing numbers rise with positions and stay exact in JSON parsers that use floating point.
    #[test]
    fn fencing_numbers_rise_with_positions(
        low in (0_u64..8_000, 0_u64..1 << 40),
        high in (0_u64..8_000, 0_u64..1 << 40),
    ) {
        let (low, high) = (at(low.0, low.1), at(high.0, high.1));
        prop_assert_eq!(low.cmp(&high), low.fencing_number().cmp(&high.fencing_number()));
        prop_assert!(high.fencing_number() < 1 << 53);
    }

    /// The store is written, restored and read in any order, and records of peers come in between.
    #[test]
    fn operators_records_never_go_back(
        steps in prop::collection::vec((0_u8..4, 1_u64..30, 0_u64..3), 1..60),
    ) {
        let mut records = OperatorRecords::default();
        let (mut store, mut copy) = (BTreeMap::new(), BTreeMap::new());
        let (mut era, mut revision) = (0, 0);
        let mut newest = BTreeMap::<String, u64>::new();
        for (kind, version, key) in steps {
            let key = format!("record-{key}");
            match kind {
                // An operator writes a newer version.
                0 => {
                    revision += 1;
                    let known = store.get(&key).copied().unwrap_or(0);
                    store.insert(key, known.max(version));
                }
                1 => copy.clone_from(&store),
                // The store comes back from the copy.
                2 => {
                    store.clone_from(&copy);
                    (era, revision) = (era + 1, revision / 2);
                }
                _ => {
                    for (key, version) in &store {
                        records.record(*version, &item(key, *version, revision));
                        let known = newest.entry(key.clone()).or_default();
                        *known = (*known).max(*version);
                    }
                    records.advance(at(era, revision));
                }
            }
            let kept = records.snapshot().items.into_iter().map(|item| {
                let version = String::from_utf8_lossy(&item.value).parse::<u64>();
                (item.key, version.expect("a number"))
            });
            prop_assert_eq!(&kept.collect::<BTreeMap<_, _>>(), &newest);
        }
    }
}
