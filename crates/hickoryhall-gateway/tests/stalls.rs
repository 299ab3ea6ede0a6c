//! Detection of stalls of the process.

use std::time::{Duration, Instant};

use hickoryhall_gateway::stalls::{BEAT_INTERVAL, StallMonitor};

#[test]
fn what_is_read_during_or_just_after_a_stall_may_be_late() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut monitor = StallMonitor::new(start);
    for beat in 1..8 {
        let now = start + BEAT_INTERVAL * beat;
        monitor.on_beat(now);
        assert!(!monitor.may_be_late(now + BEAT_INTERVAL));
    }
    // The answer is read before the first beat after the stall, or after it.
    assert!(monitor.may_be_late(at(9_000)));
    monitor.on_beat(at(9_000));
    assert!(monitor.may_be_late(at(9_100)));
    monitor.on_beat(at(9_250));
    assert!(monitor.may_be_late(at(9_300)));
    for beat in 1..8 {
        monitor.on_beat(at(9_250) + BEAT_INTERVAL * beat);
    }
    assert!(!monitor.may_be_late(at(11_100)));
}
