//! Tests the lookups of a table: routes, workspaces and services by weight.

use std::collections::HashMap;
use std::time::Duration;

use hickoryhall_gateway::table::{
    CallerLimits, NotFound, Omissions, Route, RouteKind, RoutePlace, RouteTable, TableParts,
    Workspace,
};
use rstest::rstest;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        targets: vec![("a".into(), 90), ("b".into(), 10)],
        attempts: 1,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(300),
        target_gap: Duration::from_millis(400),
        priority: 0,
        is_public: false,
    }
}

fn table() -> RouteTable {
    RouteTable::from(TableParts {
        revision: 3,
        routes: vec![
            route("short", "One.example", "/a/"),
            route("long", "one.example", "/a/b/"),
            route("other", "two.example", "/a/"),
        ],
        services: HashMap::new(),
        workspaces: vec![Workspace {
            id: "karoo".into(),
            keys: vec!["k1".into(), "k2".into()],
            priority: Some(1),
            is_isolated: false,
            quota: None,
        }],
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            idle_timeout: Duration::ZERO,
        },
        omissions: Omissions::default(),
    })
}

#[rstest]
#[case("one.example", "/a/x", Some("short"))]
#[case("one.example", "/a/b/x", Some("long"))]
#[case("ONE.example:8080", "/a/b/", Some("long"))]
#[case("one.example", "/a/b", Some("short"))]
#[case("two.example", "/a/b/x", Some("other"))]
#[case("one.example", "/a", None)]
#[case("three.example", "/a/", None)]
fn the_longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = table();
    let found = table.route(host, path).ok().map(|route| &*route.name);
    assert_eq!(found, expected);
}

#[test]
fn every_key_leads_to_its_workspace() {
    let table = table();
    for key in ["k1", "k2"] {
        assert_eq!(
            table.workspace(key).ok().map(|workspace| &*workspace.id),
            Some("karoo")
        );
    }
    assert_eq!(table.workspace("k3"), Err(NotFound::Missing));
    assert!(table.needs_keys());
}

#[test]
fn requests_split_by_weight() {
    let route = route("r", "h", "/");
    let to_b = (0..1_000).filter(|&hash| route.target(hash).is_some_and(|name| &**name == "b"));
    assert_eq!(to_b.count(), 100);
}

#[rstest]
#[case(RouteKind::Idempotent, true)]
#[case(RouteKind::Once, false)]
#[case(RouteKind::Stream { is_resumable: true }, true)]
#[case(RouteKind::Stream { is_resumable: false }, false)]
fn what_may_repeat(#[case] kind: RouteKind, #[case] expected: bool) {
    assert_eq!(kind.may_repeat(), expected);
}

fn table_with_isolated(names: &[&str], isolated: &[&str]) -> RouteTable {
    let workspaces = names.iter().map(|name| Workspace {
        id: (*name).into(),
        keys: vec![(*name).into()],
        priority: None,
        is_isolated: isolated.contains(name),
        quota: None,
    });
    RouteTable::from(TableParts {
        revision: 3,
        routes: Vec::new(),
        services: HashMap::new(),
        workspaces: workspaces.collect(),
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            idle_timeout: Duration::ZERO,
        },
        omissions: Omissions::default(),
    })
}

fn partition(table: &RouteTable, name: &str) -> String {
    table.cache_partition(table.workspace(name).ok().map(|workspace| &**workspace))
}

/// Guards against workspaces that go on using what another one left before it became isolated.
#[test]
fn workspaces_share_another_partition_once_one_of_them_becomes_isolated() {
    let names = ["a", "b", "c", "d"];
    let before = table_with_isolated(&names, &[]);
    assert_eq!(partition(&before, "a"), partition(&before, "b"));
    let after = table_with_isolated(&names, &["a"]);
    assert_eq!(partition(&after, "b"), partition(&after, "c"));
    assert_ne!(partition(&after, "b"), partition(&before, "b"));
    assert_ne!(partition(&after, "a"), partition(&before, "a"));
    assert_ne!(partition(&after, "a"), partition(&after, "b"));
    let two = table_with_isolated(&names, &["a", "d"]);
    assert_ne!(partition(&two, "b"), partition(&after, "b"));
    // The order of workspaces in the table does not matter.
    let turned = table_with_isolated(&["d", "c", "b", "a"], &["d", "a"]);
    assert_eq!(partition(&turned, "b"), partition(&two, "b"));
    assert_eq!(
        two.cache_partition(None),
        partition(&two, "b"),
        "callers without a workspace share"
    );
}

fn table_without(omissions: Omissions) -> RouteTable {
    RouteTable::from(TableParts {
        revision: 3,
        routes: vec![
            route("short", "one.example", "/a/"),
            route("same", "two.example", "/a/"),
        ],
        services: HashMap::new(),
        workspaces: Vec::new(),
        limits: CallerLimits::default(),
        omissions,
    })
}

/// Guards against requests of an unreadable route that are handled as those of a shorter prefix.
#[rstest]
#[case("one.example", "/a/x", Ok("short"))]
#[case("One.example:80", "/a/b/x", Err(NotFound::Unreadable))]
#[case("two.example", "/a/x", Err(NotFound::Unreadable))]
#[case("one.example", "/c", Err(NotFound::Missing))]
fn an_unreadable_route_keeps_its_place(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Result<&str, NotFound>,
) {
    let place = |host: &str, prefix: &str| RoutePlace {
        host: host.into(),
        path_prefix: prefix.into(),
    };
    let table = table_without(Omissions {
        places: vec![place("ONE.example", "/a/b/"), place("two.example", "/a/")],
        ..Omissions::default()
    });
    let found = table.route(host, path).map(|route| &*route.name);
    assert_eq!(found, expected);
}

/// Guards against 404 and 401 for what the table may have.
#[test]
fn what_may_be_in_a_table_is_not_missing() {
    let table = table_without(Omissions {
        has_unplaced_routes: true,
        keys: vec!["k1".into()],
        ..Omissions::default()
    });
    assert_eq!(table.route("three.example", "/"), Err(NotFound::Unreadable));
    assert!(table.route("one.example", "/a/").is_ok());
    assert!(table.needs_keys());
    assert_eq!(table.workspace("k1"), Err(NotFound::Unreadable));
    assert_eq!(table.workspace("k2"), Err(NotFound::Missing));
    let table = table_without(Omissions {
        has_unknown_keys: true,
        ..Omissions::default()
    });
    assert!(table.needs_keys());
    assert_eq!(table.workspace("k2"), Err(NotFound::Unreadable));
}
