//! Cost of sending a request to a runner, in milliseconds.

use std::time::Duration;

use hickoryhall_types::TokenCount;

use crate::Quote;

/// Weights of the parts of the cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostModel {
    /// Factor on the wait.
    pub wait: f64,
    /// Factor on the time to compute the missing part of the prompt.
    pub recompute: f64,
    /// Factor on the time to compute again what this request evicts.
    pub eviction: f64,
}

impl Default for CostModel {
    fn default() -> Self {
        Self {
            wait: 1.0,
            recompute: 1.0,
            eviction: 1.0,
        }
    }
}

/// Parts of the cost, weighted, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Wait for earlier work.
    pub wait_ms: f64,
    /// Computing the missing part of the prompt.
    pub recompute_ms: f64,
    /// Computing again what this request evicts.
    pub eviction_ms: f64,
    /// Way to the runner and back.
    pub network_ms: f64,
}

impl Cost {
    /// Returns the sum of the parts.
    #[must_use]
    pub fn total_ms(&self) -> f64 {
        self.wait_ms + self.recompute_ms + self.eviction_ms + self.network_ms
    }
}

impl CostModel {
    /// Returns the cost of a prompt at a quote.
    #[must_use]
    pub fn cost(&self, quote: &Quote, prompt_tokens: TokenCount, network: Duration) -> Cost {
        let ms_per_token = 1_000.0 / f64::from(quote.prefill_tokens_per_s.max(1));
        let missing = prompt_tokens.saturating_sub(quote.cached_tokens);
        Cost {
            wait_ms: quote.wait.as_secs_f64() * 1_000.0 * self.wait,
            recompute_ms: f64::from(missing) * ms_per_token * self.recompute,
            eviction_ms: quote.eviction_tokens * ms_per_token * self.eviction,
            network_ms: network.as_secs_f64() * 1_000.0,
        }
    }
}
