//! Chooses the prompt cache store for each prompt and what is saved there.

use std::net::SocketAddr;
use std::time::Instant;

use hickoryhall_types::{TokenCount, rendezvous_score};

use super::{Keep, Offer, PromptNeed, Scheduler};
use crate::peers::PromptNews;
use crate::table::RouteTable;

impl Scheduler {
    /// Applies the prompt cache stores of a route table; known stores keep their state.
    pub(super) fn set_keeps(&mut self, table: &RouteTable) {
        let infos = table
            .services()
            .filter_map(|(_, service)| service.keep.as_ref());
        let mut known = std::mem::take(&mut self.keeps);
        let keeps = infos.map(|info| {
            let place = known.iter().position(|keep| keep.address == info.address);
            place.map_or_else(|| Keep::new(info), |place| known.swap_remove(place))
        });
        self.keeps = keeps.collect();
    }

    /// Returns the index of the store for a prompt's shared levels.
    ///
    /// Rendezvous hashing makes every host choose the same store.
    pub(super) fn keep_place(&self, now: Instant, prompt: &PromptNeed) -> Option<usize> {
        let shared = prompt.chain.shared();
        let keeps = self.keeps.iter().enumerate();
        let keeps = keeps.filter(|(_, keep)| !keep.is_avoided(now));
        let first = keeps.max_by_key(|(_, keep)| rendezvous_score(shared, keep.name_hash()));
        first.map(|(place, _)| place)
    }

    /// Returns the store to which the runner saves the prompt, if the runner has to prefill some of
    /// the shared levels and the store does not hold all of them.
    pub(super) fn save_to(
        &mut self,
        now: Instant,
        prompt: &PromptNeed,
        offer: &Offer,
    ) -> Option<SocketAddr> {
        let place = self.keep_place(now, prompt)?;
        let keep = &mut self.keeps[place];
        let weights = self.servers[offer.key].weights();
        let shared = prompt.shared_levels();
        let shared_tokens = shared.iter().map(|level| level.tokens).sum::<TokenCount>();
        let private_tokens = prompt.input_tokens.saturating_sub(shared_tokens);
        let reads_shared = offer.missing_tokens > private_tokens;
        let is_known = keep.held_tokens(shared, weights) == shared_tokens;
        if !reads_shared || is_known || shared_tokens < self.config.save_tokens {
            return None;
        }
        // The runner saves the whole prompt, so all levels occupy space in the store.
        self.prompts.push(PromptNews {
            server: keep.name_hash(),
            weights,
            levels: keep.save(now, prompt.chain.levels(), weights),
        });
        Some(keep.address)
    }
}
