//! Table changes take effect at every host, are never reverted, and no change is lost.

use hickoryhall_standins::store::StoreFaults;
use hickoryhall_table::{Row, Table};
use hickoryhall_testsuite::{WAIT_TIMEOUT, small_fleet};
use hickoryhall_tools::fleet::{Fleet, workspace_name};
use hickoryhall_tools::operator::OperatorError;

fn with_weight(base: &Table, workspace: u32, weight: u32) -> Table {
    let mut table = base.clone();
    let name = workspace_name(workspace);
    let row = table
        .row(&name, "*")
        .cloned()
        .unwrap_or_else(|| Row::new(&name, "*"));
    table.insert(Row {
        weight: Some(weight),
        ..row
    });
    table
}

/// Changes the weight of a workspace through a host, with `base` as the table that the operator
/// edited.
fn set_weight(
    fleet: &Fleet,
    host: usize,
    id: &str,
    base: &Table,
    workspace: u32,
    weight: u32,
) -> Result<u64, OperatorError> {
    let edited = with_weight(base, workspace, weight);
    fleet.operator(host).apply(id, "operator", base, &edited)
}

fn revisions(fleet: &Fleet) -> Vec<u64> {
    fleet
        .hosts
        .iter()
        .flatten()
        .map(hickoryhall_entry::EntryHost::table_revision)
        .collect()
}

#[test]
fn an_accepted_change_is_in_force_at_every_host() {
    let fleet = small_fleet();
    let base = fleet
        .operator(0)
        .table()
        .expect("failed to read the table")
        .table;
    let edited = with_weight(&base, 0, 7);
    let revision = fleet
        .operator(0)
        .apply("change", "one", &base, &edited)
        .expect("the change was refused");
    let is_in_force = |fleet: &Fleet| revisions(fleet).iter().all(|&other| other == revision);
    fleet
        .wait_until(
            "the change is in force at every host",
            WAIT_TIMEOUT,
            is_in_force,
        )
        .expect("the change did not reach every host");
    assert_eq!(
        fleet
            .operator(1)
            .table()
            .expect("failed to read the table")
            .table,
        edited
    );
}

#[test]
fn two_operators_changes_of_different_cells_are_both_kept() {
    let fleet = small_fleet();
    let base = fleet
        .operator(0)
        .table()
        .expect("failed to read the table")
        .table;
    set_weight(&fleet, 0, "a", &base, 0, 2).expect("the change was refused");
    set_weight(&fleet, 1, "b", &base, 1, 3).expect("the change was refused");
    let merged = with_weight(&with_weight(&base, 0, 2), 1, 3);
    assert_eq!(
        fleet
            .operator(1)
            .table()
            .expect("failed to read the table")
            .table,
        merged
    );
}

#[test]
fn a_clash_is_told_to_the_second_operator_cell_by_cell() {
    let fleet = small_fleet();
    let base = fleet
        .operator(0)
        .table()
        .expect("failed to read the table")
        .table;
    set_weight(&fleet, 0, "a", &base, 0, 2).expect("the change was refused");
    let second_result = set_weight(&fleet, 1, "b", &base, 0, 3);
    let Err(OperatorError::Conflict(cells)) = second_result else {
        panic!("{second_result:?}")
    };
    insta::assert_debug_snapshot!(cells);
}

#[test]
fn a_change_whose_answer_is_lost_takes_effect_once() {
    let fleet = small_fleet();
    let base = fleet
        .operator(0)
        .table()
        .expect("failed to read the table")
        .table;
    // A change takes two writes, one for the table chunk and one for the table head.
    fleet.store.set_faults(StoreFaults {
        lose_answers: 2,
        ..StoreFaults::default()
    });
    let edited = with_weight(&base, 0, 9);
    let revision = fleet
        .operator(0)
        .apply("lost", "one", &base, &edited)
        .expect("the change was refused");
    assert_eq!(revision, 2);
    let history = fleet
        .operator(0)
        .history()
        .expect("failed to read the history");
    assert_eq!(
        history.iter().filter(|change| change.id == "lost").count(),
        1
    );
}

#[test]
fn an_older_table_from_the_store_is_not_taken() {
    let mut fleet = small_fleet();
    let base = fleet
        .operator(0)
        .table()
        .expect("failed to read the table")
        .table;
    let edited = with_weight(&base, 0, 5);
    let revision = fleet
        .operator(0)
        .apply("new", "one", &base, &edited)
        .expect("the change was refused");
    let is_in_force = |fleet: &Fleet| revisions(fleet).iter().all(|&other| other == revision);
    fleet
        .wait_until(
            "the change is in force at every host",
            WAIT_TIMEOUT,
            is_in_force,
        )
        .expect("the change did not reach every host");
    fleet.store.set_faults(StoreFaults {
        stale: true,
        ..StoreFaults::default()
    });
    drop(fleet.take_host(0));
    fleet.start_host(0).expect("failed to start the host");
    // The store returns an older table. The restarted host must still reach the revision of its
    // peers, and the peers must keep it.
    fleet
        .wait_until(
            "every host has the newest revision",
            WAIT_TIMEOUT,
            is_in_force,
        )
        .expect("a host does not have the newest revision");
}

#[test]
fn a_change_is_refused_while_the_store_is_down_and_serving_goes_on() {
    let fleet = small_fleet();
    let base = fleet
        .operator(0)
        .table()
        .expect("failed to read the table")
        .table;
    fleet.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let edited = with_weight(&base, 0, 5);
    let result = fleet.operator(0).apply("down", "one", &base, &edited);
    assert!(
        matches!(result, Err(OperatorError::Refused { .. })),
        "{result:?}"
    );
    assert_eq!(revisions(&fleet), [1, 1]);
    let request = hickoryhall_testsuite::ModelRequest::new("store down");
    assert_eq!(
        request.send(&fleet, 0).text(),
        Some(request.expected_text().as_str())
    );
}

#[test]
fn an_invalid_table_is_refused_with_row_and_column() {
    let fleet = small_fleet();
    let base = fleet
        .operator(0)
        .table()
        .expect("failed to read the table")
        .table;
    let result = fleet
        .operator(0)
        .apply("bad", "one", &base, &with_weight(&base, 0, 0));
    let Err(OperatorError::Refused { message, .. }) = result else {
        panic!("{result:?}")
    };
    insta::assert_snapshot!(message);
}
