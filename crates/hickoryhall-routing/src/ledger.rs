//! What a host knows of one runner: the work promised to it and the prompts it has seen.
//!
//! The tracker of a runner keeps a ledger fed by every host; every other host keeps a small one fed
//! by its own requests, to fall back on when the tracker cannot be reached.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use hickoryhall_types::{Incarnation, TokenCount};

use crate::{LoadReport, PrefixChain, ShadowCache};

/// Id of a reservation, unique per host.
pub type ReservationId = u64;
/// Order of requests at a runner; a lower class goes first.
pub type Class = u32;

/// Time after which a reservation that nobody released is dropped.
const RESERVATION_TTL: Duration = Duration::from_secs(30);

/// What a runner would cost a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quote {
    /// Time until the runner starts on the prompt.
    pub wait: Duration,
    /// Tokens of the prompt that the runner holds already.
    pub cached_tokens: TokenCount,
    /// Tokens of recent use that storing this prompt evicts.
    pub eviction_tokens: f64,
    /// Rate at which the runner computes prompts.
    pub prefill_tokens_per_s: u32,
    /// Incarnation that the estimate belongs to.
    pub incarnation: Incarnation,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    id: ReservationId,
    class: Class,
    cost: Duration,
    made_at: Instant,
    expected_tokens: TokenCount,
    last_use: Option<u64>,
}

/// Work promised to one runner, and the prompts that it holds by estimate.
#[derive(Clone, Debug)]
pub struct Ledger {
    incarnation: Incarnation,
    prefill_tokens_per_s: u32,
    reservations: VecDeque<Reservation>,
    head_started_at: Option<Instant>,
    reported: Option<ReportedWait>,
    shadow: ShadowCache,
    half_life: Duration,
}

/// Wait that the runner reported, and what was sent to it since.
#[derive(Clone, Copy, Debug)]
struct ReportedWait {
    wait: Duration,
    sent_since: Duration,
    at: Instant,
}

impl Ledger {
    /// Creates an empty ledger for a runner.
    ///
    /// `half_life` is the time without use after which a cached prompt counts by half.
    #[must_use]
    pub fn new(report: &LoadReport, entry_limit: usize, half_life: Duration) -> Self {
        Self {
            incarnation: report.incarnation,
            prefill_tokens_per_s: report.prefill_tokens_per_s.max(1),
            reservations: VecDeque::new(),
            head_started_at: None,
            reported: None,
            shadow: ShadowCache::new(report.cache_tokens, entry_limit),
            half_life,
        }
    }

    /// Returns what a prompt of a class would cost on this runner.
    #[must_use]
    pub fn quote(&self, now: Instant, chain: &PrefixChain, class: Class) -> Quote {
        let cached_tokens = self.shadow.cached_tokens(chain);
        let missing = chain.tokens().saturating_sub(cached_tokens);
        Quote {
            wait: self.wait(now, class),
            cached_tokens,
            eviction_tokens: self.shadow.eviction_tokens(now, missing, self.half_life),
            prefill_tokens_per_s: self.prefill_tokens_per_s,
            incarnation: self.incarnation,
        }
    }

    /// Records that a request was sent to the runner.
    pub fn reserve(&mut self, now: Instant, id: ReservationId, chain: &PrefixChain, class: Class) {
        let expected_tokens = self.shadow.cached_tokens(chain);
        let reservation = Reservation {
            id,
            class,
            cost: self.prefill_time(chain.tokens().saturating_sub(expected_tokens)),
            made_at: now,
            expected_tokens,
            last_use: self.shadow.last_use(chain),
        };
        if self.reservations.is_empty() {
            self.head_started_at = Some(now);
        }
        if let Some(reported) = &mut self.reported {
            reported.sent_since += reservation.cost;
        }
        self.reservations.push_back(reservation);
        self.shadow.insert(now, chain);
    }

    /// Records that a request ended without a first token.
    pub fn release(&mut self, now: Instant, id: ReservationId) {
        self.take(now, id);
    }

    /// Records that the runner made the first token of a request, with `cached_tokens` of its
    /// prompt found in the cache.
    ///
    /// Where the runner held less than the ledger thought, the ledger forgets what had been idle
    /// for longer than the part that was missing.
    pub fn confirm(&mut self, now: Instant, id: ReservationId, cached_tokens: TokenCount) {
        let Some(reservation) = self.take(now, id) else {
            return;
        };
        if cached_tokens < reservation.expected_tokens
            && let Some(last_use) = reservation.last_use
        {
            self.shadow.forget_until(last_use);
        }
    }

    /// Takes a load report; a new incarnation empties the ledger.
    ///
    /// The tracker of a runner sees every request and knows the wait better than a report that
    /// lags, so it passes `use_wait: false`.
    pub fn observe_report(&mut self, now: Instant, report: &LoadReport, use_wait: bool) {
        if report.incarnation > self.incarnation {
            self.incarnation = report.incarnation;
            self.shadow.clear();
            self.reservations.clear();
        }
        self.prefill_tokens_per_s = report.prefill_tokens_per_s.max(1);
        let waiting = report.waiting_tokens.min(u64::from(TokenCount::MAX)) as TokenCount;
        let wait = self.prefill_time(waiting);
        self.reported = use_wait.then_some(ReportedWait {
            wait,
            sent_since: Duration::ZERO,
            at: now,
        });
    }

    /// Drops reservations that nobody released.
    pub fn expire(&mut self, now: Instant) {
        self.reservations
            .retain(|reservation| now.duration_since(reservation.made_at) < RESERVATION_TTL);
    }

    /// Returns the incarnation of the runner that this ledger describes.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the number of reservations that are not released.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.reservations.len()
    }

    /// Returns the estimate of what the runner holds.
    #[must_use]
    pub fn shadow(&self) -> &ShadowCache {
        &self.shadow
    }

    fn take(&mut self, now: Instant, id: ReservationId) -> Option<Reservation> {
        let place = self
            .reservations
            .iter()
            .position(|reservation| reservation.id == id)?;
        self.head_started_at = Some(now);
        self.reservations.remove(place)
    }

    /// Sums what goes before a request of a class: the work that runs, and that of its class and
    /// lower ones.
    fn wait(&self, now: Instant, class: Class) -> Duration {
        let total = self
            .reservations
            .iter()
            .enumerate()
            .filter(|(place, reservation)| *place == 0 || reservation.class <= class)
            .map(|(_, reservation)| reservation.cost)
            .sum::<Duration>();
        let head_cost = self
            .reservations
            .front()
            .map_or(Duration::ZERO, |head| head.cost);
        let head_age = self
            .head_started_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let own = total.saturating_sub(head_age.min(head_cost));
        let reported = self.reported.map_or(Duration::ZERO, |reported| {
            let age = now.saturating_duration_since(reported.at);
            (reported.wait + reported.sent_since).saturating_sub(age)
        });
        own.max(reported)
    }

    fn prefill_time(&self, tokens: TokenCount) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / f64::from(self.prefill_tokens_per_s))
    }
}
