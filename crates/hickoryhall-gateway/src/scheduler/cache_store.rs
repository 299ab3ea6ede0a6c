//! What this host knows about one prompt cache store.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hickoryhall_routing::{CacheEstimate, Level, PrefixChain};
use hickoryhall_types::{FailureDomainId, TokenCount, WeightsVersion, hash_name, rendezvous_score};

use crate::table::PromptCacheStoreInfo;

/// Maximum number of prompt levels in the cache estimate of a store.
const CACHE_ESTIMATE_LEVELS: usize = 4_096;
/// Delay beyond the estimate from which a request that fetched from the store marks it unreachable:
/// a fetch from a dead source takes some hundred milliseconds.
const UNREACHABLE_DELAY: Duration = Duration::from_millis(250);
/// Time for which a store that seems unreachable is not used.
const UNREACHABLE_TTL: Duration = Duration::from_secs(3);

/// What this host knows about a prompt cache store, which keeps cached prompts for the runners.
#[derive(Debug)]
pub(super) struct CacheStoreState {
    pub address: SocketAddr,
    pub domain: FailureDomainId,
    name_hash: u64,
    cache_estimate: CacheEstimate,
    unreachable_until: Option<Instant>,
}

impl CacheStoreState {
    pub fn new(info: &PromptCacheStoreInfo) -> Self {
        Self {
            address: info.address,
            domain: info.domain.clone(),
            name_hash: hash_name(&info.address.to_string()),
            cache_estimate: CacheEstimate::new(info.capacity_tokens, CACHE_ESTIMATE_LEVELS),
            unreachable_until: None,
        }
    }

    /// Returns the hash under which hosts refer to the store in updates.
    pub fn name_hash(&self) -> u64 {
        self.name_hash
    }

    pub fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable_until.is_some_and(|until| now < until)
    }

    /// Records the time to first event of a request that fetched from the store; one that exceeds
    /// the estimate by [`UNREACHABLE_DELAY`] marks the store unreachable.
    pub fn record_first_event(&mut self, now: Instant, took: Duration, estimate: Duration) {
        if took > estimate + UNREACHABLE_DELAY {
            self.unreachable_until = Some(now + UNREACHABLE_TTL);
        }
    }

    /// Returns how many tokens of `levels` the store is known to hold for a weights version.
    pub fn cached_tokens(&self, levels: &[Level], weights: WeightsVersion) -> TokenCount {
        self.cache_estimate
            .cached_tokens(&versioned_chain(levels, weights))
    }

    /// Records that a runner saves `levels`, and returns them with the keys that the store uses.
    pub fn record_save(
        &mut self,
        now: Instant,
        levels: &[Level],
        weights: WeightsVersion,
    ) -> Vec<Level> {
        let chain = versioned_chain(levels, weights);
        self.cache_estimate.insert(now, &chain);
        chain.levels().to_vec()
    }

    /// Records levels saved at the request of another host.
    pub fn record_peer_save(&mut self, now: Instant, levels: Vec<Level>) {
        self.cache_estimate
            .insert(now, &PrefixChain::from_levels(levels));
    }
}

/// Returns the levels with the keys that the store uses, which depend on the weights version.
fn versioned_chain(levels: &[Level], weights: WeightsVersion) -> PrefixChain {
    let levels = levels.iter().map(|level| Level {
        key: rendezvous_score(level.key, weights),
        tokens: level.tokens,
    });
    PrefixChain::from_levels(levels.collect())
}
