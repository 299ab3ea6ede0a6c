//! Orders are given only under a lease, never overlap between lease holders, and leave enough
//! runners serving.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hickoryhall_control::{
    DesiredVersions, OrderConfig, OrderPlanner, RunnerStatus, choose_version,
};
use proptest::prelude::*;

fn runner(index: usize, weights: u64, checks_fencing: bool) -> RunnerStatus {
    RunnerStatus {
        id: format!("r{index}").as_str().into(),
        model: "m".into(),
        weights,
        checks_fencing,
        is_available: true,
    }
}

fn desired_versions(version: u64) -> DesiredVersions {
    [("m".into(), version)].into()
}

#[test]
fn without_a_lease_there_are_no_orders() {
    let now = Instant::now();
    let mut planner = OrderPlanner::new(OrderConfig::default());
    assert!(
        planner
            .plan(now, &desired_versions(2), &[runner(0, 1, true)], || true)
            .is_empty()
    );
    planner.on_acquired(now, 5);
    let lapsed = now + OrderConfig::default().lease_ttl;
    assert!(
        planner
            .plan(lapsed, &desired_versions(2), &[runner(0, 1, true)], || true)
            .is_empty()
    );
}

#[test]
fn at_most_two_and_never_more_than_half_of_the_runners_load_at_once() {
    let now = Instant::now();
    for count in 1..8_usize {
        let mut planner = OrderPlanner::new(OrderConfig::default());
        planner.on_acquired(now, 5);
        let runners = (0..count).map(|i| runner(i, 1, true)).collect::<Vec<_>>();
        let planned = planner
            .plan(now, &desired_versions(2), &runners, || true)
            .len();
        assert_eq!(planned, (count / 2).clamp(1, 2), "{count} runners");
        assert!(
            planner
                .plan(now, &desired_versions(2), &runners, || true)
                .is_empty(),
            "a pending order is not given twice"
        );
    }
}

#[test]
fn an_order_without_a_place_among_the_fleets_loads_is_not_given() {
    let now = Instant::now();
    let mut planner = OrderPlanner::new(OrderConfig::default());
    planner.on_acquired(now, 5);
    assert!(
        planner
            .plan(now, &desired_versions(2), &[runner(0, 1, true)], || false)
            .is_empty()
    );
    assert_eq!(
        planner
            .plan(now, &desired_versions(2), &[runner(0, 1, true)], || true)
            .len(),
        1
    );
}

#[test]
fn an_engine_that_comes_back_empty_is_ordered_again() {
    let now = Instant::now();
    let mut planner = OrderPlanner::new(OrderConfig::default());
    planner.on_acquired(now, 5);
    assert_eq!(
        planner
            .plan(now, &desired_versions(2), &[runner(0, 1, true)], || true)
            .len(),
        1
    );
    assert!(
        planner
            .plan(now, &desired_versions(2), &[runner(0, 2, true)], || true)
            .is_empty()
    );
    assert_eq!(
        planner
            .plan(now, &desired_versions(2), &[runner(0, 1, true)], || true)
            .len(),
        1
    );
}

/// Event at one of two hosts that compete for the lease and give orders to an engine that ignores
/// fencing numbers.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The host tries to acquire the lease.
    Acquire(usize),
    /// The host renews the lease.
    Renew(usize),
    /// The host gives orders.
    Order(usize),
    /// The host pauses between sending its renewal and handling the response.
    Pause(usize),
    /// Time passes, in milliseconds.
    Elapse(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0_usize..2).prop_map(Event::Acquire),
        (0_usize..2).prop_map(Event::Renew),
        (0_usize..2).prop_map(Event::Order),
        (0_usize..2).prop_map(Event::Pause),
        (100_u64..4_000).prop_map(Event::Elapse),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// An order may be in transit for `max_order_transit`; orders of two lease holders must not
    /// overlap.
    #[test]
    fn orders_to_an_engine_that_ignores_numbers_never_overlap_between_holders(
        events in prop::collection::vec(event(), 1..80),
    ) {
        let config = OrderConfig::default();
        let mut now = Instant::now();
        let mut planners = [OrderPlanner::new(config), OrderPlanner::new(config)];
        // State of the store: lease holder with the end of its lease, and last fencing number.
        let mut lease_holder = None::<(usize, Instant)>;
        let mut fencing = 0;
        let mut in_transit = Vec::<(usize, Instant)>::new();
        let mut requested_at = [now; 2];
        for event in events {
            match event {
                Event::Elapse(ms) => now += Duration::from_millis(ms),
                // The renewal is sent now, and its response is handled much later.
                Event::Pause(host) => requested_at[host] = now,
                Event::Acquire(host) => {
                    let is_free = lease_holder.is_none_or(|(_, until)| now >= until);
                    if is_free {
                        fencing += 1;
                        lease_holder = Some((host, now + config.lease_ttl));
                        planners[host].on_acquired(now, fencing);
                        requested_at[host] = now;
                    }
                }
                Event::Renew(host) => match lease_holder {
                    Some((owner, until)) if owner == host && now < until => {
                        lease_holder = Some((host, now + config.lease_ttl));
                        planners[host].on_renewed(requested_at[host].min(now));
                        requested_at[host] = now;
                    }
                    _ => planners[host].on_lost(),
                },
                Event::Order(host) => {
                    let runners = [runner(0, 1, false)];
                    for _ in planners[host].plan(now, &desired_versions(2), &runners, || true) {
                        let overlaps = in_transit.iter().any(|&(other, at)| {
                            other != host && now < at + config.max_order_transit
                        });
                        prop_assert!(!overlaps, "orders of two lease holders overlap");
                        in_transit.push((host, now));
                    }
                }
            }
        }
    }

    #[test]
    fn requests_split_between_versions_in_proportion_to_runners(old in 1_usize..9, new in 1_usize..9) {
        let serving = BTreeMap::from([(1, old), (2, new)]);
        let requests = 9_000_u64;
        let to_new = (0..requests)
            .map(|request| hickoryhall_types::rendezvous_score(request, 7))
            .filter(|&hash| choose_version(&serving, 2, hash) == 2)
            .count();
        let expected = requests as f64 * new as f64 / (old + new) as f64;
        prop_assert!((to_new as f64 - expected).abs() < 400.0, "{to_new} of {expected}");
    }
}

#[test]
fn without_any_runner_the_desired_version_is_chosen() {
    assert_eq!(choose_version(&BTreeMap::new(), 4, 9), 4);
}

#[test]
fn a_new_holder_waits_for_the_orders_of_the_one_before_it_and_its_own_successor_does_not() {
    let now = Instant::now();
    let runners = [runner(0, 1, false)];
    for (handover_wait, first_ms) in [(Duration::from_secs(3), 3_000), (Duration::ZERO, 0)] {
        let config = OrderConfig {
            lease_ttl: Duration::from_secs(60),
            max_order_transit: Duration::from_millis(600),
            handover_wait,
            ..OrderConfig::default()
        };
        let mut planner = OrderPlanner::new(config);
        planner.on_acquired(now, 5);
        let first = now + Duration::from_millis(first_ms);
        if let Some(before) = first
            .checked_sub(Duration::from_millis(1))
            .filter(|_| first_ms > 0)
        {
            assert!(
                planner
                    .plan(before, &desired_versions(2), &runners, || true)
                    .is_empty()
            );
        }
        assert_eq!(
            planner
                .plan(first, &desired_versions(2), &runners, || true)
                .len(),
            1
        );
    }
}

#[test]
fn an_order_that_did_not_take_effect_may_be_given_again_at_once() {
    let now = Instant::now();
    let runners = [runner(0, 1, true)];
    let mut planner = OrderPlanner::new(OrderConfig::default());
    planner.on_acquired(now, 5);
    assert_eq!(
        planner
            .plan(now, &desired_versions(2), &runners, || true)
            .len(),
        1
    );
    assert!(
        planner
            .plan(now, &desired_versions(2), &runners, || true)
            .is_empty()
    );
    planner.remove_pending("r0");
    assert_eq!(
        planner
            .plan(now, &desired_versions(2), &runners, || true)
            .len(),
        1
    );
}

#[test]
fn the_number_of_loads_at_once_follows_its_setting() {
    let now = Instant::now();
    let runners = (0..20).map(|i| runner(i, 1, true)).collect::<Vec<_>>();
    let mut planner = OrderPlanner::new(OrderConfig::default());
    planner.on_acquired(now, 5);
    planner.set_max_concurrent_loads(7);
    assert_eq!(
        planner
            .plan(now, &desired_versions(2), &runners, || true)
            .len(),
        7
    );
    planner.set_max_concurrent_loads(0);
    assert!(
        planner
            .plan(now, &desired_versions(2), &runners, || true)
            .is_empty(),
        "seven runners are already loading"
    );
}

/// Guards against a panic on a limit of 0, which counts as 1.
#[test]
fn a_limit_of_no_loads_counts_as_one() {
    let now = Instant::now();
    let mut planner = OrderPlanner::new(OrderConfig {
        max_concurrent_loads: 0,
        ..OrderConfig::default()
    });
    planner.on_acquired(now, 5);
    let runners = (0..4).map(|i| runner(i, 1, true)).collect::<Vec<_>>();
    let planned = planner.plan(now, &desired_versions(2), &runners, || true);
    assert_eq!(planned.len(), 1);
}

/// An order may name a newer version than the planned one; the plan is done then, and no further
/// order waits for it.
#[test]
fn a_runner_with_a_newer_version_than_planned_is_done() {
    let now = Instant::now();
    let mut planner = OrderPlanner::new(OrderConfig::default());
    planner.on_acquired(now, 5);
    let planned = planner.plan(now, &desired_versions(2), &[runner(0, 1, true)], || true);
    assert_eq!(planned.len(), 1);
    planner.prune_pending(now, &[runner(0, 3, true)]);
    assert!(!planner.is_pending("r0"));
    let planned = planner.plan(now, &desired_versions(4), &[runner(0, 3, true)], || true);
    assert_eq!(planned.len(), 1);
}
