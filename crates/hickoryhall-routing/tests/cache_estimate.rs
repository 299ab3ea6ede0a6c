//! Tests of the cache estimate, compared with a naive list, and of the ledger.

use std::time::{Duration, Instant};

use hickoryhall_routing::{CacheEstimate, Ledger, Level, LoadReport, PrefixChain};
use proptest::prelude::*;

/// Naive cache: a list in the order of eviction, least recently used first, and the deepest level
/// first among those of one request.
#[derive(Default)]
struct Naive {
    entries: Vec<Level>,
}

impl Naive {
    fn insert(&mut self, chain: &PrefixChain, budget: u64, limit: usize) {
        for level in chain.levels() {
            self.entries.retain(|entry| entry.key != level.key);
        }
        self.entries.extend(chain.levels().iter().rev());
        while self
            .entries
            .iter()
            .map(|e| u64::from(e.tokens))
            .sum::<u64>()
            > budget
            || self.entries.len() > limit
        {
            self.entries.remove(0);
        }
    }

    fn cached(&self, chain: &PrefixChain) -> u32 {
        let is_held = |level: &&Level| self.entries.iter().any(|entry| entry.key == level.key);
        chain
            .levels()
            .iter()
            .take_while(is_held)
            .map(|level| level.tokens)
            .sum()
    }
}

fn chain(outer: u64, inner: u64, question: u64) -> PrefixChain {
    let level = |key, tokens| Level { key, tokens };
    PrefixChain::from_levels(vec![
        level(outer, 100),
        level(1_000 + outer * 10 + inner, 40),
        level(100_000 + question, 5),
    ])
}

fn report(incarnation: u64) -> LoadReport {
    LoadReport {
        incarnation,
        weights: 1,
        waiting_tokens: 0,
        prefill_tokens_per_s: 1_000,
        cache_tokens: 400,
        leaving: false,
    }
}

proptest! {
    #[test]
    fn the_cache_estimate_holds_what_a_naive_list_holds(
        requests in prop::collection::vec((0_u64..4, 0_u64..4), 1..80),
        budget in 100_u64..600,
        limit in 1_usize..20,
    ) {
        let now = Instant::now();
        let mut cache_estimate = CacheEstimate::new(budget, limit);
        let mut naive = Naive::default();
        for (index, (outer, inner)) in requests.into_iter().enumerate() {
            let chain = chain(outer, inner, index as u64);
            prop_assert_eq!(cache_estimate.cached_tokens(&chain), naive.cached(&chain));
            cache_estimate.insert(now, &chain);
            naive.insert(&chain, budget, limit);
            prop_assert_eq!(cache_estimate.len(), naive.entries.len());
        }
    }
}

#[test]
fn nothing_of_an_older_incarnation_is_expected_cached() {
    let now = Instant::now();
    let mut ledger = Ledger::new(&report(1), 100, Duration::from_secs(20));
    ledger.reserve(now, 1, &chain(1, 1, 1), 0);
    ledger.confirm(now, 1, 0);
    assert_eq!(ledger.quote(now, &chain(1, 1, 2), 0).cached_tokens, 140);
    ledger.observe_report(now, &report(2), false);
    let quote = ledger.quote(now, &chain(1, 1, 2), 0);
    assert_eq!((quote.cached_tokens, quote.incarnation), (0, 2));
    assert_eq!(
        quote.wait,
        Duration::ZERO,
        "work of the dead engine is gone"
    );
}

#[test]
fn a_runner_that_held_less_than_expected_is_taken_to_have_evicted_older_prompts_too() {
    let now = Instant::now();
    let mut ledger = Ledger::new(&report(1), 100, Duration::from_secs(20));
    for (id, outer) in [(1, 1), (2, 2)] {
        ledger.reserve(now, id, &chain(outer, 1, id), 0);
        ledger.confirm(now, id, 0);
    }
    // Prompt 1 is older than prompt 2, and the runner reports that prompt 2 was already evicted.
    ledger.reserve(now, 3, &chain(2, 1, 3), 0);
    ledger.confirm(now, 3, 0);
    assert_eq!(ledger.quote(now, &chain(1, 1, 4), 0).cached_tokens, 0);
    assert_eq!(ledger.quote(now, &chain(2, 1, 5), 0).cached_tokens, 140);
}

#[test]
fn the_wait_falls_as_the_head_of_the_queue_is_computed() {
    let now = Instant::now();
    let mut ledger = Ledger::new(&report(1), 100, Duration::from_secs(20));
    ledger.reserve(now, 1, &chain(1, 1, 1), 0);
    ledger.reserve(now, 2, &chain(2, 1, 2), 0);
    let wait = |at| ledger.quote(at, &chain(3, 1, 3), 0).wait;
    assert_eq!(wait(now), Duration::from_millis(290));
    assert_eq!(
        wait(now + Duration::from_millis(45)),
        Duration::from_millis(245)
    );
    // The first request is overdue; the cost of the second one still counts in full.
    assert_eq!(
        wait(now + Duration::from_secs(9)),
        Duration::from_millis(145)
    );
}

#[test]
fn a_reservation_that_nobody_releases_is_dropped() {
    let now = Instant::now();
    let mut ledger = Ledger::new(&report(1), 100, Duration::from_secs(20));
    ledger.reserve(now, 1, &chain(1, 1, 1), 0);
    ledger.expire(now + Duration::from_secs(29));
    assert_eq!(ledger.reservation_count(), 1);
    ledger.expire(now + Duration::from_secs(30));
    assert_eq!(ledger.reservation_count(), 0);
}

#[test]
fn work_of_a_later_class_does_not_count_unless_it_runs() {
    let now = Instant::now();
    let mut ledger = Ledger::new(&report(1), 100, Duration::from_secs(20));
    ledger.reserve(now, 1, &chain(1, 1, 1), 1);
    ledger.reserve(now, 2, &chain(2, 1, 2), 1);
    ledger.reserve(now, 3, &chain(3, 1, 3), 0);
    let wait = |class| ledger.quote(now, &chain(4, 1, 4), class).wait;
    assert_eq!(wait(1), Duration::from_millis(435));
    assert_eq!(
        wait(0),
        Duration::from_millis(290),
        "the one that runs, and the one of its class"
    );
}
