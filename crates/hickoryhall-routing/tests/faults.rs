//! Tests of suspects and of the retry policy.

use std::time::{Duration, Instant};

use hickoryhall_routing::{AttemptOutcome, RetryDecision, RetryPolicy, SuspectDecision, Suspects};
use hickoryhall_types::Ran;
use proptest::prelude::*;
use rstest::rstest;

#[test]
fn a_request_is_isolated_after_one_death_and_refused_after_two() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    assert_eq!(suspects.decide(now, 7), SuspectDecision::Clear);
    suspects.record_death(now, 7);
    assert_eq!(suspects.decide(now, 7), SuspectDecision::Isolate(7));
    suspects.record_death(now, 7);
    assert!(matches!(
        suspects.decide(now, 7),
        SuspectDecision::Refuse(_)
    ));
    suspects.clear(7);
    assert!(
        matches!(suspects.decide(now, 7), SuspectDecision::Refuse(_)),
        "two deaths stay"
    );
    assert_eq!(
        suspects.decide(now + Duration::from_secs(600), 7),
        SuspectDecision::Clear
    );
}

#[test]
fn an_innocent_that_gave_its_answer_is_clear_again() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    suspects.record_death(now, 7);
    suspects.clear(7);
    assert_eq!(suspects.decide(now, 7), SuspectDecision::Clear);
}

#[test]
fn memory_stays_bounded_under_many_suspects() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    for fingerprint in 0..20_000 {
        suspects.record_death(now, fingerprint);
        suspects.record_death(now, fingerprint);
    }
    assert!(suspects.len() <= 4_096, "{}", suspects.len());
    assert!(
        matches!(suspects.decide(now, 19_999), SuspectDecision::Refuse(_)),
        "the newest are kept"
    );
}

proptest! {
    #[test]
    fn merging_counts_of_other_hosts_never_lowers_them(
        deaths in prop::collection::vec((0_u64..3, 1_u32..4), 1..30),
    ) {
        let now = Instant::now();
        let mut suspects = Suspects::default();
        let mut highest = [0; 3];
        for (fingerprint, count) in deaths {
            let index = fingerprint as usize;
            let is_higher = suspects.merge(now, fingerprint, count);
            prop_assert_eq!(is_higher, count > highest[index]);
            highest[index] = highest[index].max(count);
            let refused = matches!(suspects.decide(now, fingerprint), SuspectDecision::Refuse(_));
            prop_assert_eq!(refused, highest[index] >= 2);
        }
    }
}

#[rstest]
#[case::certainly_not_run(false, Ran::No, true)]
#[case::unknown(false, Ran::Unknown, false)]
#[case::ran(false, Ran::Yes, false)]
#[case::repeatable_unknown(true, Ran::Unknown, true)]
#[case::repeatable_ran(true, Ran::Yes, true)]
fn a_retry_needs_to_be_harmless(
    #[case] repeatable: bool,
    #[case] ran: Ran,
    #[case] is_retried: bool,
) {
    let now = Instant::now();
    let policy = RetryPolicy {
        repeatable,
        deadline: now + Duration::from_secs(5),
    };
    let outcome = AttemptOutcome { ran, ended_at: now };
    let decision = policy.decide(1, outcome, || true);
    assert_eq!(matches!(decision, RetryDecision::Retry(_)), is_retried);
}

#[test]
fn a_retry_needs_time_and_budget_and_asks_the_budget_last() {
    let now = Instant::now();
    let outcome = AttemptOutcome {
        ran: Ran::No,
        ended_at: now,
    };
    let late = RetryPolicy {
        repeatable: true,
        deadline: now + Duration::from_millis(10),
    };
    let asked = std::cell::Cell::new(false);
    let budget = || {
        asked.set(true);
        true
    };
    assert_eq!(late.decide(1, outcome, budget), RetryDecision::GiveUp);
    assert!(
        !asked.get(),
        "a retry that cannot be in time costs no budget"
    );
    let policy = RetryPolicy {
        repeatable: true,
        deadline: now + Duration::from_secs(5),
    };
    assert_eq!(policy.decide(1, outcome, || false), RetryDecision::GiveUp);
}
