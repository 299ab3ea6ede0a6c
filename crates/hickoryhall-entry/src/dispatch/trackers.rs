//! Ledgers of the runners that this host tracks for its failure domain.
//!
//! The tracker of a runner collects the reservations of all hosts and quotes the runner's wait and
//! cached tokens to them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hickoryhall_routing::{Class, Ledger, Level, LoadReport, PrefixChain, Quote, ReservationId};
use hickoryhall_types::TokenCount;
use hickoryhall_wire::{HostHash, RunnerQuote, WireLevel};

/// Largest number of prefix levels remembered for each tracked runner.
const MAX_LEDGER_LEVELS: usize = 4_096;
/// Time after which a new tracker has seen enough requests to know what its runner has cached.
const WARM_UP_PERIOD: Duration = Duration::from_secs(30);

/// Quote of a tracker, with a flag that says whether its cached tokens are reliable.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrackedQuote {
    /// Wait, cached tokens and evictions that the tracker expects.
    pub quote: Quote,
    /// Whether the tracker has seen the runner's requests for the warm-up period.
    pub is_warm: bool,
}

#[derive(Clone, Debug)]
struct TrackedRunner {
    ledger: Ledger,
    tracked_since: Instant,
}

/// Ledgers of the tracked runners, keyed by the hash of the runner's name.
#[derive(Clone, Debug)]
pub struct TrackedRunners {
    runners: HashMap<u64, TrackedRunner>,
    half_life: Duration,
}

impl TrackedRunners {
    /// Creates an empty set.
    ///
    /// `half_life` is the idle time after which a ledger halves the value of a cached prompt.
    #[must_use]
    pub fn new(half_life: Duration) -> Self {
        Self {
            runners: HashMap::new(),
            half_life,
        }
    }

    /// Records a load report of a runner that this host tracks; starts to track a new one.
    pub fn observe(&mut self, now: Instant, runner: u64, report: &LoadReport) {
        let half_life = self.half_life;
        let tracked = self.runners.entry(runner).or_insert_with(|| TrackedRunner {
            ledger: Ledger::new(report, MAX_LEDGER_LEVELS, half_life),
            tracked_since: now,
        });
        tracked.ledger.observe_report(now, report, false);
    }

    /// Retains only the runners for which `is_tracked` returns true.
    pub fn retain(&mut self, is_tracked: impl Fn(u64) -> bool) {
        self.runners.retain(|&runner, _| is_tracked(runner));
    }

    /// Returns the quote for a request at a runner, or `None` if the runner is not tracked here.
    #[must_use]
    pub fn quote(
        &self,
        now: Instant,
        runner: u64,
        chain: &PrefixChain,
        class: Class,
    ) -> Option<TrackedQuote> {
        let tracked = self.runners.get(&runner)?;
        Some(TrackedQuote {
            quote: tracked.ledger.quote(now, chain, class),
            is_warm: now.saturating_duration_since(tracked.tracked_since) >= WARM_UP_PERIOD,
        })
    }

    /// Returns the quote for a request at a runner in its wire form, or `None` if the runner is not
    /// tracked here.
    #[must_use]
    pub fn wire_quote(
        &self,
        now: Instant,
        runner: u64,
        chain: &PrefixChain,
        class: Class,
    ) -> Option<RunnerQuote> {
        let TrackedQuote { quote, is_warm } = self.quote(now, runner, chain, class)?;
        Some(RunnerQuote {
            runner,
            incarnation: quote.incarnation,
            wait_ms: u32::try_from(quote.wait.as_millis()).unwrap_or(u32::MAX),
            cached_tokens: quote.cached_tokens,
            eviction_tokens: quote.eviction_tokens as TokenCount,
            is_warm,
        })
    }

    /// Records that the host `from` sent a request to a runner.
    ///
    /// Ids are unique only within a host, so the ledger's key combines the host and the id.
    pub fn reserve(
        &mut self,
        now: Instant,
        from: HostHash,
        runner: u64,
        id: ReservationId,
        chain: &PrefixChain,
        class: Class,
    ) {
        if let Some(tracked) = self.runners.get_mut(&runner) {
            tracked.ledger.reserve(now, from ^ id, chain, class);
        }
    }

    /// Ends a reservation: confirmed if the first token came with a number of cached tokens,
    /// released if the attempt ended before.
    pub fn release(
        &mut self,
        now: Instant,
        from: HostHash,
        runner: u64,
        id: ReservationId,
        cached_tokens: Option<TokenCount>,
    ) {
        let Some(tracked) = self.runners.get_mut(&runner) else {
            return;
        };
        match cached_tokens {
            Some(tokens) => tracked.ledger.confirm(now, from ^ id, tokens),
            None => tracked.ledger.release(now, from ^ id),
        }
    }

    /// Drops expired reservations, whose end was never reported.
    pub fn expire(&mut self, now: Instant) {
        self.runners
            .values_mut()
            .for_each(|tracked| tracked.ledger.expire(now));
    }

    /// Returns the number of tracked runners.
    #[must_use]
    pub fn len(&self) -> usize {
        self.runners.len()
    }

    /// Returns whether no runner is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.runners.is_empty()
    }
}

/// Converts the prefix levels of a prompt to their wire form.
#[must_use]
pub fn levels_to_wire(chain: &PrefixChain) -> Vec<WireLevel> {
    let levels = chain.levels().iter();
    levels
        .map(|level| WireLevel {
            key: level.key,
            tokens: level.tokens,
        })
        .collect()
}

/// Converts prefix levels from their wire form.
#[must_use]
pub(super) fn levels_from_wire(levels: &[WireLevel]) -> PrefixChain {
    let levels = levels.iter().map(|level| Level {
        key: level.key,
        tokens: level.tokens,
    });
    PrefixChain::from_levels(levels.collect())
}
