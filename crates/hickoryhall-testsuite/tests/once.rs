//! A call that must not be repeated runs at most once, and a call reported as not run did not run.

use hickoryhall_standins::service::ServiceFaults;
use hickoryhall_standins::store::StoreFaults;
use hickoryhall_table::Row;
use hickoryhall_testsuite::{WAIT_TIMEOUT, book, run_count, small_fleet};
use hickoryhall_tools::caller::CallResult;
use hickoryhall_tools::fleet::Fleet;

fn set_service_faults(fleet: &Fleet, faults: ServiceFaults) {
    fleet
        .services
        .iter()
        .for_each(|service| service.set_faults(faults));
}

#[test]
fn a_booking_runs_once_and_its_answer_is_replayed() {
    let fleet = small_fleet();
    let first = book(fleet.address(0), "booking-a");
    let again = book(fleet.address(1), "booking-a");
    assert!(first.text().is_some(), "{first:?}");
    assert_eq!(again.text(), first.text());
    assert_eq!(run_count(&fleet, "booking-a"), 1);
}

#[test]
fn a_booking_whose_answer_is_lost_is_not_sent_again() {
    let fleet = small_fleet();
    set_service_faults(
        &fleet,
        ServiceFaults {
            lose_answers: 1,
            ..ServiceFaults::default()
        },
    );
    let first = book(fleet.address(0), "booking-b");
    assert_eq!(first.refusal_field("ran"), Some("unknown"), "{first:?}");
    let again = book(fleet.address(1), "booking-b");
    assert_eq!(again.refusal_field("ran"), Some("unknown"), "{again:?}");
    assert_eq!(run_count(&fleet, "booking-b"), 1);
}

#[test]
fn a_booking_refused_by_every_server_did_not_run_and_may_be_sent_again() {
    let fleet = small_fleet();
    set_service_faults(
        &fleet,
        ServiceFaults {
            refuse: 1,
            ..ServiceFaults::default()
        },
    );
    let first = book(fleet.address(0), "booking-c");
    assert_eq!(first.refusal_field("ran"), Some("no"), "{first:?}");
    assert_eq!(run_count(&fleet, "booking-c"), 0);
    set_service_faults(&fleet, ServiceFaults::default());
    let again = book(fleet.address(1), "booking-c");
    assert!(again.text().is_some(), "{again:?}");
    assert_eq!(run_count(&fleet, "booking-c"), 1);
}

#[test]
fn a_booking_moves_on_from_a_server_that_certainly_did_not_run_it() {
    let fleet = small_fleet();
    fleet.services[0].set_faults(ServiceFaults {
        refuse: 9,
        ..ServiceFaults::default()
    });
    let result = book(fleet.address(0), "booking-d");
    assert!(result.text().is_some(), "{result:?}");
    assert_eq!(run_count(&fleet, "booking-d"), 1);
}

#[test]
fn without_the_store_a_booking_is_refused_as_not_run() {
    let fleet = small_fleet();
    fleet.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let result = book(fleet.address(0), "booking-e");
    assert_eq!(
        result.refusal_field("code"),
        Some("store_unavailable"),
        "{result:?}"
    );
    assert_eq!(result.refusal_field("ran"), Some("no"));
    assert_eq!(run_count(&fleet, "booking-e"), 0);
}

#[test]
fn a_claim_whose_answer_is_lost_is_found_by_reading_it_back() {
    let fleet = small_fleet();
    // The first booking acquires the store lease that claims share, so the next write to the store,
    // whose answer is lost, is the claim of the second booking.
    assert!(book(fleet.address(0), "booking-f").text().is_some());
    fleet.store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let result = book(fleet.address(0), "booking-g");
    assert!(result.text().is_some(), "{result:?}");
    assert_eq!(run_count(&fleet, "booking-g"), 1);
}

#[test]
fn resends_at_all_hosts_at_once_run_one_booking() {
    let fleet = small_fleet();
    set_service_faults(
        &fleet,
        ServiceFaults {
            slow_ms: 100,
            ..ServiceFaults::default()
        },
    );
    let addresses = fleet.addresses();
    let callers = (0..8)
        .map(|index| {
            let address = addresses[index % addresses.len()];
            std::thread::spawn(move || book(address, "booking-h"))
        })
        .collect::<Vec<_>>();
    let results = callers
        .into_iter()
        .map(|caller| caller.join().expect("a caller thread panicked"));
    let results = results.collect::<Vec<_>>();
    assert_eq!(run_count(&fleet, "booking-h"), 1, "{results:?}");
    assert!(
        results.iter().any(|result| result.text().is_some()),
        "{results:?}"
    );
    assert!(
        results
            .iter()
            .all(|result| result.refusal_field("ran") != Some("no")),
        "{results:?}"
    );
}

#[test]
fn a_repeatable_call_that_lost_its_answer_at_every_server_is_not_refused_as_not_run() {
    let fleet = small_fleet();
    let operator = fleet.operator(0);
    let base = operator.table().expect("failed to read the table").table;
    let mut edited = base.clone();
    let row = base.row("*", "service:booking").expect("no such row");
    edited.insert(Row {
        repeatable: Some(true),
        ..row.clone()
    });
    let revision = operator
        .apply("repeatable", "operator", &base, &edited)
        .expect("the change was refused");
    let is_in_force = |fleet: &Fleet| {
        let mut hosts = fleet.hosts.iter().flatten();
        hosts.all(|host| host.table_revision() >= revision)
    };
    fleet
        .wait_until("the change is in force", WAIT_TIMEOUT, is_in_force)
        .expect("the change did not reach every host");
    set_service_faults(
        &fleet,
        ServiceFaults {
            lose_answers: 9,
            ..ServiceFaults::default()
        },
    );
    let result = book(fleet.address(0), "booking-repeatable");
    assert_eq!(run_count(&fleet, "booking-repeatable"), 2);
    assert_eq!(result.refusal_field("ran"), Some("unknown"), "{result:?}");
    let CallResult::Refused {
        status,
        retry_after_s,
        ..
    } = result
    else {
        panic!("{result:?}");
    };
    assert_eq!((status, retry_after_s), (502, None));
}
