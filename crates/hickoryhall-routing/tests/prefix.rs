//! Tests of prefix keys: stable across releases, and never shared between workspaces, models,
//! adapters or weights versions.

use hickoryhall_routing::{Level, PrefixChain, PrefixSeed};
use proptest::prelude::*;
use rstest::rstest;

fn keys(seed: &PrefixSeed, messages: &[&str]) -> Vec<u64> {
    let chain = PrefixChain::from_messages(seed, messages.iter().copied());
    chain.levels().iter().map(|level| level.key).collect()
}

#[test]
fn keys_stay_the_same_from_release_to_release() {
    let seed = PrefixSeed::new("karoo", "planner", Some("notices"), 3);
    let keys = keys(
        &seed,
        &["possession notice", "section 4", "which stations close?"],
    );
    let keys = keys
        .iter()
        .map(|key| format!("{key:016x}"))
        .collect::<Vec<_>>();
    insta::assert_debug_snapshot!((keys, seed.cache_salt()));
}

#[rstest]
#[case::workspace(PrefixSeed::new("valenza", "planner", None, 1))]
#[case::model(PrefixSeed::new("karoo", "other", None, 1))]
#[case::adapter(PrefixSeed::new("karoo", "planner", Some("a"), 1))]
#[case::empty_adapter(PrefixSeed::new("karoo", "planner", Some(""), 1))]
#[case::weights(PrefixSeed::new("karoo", "planner", None, 2))]
#[case::shifted_names(PrefixSeed::new("karoop", "lanner", None, 1))]
fn no_key_and_no_salt_is_shared_with(#[case] other: PrefixSeed) {
    let seed = PrefixSeed::new("karoo", "planner", None, 1);
    let messages = ["notice", "section", "question"];
    let own = keys(&seed, &messages);
    assert!(keys(&other, &messages).iter().all(|key| !own.contains(key)));
    assert_ne!(seed.cache_salt(), other.cache_salt());
}

proptest! {
    #[test]
    fn equal_beginnings_have_equal_keys_and_nothing_else_has(
        shared in prop::collection::vec("[a-c]{0,4}", 0..4),
        left in prop::collection::vec("[a-c]{0,4}", 0..4),
        right in prop::collection::vec("[a-c]{0,4}", 0..4),
    ) {
        let seed = PrefixSeed::new("w", "m", None, 1);
        let join = |tail: &[String]| shared.iter().chain(tail).cloned().collect::<Vec<_>>();
        let (a, b) = (join(&left), join(&right));
        let equal = a.iter().zip(&b).take_while(|(x, y)| x == y).count();
        let texts = |all: &[String]| {
            let texts = all.iter().map(String::as_str).collect::<Vec<_>>();
            keys(&seed, &texts)
        };
        let (a, b) = (texts(&a), texts(&b));
        prop_assert_eq!(a.iter().zip(&b).take_while(|(x, y)| x == y).count(), equal);
        prop_assert!(a.iter().skip(equal).all(|key| !b.contains(key)));
    }
}

/// Guards against a sum that wraps, so that a very large prompt looks like a small one.
#[test]
fn the_tokens_of_very_large_levels_do_not_wrap() {
    let level = |key| Level {
        key,
        tokens: u32::MAX - 1,
    };
    let chain = PrefixChain::from_levels(vec![level(1), level(2), level(3)]);
    assert_eq!(chain.tokens(), u32::MAX);
}
