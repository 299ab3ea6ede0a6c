//! Desired versions of weights, and the time since older weights were superseded.

use std::time::{Duration, Instant};

use hickoryhall_gateway::scheduler::{DesiredVersionAge, DesiredVersionHistory};

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_newer_version_does_not_hide_how_long_an_old_one_is_replaced() {
    let start = Instant::now();
    let mut history = DesiredVersionHistory::default();
    history.record(start, 3, DesiredVersionAge::Exact(Duration::ZERO));
    let later = start + 4 * SECOND;
    assert!(history.record(later, 4, DesiredVersionAge::Exact(Duration::ZERO)));
    assert_eq!(
        history.superseded_for(later, 2, Duration::ZERO),
        Some(4 * SECOND)
    );
    assert_eq!(
        history.superseded_for(later, 3, Duration::ZERO),
        Some(Duration::ZERO)
    );
    assert_eq!(history.superseded_for(later, 4, Duration::ZERO), None);
}

#[test]
fn a_host_that_starts_later_takes_the_age_that_others_know() {
    let start = Instant::now() + 100 * SECOND;
    let mut history = DesiredVersionHistory::default();
    assert!(history.record(start, 3, DesiredVersionAge::Exact(Duration::ZERO)));
    assert!(!history.record(start, 3, DesiredVersionAge::Exact(5 * SECOND)));
    assert!(!history.record(start, 3, DesiredVersionAge::Exact(2 * SECOND)));
    assert_eq!(
        history.superseded_for(start, 2, Duration::ZERO),
        Some(5 * SECOND)
    );
}

#[test]
fn versions_are_bounded() {
    let now = Instant::now();
    let mut history = DesiredVersionHistory::default();
    for version in 1..100 {
        history.record(now, version, DesiredVersionAge::Exact(Duration::ZERO));
    }
    assert_eq!(history.newest(), Some(99));
    assert!(history.iter(now).count() <= 8);
}
