//! Table revisions: a delta produces the same table as a full copy, and revisions never decrease.

use hickoryhall_control::{Adoption, DeltaError, TableState};
use hickoryhall_table::{Change, Row, Table, TableHead};
use proptest::prelude::*;

fn change(id: u64) -> Change {
    Change {
        id: id.to_string(),
        revision: 0,
        author: "test".to_owned(),
        at_s: 0,
    }
}

/// An edit: the number of a row, and its new weight or `None` to remove the row.
type Edit = (u8, Option<u32>);

fn apply(table: &Table, (row, weight): Edit) -> Table {
    let mut table = table.clone();
    let row = Row::new(&format!("w{row}"), "*");
    match weight {
        Some(weight) => table.insert(Row {
            weight: Some(weight),
            ..row
        }),
        None => drop(table.remove(&row.key())),
    }
    table
}

fn history(edits: &[Edit]) -> Vec<(TableHead, Table)> {
    let mut versions = vec![(TableHead::default(), Table::default())];
    for (index, &edit) in edits.iter().enumerate() {
        let (head, table) = versions.last().expect("a first version");
        let table = apply(table, edit);
        versions.push((head.next(&table, change(index as u64)), table));
    }
    versions
}

proptest! {
    #[test]
    fn a_peer_at_any_revision_gets_to_the_newest(
        edits in prop::collection::vec((0_u8..6, prop::option::of(1_u32..5)), 1..90),
        behind in 0_usize..90,
    ) {
        let versions = history(&edits);
        let mut source = TableState::default();
        for (head, table) in &versions[1..] {
            prop_assert_eq!(source.adopt(head.clone(), table.clone()), Adoption::Adopted);
        }
        let (head, table) = &versions[behind.min(edits.len())];
        let mut peer = TableState::default();
        peer.adopt(head.clone(), table.clone());
        let delta = source.delta_since(peer.revision());
        let result = peer.adopt_delta(source.head().clone(), &delta);
        prop_assert!(matches!(result, Ok(Adoption::Adopted | Adoption::Known)), "{result:?}");
        prop_assert_eq!(peer.table(), source.table());
    }

    #[test]
    fn offers_in_any_order_leave_the_highest_in_force(
        edits in prop::collection::vec((0_u8..6, prop::option::of(1_u32..5)), 1..20),
        offers in prop::collection::vec(0_usize..20, 1..40),
    ) {
        let versions = history(&edits);
        let mut state = TableState::default();
        let mut highest = 0;
        for offer in offers {
            let (head, table) = &versions[offer.min(edits.len())];
            state.adopt(head.clone(), table.clone());
            highest = highest.max(head.revision);
            prop_assert_eq!(state.revision(), highest);
            prop_assert_eq!(state.table().as_ref(), &versions[highest as usize].1);
        }
    }
}

#[test]
fn a_delta_that_does_not_lead_to_its_head_is_refused() {
    let versions = history(&[(1, Some(1)), (2, Some(2))]);
    let mut source = TableState::default();
    versions[1..].iter().for_each(|(head, table)| {
        source.adopt(head.clone(), table.clone());
    });
    let mut delta = source.delta_since(0);
    delta.rows[0].weight = Some(99);
    let mut peer = TableState::default();
    let result = peer.adopt_delta(source.head().clone(), &delta);
    assert_eq!(result, Err(DeltaError::WrongResult(2)));
    assert_eq!(peer.revision(), 0, "the current table stays");
}

#[test]
fn an_older_offer_is_counted() {
    let versions = history(&[(1, Some(1)), (2, Some(2))]);
    let mut state = TableState::default();
    state.adopt(versions[2].0.clone(), versions[2].1.clone());
    assert_eq!(
        state.adopt(versions[1].0.clone(), versions[1].1.clone()),
        Adoption::Older
    );
    assert_eq!((state.revision(), state.older_offers()), (2, 1));
}
