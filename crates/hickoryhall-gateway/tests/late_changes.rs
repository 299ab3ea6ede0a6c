//! Changes of the registry that are read after newer ones arrived from a peer.

use bytes::Bytes;
use hickoryhall_gateway::feeds::records::RegistryRecords;
use hickoryhall_gateway::interface::{StoreChange, StoreItem};
use hickoryhall_gateway::peers::StoreRecords;
use hickoryhall_gateway::store_position::StorePosition;

fn item(key: &str, revision: u64) -> StoreItem {
    StoreItem {
        key: key.to_owned(),
        value: Bytes::from(format!("as of {revision}")),
        revision,
    }
}

fn put(key: &str, revision: u64) -> StoreChange {
    StoreChange::Put(item(key, revision))
}

fn removed(key: &str, revision: u64) -> StoreChange {
    let key = key.to_owned();
    StoreChange::Removed { key, revision }
}

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

/// Returns the records of a host that has read a list.
fn listed() -> RegistryRecords {
    let mut records = RegistryRecords::default();
    let list = StoreRecords {
        position: at(1, 100),
        items: vec![item("s-1", 90), item("s-2", 95)],
    };
    records.replace(list, |_| false);
    records
}

/// Guards against a leaving server that a late answer of a watch makes ready again.
#[test]
fn an_older_change_does_not_undo_a_newer_one_of_its_record() {
    let mut records = listed();
    assert!(records.apply(put("s-1", 115)));
    assert!(!records.apply(put("s-1", 105)));
    assert!(!records.apply(removed("s-1", 110)));
    assert!(records.apply(put("s-1", 116)));
}

/// Guards against a server that is gone and stays in use for good, because its entry was read late.
#[test]
fn an_older_change_does_not_bring_a_removed_record_back() {
    let mut records = listed();
    assert!(records.apply(removed("s-1", 115)));
    assert!(!records.apply(put("s-1", 105)));
    assert!(records.apply(put("s-1", 120)));
}

/// Guards against changes that are lost because a relay had moved the position past them.
#[test]
fn a_change_below_the_known_position_counts_if_its_record_is_older() {
    let mut records = listed();
    records.advance(at(1, 130));
    assert!(records.apply(put("s-2", 120)));
    assert!(records.apply(put("s-3", 121)));
}

/// Revisions begin anew in a newer era.
#[test]
fn changes_of_a_newer_era_count_whatever_their_revision() {
    let mut records = listed();
    assert!(records.apply(removed("s-1", 115)));
    let restored = StoreRecords {
        position: at(2, 80),
        items: vec![item("s-2", 70)],
    };
    records.replace(restored, |_| false);
    assert!(records.apply(put("s-1", 81)));
    assert!(records.apply(put("s-2", 82)));
}
