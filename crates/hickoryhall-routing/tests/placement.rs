//! Tests of placement: eligibility, ownership, and a comparison with a naive choice.

use std::time::{Duration, Instant};

use hickoryhall_routing::{
    CostModel, Level, LoadReport, Placement, PlacementConfig, PrefixChain, RunnerInfo, RunnerKey,
};
use proptest::prelude::*;

fn report(weights: u64) -> LoadReport {
    LoadReport {
        incarnation: 1,
        weights,
        waiting_tokens: 0,
        prefill_tokens_per_s: 10_000,
        cache_tokens: 100_000,
        leaving: false,
    }
}

fn placement(now: Instant, runners: usize) -> (Placement, Vec<RunnerKey>) {
    let mut placement = Placement::new(PlacementConfig::new("a".into()));
    let info = |i: usize| {
        RunnerInfo::new(
            format!("r{i}").as_str().into(),
            "a".into(),
            "m".into(),
            report(1),
        )
    };
    let keys = (0..runners)
        .map(|i| placement.upsert(now, info(i)))
        .collect();
    (placement, keys)
}

fn chain(outer: u64, inner: u64, question: u64) -> PrefixChain {
    let keys = [outer, 1_000 * outer + inner, 1_000_000 + question];
    let levels = keys.iter().zip([8_000, 2_000, 100]);
    PrefixChain::from_levels(levels.map(|(&key, tokens)| Level { key, tokens }).collect())
}

#[test]
fn without_a_runner_of_the_version_there_is_no_candidate() {
    let now = Instant::now();
    let (placement, _) = placement(now, 3);
    assert!(
        placement
            .candidates(now, &chain(1, 1, 1), "m", 2, 4, 0)
            .is_empty()
    );
    assert!(
        placement
            .candidates(now, &chain(1, 1, 1), "other", 1, 4, 0)
            .is_empty()
    );
    assert!(
        placement
            .choose(&chain(1, 1, 1), &CostModel::default(), &[])
            .is_none()
    );
}

#[test]
fn a_leaving_and_an_ejected_runner_get_nothing_new() {
    let now = Instant::now();
    let (mut placement, keys) = placement(now, 3);
    placement.mark_leaving(keys[0]);
    (0..3).for_each(|id| placement.record_failed(now, keys[1], id));
    let chosen = placement.candidates(now, &chain(1, 1, 1), "m", 1, 4, 0);
    assert_eq!(chosen.iter().map(|c| c.key).collect::<Vec<_>>(), [keys[2]]);
    // An ejection ends after a while; a leaving runner stays excluded.
    let later = now + Duration::from_secs(2);
    assert_eq!(
        placement
            .candidates(later, &chain(1, 1, 1), "m", 1, 4, 0)
            .len(),
        2
    );
}

#[test]
fn an_older_incarnations_report_is_dropped() {
    let now = Instant::now();
    let (mut placement, keys) = placement(now, 1);
    placement.observe_report(
        now,
        keys[0],
        &LoadReport {
            incarnation: 5,
            ..report(2)
        },
    );
    placement.observe_report(
        now,
        keys[0],
        &LoadReport {
            incarnation: 4,
            ..report(1)
        },
    );
    let info = placement.runners().get(keys[0]).expect("a runner");
    assert_eq!((info.report.incarnation, info.report.weights), (5, 2));
}

#[test]
fn hosts_agree_on_owners_whatever_order_they_learned_the_runners_in() {
    let now = Instant::now();
    let names = |placement: &Placement| {
        let candidates = placement.candidates(now, &chain(7, 3, 1), "m", 1, 4, 0);
        let runners = placement.runners();
        let name = |c: &hickoryhall_routing::Candidate| runners.get(c.key).map(|i| i.id.clone());
        candidates.iter().map(name).collect::<Vec<_>>()
    };
    let (one, _) = placement(now, 9);
    let mut two = Placement::new(PlacementConfig::new("a".into()));
    for i in (0..9).rev() {
        let id = format!("r{i}");
        two.upsert(
            now,
            RunnerInfo::new(id.as_str().into(), "a".into(), "m".into(), report(1)),
        );
    }
    assert_eq!(names(&one), names(&two));
}

proptest! {
    #[test]
    fn the_cheapest_candidate_is_chosen_and_the_earlier_owner_among_equals(
        requests in prop::collection::vec((0_u64..3, 0_u64..5), 1..60),
    ) {
        let now = Instant::now();
        let (mut placement, _) = placement(now, 5);
        for (index, (outer, inner)) in requests.into_iter().enumerate() {
            let chain = chain(outer, inner, index as u64);
            let candidates = placement.candidates(now, &chain, "m", 1, 4, 0);
            let model = CostModel::default();
            let choice = placement.choose(&chain, &model, &candidates).expect("a runner");
            // Naive choice: the first candidate that none is cheaper than.
            let cost = |position: usize| {
                let c: &hickoryhall_routing::Candidate = &candidates[position];
                model.cost(&c.quote, chain.tokens(), c.network_round_trip).total_ms()
            };
            let naive = (0..candidates.len())
                .find(|&position| (0..candidates.len()).all(|other| cost(position) <= cost(other)))
                .expect("a cheapest one");
            prop_assert_eq!(choice.key, candidates[naive].key);
            placement.record_sent(now, choice.key, index as u64, &chain, 0);
        }
    }
}

/// Guards against a description that was delayed on its way and names an incarnation that has ended:
/// requests would go to a runner that no longer exists in that form.
#[test]
fn a_description_of_an_older_incarnation_is_ignored() {
    let now = Instant::now();
    let mut placement = Placement::new(PlacementConfig::new("a".into()));
    let describe = |incarnation, weights| {
        let report = LoadReport {
            incarnation,
            ..report(weights)
        };
        RunnerInfo::new("r".into(), "a".into(), "m".into(), report)
    };
    let key = placement.upsert(now, describe(5, 2));
    assert_eq!(placement.upsert(now, describe(4, 1)), key);
    let known = placement.runners().get(key).expect("the runner is known");
    assert_eq!((known.report.incarnation, known.report.weights), (5, 2));
}
