//! Choice of a runner for a request: owners of its outermost level, weighed by wait, recomputation
//! and eviction.

use std::time::{Duration, Instant};

use hickoryhall_types::{FailureDomainId, Incarnation, TokenCount, WeightsVersion, rank};
use slotmap::SecondaryMap;

use crate::{
    Class, Cost, CostModel, Ejection, Ledger, LoadReport, PrefixChain, Quote, ReservationId,
    RunnerInfo, RunnerKey, Runners,
};

/// Prefix levels remembered of one runner at least.
const LEDGER_ENTRIES_LEAST: usize = 16;
/// Prefix levels remembered of one runner at most.
const LEDGER_ENTRIES_MOST: usize = 512;

/// Settings of placement.
#[derive(Clone, Debug)]
pub struct PlacementConfig {
    /// Failure domain of this host.
    pub domain: FailureDomainId,
    /// Way to a runner in another failure domain and back.
    pub cross_domain: Duration,
    /// Runners considered for one request, with quotes of their trackers.
    pub candidates: usize,
    /// Runners considered at most where the first ones are busy.
    pub widest: usize,
    /// Runners considered at most where this host's own ledger must do.
    ///
    /// More than two would let hosts that cannot see each other spread copies of every prompt,
    /// until recomputing them takes all the capacity there is.
    pub own_candidates: usize,
    /// Prefix levels remembered of all runners together, about; each has an equal part.
    pub ledger_entries: usize,
    /// Time without use after which a cached prompt counts by half.
    pub half_life: Duration,
}

impl PlacementConfig {
    /// Creates settings for a host of a failure domain.
    #[must_use]
    pub fn new(domain: FailureDomainId) -> Self {
        Self {
            domain,
            cross_domain: Duration::from_millis(1),
            candidates: 4,
            widest: 16,
            own_candidates: 2,
            ledger_entries: 32_768,
            half_life: Duration::from_secs(20),
        }
    }
}

/// A runner considered for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The runner.
    pub key: RunnerKey,
    /// Place among the owners of the prompt, 0 being the first.
    pub place: usize,
    /// What it would cost, by this host's ledger or its tracker's.
    pub quote: Quote,
    /// Way to the runner and back.
    pub network: Duration,
}

/// Why a runner was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is the first owner of the prompt.
    Owner,
    /// It holds more of the prompt than the first owner does.
    Cached,
    /// The first owner's wait costs more than recomputing here.
    Spill,
}

/// A runner chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The runner.
    pub key: RunnerKey,
    /// Incarnation that the choice relies on.
    pub incarnation: Incarnation,
    /// Why.
    pub reason: Reason,
    /// Tokens of the prompt expected in its cache.
    pub expected_cached_tokens: TokenCount,
    /// Its cost.
    pub cost: Cost,
    /// Every runner considered, with its cost.
    pub considered: Vec<(RunnerKey, Cost)>,
}

/// Chooses runners for one host.
#[derive(Clone, Debug)]
pub struct Placement {
    config: PlacementConfig,
    runners: Runners,
    ledgers: SecondaryMap<RunnerKey, Ledger>,
    ejections: SecondaryMap<RunnerKey, Ejection>,
}

impl Placement {
    /// Creates a placement that knows no runner.
    #[must_use]
    pub fn new(config: PlacementConfig) -> Self {
        Self {
            config,
            runners: Runners::default(),
            ledgers: SecondaryMap::new(),
            ejections: SecondaryMap::new(),
        }
    }

    /// Adds a runner, or takes its new description; what is known of the same incarnation stays.
    pub fn upsert(&mut self, now: Instant, mut info: RunnerInfo) -> RunnerKey {
        let known = self
            .runners
            .key(&info.id)
            .and_then(|key| self.runners.get(key));
        if let Some(known) = known.filter(|k| k.report.incarnation == info.report.incarnation) {
            info.leaving |= known.leaving;
        }
        let report = info.report;
        let key = self.runners.insert(info);
        self.observe_report(now, key, &report);
        key
    }

    /// Forgets a runner.
    pub fn remove(&mut self, id: &str) {
        if let Some(key) = self.runners.key(id) {
            self.ledgers.remove(key);
            self.ejections.remove(key);
        }
        self.runners.remove(id);
    }

    /// Takes a load report of a runner; an older incarnation's report is dropped.
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
        let part = self.config.ledger_entries / self.runners.len().max(1);
        let entries = part.clamp(LEDGER_ENTRIES_LEAST, LEDGER_ENTRIES_MOST);
        let half_life = self.config.half_life;
        match self.ledgers.get_mut(key) {
            Some(ledger) => ledger.observe_report(now, report, true),
            None => {
                self.ledgers
                    .insert(key, Ledger::new(report, entries, half_life));
            }
        }
    }

    /// Records that a runner is leaving, whatever source said so.
    pub fn mark_leaving(&mut self, key: RunnerKey) {
        if let Some(info) = self.runners.get_mut(key) {
            info.leaving = true;
        }
    }

    /// Records which weights version a runner serves, 0 while it loads one.
    pub fn set_weights(&mut self, key: RunnerKey, weights: WeightsVersion) {
        if let Some(info) = self.runners.get_mut(key) {
            info.report.weights = weights;
        }
    }

    /// Returns up to `count` runners that may take the request, owners of its outermost level first,
    /// with this host's own quotes.
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
        rank(chain.top(), &mut owners, |&(_, hash)| hash);
        owners.truncate(count);
        owners
            .into_iter()
            .enumerate()
            .filter_map(|(place, (key, _))| self.candidate(now, chain, place, key, class))
            .collect()
    }

    /// Chooses the cheapest candidate, the earlier owner among equals.
    #[must_use]
    pub fn choose(
        &self,
        chain: &PrefixChain,
        model: &CostModel,
        candidates: &[Candidate],
    ) -> Option<Choice> {
        let considered = candidates
            .iter()
            .map(|c| (c.key, model.cost(&c.quote, chain.tokens(), c.network)))
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
    pub fn sent(
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

    /// Records the first token of a request, with the tokens that the runner found cached.
    pub fn first_token(
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
            ejection.succeed();
        }
    }

    /// Records that a request ended without a first token and without fault of the runner.
    pub fn released(&mut self, now: Instant, key: RunnerKey, id: ReservationId) {
        if let Some(ledger) = self.ledgers.get_mut(key) {
            ledger.release(now, id);
        }
    }

    /// Records that a runner answers; it is not ejected any more.
    pub fn answered(&mut self, key: RunnerKey) {
        if let Some(ejection) = self.ejections.get_mut(key) {
            ejection.succeed();
        }
    }

    /// Records that a runner failed a request.
    pub fn failed(&mut self, now: Instant, key: RunnerKey, id: ReservationId) {
        self.released(now, key, id);
        if self.runners.get(key).is_some()
            && let Some(entry) = self.ejections.entry(key)
        {
            entry.or_default().fail(now);
        }
    }

    /// Drops reservations that nobody released.
    pub fn expire(&mut self, now: Instant) {
        self.ledgers
            .values_mut()
            .for_each(|ledger| ledger.expire(now));
    }

    /// Returns the settings.
    #[must_use]
    pub fn config(&self) -> &PlacementConfig {
        &self.config
    }

    /// Returns the runners.
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
            .filter(|(_, info)| info.takes(model, weights))
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
        place: usize,
        key: RunnerKey,
        class: Class,
    ) -> Option<Candidate> {
        let info = self.runners.get(key)?;
        let mut quote = self.ledgers.get(key)?.quote(now, chain, class);
        if place == 0 {
            // Other hosts send the same prompts to the same owner, so it most likely holds them.
            quote.cached_tokens = quote.cached_tokens.max(shared_tokens(chain));
        }
        let same_domain = info.domain == self.config.domain;
        let network = if same_domain {
            Duration::ZERO
        } else {
            self.config.cross_domain
        };
        Some(Candidate {
            key,
            place,
            quote,
            network,
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
