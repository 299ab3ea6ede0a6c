//! Choice of a runner for each request: collects quotes, holds requests while runners are busy, and
//! follows attempts to their end.

mod holding;
mod runners;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use hickoryhall_limits::{FairQueue, WorkspaceUsage};
use hickoryhall_routing::{Candidate, Choice, Class, Placement, Quote, RunnerKey};
use hickoryhall_types::{RunnerId, TokenCount, hash_name};
use hickoryhall_wire::{Body, HostHash, QuoteRequest, QuoteResponse};

use super::trackers::{levels_from_wire, levels_to_wire};
use super::{
    AttemptEnd, AttemptId, DispatchConfig, Effect, Placed, PlacedServer, PlacementRequest, Server,
    TrackedRunners,
};

/// Longest time to wait for quotes of other hosts.
const QUOTE_TIMEOUT: Duration = Duration::from_millis(10);
/// Expected wait at a runner above which a request is held at this host, where it is queued fairly
/// and its runner is chosen as late as possible.
const HOLD_WAIT_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Expected wait at the best runner above which more runners are considered.
const WIDEN_WAIT_THRESHOLD: Duration = Duration::from_millis(500);
/// Priority class of a workspace that uses far more than its share; others have class 0.
const OVER_SHARE_CLASS: Class = 1;
/// Time after which the placement of a held request is tried again.
const HELD_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Largest number of held requests.
const MAX_HELD_REQUESTS: usize = 512;
/// Shortest and longest retry delay that a caller is told.
const RETRY_AFTER_RANGE: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(500)..=Duration::from_secs(30);

/// Request that waits for a runner.
struct PendingRequest {
    request: PlacementRequest,
    arrived_at: Instant,
    candidates: Vec<Candidate>,
    /// Candidates with a warm quote, see [`TrackedQuote::is_warm`](super::TrackedQuote::is_warm).
    warm_quotes: HashSet<RunnerKey>,
    /// Peers whose quotes have not arrived yet.
    awaited_trackers: HashSet<HostHash>,
    /// Time from which the request is decided without the missing quotes.
    quotes_due_at: Instant,
    /// Largest number of candidates; doubled while the chosen runner is too busy.
    candidate_limit: usize,
    class: Class,
    /// Whether the request is in the queue of held requests.
    is_held: bool,
    /// Earliest time at which the placement of a held request is tried again.
    retry_at: Instant,
}

/// Attempt at a runner.
struct ActiveAttempt {
    key: RunnerKey,
    /// Hash of the runner's name.
    runner: u64,
    /// Host that tracked the runner at the placement and has the reservation; `None` if no host
    /// did.
    tracker: Option<HostHash>,
    is_suspect: bool,
    has_first_token: bool,
}

/// Chooses a runner for each request and follows the attempts.
pub struct Dispatch {
    config: DispatchConfig,
    placement: Placement,
    /// Runners that this host tracks.
    tracked_runners: TrackedRunners,
    /// Host that tracks each runner, by the hash of the runner's name.
    tracker_of: HashMap<u64, HostHash>,
    /// Runners on the platform's list; the runners known to `placement` are a subset.
    servers: HashMap<RunnerId, Server>,
    pending: BTreeMap<AttemptId, PendingRequest>,
    held: FairQueue<AttemptId>,
    workspace_usage: WorkspaceUsage,
    /// Attempts whose end has not been recorded.
    active: HashMap<AttemptId, ActiveAttempt>,
}

impl Dispatch {
    /// Creates an instance that knows no runners.
    #[must_use]
    pub fn new(config: DispatchConfig) -> Self {
        Self {
            placement: Placement::new(config.placement.clone()),
            tracked_runners: TrackedRunners::new(config.placement.half_life),
            config,
            tracker_of: HashMap::new(),
            servers: HashMap::new(),
            pending: BTreeMap::new(),
            held: FairQueue::new(MAX_HELD_REQUESTS),
            workspace_usage: WorkspaceUsage::default(),
            active: HashMap::new(),
        }
    }

    /// Starts the placement of a request; decides at once if no quote of a peer is needed.
    pub fn place(&mut self, now: Instant, request: PlacementRequest) -> Vec<Effect> {
        let mut effects = Vec::new();
        let pending = PendingRequest {
            request,
            arrived_at: now,
            candidates: Vec::new(),
            warm_quotes: HashSet::new(),
            awaited_trackers: HashSet::new(),
            quotes_due_at: now,
            candidate_limit: self.placement.config().candidates,
            class: 0,
            is_held: false,
            retry_at: now,
        };
        let attempt_id = pending.request.attempt_id;
        self.pending.insert(attempt_id, pending);
        self.request_quotes(now, attempt_id, &mut effects);
        effects
    }

    /// Merges the quotes of another host into the candidates; decides once all quotes have arrived.
    pub fn on_quotes(
        &mut self,
        now: Instant,
        from: HostHash,
        response: &QuoteResponse,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(pending) = self.pending.get_mut(&response.id) else {
            return effects;
        };
        if !pending.awaited_trackers.remove(&from) {
            return effects;
        }
        for candidate in &mut pending.candidates {
            let info = self.placement.runners().get(candidate.key);
            let quote = info.and_then(|info| {
                response
                    .quotes
                    .iter()
                    .find(|quote| quote.runner == info.name_hash)
            });
            let Some(quote) = quote else { continue };
            let tracked = Quote {
                wait: Duration::from_millis(quote.wait_ms.into()),
                cached_tokens: quote.cached_tokens,
                eviction_tokens: f64::from(quote.eviction_tokens),
                prefill_tokens_per_s: candidate.quote.prefill_tokens_per_s,
                incarnation: quote.incarnation,
            };
            candidate.quote = merge_quote(candidate.quote, tracked, quote.is_warm);
            if quote.is_warm {
                pending.warm_quotes.insert(candidate.key);
            }
        }
        if pending.awaited_trackers.is_empty() {
            self.decide(now, response.id, &mut effects);
        }
        effects
    }

    /// Returns quotes for the runners of a peer's request that this host tracks.
    #[must_use]
    pub fn quotes_for(&self, now: Instant, request: &QuoteRequest) -> QuoteResponse {
        let chain = levels_from_wire(&request.levels);
        let quotes = request.runners.iter();
        let quotes = quotes.filter_map(|&runner| {
            self.tracked_runners
                .wire_quote(now, runner, &chain, request.class)
        });
        QuoteResponse {
            id: request.id,
            quotes: quotes.collect(),
        }
    }

    /// Records a peer's reservation or release at a runner that this host tracks.
    pub fn on_tracker_message(&mut self, now: Instant, from: HostHash, body: &Body) {
        match body {
            Body::Reserve {
                runner,
                id,
                levels,
                class,
            } => {
                self.tracked_runners.reserve(
                    now,
                    from,
                    *runner,
                    *id,
                    &levels_from_wire(levels),
                    *class,
                );
            }
            Body::Release {
                runner,
                id,
                cached_tokens,
            } => {
                self.tracked_runners
                    .release(now, from, *runner, *id, *cached_tokens);
            }
            _ => {}
        }
    }

    /// Advances the time: decides without late quotes, retries held requests, refuses those past
    /// their deadline.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.placement.expire(now);
        self.tracked_runners.expire(now);
        for shed in self.held.expire(now) {
            self.refuse_shed(shed, &mut effects);
        }
        let overdue = self.pending.iter().filter(|(_, pending)| {
            !pending.awaited_trackers.is_empty() && pending.quotes_due_at <= now
        });
        for attempt_id in overdue
            .map(|(&attempt_id, _)| attempt_id)
            .collect::<Vec<_>>()
        {
            self.decide(now, attempt_id, &mut effects);
        }
        self.drop_abandoned();
        let fronts = self
            .held
            .fronts()
            .into_iter()
            .map(|queued| queued.item)
            .collect::<Vec<_>>();
        for attempt_id in fronts {
            let is_due = self.pending.get(&attempt_id).is_some_and(|pending| {
                pending.awaited_trackers.is_empty() && pending.retry_at <= now
            });
            if is_due {
                self.request_quotes(now, attempt_id, &mut effects);
            }
        }
        effects
    }

    /// Returns whether requests wait for a runner, so that [`Dispatch::tick`] must be called soon.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Records the first token of an attempt.
    pub fn record_first_token(
        &mut self,
        now: Instant,
        attempt_id: AttemptId,
        cached_tokens: TokenCount,
    ) -> Vec<Effect> {
        let Some(active) = self.active.get_mut(&attempt_id) else {
            return Vec::new();
        };
        active.has_first_token = true;
        self.placement
            .record_first_token(now, active.key, attempt_id, cached_tokens);
        let (runner, tracker) = (active.runner, active.tracker);
        self.release_at_tracker(now, attempt_id, runner, tracker, Some(cached_tokens))
    }

    /// Records the end of an attempt, or that its request no longer waits for a runner.
    pub fn record_end(
        &mut self,
        now: Instant,
        attempt_id: AttemptId,
        end: AttemptEnd,
    ) -> Vec<Effect> {
        self.pending.remove(&attempt_id);
        let Some(active) = self.active.remove(&attempt_id) else {
            return Vec::new();
        };
        match end {
            AttemptEnd::Finished | AttemptEnd::Released => {
                self.placement.record_released(now, active.key, attempt_id);
            }
            AttemptEnd::Failed => self.placement.record_failed(now, active.key, attempt_id),
        }
        if active.has_first_token {
            return Vec::new();
        }
        self.release_at_tracker(now, attempt_id, active.runner, active.tracker, None)
    }

    /// Returns the number of requests held at this host.
    #[must_use]
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Returns the placement state, with all known runners.
    #[must_use]
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Releases a reservation at the runner's tracker, which may be this host or a peer.
    fn release_at_tracker(
        &mut self,
        now: Instant,
        attempt_id: AttemptId,
        runner: u64,
        tracker: Option<HostHash>,
        cached_tokens: Option<TokenCount>,
    ) -> Vec<Effect> {
        match tracker {
            Some(host) if host == self.config.local_host => {
                self.tracked_runners
                    .release(now, host, runner, attempt_id, cached_tokens);
                Vec::new()
            }
            Some(to) => {
                let body = Body::Release {
                    runner,
                    id: attempt_id,
                    cached_tokens,
                };
                vec![Effect::Send {
                    to,
                    body,
                    is_optional: false,
                }]
            }
            None => Vec::new(),
        }
    }

    /// Finds candidates and requests quotes from their trackers; decides at once if this host needs
    /// no quote of a peer.
    fn request_quotes(&mut self, now: Instant, attempt_id: AttemptId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get_mut(&attempt_id) else {
            return;
        };
        let is_over_share = self
            .workspace_usage
            .is_over_share(now, &pending.request.workspace);
        pending.class = if is_over_share { OVER_SHARE_CLASS } else { 0 };
        let PlacementRequest {
            chain,
            model,
            weights_version,
            ..
        } = &pending.request;
        let mut candidates = self.placement.candidates(
            now,
            chain,
            model,
            *weights_version,
            pending.candidate_limit,
            pending.class,
        );
        let runners = self.placement.runners();
        let is_excluded = |candidate: &Candidate| {
            let info = runners.get(candidate.key);
            info.is_none_or(|info| pending.request.excluded_runners.contains(&info.id))
        };
        if !candidates.iter().all(is_excluded) {
            candidates.retain(|candidate| !is_excluded(candidate));
        }
        if pending.request.is_suspect {
            let has_suspect = |candidate: &Candidate| {
                self.active
                    .values()
                    .any(|active| active.is_suspect && active.key == candidate.key)
            };
            candidates.retain(|candidate| !has_suspect(candidate));
        }
        pending.warm_quotes.clear();
        pending.awaited_trackers.clear();
        let mut runners_by_host = BTreeMap::<HostHash, Vec<u64>>::new();
        for candidate in &mut candidates {
            let Some(info) = runners.get(candidate.key) else {
                continue;
            };
            let runner = info.name_hash;
            match self.tracker_of.get(&runner) {
                Some(&host) if host == self.config.local_host => {
                    if let Some(tracked) =
                        self.tracked_runners
                            .quote(now, runner, chain, pending.class)
                    {
                        candidate.quote =
                            merge_quote(candidate.quote, tracked.quote, tracked.is_warm);
                        if tracked.is_warm {
                            pending.warm_quotes.insert(candidate.key);
                        }
                    }
                }
                Some(&host) => runners_by_host.entry(host).or_default().push(runner),
                None => {}
            }
        }
        pending.candidates = candidates;
        pending.quotes_due_at = now + QUOTE_TIMEOUT;
        let levels = levels_to_wire(chain);
        for (to, runners) in runners_by_host {
            pending.awaited_trackers.insert(to);
            let request = QuoteRequest {
                id: attempt_id,
                runners,
                levels: levels.clone(),
                class: pending.class,
            };
            effects.push(Effect::Send {
                to,
                body: Body::QuoteRequest(request),
                is_optional: true,
            });
        }
        if pending.awaited_trackers.is_empty() {
            self.decide(now, attempt_id, effects);
        }
    }

    /// Places a request, widens its set of candidates, holds it or refuses it, with the quotes at
    /// hand.
    fn decide(&mut self, now: Instant, attempt_id: AttemptId, effects: &mut Vec<Effect>) {
        let Some(pending) = self.pending.get_mut(&attempt_id) else {
            return;
        };
        pending.awaited_trackers.clear();
        // Candidates without a warm quote are considered only if they are among the first ones.
        let max_unquoted = self.placement.config().max_candidates_without_quote;
        let warm_quotes = &pending.warm_quotes;
        let considered = pending
            .candidates
            .iter()
            .enumerate()
            .filter(|(index, candidate)| {
                *index < max_unquoted || warm_quotes.contains(&candidate.key)
            })
            .map(|(_, &candidate)| candidate)
            .collect::<Vec<_>>();
        let choice =
            self.placement
                .choose(&pending.request.chain, &pending.request.cost, &considered);
        let Some(choice) = choice else {
            return self.on_no_runner(now, attempt_id, effects);
        };
        let wait = considered
            .iter()
            .find(|candidate| candidate.key == choice.key)
            .map_or(Duration::ZERO, |candidate| candidate.quote.wait);
        let is_truncated = pending.candidates.len() == pending.candidate_limit;
        if wait > WIDEN_WAIT_THRESHOLD
            && is_truncated
            && pending.candidate_limit < self.placement.config().max_candidates
        {
            pending.candidate_limit =
                (pending.candidate_limit * 2).min(self.placement.config().max_candidates);
            self.request_quotes(now, attempt_id, effects);
        } else if wait > HOLD_WAIT_THRESHOLD {
            self.hold(now, attempt_id, wait, effects);
        } else {
            self.complete_placement(now, attempt_id, choice, effects);
        }
    }

    /// Places a request on the chosen runner and reserves it at the runner's tracker.
    fn complete_placement(
        &mut self,
        now: Instant,
        attempt_id: AttemptId,
        choice: Choice,
        effects: &mut Vec<Effect>,
    ) {
        let Some(pending) = self.pending.remove(&attempt_id) else {
            return;
        };
        if pending.is_held {
            self.dequeue(&pending.request.workspace, attempt_id);
        }
        let chain = pending.request.chain.clone();
        let class = pending.class;
        self.placement
            .record_sent(now, choice.key, attempt_id, &chain, class);
        let PlacementRequest {
            workspace, weight, ..
        } = &pending.request;
        self.workspace_usage
            .record(now, workspace, *weight, choice.cost.recompute_ms);
        let runners = self.placement.runners();
        let name = |key: RunnerKey| runners.get(key).map(|info| info.id.clone());
        let server = name(choice.key).and_then(|id| self.servers.get(&id));
        let Some(server) = server else { return };
        let considered = choice
            .considered
            .iter()
            .filter_map(|(key, _)| name(*key))
            .collect();
        let placed = Placed {
            class,
            server: PlacedServer {
                id: server.id.clone(),
                address: server.address,
                incarnation: choice.incarnation,
            },
            considered,
            held_time: now.saturating_duration_since(pending.arrived_at),
            choice,
        };
        let runner = hash_name(&placed.server.id);
        let tracker = self.tracker_of.get(&runner).copied();
        match tracker {
            Some(host) if host == self.config.local_host => {
                self.tracked_runners
                    .reserve(now, host, runner, attempt_id, &chain, class);
            }
            Some(to) => {
                let body = Body::Reserve {
                    runner,
                    id: attempt_id,
                    levels: levels_to_wire(&chain),
                    class,
                };
                effects.push(Effect::Send {
                    to,
                    body,
                    is_optional: false,
                });
            }
            None => {}
        }
        let active = ActiveAttempt {
            key: placed.choice.key,
            runner,
            tracker,
            is_suspect: pending.request.is_suspect,
            has_first_token: false,
        };
        self.active.insert(attempt_id, active);
        effects.push(Effect::Placed {
            attempt_id,
            placed: Box::new(placed),
        });
    }
}

/// Replaces this host's quote by a tracker's.
///
/// A tracker that is not warm may not know yet what is cached, so the larger number of cached
/// tokens is used.
fn merge_quote(own: Quote, tracked: Quote, is_warm: bool) -> Quote {
    let cached_tokens = if is_warm {
        tracked.cached_tokens
    } else {
        tracked.cached_tokens.max(own.cached_tokens)
    };
    Quote {
        cached_tokens,
        ..tracked
    }
}
