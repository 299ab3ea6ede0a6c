//! Tests of which workspaces count as over their share.

use std::time::{Duration, Instant};

use hickoryhall_limits::WorkspaceUsage;
use hickoryhall_types::WorkspaceId;

fn workspace(name: &str) -> WorkspaceId {
    name.into()
}

#[test]
fn a_flood_is_over_and_the_others_are_not() {
    let now = Instant::now();
    let mut usage = WorkspaceUsage::default();
    usage.record(now, &workspace("small"), 1, 10.0);
    usage.record(now, &workspace("other"), 1, 20.0);
    usage.record(now, &workspace("flood"), 1, 1_000.0);
    assert!(usage.is_over_share(now, &workspace("flood")));
    assert!(!usage.is_over_share(now, &workspace("small")));
    assert!(!usage.is_over_share(now, &workspace("unknown")));
}

#[test]
fn a_larger_weight_allows_a_larger_use() {
    let now = Instant::now();
    let mut usage = WorkspaceUsage::default();
    usage.record(now, &workspace("small"), 1, 10.0);
    usage.record(now, &workspace("large"), 10, 1_000.0);
    assert!(!usage.is_over_share(now, &workspace("large")));
}

#[test]
fn a_workspace_that_is_alone_is_never_over_and_a_use_is_forgotten() {
    let now = Instant::now();
    let mut usage = WorkspaceUsage::default();
    usage.record(now, &workspace("flood"), 1, 1_000.0);
    assert!(!usage.is_over_share(now, &workspace("flood")));
    let later = now + Duration::from_secs(60);
    usage.record(later, &workspace("small"), 1, 10.0);
    assert!(!usage.is_over_share(later, &workspace("flood")));
}
