//! Tests of the fleet-wide retry budget, which hosts share without communication.

use std::time::{Duration, Instant};

use hickoryhall_limits::{FleetRetryBudget, FleetRetryLimit};
use proptest::prelude::*;

const LIMIT: FleetRetryLimit = FleetRetryLimit {
    ratio: 0.2,
    extra_retries: 54.0,
    window: Duration::from_secs(10),
};
const WINDOW_MS: u64 = 10_000;
const HOSTS: usize = 7;

fn take(budget: &mut FleetRetryBudget, now: Instant, hosts: usize) -> bool {
    budget.reserve(now, Some(hosts)) && budget.spend(now, Some(hosts))
}

fn take_all(budget: &mut FleetRetryBudget, now: Instant, hosts: usize) -> usize {
    std::iter::repeat_with(|| take(budget, now, hosts))
        .take_while(|is_taken| *is_taken)
        .count()
}

#[test]
fn a_host_without_requests_has_its_part_of_the_extra_retries() {
    let start = Instant::now();
    let mut budget = FleetRetryBudget::new(LIMIT, start, None);
    let steps = (0..=100).map(|step| start + Duration::from_millis(100 * step));
    let taken = steps
        .map(|now| take_all(&mut budget, now, 6))
        .sum::<usize>();
    assert_eq!(taken, 8, "nine tenths of 54 / 6 in a window");
}

#[test]
fn retries_come_back_with_requests_and_time() {
    let start = Instant::now();
    let mut budget = FleetRetryBudget::new(LIMIT, start, None);
    assert_eq!(take_all(&mut budget, start, 6), 6);
    assert_eq!(take_all(&mut budget, start + Duration::from_secs(40), 6), 6);
    for _ in 0..100 {
        budget.record_request(start + Duration::from_secs(40), Some(6));
    }
    let taken = take_all(&mut budget, start + Duration::from_secs(40), 6);
    assert_eq!(taken, 10, "more than half of the ratio at once");
}

#[test]
fn the_part_left_falls_to_nothing() {
    let now = Instant::now();
    let mut budget = FleetRetryBudget::new(LIMIT, now, None);
    assert!((budget.fraction_left(now, Some(6)) - 1.0).abs() < f64::EPSILON);
    take_all(&mut budget, now, 6);
    assert!(budget.fraction_left(now, Some(6)) < 0.1);
    assert!(!take(&mut budget, now, 6));
}

/// Guards against hosts that are stopped and started in turn and each have their whole share twice
/// (soak, seed 9,006).
#[test]
fn a_host_that_starts_again_has_no_retries_but_those_that_it_earns() {
    let start = Instant::now();
    let mut budget = FleetRetryBudget::new(LIMIT, start, Some(start));
    assert!(!take(&mut budget, start, 6));
    let whole = start + Duration::from_secs(10);
    assert_eq!(take_all(&mut budget, whole, 6), 2, "a quarter of the share");
    for _ in 0..50 {
        budget.record_request(whole, Some(6));
    }
    assert_eq!(take_all(&mut budget, whole, 6), 5);
}

#[test]
fn a_host_that_does_not_know_the_fleet_has_no_extra_retries() {
    let start = Instant::now();
    let mut budget = FleetRetryBudget::new(LIMIT, start, Some(start));
    let later = start + Duration::from_secs(60);
    assert!(!budget.reserve(later, None));
    for _ in 0..50 {
        budget.record_request(later, None);
    }
    assert!(budget.reserve(later, None));
}

#[test]
fn a_changed_limit_gives_no_retries_back() {
    let now = Instant::now();
    let mut budget = FleetRetryBudget::new(LIMIT, now, None);
    take_all(&mut budget, now, 6);
    budget.set_limit(FleetRetryLimit {
        extra_retries: 540.0,
        ..LIMIT
    });
    assert!(!take(&mut budget, now, 6));
}

/// What happens in the model of a fleet.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Requests arrive at a host.
    Requests(usize, usize),
    /// Requests of a host fail, and are sent again after a wait, if the budget allows it.
    Failures(usize, usize, u64),
    /// A host is killed and starts again, or another one starts in its place.
    Kill(usize),
    /// All hosts are killed.
    KillAll,
}

/// What happens to the fleet in some hundred milliseconds.
#[derive(Clone, Copy, Debug)]
struct Step {
    /// Hosts, by their bits, that requests arrive at, that have failures, and that are killed.
    busy: u8,
    failing: u8,
    killed: u8,
    requests: usize,
    wait_ms: u64,
}

const STEP_MS: u64 = 500;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let most = prop_oneof![2 => Just(u8::MAX), 1 => any::<u8>(), 1 => Just(0)];
    let few = prop_oneof![12 => Just(0), 1 => Just(u8::MAX), 1 => any::<u8>()];
    let wait_ms = prop_oneof![4 => Just(0), 1 => 0..15_000_u64];
    let step = (most.clone(), most, few, 1..40_usize, wait_ms);
    let step = step.prop_map(|(busy, failing, killed, requests, wait_ms)| Step {
        busy,
        failing,
        killed,
        requests,
        wait_ms,
    });
    prop::collection::vec(step, 20..60)
}

/// The hosts of the model, and what the services see of them.
struct Fleet {
    start: Instant,
    hosts: Vec<FleetRetryBudget>,
    /// Retries that wait: the time at which they are sent, and the host.
    waiting: Vec<(u64, usize)>,
    requests_ms: Vec<u64>,
    retries_ms: Vec<u64>,
}

impl Fleet {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            start,
            hosts: vec![FleetRetryBudget::new(LIMIT, start, None); HOSTS],
            waiting: Vec::new(),
            requests_ms: Vec::new(),
            retries_ms: Vec::new(),
        }
    }

    fn now(&self, at_ms: u64) -> Instant {
        self.start + Duration::from_millis(at_ms)
    }

    fn kill(&mut self, at_ms: u64, host: usize) {
        let now = self.now(at_ms);
        self.hosts[host] = FleetRetryBudget::new(LIMIT, now, Some(now));
        self.waiting.retain(|&(_, waiting_at)| waiting_at != host);
    }

    /// Sends the retries whose wait has ended.
    fn send_waiting(&mut self, at_ms: u64) {
        self.waiting.sort_unstable();
        while let Some(&(sent_ms, host)) = self
            .waiting
            .first()
            .filter(|(sent_ms, _)| *sent_ms <= at_ms)
        {
            self.waiting.remove(0);
            let now = self.now(sent_ms);
            if self.hosts[host].spend(now, Some(HOSTS)) {
                self.retries_ms.push(sent_ms);
            }
        }
    }

    fn apply(&mut self, at_ms: u64, event: Event) {
        self.send_waiting(at_ms);
        let now = self.now(at_ms);
        match event {
            Event::Requests(host, count) => {
                for _ in 0..count {
                    self.hosts[host].record_request(now, Some(HOSTS));
                    self.requests_ms.push(at_ms);
                }
            }
            Event::Failures(host, count, wait_ms) => {
                for _ in 0..count {
                    if self.hosts[host].reserve(now, Some(HOSTS)) {
                        self.waiting.push((at_ms + wait_ms, host));
                    }
                }
                self.send_waiting(at_ms);
            }
            Event::Kill(host) => self.kill(at_ms, host),
            Event::KillAll => (0..HOSTS).for_each(|host| self.kill(at_ms, host)),
        }
    }

    /// Checks the budget in every window that begins with a retry: the requests count that arrived in it,
    /// in the one before it, or in the one half a window before it.
    fn check(&mut self) -> Result<(), TestCaseError> {
        self.send_waiting(u64::MAX / 2_000_000);
        let count = |times: &[u64], from: u64, to: u64| {
            times.iter().filter(|&&at| at >= from && at < to).count()
        };
        // Windows of requests may begin before the start.
        let shifted = |times: &[u64]| times.iter().map(|at| at + WINDOW_MS).collect::<Vec<_>>();
        let (requests, retries) = (shifted(&self.requests_ms), shifted(&self.retries_ms));
        for &from in &retries {
            let used = count(&retries, from, from + WINDOW_MS);
            let begins = [from, from - WINDOW_MS, from - WINDOW_MS / 2];
            let counted = begins.map(|begin| count(&requests, begin, begin + WINDOW_MS));
            let most = counted.into_iter().max().unwrap_or_default();
            let allowed = LIMIT.ratio * most as f64 + LIMIT.extra_retries;
            prop_assert!(used as f64 <= allowed, "{used} of {allowed} from {from} ms");
        }
        Ok(())
    }
}

proptest! {
    /// Guards against a fleet that sends more retries than its budget, whichever hosts are killed or
    /// replaced, wherever requests go, and however long retries wait.
    #[test]
    fn the_fleet_stays_within_its_budget_whatever_hosts_are_killed(steps in steps()) {
        let mut fleet = Fleet::new();
        for (at_ms, step) in (0..).step_by(STEP_MS as usize).zip(steps) {
            for host in 0..HOSTS {
                let is_in = |hosts: u8| hosts & (1 << host) != 0;
                if is_in(step.killed) {
                    fleet.apply(at_ms, Event::Kill(host));
                }
                if is_in(step.busy) {
                    fleet.apply(at_ms, Event::Requests(host, step.requests));
                }
                if is_in(step.failing) {
                    fleet.apply(at_ms, Event::Failures(host, step.requests, step.wait_ms));
                }
            }
        }
        fleet.check()?;
    }
}

/// Guards against hosts that are killed while the budget is spent and earn the same retries again.
#[test]
fn all_hosts_killed_while_their_retries_are_spent() {
    let mut fleet = Fleet::new();
    for at_ms in (0..40_000).step_by(100) {
        for host in 0..HOSTS {
            fleet.apply(at_ms, Event::Requests(host, 2));
            if at_ms >= 3_000 {
                fleet.apply(at_ms, Event::Failures(host, 2, 0));
            }
        }
        if at_ms >= 10_000 && at_ms.is_multiple_of(2_500) {
            fleet.apply(at_ms, Event::KillAll);
        }
    }
    fleet.check().expect("the budget holds");
}

/// Guards against retries that are deducted when they are decided and arrive together when servers return.
#[test]
fn retries_of_two_windows_that_wait_for_the_same_moment() {
    let mut fleet = Fleet::new();
    for at_ms in (0..26_000).step_by(100) {
        for host in 0..HOSTS {
            fleet.apply(at_ms, Event::Requests(host, 2));
            if at_ms >= 11_000 {
                fleet.apply(at_ms, Event::Failures(host, 2, 26_000 - at_ms));
            }
        }
    }
    fleet.check().expect("the budget holds");
}

/// Guards against requests that move from one part of the fleet to another and are counted at both.
#[test]
fn requests_that_move_from_host_to_host() {
    let mut fleet = Fleet::new();
    for at_ms in (0..60_000).step_by(100) {
        let host = usize::try_from(at_ms / 9_900).expect("a small number") % HOSTS;
        fleet.apply(at_ms, Event::Requests(host, 20));
        let is_last_moment = at_ms % 9_900 >= 9_500 || at_ms % 9_900 <= 500;
        if is_last_moment {
            (0..HOSTS).for_each(|host| fleet.apply(at_ms, Event::Failures(host, 100, 0)));
        }
    }
    fleet.check().expect("the budget holds");
}
