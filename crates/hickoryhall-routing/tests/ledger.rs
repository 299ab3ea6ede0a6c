//! The wait that a ledger computes while requests of a runner end, expire or are released.

use std::time::{Duration, Instant};

use hickoryhall_routing::{Ledger, Level, LoadReport, PrefixChain};

fn ledger() -> Ledger {
    let report = LoadReport {
        incarnation: 1,
        weights: 1,
        waiting_tokens: 0,
        prefill_tokens_per_s: 10_000,
        cache_tokens: 1_000_000,
        leaving: false,
    };
    Ledger::new(&report, 64, Duration::from_secs(20))
}

/// Returns a prompt of 10,000 tokens, which takes a second.
fn prompt(key: u64) -> PrefixChain {
    PrefixChain::from_levels(vec![Level {
        key,
        tokens: 10_000,
    }])
}

fn wait(ledger: &Ledger, now: Instant) -> Duration {
    ledger.quote(now, &prompt(99), 0).wait
}

/// Guards against a wait that starts over when a request behind the running one ends: the running
/// one was then taken to have just started.
#[test]
fn a_release_behind_the_running_request_keeps_its_progress() {
    let start = Instant::now();
    let mut ledger = ledger();
    ledger.reserve(start, 1, &prompt(1), 0);
    ledger.reserve(start, 2, &prompt(2), 0);
    let later = start + Duration::from_millis(800);
    ledger.release(later, 2);
    assert_eq!(wait(&ledger, later), Duration::from_millis(200));
}

/// Guards against a wait that is too short after the running request expired: the next one was
/// taken to have started when the expired one did.
#[test]
fn the_request_after_an_expired_one_has_just_started() {
    let start = Instant::now();
    let mut ledger = ledger();
    ledger.reserve(start, 1, &prompt(1), 0);
    let second = start + Duration::from_secs(20);
    ledger.reserve(second, 2, &prompt(2), 0);
    let later = start + Duration::from_secs(31);
    ledger.expire(later);
    assert_eq!(wait(&ledger, later), Duration::from_secs(1));
}
