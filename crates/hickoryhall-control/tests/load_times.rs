//! The time of the first report after an order follows what loads of weights took.

use std::time::Duration;

use hickoryhall_control::LoadTimes;
use rstest::rstest;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[rstest]
#[case::fast(200)]
#[case::usual(600)]
#[case::slow(3_000)]
fn reports_begin_shortly_before_loads_end(#[case] load_ms: u64) {
    let mut times = LoadTimes::default();
    assert_eq!((times.shortest(), times.earliest_end()), (None, ms(0)));
    // Reports show the end up to 100 ms late.
    for late_ms in [70, 0, 100, 30] {
        times.record(ms(load_ms + late_ms));
    }
    assert_eq!(times.shortest(), Some(ms(load_ms)));
    assert!(times.earliest_end() < ms(load_ms));
    assert!(times.earliest_end() > ms(load_ms) * 4 / 5);
}

/// Guards against a first report that is too early forever after one short load, such as that of a
/// small model.
#[test]
fn old_loads_are_forgotten() {
    let mut times = LoadTimes::default();
    times.record(ms(100));
    (0..8).for_each(|_| times.record(ms(900)));
    assert_eq!(times.shortest(), Some(ms(900)));
}
