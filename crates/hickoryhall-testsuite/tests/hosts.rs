//! Hosts start, stop and are cut off without harm to requests.

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
    let host = fleet.take_host(0).expect("a running host");
    assert_eq!(host.shut_down(|| false), 0);
    let end = sender.join().expect("a caller");
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
    let host = fleet.take_host(0).expect("a running host");
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
        .wait_until("a refusal", PATIENCE, refused)
        .expect("a refusal of new work");
    cut.store(true, Ordering::SeqCst);
    stopper.join().expect("the stopping host");
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
    fleet.start_host(0).expect("a free port");
    fleet
        .wait_until("host 0", PATIENCE, |fleet| is_ready(fleet, 0))
        .expect("a ready host");
    let ask = Ask::new("store down");
    let served = |fleet: &Fleet| ask.send(fleet, 0).text() == Some(ask.expected().as_str());
    fleet
        .wait_until("an answer", PATIENCE, served)
        .expect("an answer without the store");
}

#[test]
fn all_hosts_restart_at_once_and_serve() {
    let mut fleet = small_fleet();
    let ask = Ask::new("herd");
    assert_eq!(ask.send(&fleet, 1).text(), Some(ask.expected().as_str()));
    (0..fleet.hosts.len()).for_each(|host| drop(fleet.take_host(host)));
    for host in 0..fleet.hosts.len() {
        fleet.start_host(host).expect("a free port");
    }
    let ready = |fleet: &Fleet| (0..fleet.hosts.len()).all(|host| is_ready(fleet, host));
    fleet
        .wait_until("all hosts", PATIENCE, ready)
        .expect("ready hosts");
    let served = |fleet: &Fleet| ask.send(fleet, 0).text() == Some(ask.expected().as_str());
    fleet
        .wait_until("an answer", PATIENCE, served)
        .expect("an answer after the restart");
}
