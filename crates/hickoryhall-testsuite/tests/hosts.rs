//! Hosts start, stop and restart without losing requests, also while the store is unreachable.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use hickoryhall_standins::store::StoreFaults;
use hickoryhall_testsuite::{Ask, PATIENCE, small_fleet};
use hickoryhall_tools::fleet::Fleet;

fn is_ready(fleet: &Fleet, host: usize) -> bool {
    fleet.hosts[host]
        .as_ref()
        .is_some_and(hickoryhall_entry::EntryHost::is_ready)
}

#[test]
fn a_graceful_stop_cuts_off_no_request() {
    let mut fleet = small_fleet();
    let ask = Ask {
        tokens: 100,
        ..Ask::new("graceful")
    };
    let sender = ask.start(&fleet, 0);
    let host = fleet.take_host(0).expect("host 0 is not running");
    assert_eq!(host.shut_down(|| false), 0);
    let end = sender.join().expect("the caller thread panicked");
    assert_eq!(end.text(), Some(ask.expected().as_str()), "{end:?}");
}

#[test]
fn a_stopping_host_refuses_new_requests_as_not_run() {
    let mut fleet = small_fleet();
    let long = Ask {
        tokens: 400,
        ..Ask::new("long")
    };
    let address = fleet.address(0);
    let sender = long.start(&fleet, 0);
    let host = fleet.take_host(0).expect("host 0 is not running");
    let cut = Arc::new(AtomicBool::new(false));
    let stopper = {
        let cut = Arc::clone(&cut);
        std::thread::spawn(move || host.shut_down(|| cut.load(Ordering::SeqCst)))
    };
    let refused = |_: &Fleet| {
        let end = Ask::new("late").send_to(address);
        end.refusal("code") == Some("not_ready") && end.refusal("ran") == Some("no")
    };
    fleet
        .wait_until("the stopping host refuses new requests", PATIENCE, refused)
        .expect("the stopping host did not refuse a new request");
    cut.store(true, Ordering::SeqCst);
    stopper
        .join()
        .expect("the thread of the stopping host panicked");
    drop(sender.join());
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
        .wait_until("host 0 is ready", PATIENCE, |fleet| is_ready(fleet, 0))
        .expect("host 0 did not become ready");
    let ask = Ask::new("store down");
    let served = |fleet: &Fleet| ask.send(fleet, 0).text() == Some(ask.expected().as_str());
    fleet
        .wait_until("host 0 answers", PATIENCE, served)
        .expect("host 0 did not answer without the store");
}

#[test]
fn all_hosts_restart_at_once_and_serve() {
    let mut fleet = small_fleet();
    let ask = Ask::new("herd");
    assert_eq!(ask.send(&fleet, 1).text(), Some(ask.expected().as_str()));
    (0..fleet.hosts.len()).for_each(|host| drop(fleet.take_host(host)));
    for host in 0..fleet.hosts.len() {
        fleet.start_host(host).expect("failed to start the host");
    }
    let ready = |fleet: &Fleet| (0..fleet.hosts.len()).all(|host| is_ready(fleet, host));
    fleet
        .wait_until("all hosts are ready", PATIENCE, ready)
        .expect("not all hosts became ready");
    let served = |fleet: &Fleet| ask.send(fleet, 0).text() == Some(ask.expected().as_str());
    fleet
        .wait_until("host 0 answers", PATIENCE, served)
        .expect("host 0 did not answer after the restart");
}
