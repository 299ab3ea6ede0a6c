//! Ledgers of the runners that this host tracks for its failure domain.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hickoryhall_routing::{Class, Ledger, Level, LoadReport, PrefixChain, Quote, ReservationId};
use hickoryhall_types::TokenCount;
use hickoryhall_wire::{HostHash, RunnerQuote, WireLevel};

/// Prefix levels remembered of each tracked runner at most.
const LEDGER_ENTRIES: usize = 4_096;
/// Time in which a new tracker does not know yet what its runner holds.
const WARM_UP: Duration = Duration::from_secs(30);

/// A quote and whether the tracker has seen enough to be sure of the cached part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrackedQuote {
    /// The quote.
    pub quote: Quote,
    /// Whether the tracker has seen the runner's requests for a while.
    pub is_warm: bool,
}

#[derive(Clone, Debug)]
struct Tracked {
    ledger: Ledger,
    since: Instant,
}

/// Ledgers by the hash of the runner's name.
#[derive(Clone, Debug)]
pub struct Trackers {
    tracked: HashMap<u64, Tracked>,
    half_life: Duration,
}

impl Trackers {
    /// Creates an empty set.
    #[must_use]
    pub fn new(half_life: Duration) -> Self {
        Self {
            tracked: HashMap::new(),
            half_life,
        }
    }

    /// Takes a load report of a runner that this host tracks.
    pub fn observe(&mut self, now: Instant, runner: u64, report: &LoadReport) {
        let half_life = self.half_life;
        let tracked = self.tracked.entry(runner).or_insert_with(|| Tracked {
            ledger: Ledger::new(report, LEDGER_ENTRIES, half_life),
            since: now,
        });
        tracked.ledger.observe_report(now, report, false);
    }

    /// Keeps only the runners that this host still tracks.
    pub fn retain(&mut self, tracks: impl Fn(u64) -> bool) {
        self.tracked.retain(|&runner, _| tracks(runner));
    }

    /// Returns the quote of a runner, if it is tracked here.
    #[must_use]
    pub fn quote(
        &self,
        now: Instant,
        runner: u64,
        chain: &PrefixChain,
        class: Class,
    ) -> Option<TrackedQuote> {
        let tracked = self.tracked.get(&runner)?;
        Some(TrackedQuote {
            quote: tracked.ledger.quote(now, chain, class),
            is_warm: now.saturating_duration_since(tracked.since) >= WARM_UP,
        })
    }

    /// Returns the quote of a runner in its wire form; a cold tracker gives none.
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

    /// Records that a host sent a request to a runner.
    pub fn reserve(
        &mut self,
        now: Instant,
        from: HostHash,
        runner: u64,
        id: ReservationId,
        chain: &PrefixChain,
        class: Class,
    ) {
        if let Some(tracked) = self.tracked.get_mut(&runner) {
            tracked.ledger.reserve(now, from ^ id, chain, class);
        }
    }

    /// Records that a reservation ended, with the cached tokens of the first token if there was one.
    pub fn release(
        &mut self,
        now: Instant,
        from: HostHash,
        runner: u64,
        id: ReservationId,
        cached_tokens: Option<TokenCount>,
    ) {
        let Some(tracked) = self.tracked.get_mut(&runner) else {
            return;
        };
        match cached_tokens {
            Some(tokens) => tracked.ledger.confirm(now, from ^ id, tokens),
            None => tracked.ledger.release(now, from ^ id),
        }
    }

    /// Drops reservations that nobody released.
    pub fn expire(&mut self, now: Instant) {
        self.tracked
            .values_mut()
            .for_each(|tracked| tracked.ledger.expire(now));
    }

    /// Returns the number of tracked runners.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tracked.len()
    }

    /// Tells whether no runner is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tracked.is_empty()
    }
}

/// Returns the levels of a prompt in their wire form.
#[must_use]
pub fn to_wire(chain: &PrefixChain) -> Vec<WireLevel> {
    let levels = chain.levels().iter();
    levels
        .map(|level| WireLevel {
            key: level.key,
            tokens: level.tokens,
        })
        .collect()
}

/// Returns a prompt from its wire form.
#[must_use]
pub(super) fn from_wire(levels: &[WireLevel]) -> PrefixChain {
    let levels = levels.iter().map(|level| Level {
        key: level.key,
        tokens: level.tokens,
    });
    PrefixChain::from_levels(levels.collect())
}
