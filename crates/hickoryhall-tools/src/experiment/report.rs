//! Results of a simulation run.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Counters of one run, or of several added up.
#[derive(Clone, Debug)]
pub struct Outcome {
    ttft_us: Histogram<u64>,
    prompt_tokens: u64,
    cached_tokens: u64,
    wasted_tokens: u64,
    requests: u64,
    lost: u64,
}

/// Results computed from an [`Outcome`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Fraction of prompt tokens that the chosen runner had cached.
    pub hit_rate: f64,
    /// Median time to the first token.
    pub ttft_p50: Duration,
    /// 95th percentile of the time to the first token.
    pub ttft_p95: Duration,
    /// 99th percentile of the time to the first token.
    pub ttft_p99: Duration,
    /// Fraction of prompt tokens that were computed although another runner had them cached.
    pub wasted_fraction: f64,
    /// Number of requests that got a first token.
    pub requests: u64,
    /// Number of requests that got no first token by the end of the run.
    pub lost: u64,
}

impl Summary {
    /// Returns whether more than 2 in 100 requests got no first token by the end of the run.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.lost * 50 > self.requests + self.lost
    }
}

impl Default for Outcome {
    fn default() -> Self {
        let ttft_us = Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("valid bounds");
        Self {
            ttft_us,
            prompt_tokens: 0,
            cached_tokens: 0,
            wasted_tokens: 0,
            requests: 0,
            lost: 0,
        }
    }
}

impl Outcome {
    /// Records the first token of a request.
    ///
    /// `prompt`, `cached` and `best_cached` are the tokens of the prompt in total, in the cache of
    /// the chosen runner, and in the cache of the runner with the most.
    pub fn record_first_token(
        &mut self,
        ttft: Duration,
        prompt: u32,
        cached: u32,
        best_cached: u32,
    ) {
        let us = u64::try_from(ttft.as_micros()).unwrap_or(u64::MAX);
        self.ttft_us.saturating_record(us.max(1));
        self.prompt_tokens += u64::from(prompt);
        self.cached_tokens += u64::from(cached);
        self.wasted_tokens += u64::from(best_cached.saturating_sub(cached));
        self.requests += 1;
    }

    /// Adds the counters of another run.
    pub fn merge(&mut self, other: &Self) {
        // Cannot fail, since both histograms have the same bounds.
        let _ = self.ttft_us.add(&other.ttft_us);
        self.prompt_tokens += other.prompt_tokens;
        self.cached_tokens += other.cached_tokens;
        self.wasted_tokens += other.wasted_tokens;
        self.requests += other.requests;
        self.lost += other.lost;
    }

    /// Records a request that got no first token.
    pub fn record_lost(&mut self) {
        self.lost += 1;
    }

    /// Computes the results from the counters.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let quantile = |q| Duration::from_micros(self.ttft_us.value_at_quantile(q));
        let fraction = |tokens: u64| tokens as f64 / self.prompt_tokens.max(1) as f64;
        Summary {
            hit_rate: fraction(self.cached_tokens),
            ttft_p50: quantile(0.5),
            ttft_p95: quantile(0.95),
            ttft_p99: quantile(0.99),
            wasted_fraction: fraction(self.wasted_tokens),
            requests: self.requests,
            lost: self.lost,
        }
    }
}
