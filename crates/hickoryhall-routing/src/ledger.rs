//! Estimated load and cache contents of one runner, computed from the requests sent to it.
//!
//! The tracker of a runner, which is a host of the runner's failure domain, keeps a ledger that
//! covers the requests of every host. Every other host keeps a small ledger of its own requests, as
//! a fallback when the tracker is unreachable.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use hickoryhall_types::{Incarnation, TokenCount};

use crate::{CacheEstimate, LoadReport, PrefixChain};

/// Id of a reservation, chosen by the host that sends the request and unique per host.
pub type ReservationId = u64;
/// Priority class of a request in a runner's queue; lower classes are served first.
pub type Class = u32;

/// Age at which a reservation is dropped if it was neither confirmed nor released.
const RESERVATION_TTL: Duration = Duration::from_secs(30);

/// Estimate of what it would take to run a request on a runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quote {
    /// Time until the runner would start computing the prompt.
    pub wait: Duration,
    /// Prompt tokens that the runner is expected to have cached.
    pub cached_tokens: TokenCount,
    /// Cached tokens that storing this prompt would evict, weighted by how recently they were used.
    pub eviction_tokens: f64,
    /// Prompt tokens that the runner computes per second.
    pub prefill_tokens_per_s: u32,
    /// Incarnation of the runner that the estimate was made for.
    pub incarnation: Incarnation,
}

#[derive(Clone, Copy, Debug)]
struct Reservation {
    id: ReservationId,
    class: Class,
    cost: Duration,
    created_at: Instant,
    expected_cached_tokens: TokenCount,
    last_use: Option<u64>,
}

/// Outstanding requests of one runner and an estimate of the prompts that it has cached.
#[derive(Clone, Debug)]
pub struct Ledger {
    incarnation: Incarnation,
    prefill_tokens_per_s: u32,
    reservations: VecDeque<Reservation>,
    /// Time at which the oldest reservation became the oldest one, from which its cost is counted
    /// down.
    head_started_at: Option<Instant>,
    reported: Option<ReportedWait>,
    cache_estimate: CacheEstimate,
    half_life: Duration,
}

/// Queueing time that the runner last reported, and the work sent to it since then.
#[derive(Clone, Copy, Debug)]
struct ReportedWait {
    wait: Duration,
    sent_since: Duration,
    reported_at: Instant,
}

impl Ledger {
    /// Creates an empty ledger for the runner that sent `report`, recording at most `entry_limit`
    /// prefix levels.
    ///
    /// `half_life` is the idle time after which the value of a cached prompt is halved.
    #[must_use]
    pub fn new(report: &LoadReport, entry_limit: usize, half_life: Duration) -> Self {
        Self {
            incarnation: report.incarnation,
            prefill_tokens_per_s: report.prefill_tokens_per_s.max(1),
            reservations: VecDeque::new(),
            head_started_at: None,
            reported: None,
            cache_estimate: CacheEstimate::new(report.cache_tokens, entry_limit),
            half_life,
        }
    }

    /// Returns an estimate for a prompt of the given class on this runner.
    #[must_use]
    pub fn quote(&self, now: Instant, chain: &PrefixChain, class: Class) -> Quote {
        let cached_tokens = self.cache_estimate.cached_tokens(chain);
        let missing = chain.tokens().saturating_sub(cached_tokens);
        Quote {
            wait: self.wait(now, class),
            cached_tokens,
            eviction_tokens: self
                .cache_estimate
                .eviction_tokens(now, missing, self.half_life),
            prefill_tokens_per_s: self.prefill_tokens_per_s,
            incarnation: self.incarnation,
        }
    }

    /// Records that a request was sent to the runner; its prompt counts as cached from now on.
    pub fn reserve(&mut self, now: Instant, id: ReservationId, chain: &PrefixChain, class: Class) {
        let expected_cached_tokens = self.cache_estimate.cached_tokens(chain);
        let reservation = Reservation {
            id,
            class,
            cost: self.prefill_time(chain.tokens().saturating_sub(expected_cached_tokens)),
            created_at: now,
            expected_cached_tokens,
            last_use: self.cache_estimate.last_use(chain),
        };
        if self.reservations.is_empty() {
            self.head_started_at = Some(now);
        }
        if let Some(reported) = &mut self.reported {
            reported.sent_since += reservation.cost;
        }
        self.reservations.push_back(reservation);
        self.cache_estimate.insert(now, chain);
    }

    /// Removes the reservation of a request that ended without a first token.
    pub fn release(&mut self, now: Instant, id: ReservationId) {
        self.remove_reservation(now, id);
    }

    /// Records that the runner produced the first token of a request and found `cached_tokens` of
    /// its prompt in the cache.
    ///
    /// If that is less than estimated, the runner has evicted a level of the prompt. The ledger
    /// then drops every level that had been idle for as long or longer.
    pub fn confirm(&mut self, now: Instant, id: ReservationId, cached_tokens: TokenCount) {
        let Some(reservation) = self.remove_reservation(now, id) else {
            return;
        };
        if cached_tokens < reservation.expected_cached_tokens
            && let Some(last_use) = reservation.last_use
        {
            self.cache_estimate.forget_until(last_use);
        }
    }

    /// Applies a load report; a newer incarnation empties the ledger.
    ///
    /// The tracker of a runner sees every request and so estimates the wait better than a delayed
    /// report does; it passes `use_reported_wait: false`.
    pub fn observe_report(&mut self, now: Instant, report: &LoadReport, use_reported_wait: bool) {
        if report.incarnation > self.incarnation {
            self.incarnation = report.incarnation;
            self.cache_estimate.clear();
            self.reservations.clear();
        }
        self.prefill_tokens_per_s = report.prefill_tokens_per_s.max(1);
        let waiting = report.waiting_tokens.min(u64::from(TokenCount::MAX)) as TokenCount;
        let wait = self.prefill_time(waiting);
        self.reported = use_reported_wait.then_some(ReportedWait {
            wait,
            sent_since: Duration::ZERO,
            reported_at: now,
        });
    }

    /// Drops reservations that expired without being confirmed or released.
    pub fn expire(&mut self, now: Instant) {
        let head = self.reservations.front().map(|head| head.created_at);
        self.reservations.retain(|reservation| {
            now.saturating_duration_since(reservation.created_at) < RESERVATION_TTL
        });
        if self.reservations.front().map(|head| head.created_at) != head {
            self.head_started_at = Some(now);
        }
    }

    /// Returns the newest reported incarnation of the runner, which this ledger describes.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the number of outstanding reservations.
    #[must_use]
    pub fn reservation_count(&self) -> usize {
        self.reservations.len()
    }

    /// Returns the estimate of the runner's cache contents.
    #[must_use]
    pub fn cache_estimate(&self) -> &CacheEstimate {
        &self.cache_estimate
    }

    fn remove_reservation(&mut self, now: Instant, id: ReservationId) -> Option<Reservation> {
        let index = self
            .reservations
            .iter()
            .position(|reservation| reservation.id == id)?;
        if index == 0 {
            self.head_started_at = Some(now);
        }
        self.reservations.remove(index)
    }

    /// Returns the time until a new request of `class` would start.
    ///
    /// Counts the oldest reservation, which is taken to be running, and those of `class` or lower
    /// classes. A larger reported wait takes precedence.
    fn wait(&self, now: Instant, class: Class) -> Duration {
        let total = self
            .reservations
            .iter()
            .enumerate()
            .filter(|(index, reservation)| *index == 0 || reservation.class <= class)
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
            let age = now.saturating_duration_since(reported.reported_at);
            (reported.wait + reported.sent_since).saturating_sub(age)
        });
        own.max(reported)
    }

    fn prefill_time(&self, tokens: TokenCount) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / f64::from(self.prefill_tokens_per_s))
    }
}
