//! Chooses the prompt cache store for each prompt and what is saved there.

use std::net::SocketAddr;
use std::time::Instant;

use hickoryhall_routing::sum_tokens;
use hickoryhall_types::rendezvous_score;

use super::{CacheStoreState, Candidate, PromptInfo, Scheduler};
use crate::peers::PromptUpdate;
use crate::table::RouteTable;

impl Scheduler {
    /// Applies the prompt cache stores of a route table; known stores keep their state.
    pub(super) fn set_cache_stores(&mut self, table: &RouteTable) {
        let infos = table
            .services()
            .filter_map(|(_, service)| service.prompt_cache_store.as_ref());
        let mut known = std::mem::take(&mut self.cache_stores);
        let cache_stores = infos.map(|info| {
            let index = known.iter().position(|store| store.address == info.address);
            index.map_or_else(
                || CacheStoreState::new(info),
                |index| known.swap_remove(index),
            )
        });
        self.cache_stores = cache_stores.collect();
    }

    /// Returns the index of the store for a prompt's shared levels.
    ///
    /// Rendezvous hashing makes every host choose the same store.
    pub(super) fn cache_store_index(&self, now: Instant, prompt: &PromptInfo) -> Option<usize> {
        let shared = prompt.chain.shared_key();
        let cache_stores = self.cache_stores.iter().enumerate();
        let cache_stores = cache_stores.filter(|(_, store)| !store.is_unreachable(now));
        let first =
            cache_stores.max_by_key(|(_, store)| rendezvous_score(shared, store.name_hash()));
        first.map(|(index, _)| index)
    }

    /// Returns the store to which the runner saves the prompt, if the runner has to prefill some of
    /// the shared levels, the store does not hold all of them, and they have at least
    /// [`min_save_tokens`](super::SchedulerConfig::min_save_tokens) tokens.
    pub(super) fn save_to(
        &mut self,
        now: Instant,
        prompt: &PromptInfo,
        candidate: &Candidate,
    ) -> Option<SocketAddr> {
        let index = self.cache_store_index(now, prompt)?;
        let store = &mut self.cache_stores[index];
        let weights = self.servers[candidate.key].weights();
        let shared = prompt.shared_levels();
        let shared_tokens = sum_tokens(shared);
        let private_tokens = prompt.input_tokens.saturating_sub(shared_tokens);
        let prefills_shared = candidate.missing_tokens > private_tokens;
        let is_saved = store.cached_tokens(shared, weights) == shared_tokens;
        if !prefills_shared || is_saved || shared_tokens < self.config.min_save_tokens {
            return None;
        }
        // The runner saves the whole prompt, so all levels occupy space in the store.
        self.prompt_updates.push(PromptUpdate {
            server: store.name_hash(),
            incarnation: None,
            weights,
            levels: store.record_save(now, prompt.chain.levels(), weights),
        });
        Some(store.address)
    }
}
