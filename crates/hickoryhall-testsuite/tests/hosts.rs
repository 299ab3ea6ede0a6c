//! Hosts start, stop and restart without losing requests, also while the store is unreachable.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use hickoryhall_standins::store::StoreFaults;
use hickoryhall_testsuite::{ModelRequest, WAIT_TIMEOUT, small_fleet};
use hickoryhall_tools::fleet::Fleet;

fn is_ready(fleet: &Fleet, host: usize) -> bool {
    fleet.hosts[host]
        .as_ref()
        .is_some_and(hickoryhall_entry::EntryHost::is_ready)
}

#[test]
fn a_graceful_stop_cuts_off_no_request() {
    let mut fleet = small_fleet();
    let request = ModelRequest {
        tokens: 100,
        ..ModelRequest::new("graceful")
    };
    let caller = request.spawn(&fleet, 0);
    let host = fleet.take_host(0).expect("host 0 is not running");
    assert_eq!(host.shut_down(|| false), 0);
    let result = caller.join().expect("the caller thread panicked");
    assert_eq!(
        result.text(),
        Some(request.expected_text().as_str()),
        "{result:?}"
    );
}

#[test]
fn a_stopping_host_refuses_new_requests_as_not_run() {
    let mut fleet = small_fleet();
    let long_request = ModelRequest {
        tokens: 400,
        ..ModelRequest::new("long")
    };
    let address = fleet.address(0);
    let caller = long_request.spawn(&fleet, 0);
    let host = fleet.take_host(0).expect("host 0 is not running");
    let force = Arc::new(AtomicBool::new(false));
    let shutdown_thread = {
        let force = Arc::clone(&force);
        std::thread::spawn(move || host.shut_down(|| force.load(Ordering::SeqCst)))
    };
    let is_refused = |_: &Fleet| {
        let result = ModelRequest::new("late").send_to(address);
        result.refusal_field("code") == Some("not_ready")
            && result.refusal_field("ran") == Some("no")
    };
    fleet
        .wait_until(
            "the stopping host refuses new requests",
            WAIT_TIMEOUT,
            is_refused,
        )
        .expect("the stopping host did not refuse a new request");
    force.store(true, Ordering::SeqCst);
    shutdown_thread
        .join()
        .expect("the thread of the stopping host panicked");
    drop(caller.join());
}

#[test]
fn a_host_starts_from_a_peer_while_the_store_is_down() {
    let mut fleet = small_fleet();
    fleet.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    drop(fleet.take_host(0));
    fleet.start_host(0).expect("failed to start the host");
    fleet
        .wait_until("host 0 is ready", WAIT_TIMEOUT, |fleet| is_ready(fleet, 0))
        .expect("host 0 did not become ready");
    let request = ModelRequest::new("store down");
    let is_answered =
        |fleet: &Fleet| request.send(fleet, 0).text() == Some(request.expected_text().as_str());
    fleet
        .wait_until("host 0 answers", WAIT_TIMEOUT, is_answered)
        .expect("host 0 did not answer without the store");
}

#[test]
fn all_hosts_restart_at_once_and_serve() {
    let mut fleet = small_fleet();
    let request = ModelRequest::new("herd");
    assert_eq!(
        request.send(&fleet, 1).text(),
        Some(request.expected_text().as_str())
    );
    (0..fleet.hosts.len()).for_each(|host| drop(fleet.take_host(host)));
    for host in 0..fleet.hosts.len() {
        fleet.start_host(host).expect("failed to start the host");
    }
    let all_ready = |fleet: &Fleet| (0..fleet.hosts.len()).all(|host| is_ready(fleet, host));
    fleet
        .wait_until("all hosts are ready", WAIT_TIMEOUT, all_ready)
        .expect("not all hosts became ready");
    let is_answered =
        |fleet: &Fleet| request.send(fleet, 0).text() == Some(request.expected_text().as_str());
    fleet
        .wait_until("host 0 answers", WAIT_TIMEOUT, is_answered)
        .expect("host 0 did not answer after the restart");
}
