//! Changes of the store that are read after newer ones arrived from a peer.

use bytes::Bytes;
use hickoryhall_gateway::feeds::records::missing_changes;
use hickoryhall_gateway::interface::{StoreChange, StoreItem};
use hickoryhall_gateway::store_position::StorePosition;

fn put(revision: u64) -> StoreChange {
    StoreChange::Put(StoreItem {
        key: "s-1".to_owned(),
        value: Bytes::from(format!("as of {revision}")),
        revision,
    })
}

fn removed(revision: u64) -> StoreChange {
    let key = "s-1".to_owned();
    StoreChange::Removed { key, revision }
}

fn revisions(known: StorePosition, era: u64, changes: Vec<StoreChange>) -> Vec<u64> {
    let missing = missing_changes(known, era, changes);
    missing.iter().map(StoreChange::revision).collect()
}

#[test]
fn a_late_answer_of_a_watch_does_not_undo_newer_changes_from_a_peer() {
    let known = StorePosition {
        era: 1,
        revision: 110,
    };
    let changes = vec![put(105), removed(110), put(111)];
    assert_eq!(revisions(known, 1, changes), [111]);
    assert_eq!(revisions(known, 0, vec![put(120)]), Vec::<u64>::new());
    assert_eq!(revisions(known, 2, vec![put(3), removed(4)]), [3, 4]);
}
