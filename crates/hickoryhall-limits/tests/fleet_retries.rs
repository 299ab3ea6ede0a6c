//! Tests of the fleet-wide retry budget, which hosts share without communication.

use std::time::{Duration, Instant};

use hickoryhall_limits::{FleetRetryBudget, FleetRetryLimit};
use proptest::prelude::*;

const LIMIT: FleetRetryLimit = FleetRetryLimit {
    ratio: 0.2,
    extra_retries: 54.0,
    window: Duration::from_secs(10),
};

#[test]
fn a_host_without_requests_has_its_part_of_the_extra_retries() {
    let now = Instant::now();
    let mut budget = FleetRetryBudget::new(LIMIT, None);
    let taken = (0..100).filter(|_| budget.take(now, 6)).count();
    assert_eq!(taken, 8, "nine tenths of 54 / 6");
}

#[test]
fn retries_come_back_after_the_window() {
    let now = Instant::now();
    let mut budget = FleetRetryBudget::new(LIMIT, None);
    while budget.take(now, 6) {}
    assert!(!budget.take(now + Duration::from_millis(9_999), 6));
    assert!(budget.take(now + Duration::from_secs(10), 6));
}

#[test]
fn the_part_left_falls_to_nothing() {
    let now = Instant::now();
    let mut budget = FleetRetryBudget::new(LIMIT, None);
    assert!((budget.fraction_left(now, 6) - 1.0).abs() < f64::EPSILON);
    while budget.take(now, 6) {}
    assert!(budget.fraction_left(now, 6) < f64::EPSILON);
}

/// Guards against hosts that are stopped and started in turn and each have their whole share twice
/// (soak, seed 9,006).
#[test]
fn a_host_that_starts_again_gets_its_extra_retries_over_a_window() {
    let start = Instant::now();
    let mut budget = FleetRetryBudget::new(LIMIT, Some(start));
    assert!(!budget.take(start, 6));
    let half = start + Duration::from_secs(5);
    assert_eq!((0..100).filter(|_| budget.take(half, 6)).count(), 4);
    let whole = start + Duration::from_secs(10);
    assert_eq!((0..100).filter(|_| budget.take(whole, 6)).count(), 4);
    for _ in 0..50 {
        budget.record_request(whole);
    }
    assert_eq!((0..100).filter(|_| budget.take(whole, 6)).count(), 9);
}

proptest! {
    /// For any sequence of requests and retries on the hosts, the fleet stays within its budget in
    /// every window, counting the requests of that window and of the one before it.
    #[test]
    fn the_fleet_stays_within_its_budget(
        events in prop::collection::vec((0_usize..7, 0_u64..30_000, any::<bool>()), 0..600),
    ) {
        let start = Instant::now();
        let mut events = events;
        events.sort_by_key(|&(_, at_ms, _)| at_ms);
        let mut hosts = vec![FleetRetryBudget::new(LIMIT, None); 7];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (host, at_ms, is_request) in events {
            let now = start + Duration::from_millis(at_ms);
            if is_request {
                hosts[host].record_request(now);
                requests.push(at_ms);
            } else if hosts[host].take(now, 7) {
                retries.push(at_ms);
            }
        }
        for &end in &retries {
            let in_window = |times: &[u64], from: u64, to: u64| {
                times.iter().filter(|&&at| at > from && at <= to).count()
            };
            let from = end.saturating_sub(10_000);
            let used = in_window(&retries, from, end);
            let earlier = in_window(&requests, from.saturating_sub(10_000), from);
            let earned = in_window(&requests, from, end).max(earlier);
            // A request of the previous window may have allowed a retry in this one.
            let recent = in_window(&requests, from.saturating_sub(10_000), end);
            let allowed = 0.2 * recent.max(earned) as f64 + 54.0;
            prop_assert!(used as f64 <= allowed, "{used} of {allowed}");
        }
    }
}
