//! Cost model: converts a quote into the estimated cost, in milliseconds, of running a request.

use std::time::Duration;

use hickoryhall_types::TokenCount;

use crate::Quote;

/// Factors applied to the components of a cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// Factor for the queueing time.
    pub wait_factor: f64,
    /// Factor for the time to compute the uncached part of the prompt.
    pub recompute_factor: f64,
    /// Factor for the time to recompute what this request evicts from the cache.
    pub eviction_factor: f64,
}

impl Default for CostModel {
    fn default() -> Self {
        Self {
            wait_factor: 1.0,
            recompute_factor: 1.0,
            eviction_factor: 1.0,
        }
    }
}

/// Components of a cost in milliseconds, with the factors of the [`CostModel`] applied.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Time queued behind earlier requests.
    pub wait_ms: f64,
    /// Time to compute the uncached part of the prompt.
    pub recompute_ms: f64,
    /// Time to recompute what this request evicts from the cache.
    pub eviction_ms: f64,
    /// Network round trip to the runner; no factor applies.
    pub network_ms: f64,
}

impl Cost {
    /// Returns the sum of all components.
    #[must_use]
    pub fn total_ms(&self) -> f64 {
        self.wait_ms + self.recompute_ms + self.eviction_ms + self.network_ms
    }
}

impl CostModel {
    /// Returns the cost of running a prompt on the runner that `quote` describes.
    #[must_use]
    pub fn cost(
        &self,
        quote: &Quote,
        prompt_tokens: TokenCount,
        network_round_trip: Duration,
    ) -> Cost {
        let ms_per_token = 1_000.0 / f64::from(quote.prefill_tokens_per_s.max(1));
        let missing = prompt_tokens.saturating_sub(quote.cached_tokens);
        Cost {
            wait_ms: quote.wait.as_secs_f64() * 1_000.0 * self.wait_factor,
            recompute_ms: f64::from(missing) * ms_per_token * self.recompute_factor,
            eviction_ms: quote.eviction_tokens * ms_per_token * self.eviction_factor,
            network_ms: network_round_trip.as_secs_f64() * 1_000.0,
        }
    }
}
