//! A store of cached prompts beside the runners.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hickoryhall_routing::{Level, PrefixChain, ShadowCache};
use hickoryhall_types::{FailureDomainId, TokenCount, WeightsVersion, hash_name, rendezvous_score};

use crate::table::KeepInfo;

/// Prompt levels remembered of the store.
const LEVELS: usize = 4_096;
/// Time beyond its estimate from which a request that fetched from the store says that the store is
/// away: an answer from a dead source takes some hundred milliseconds.
const LATE: Duration = Duration::from_millis(250);
/// Time for which a store that seems away is left out.
const AVOIDED: Duration = Duration::from_secs(3);

/// What a host knows of the store.
#[derive(Debug)]
pub(super) struct Keep {
    pub address: SocketAddr,
    pub domain: FailureDomainId,
    name_hash: u64,
    held: ShadowCache,
    avoided_until: Option<Instant>,
}

impl Keep {
    pub fn new(info: &KeepInfo) -> Self {
        Self {
            address: info.address,
            domain: info.domain.clone(),
            name_hash: hash_name(&info.address.to_string()),
            held: ShadowCache::new(info.memory_tokens, LEVELS),
            avoided_until: None,
        }
    }

    /// Returns the name of the store among hosts.
    pub fn name_hash(&self) -> u64 {
        self.name_hash
    }

    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Takes the time that a request which fetched from the store took to its first event.
    pub fn observe(&mut self, now: Instant, took: Duration, estimate: Duration) {
        if took > estimate + LATE {
            self.avoided_until = Some(now + AVOIDED);
        }
    }

    /// Returns the tokens that the store holds of some levels under a version of the weights.
    pub fn held_tokens(&self, levels: &[Level], weights: WeightsVersion) -> TokenCount {
        self.held.cached_tokens(&chain(levels, weights))
    }

    /// Records that a runner saves levels, and returns them as the store holds them.
    pub fn save(&mut self, now: Instant, levels: &[Level], weights: WeightsVersion) -> Vec<Level> {
        let chain = chain(levels, weights);
        self.held.insert(now, &chain);
        chain.levels().to_vec()
    }

    /// Records levels that another host had saved.
    pub fn on_saved(&mut self, now: Instant, levels: Vec<Level>) {
        self.held.insert(now, &PrefixChain::from_levels(levels));
    }
}

/// Returns the levels as the store holds them, which tells versions of the weights apart.
fn chain(levels: &[Level], weights: WeightsVersion) -> PrefixChain {
    let levels = levels.iter().map(|level| Level {
        key: rendezvous_score(level.key, weights),
        tokens: level.tokens,
    });
    PrefixChain::from_levels(levels.collect())
}
