//! Placement: chooses a runner for a request.
//!
//! Rendezvous hashing on the key of a prompt's outermost level orders the runners; the first ones
//! are the prompt's owners. The cheapest of them is chosen, where the cost is the sum of queueing,
//! recomputation, cache eviction and network time.

use std::time::{Duration, Instant};

use hickoryhall_types::{FailureDomainId, Incarnation, TokenCount, WeightsVersion, rank};
use slotmap::SecondaryMap;

use crate::{
    Class, Cost, CostModel, Ejection, Ledger, LoadReport, PrefixChain, Quote, ReservationId,
    RunnerInfo, RunnerKey, Runners,
};

/// Lower bound on the prefix levels recorded per runner.
const MIN_LEDGER_ENTRIES: usize = 16;
/// Upper bound on the prefix levels recorded per runner.
const MAX_LEDGER_ENTRIES: usize = 512;

/// Settings of placement.
#[derive(Clone, Debug)]
pub struct PlacementConfig {
    /// Failure domain of this host; runners in other domains cost `cross_domain_round_trip` more.
    pub domain: FailureDomainId,
    /// Network round trip to a runner in another failure domain.
    pub cross_domain_round_trip: Duration,
    /// Number of runners considered first for a request, using quotes from their trackers.
    pub candidates: usize,
    /// Maximum number of runners considered when the first ones are busy.
    pub max_candidates: usize,
    /// Maximum number of runners considered on this host's own ledger alone, without a tracker's
    /// quote.
    ///
    /// With more than two, hosts that cannot see each other spread copies of every prompt over the
    /// runners until recomputing them uses up all capacity.
    pub max_candidates_without_quote: usize,
    /// Approximate number of prefix levels recorded for all runners together, divided equally among
    /// them.
    pub ledger_entries: usize,
    /// Idle time after which the value of a cached prompt is halved.
    pub half_life: Duration,
}

impl PlacementConfig {
    /// Creates the default settings for a host in the given failure domain.
    #[must_use]
    pub fn new(domain: FailureDomainId) -> Self {
        Self {
            domain,
            cross_domain_round_trip: Duration::from_millis(1),
            candidates: 4,
            max_candidates: 16,
            max_candidates_without_quote: 2,
            ledger_entries: 32_768,
            half_life: Duration::from_secs(20),
        }
    }
}

/// A runner considered for a request, with its quote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Key of the runner in [`Placement::runners`].
    pub key: RunnerKey,
    /// Position in the rendezvous order of the prompt's owners, starting at 0.
    pub owner_rank: usize,
    /// Quote for the request, from this host's ledger or from the runner's tracker.
    pub quote: Quote,
    /// Network round trip to the runner.
    pub network_round_trip: Duration,
}

/// Why a runner was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The runner is the first owner of the prompt.
    Owner,
    /// The runner is expected to have more of the prompt cached than the first owner.
    Cached,
    /// The runner is not expected to have more of the prompt cached than the first owner, but costs
    /// less, for example because its queue is shorter.
    Spill,
}

/// A runner chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Key of the chosen runner.
    pub key: RunnerKey,
    /// Incarnation of the runner that the quote was made for.
    pub incarnation: Incarnation,
    /// Why this runner was chosen, compared with the first owner.
    pub reason: Reason,
    /// Prompt tokens that the runner is expected to have cached.
    pub expected_cached_tokens: TokenCount,
    /// Cost of the request on this runner.
    pub cost: Cost,
    /// Every runner considered, the chosen one included, with its cost.
    pub considered: Vec<(RunnerKey, Cost)>,
}

/// Placement of requests by one host, with the state it keeps of every runner.
#[derive(Clone, Debug)]
pub struct Placement {
    config: PlacementConfig,
    runners: Runners,
    ledgers: SecondaryMap<RunnerKey, Ledger>,
    ejections: SecondaryMap<RunnerKey, Ejection>,
}

impl Placement {
    /// Creates a placement without any runners.
    #[must_use]
    pub fn new(config: PlacementConfig) -> Self {
        Self {
            config,
            runners: Runners::default(),
            ledgers: SecondaryMap::new(),
            ejections: SecondaryMap::new(),
        }
    }

    /// Adds a runner or updates its description.
    ///
    /// Within one incarnation, the ledger is kept and a runner marked as leaving stays so. A
    /// description of an older incarnation than the known one is ignored.
    pub fn upsert(&mut self, now: Instant, mut info: RunnerInfo) -> RunnerKey {
        if let Some(key) = self.runners.key(&info.id)
            && let Some(known) = self.runners.get(key)
        {
            if info.report.incarnation < known.report.incarnation {
                return key;
            }
            if info.report.incarnation == known.report.incarnation {
                info.leaving |= known.leaving;
            }
        }
        let report = info.report;
        let key = self.runners.insert(info);
        self.observe_report(now, key, &report);
        key
    }

    /// Removes a runner and all state kept for it.
    pub fn remove(&mut self, id: &str) {
        if let Some(key) = self.runners.key(id) {
            self.ledgers.remove(key);
            self.ejections.remove(key);
        }
        self.runners.remove(id);
    }

    /// Applies a runner's load report; reports of older incarnations are ignored.
    pub fn observe_report(&mut self, now: Instant, key: RunnerKey, report: &LoadReport) {
        let Some(info) = self.runners.get_mut(key) else {
            return;
        };
        if report.incarnation < info.report.incarnation {
            return;
        }
        if report.incarnation > info.report.incarnation {
            info.leaving = false;
        }
        info.report = *report;
        info.leaving |= report.leaving;
        let entries_per_runner = self.config.ledger_entries / self.runners.len().max(1);
        let entries = entries_per_runner.clamp(MIN_LEDGER_ENTRIES, MAX_LEDGER_ENTRIES);
        let half_life = self.config.half_life;
        match self.ledgers.get_mut(key) {
            Some(ledger) => ledger.observe_report(now, report, true),
            None => {
                self.ledgers
                    .insert(key, Ledger::new(report, entries, half_life));
            }
        }
    }

    /// Marks a runner as leaving, so that it gets no new requests.
    pub fn mark_leaving(&mut self, key: RunnerKey) {
        if let Some(info) = self.runners.get_mut(key) {
            info.leaving = true;
        }
    }

    /// Sets the weights version that a runner serves; 0 while it is loading one.
    pub fn set_weights(&mut self, key: RunnerKey, weights: WeightsVersion) {
        if let Some(info) = self.runners.get_mut(key) {
            info.report.weights = weights;
        }
    }

    /// Returns up to `count` eligible runners in the order of ownership, with quotes from this
    /// host's ledgers.
    ///
    /// Eligible runners serve the model in the given weights version and are neither leaving nor
    /// ejected.
    pub fn candidates(
        &self,
        now: Instant,
        chain: &PrefixChain,
        model: &str,
        weights: WeightsVersion,
        count: usize,
        class: Class,
    ) -> Vec<Candidate> {
        let mut owners = self.eligible(now, model, weights);
        rank(chain.outermost_key(), &mut owners, |&(_, hash)| hash);
        owners.truncate(count);
        owners
            .into_iter()
            .enumerate()
            .filter_map(|(owner_rank, (key, _))| self.candidate(now, chain, owner_rank, key, class))
            .collect()
    }

    /// Returns the cheapest candidate, or `None` if `candidates` is empty; the earlier owner wins
    /// ties.
    ///
    /// The first candidate must be the first owner, as the reason is relative to it.
    #[must_use]
    pub fn choose(
        &self,
        chain: &PrefixChain,
        model: &CostModel,
        candidates: &[Candidate],
    ) -> Option<Choice> {
        let considered = candidates
            .iter()
            .map(|c| {
                (
                    c.key,
                    model.cost(&c.quote, chain.tokens(), c.network_round_trip),
                )
            })
            .collect::<Vec<_>>();
        let (index, &(key, cost)) = considered
            .iter()
            .enumerate()
            .min_by(|(_, a), (_, b)| a.1.total_ms().total_cmp(&b.1.total_ms()))?;
        let chosen = &candidates[index];
        Some(Choice {
            key,
            incarnation: chosen.quote.incarnation,
            reason: reason(&candidates[0], chosen),
            expected_cached_tokens: chosen.quote.cached_tokens,
            cost,
            considered,
        })
    }

    /// Records that a request was sent to a runner.
    pub fn record_sent(
        &mut self,
        now: Instant,
        key: RunnerKey,
        id: ReservationId,
        chain: &PrefixChain,
        class: Class,
    ) {
        if let Some(ledger) = self.ledgers.get_mut(key) {
            ledger.reserve(now, id, chain, class);
        }
    }

    /// Records the first token of a request and how many prompt tokens the runner found in its
    /// cache.
    pub fn record_first_token(
        &mut self,
        now: Instant,
        key: RunnerKey,
        id: ReservationId,
        cached_tokens: TokenCount,
    ) {
        if let Some(ledger) = self.ledgers.get_mut(key) {
            ledger.confirm(now, id, cached_tokens);
        }
        if let Some(ejection) = self.ejections.get_mut(key) {
            ejection.record_success();
        }
    }

    /// Records that a request ended before its first token without a failure of the runner.
    pub fn record_released(&mut self, now: Instant, key: RunnerKey, id: ReservationId) {
        if let Some(ledger) = self.ledgers.get_mut(key) {
            ledger.release(now, id);
        }
    }

    /// Records that a runner responded, which ends its ejection.
    pub fn record_answered(&mut self, key: RunnerKey) {
        if let Some(ejection) = self.ejections.get_mut(key) {
            ejection.record_success();
        }
    }

    /// Records that a request or a load poll failed on a runner, which may eject the runner.
    ///
    /// `id` need not belong to a reservation.
    pub fn record_failed(&mut self, now: Instant, key: RunnerKey, id: ReservationId) {
        self.record_released(now, key, id);
        if self.runners.get(key).is_some()
            && let Some(entry) = self.ejections.entry(key)
        {
            entry.or_default().record_failure(now);
        }
    }

    /// Drops expired reservations from every ledger.
    pub fn expire(&mut self, now: Instant) {
        self.ledgers
            .values_mut()
            .for_each(|ledger| ledger.expire(now));
    }

    /// Returns the settings that this placement was created with.
    #[must_use]
    pub fn config(&self) -> &PlacementConfig {
        &self.config
    }

    /// Returns all known runners, including leaving and ejected ones.
    #[must_use]
    pub fn runners(&self) -> &Runners {
        &self.runners
    }

    /// Returns this host's ledger of a runner.
    #[must_use]
    pub fn ledger(&self, key: RunnerKey) -> Option<&Ledger> {
        self.ledgers.get(key)
    }

    fn eligible(
        &self,
        now: Instant,
        model: &str,
        weights: WeightsVersion,
    ) -> Vec<(RunnerKey, u64)> {
        self.runners
            .iter()
            .filter(|(_, info)| info.accepts(model, weights))
            .filter(|(key, _)| !self.is_ejected(now, *key))
            .map(|(key, info)| (key, info.name_hash))
            .collect()
    }

    fn is_ejected(&self, now: Instant, key: RunnerKey) -> bool {
        self.ejections
            .get(key)
            .is_some_and(|ejection| ejection.is_ejected(now))
    }

    fn candidate(
        &self,
        now: Instant,
        chain: &PrefixChain,
        owner_rank: usize,
        key: RunnerKey,
        class: Class,
    ) -> Option<Candidate> {
        let info = self.runners.get(key)?;
        let mut quote = self.ledgers.get(key)?.quote(now, chain, class);
        if owner_rank == 0 {
            // All hosts send the same prompts to the same owner, so it most likely has every level
            // but the last one cached, even if this host has not sent them.
            quote.cached_tokens = quote.cached_tokens.max(shared_tokens(chain));
        }
        let same_domain = info.domain == self.config.domain;
        let network_round_trip = if same_domain {
            Duration::ZERO
        } else {
            self.config.cross_domain_round_trip
        };
        Some(Candidate {
            key,
            owner_rank,
            quote,
            network_round_trip,
        })
    }
}

fn reason(owner: &Candidate, chosen: &Candidate) -> Reason {
    if owner.key == chosen.key {
        Reason::Owner
    } else if chosen.quote.cached_tokens > owner.quote.cached_tokens {
        Reason::Cached
    } else {
        Reason::Spill
    }
}

fn shared_tokens(chain: &PrefixChain) -> TokenCount {
    let last = chain.levels().last().map_or(0, |level| level.tokens);
    chain.tokens() - last
}
