//! What happens to the requests of a runner whose weights change.

use hickoryhall_gateway::interface::SwitchMode;
use hickoryhall_gateway::orders::switch_mode;
use hickoryhall_gateway::scheduler::HostLoad;
use rstest::rstest;

/// `bound` of the requests cannot be resumed at another runner; 8 ran when draining began.
#[rstest]
// All requests can go on at other runners.
#[case::resumed_elsewhere(6, 0, 1.0, SwitchMode::Truncate)]
#[case::no_budget_to_resume(6, 0, 0.1, SwitchMode::Wait)]
// Most have ended, and some of the rest can go on nowhere else.
#[case::few_are_left(2, 2, 1.0, SwitchMode::Keep)]
#[case::half_is_left(4, 1, 1.0, SwitchMode::Keep)]
#[case::most_are_left(5, 5, 1.0, SwitchMode::Wait)]
// Those that could be resumed would go on under new weights as well.
#[case::most_are_resumable(6, 1, 1.0, SwitchMode::Wait)]
fn requests_in_flight(
    #[case] requests: u32,
    #[case] bound: u32,
    #[case] budget_left: f64,
    #[case] expected: SwitchMode,
) {
    let load = HostLoad {
        requests,
        non_resumable: bound,
        ..HostLoad::default()
    };
    assert_eq!(switch_mode(&load, 8, budget_left), expected);
}
