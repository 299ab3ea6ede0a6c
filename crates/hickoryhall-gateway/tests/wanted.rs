//! Target versions of weights, and the time since older weights were superseded.

use std::time::{Duration, Instant};

use hickoryhall_gateway::scheduler::DesiredVersionHistory;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_newer_version_does_not_hide_how_long_an_old_one_is_replaced() {
    let start = Instant::now();
    let mut targets = DesiredVersionHistory::default();
    targets.record(start, 3, Duration::ZERO);
    let later = start + 4 * SECOND;
    assert!(targets.record(later, 4, Duration::ZERO));
    assert_eq!(targets.superseded_for(later, 2), Some(4 * SECOND));
    assert_eq!(targets.superseded_for(later, 3), Some(Duration::ZERO));
    assert_eq!(targets.superseded_for(later, 4), None);
}

#[test]
fn a_host_that_starts_later_takes_the_age_that_others_know() {
    let start = Instant::now() + 100 * SECOND;
    let mut targets = DesiredVersionHistory::default();
    assert!(targets.record(start, 3, Duration::ZERO));
    assert!(!targets.record(start, 3, 5 * SECOND));
    assert!(!targets.record(start, 3, 2 * SECOND));
    assert_eq!(targets.superseded_for(start, 2), Some(5 * SECOND));
}

#[test]
fn versions_are_bounded() {
    let now = Instant::now();
    let mut targets = DesiredVersionHistory::default();
    for version in 1..100 {
        targets.record(now, version, Duration::ZERO);
    }
    assert_eq!(targets.newest(), Some(99));
    assert!(targets.iter(now).count() <= 8);
}
