//! Registry entries of backend servers across outages of the store.

use std::time::{Duration, Instant};

use hickoryhall_gateway::registry::{BackendServer, Registry, RegistryEvent};

fn server(id: &str) -> BackendServer {
    BackendServer {
        id: id.into(),
        service: "booking".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: "a".into(),
        slots: 6,
        is_leaving: false,
        models: Vec::new(),
        software: "v1".into(),
        incarnation: 1,
    }
}

fn removed(id: &str) -> RegistryEvent {
    RegistryEvent::Removed(id.into())
}

#[test]
fn a_removed_entry_is_gone_at_once() {
    let now = Instant::now();
    let mut registry = Registry::default();
    registry.on_list(now, vec![server("s1"), server("s2")]);
    assert_eq!(registry.on_removed(now, "s1"), Some(removed("s1")));
    assert_eq!(registry.servers().count(), 1);
}

#[test]
fn an_entry_that_lapsed_with_the_store_away_stays_until_two_seconds_after_its_return() {
    let start = Instant::now();
    let mut registry = Registry::default();
    registry.on_list(start, vec![server("s1"), server("s2")]);
    registry.on_store_unreachable();
    let back = start + Duration::from_secs(5);
    registry.on_store_reachable(back);
    assert_eq!(registry.on_list(back, vec![server("s2")]), vec![]);
    assert!(registry.get("s1").is_some());
    assert_eq!(registry.expire(back + Duration::from_millis(1_999)), vec![]);
    assert_eq!(
        registry.expire(back + Duration::from_secs(2)),
        vec![removed("s1")]
    );
}

#[test]
fn a_lapsed_entry_that_comes_back_stays() {
    let start = Instant::now();
    let mut registry = Registry::default();
    registry.on_list(start, vec![server("s1")]);
    registry.on_store_unreachable();
    registry.on_store_reachable(start);
    assert_eq!(registry.on_removed(start, "s1"), None);
    assert!(registry.on_entry(server("s1")).is_some());
    assert_eq!(registry.expire(start + Duration::from_secs(9)), vec![]);
}

#[test]
fn a_server_that_said_it_leaves_is_not_held() {
    let start = Instant::now();
    let mut registry = Registry::default();
    let leaving = BackendServer {
        is_leaving: true,
        ..server("s1")
    };
    registry.on_list(start, vec![leaving]);
    registry.on_store_unreachable();
    assert_eq!(registry.on_removed(start, "s1"), Some(removed("s1")));
}

#[test]
fn an_unchanged_entry_is_no_news() {
    let mut registry = Registry::default();
    assert!(registry.on_entry(server("s1")).is_some());
    assert!(registry.on_entry(server("s1")).is_none());
    let restarted = BackendServer {
        software: "v1".into(),
        incarnation: 2,
        ..server("s1")
    };
    assert!(registry.on_entry(restarted).is_some());
}

#[test]
fn a_server_whose_entry_cannot_be_read_stays_until_it_would_have_written_it_again() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut registry = Registry::default();
    registry.on_list(start, vec![server("s1"), server("s2"), server("s3")]);
    for id in ["s1", "s2", "unknown"] {
        registry.on_unreadable(at(100), id);
    }
    // A list has only the entries that can be read.
    assert_eq!(registry.on_list(at(200), vec![server("s3")]), vec![]);
    assert_eq!(registry.on_entry(server("s2")), None);
    registry.on_unreadable(at(3_000), "s1");
    assert_eq!(registry.expire(at(4_099)), vec![]);
    assert_eq!(registry.expire(at(4_100)), vec![removed("s1")]);
    assert_eq!(registry.servers().count(), 2);
    assert_eq!(registry.on_removed(at(4_200), "s2"), Some(removed("s2")));
}
