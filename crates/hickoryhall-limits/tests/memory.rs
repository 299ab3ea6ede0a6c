//! Tests the account of request bodies and the division of a host's memory.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use hickoryhall_limits::{BodyId, CONNECTION_BYTES, ChargeOutcome, HostBudgets, MemoryAccount};
use proptest::prelude::*;
use rstest::rstest;

const BUDGET: usize = 10 << 20;
const LARGE: Option<usize> = Some(4 << 20);
const MIB: usize = 1 << 20;

fn address(last: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, last).into()
}

/// An account with a clock that advances a millisecond with each step.
struct Steps {
    account: MemoryAccount,
    now: Instant,
}

impl Steps {
    fn new() -> Self {
        Self {
            account: MemoryAccount::new(BUDGET),
            now: Instant::now(),
        }
    }

    fn tick(&mut self) -> Instant {
        self.now += Duration::from_millis(1);
        self.now
    }

    fn open(&mut self, caller: u8, declared: Option<usize>) -> BodyId {
        let now = self.tick();
        self.account.open(now, address(caller), declared)
    }

    fn charge(&mut self, id: BodyId, bytes: usize) -> ChargeOutcome {
        let now = self.tick();
        self.account.charge(now, id, bytes)
    }

    /// Opens a body and charges it without dropping another.
    fn add(&mut self, caller: u8, declared: Option<usize>, bytes: usize) -> BodyId {
        let id = self.open(caller, declared);
        assert_eq!(self.charge(id, bytes), granted(&[]));
        id
    }
}

fn granted(dropped: &[BodyId]) -> ChargeOutcome {
    ChargeOutcome {
        is_granted: true,
        dropped: dropped.to_vec(),
    }
}

fn refused() -> ChargeOutcome {
    ChargeOutcome::default()
}

/// Guards against stalled bodies that lock out those that make progress.
#[test]
fn the_body_that_stalled_longest_makes_room() {
    let mut steps = Steps::new();
    let bodies = [1, 2, 3, 4].map(|caller| steps.add(caller, LARGE, 2 * MIB));
    assert_eq!(steps.charge(bodies[0], 1), granted(&[bodies[1]]));
    let now = steps.tick();
    steps.account.record_progress(now, bodies[2]);
    let newcomer = steps.open(5, LARGE);
    assert_eq!(steps.charge(newcomer, 3 * MIB), granted(&[bodies[3]]));
    assert_eq!(steps.charge(bodies[1], 1), refused());
}

/// Guards against drops while there is room: a slow link is proper.
#[test]
fn nothing_is_dropped_while_there_is_room() {
    let mut steps = Steps::new();
    let slow = steps.add(1, LARGE, 100);
    steps.now += Duration::from_secs(600);
    for caller in 2..9 {
        steps.add(caller, LARGE, MIB);
    }
    assert_eq!(steps.charge(slow, 100), granted(&[]));
}

/// Guards against dropping requests that are already being served, and against drops that make no
/// room for the request they were made for.
#[test]
fn complete_bodies_stay_and_a_request_that_cannot_fit_drops_nothing() {
    let mut steps = Steps::new();
    for caller in 1..4 {
        let body = steps.add(caller, LARGE, 2 * MIB);
        steps.account.complete(body);
    }
    let incomplete = steps.add(4, LARGE, MIB);
    let newcomer = steps.open(5, LARGE);
    assert_eq!(steps.charge(newcomer, 3 * MIB), refused());
    assert_eq!(steps.charge(incomplete, MIB), granted(&[]));
}

/// Guards against small requests of ordinary callers that are refused because large bodies are held.
#[test]
fn small_bodies_have_a_reserve() {
    let mut steps = Steps::new();
    for caller in 1..5 {
        let body = steps.add(caller, LARGE, 2 * MIB);
        steps.account.complete(body);
    }
    let large = steps.open(5, LARGE);
    assert_eq!(steps.charge(large, 1_000), refused());
    let chunked = steps.open(5, None);
    assert_eq!(steps.charge(chunked, 1_000), refused());
    steps.add(5, Some(50_000), 50_000);
}

/// Guards against a caller that displaces the bodies of all others.
#[test]
fn an_address_over_its_share_displaces_only_its_own_bodies() {
    let mut steps = Steps::new();
    let quiet = steps.add(1, LARGE, MIB);
    let greedy = [2; 3].map(|caller| steps.add(caller, LARGE, 2 * MIB));
    let more = steps.open(2, LARGE);
    assert_eq!(steps.charge(more, 2 * MIB), granted(&[greedy[0]]));
    // Another address gets room from the greedy one, although a body of a third has stalled longer.
    let newcomer = steps.open(3, LARGE);
    assert_eq!(steps.charge(newcomer, 2 * MIB), granted(&[greedy[1]]));
    assert_eq!(steps.charge(quiet, 1), granted(&[]));
}

/// Guards against refusals behind a balancer, where all callers have one address.
#[test]
fn one_address_may_use_the_whole_budget_while_nobody_else_wants_it() {
    let mut steps = Steps::new();
    let bodies = [1; 4].map(|caller| steps.add(caller, LARGE, 2 * MIB));
    let newcomer = steps.open(1, LARGE);
    assert_eq!(steps.charge(newcomer, MIB), granted(&[bodies[0]]));
}

/// Guards against a legal request that is refused on an idle machine because the budget is small.
#[test]
fn a_body_that_is_alone_fits_into_any_budget() {
    let mut account = MemoryAccount::new(MIB);
    let now = Instant::now();
    let body = account.open(now, address(1), LARGE);
    assert_eq!(account.charge(now, body, 4 * MIB), granted(&[]));
    account.close(body);
    assert_eq!(account.used_bytes(), 0);
}

/// Guards against the end of a request that frees its memory twice.
#[test]
fn closing_twice_frees_once() {
    let mut steps = Steps::new();
    let body = steps.add(1, LARGE, 500);
    steps.add(1, LARGE, 700);
    steps.account.close(body);
    steps.account.close(body);
    assert_eq!(steps.account.used_bytes(), 700);
}

/// Guards against a lowered budget that fails the requests in progress.
#[test]
fn a_lowered_budget_applies_to_further_charges() {
    let mut steps = Steps::new();
    let first = steps.add(1, LARGE, 4 * MIB);
    let second = steps.add(2, LARGE, 4 * MIB);
    steps.account.set_budget(6 * MIB);
    assert_eq!(steps.account.used_bytes(), 8 * MIB);
    assert_eq!(steps.charge(second, 1), granted(&[first]));
}

/// Guards against budgets that together exceed the machine, or leave a small machine without service.
#[rstest]
#[case::smallest(16 << 20, 128)]
#[case::small(32 << 20, 256)]
#[case::first_deployment(88 << 20, 4_100)]
#[case::second_deployment(96 << 20, 3_075)]
#[case::large(512 << 20, 10_250)]
fn budgets_fit_into_the_machine(#[case] memory: usize, #[case] descriptors: usize) {
    let budgets = HostBudgets::new(memory, descriptors);
    let connections = budgets.callers + budgets.forwarding;
    let sum = budgets.body_bytes
        + budgets.response_bytes
        + budgets.stream_bytes
        + connections * CONNECTION_BYTES;
    assert!(sum < memory, "{budgets:?}");
    let others = budgets.readiness + budgets.metrics + budgets.records;
    assert!(2 * connections + others < descriptors, "{budgets:?}");
    assert!(budgets.callers >= 16, "{budgets:?}");
}

/// Guards against a change of what hosts of the first deployment could hold before.
#[test]
fn the_default_keeps_the_budget_of_large_responses() {
    let budgets = HostBudgets::new(88 << 20, 4_100);
    assert_eq!(budgets.response_bytes, 32 << 20);
    assert!(budgets.body_bytes >= 4 * 4 * MIB, "{budgets:?}");
    assert!(budgets.callers >= 500, "{budgets:?}");
}

#[derive(Clone, Debug)]
enum Step {
    Open { caller: u8, declared: Option<usize> },
    Charge { index: usize, bytes: usize },
    Complete { index: usize },
    Close { index: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..4_u8, proptest::option::of(1..5_000_000_usize))
            .prop_map(|(caller, declared)| Step::Open { caller, declared }),
        (0..64_usize, 1..300_000_usize).prop_map(|(index, bytes)| Step::Charge { index, bytes }),
        (0..64_usize, 1..300_000_usize).prop_map(|(index, bytes)| Step::Charge { index, bytes }),
        (0..64_usize).prop_map(|index| Step::Complete { index }),
        (0..64_usize).prop_map(|index| Step::Close { index }),
    ];
    proptest::collection::vec(step, 1..300)
}

proptest! {
    /// Guards against an account that exceeds its budget, loses a charge or drops a complete body.
    #[test]
    fn charges_stay_within_the_budget(steps in steps()) {
        const SMALL_BUDGET: usize = 1_000_000;
        let mut account = MemoryAccount::new(SMALL_BUDGET);
        let mut now = Instant::now();
        // Each body with its bytes, and whether it is complete.
        let mut bodies = Vec::<(BodyId, usize, bool)>::new();
        for step in steps {
            now += Duration::from_millis(1);
            match step {
                Step::Open { caller, declared } => {
                    bodies.push((account.open(now, address(caller), declared), 0, false));
                }
                Step::Charge { index, bytes } => {
                    let Some(&(id, _, false)) = bodies.get(index) else { continue };
                    let outcome = account.charge(now, id, bytes);
                    prop_assert!(outcome.is_granted || outcome.dropped.is_empty());
                    for dropped in &outcome.dropped {
                        let (_, _, is_complete) =
                            bodies.iter().find(|(id, ..)| id == dropped).expect("known");
                        prop_assert!(!is_complete && *dropped != id);
                    }
                    bodies.retain(|(other, ..)| !outcome.dropped.contains(other));
                    if outcome.is_granted {
                        let body = bodies.iter_mut().find(|(other, ..)| *other == id);
                        body.expect("kept").1 += bytes;
                    } else {
                        bodies.retain(|(other, ..)| *other != id);
                    }
                    let charged = bodies.iter().filter(|(_, bytes, _)| *bytes > 0).count();
                    prop_assert!(account.used_bytes() <= SMALL_BUDGET || charged <= 1);
                }
                Step::Complete { index } => {
                    if let Some(body) = bodies.get_mut(index) {
                        account.complete(body.0);
                        body.2 = true;
                    }
                }
                Step::Close { index } if index < bodies.len() => {
                    account.close(bodies.swap_remove(index).0);
                }
                Step::Close { .. } => {}
            }
            let sum = bodies.iter().map(|(_, bytes, _)| bytes).sum::<usize>();
            prop_assert_eq!(account.used_bytes(), sum);
        }
    }
}
