//! Estimates the cost of a request at each server.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hickoryhall_limits::{LimitDecision, RoomDecision, Urgency};
use hickoryhall_routing::{CrossingReason, sum_tokens};
use hickoryhall_types::{FailureDomainId, TokenCount, rendezvous_score};

use super::{
    HostLoad, MOST_URGENT, PlacementRequest, PromptInfo, RefusalReason, Scheduler, ServerKey,
    ServerState, room_decision, urgency,
};
use crate::table::RunnerCapacity;

/// Transfer time from a prompt cache store relative to that from a runner, whose link is faster.
const CACHE_STORE_LINK_FACTOR: f64 = 4.0;
/// Rank in the owner order of a prompt from which all runners cost the same.
const MAX_OWNER_RANK: usize = 9;
/// Idle time after which evicting a cached prompt costs half as much.
const EVICTION_HALF_LIFE: Duration = Duration::from_secs(8);
/// Approximate duration of one request at a plain server with all slots busy.
pub(super) const PLAIN_REQUEST_MS: f64 = 100.0;

/// Factor by which a runner may exceed its estimate where a later start is wrong, not only late; an
/// attempt that another runner can take over ends sooner.
const MAX_ESTIMATE_FACTOR: f64 = 2.0;

/// Prompt tokens that an engine prefills before it turns to a more urgent request.
const PREFILL_CHUNK_TOKENS: TokenCount = 2_048;

/// A server that can take a request, with its estimated cost.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub key: ServerKey,
    /// Total cost; the server with the lowest one is chosen.
    pub cost_ms: f64,
    /// Work queued at the server before the request.
    pub queued_ms: f64,
    /// Work for the request itself: transfer, and prefill at the server's usual speed. Other requests
    /// count it as queued work, in which a slowdown of the moment is not included.
    pub own_work_ms: f64,
    /// Estimated time to the first event.
    pub estimate: Duration,
    /// Prompt tokens that the server has to prefill.
    pub missing_tokens: TokenCount,
    /// Source of cached levels, and the number of tokens that it is known to hold beyond the
    /// server's own; 0 for a speculative fetch.
    pub fetch_from: Option<(SocketAddr, TokenCount)>,
    /// Why the request leaves the failure domain, if the policy chose the server.
    pub crossing_reason: Option<CrossingReason>,
}

/// A transfer of cached prompt levels from a runner or a prompt cache store.
#[derive(Clone, Copy)]
struct Transfer {
    from: SocketAddr,
    tokens: TokenCount,
    duration_ms: f64,
    /// Price of the bytes that are moved between failure domains.
    price_ms: f64,
}

/// Cached tokens of a prompt at a runner, and the runner's rank among the prompt's owners, the
/// runners to which requests with the same shared levels preferably go.
pub(super) struct PromptAffinity {
    key: ServerKey,
    /// Tokens that the runner is expected to hold when it starts the request.
    cached_tokens: TokenCount,
    /// Tokens that other runners can fetch from it now.
    fetchable_tokens: TokenCount,
    /// Rank in the owner order of the prompt; 0 is the first owner.
    pub owner_rank: usize,
}

impl Scheduler {
    /// Returns the cached tokens and owner rank of each runner for a prompt.
    ///
    /// Owners are ranked by rendezvous hashing on the prompt's shared levels.
    pub(super) fn affinities(
        &self,
        keys: &[ServerKey],
        prompt: &PromptInfo,
    ) -> Vec<PromptAffinity> {
        let shared = prompt.chain.shared_key();
        let score = |key: ServerKey| rendezvous_score(shared, self.servers[key].name_hash);
        let scores = keys.iter().map(|&key| score(key)).collect::<Vec<_>>();
        let mut sorted = scores.clone();
        sorted.sort_unstable_by(|one, other| other.cmp(one));
        let affinities = keys.iter().zip(scores).map(|(&key, score)| {
            let owner_rank = sorted.partition_point(|&other| other > score);
            let state = &self.servers[key];
            PromptAffinity {
                key,
                cached_tokens: state.expected_cache.cached_tokens(&prompt.chain),
                fetchable_tokens: state.current_cache.cached_tokens(&prompt.chain),
                owner_rank,
            }
        });
        affinities.collect()
    }

    /// Returns the cost of a request at a server.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the server does not take the request.
    pub(super) fn candidate(
        &self,
        now: Instant,
        key: ServerKey,
        request: &PlacementRequest,
        affinities: Option<&[PromptAffinity]>,
        index: usize,
    ) -> Result<Candidate, RefusalReason> {
        let state = &self.servers[key];
        let is_unavailable = state.is_leaving()
            || state.ejection.is_ejected(now)
            || state.is_changing_weights(now)
            || request.excluded_servers.contains(&state.server.id)
            || request
                .suspect
                .is_some_and(|suspect| state.runs_other_suspect(suspect));
        if is_unavailable {
            return Err(RefusalReason::NoServer);
        }
        let compared = match (&request.prompt, &state.runner_capacity, affinities) {
            (Some(prompt), Some(capacity), Some(affinities)) => {
                let prompt = (prompt, urgency(request.priority));
                self.model_candidate(now, prompt, capacity, affinities, index)
            }
            _ => self.plain_candidate(now, key),
        };
        match compared {
            Err(RefusalReason::NoServer) => compared,
            _ if state.statements.pause_end(now).is_some() => Err(RefusalReason::Paused),
            Ok(_) if self.room(now, state) == RoomDecision::Full => Err(RefusalReason::Full),
            Ok(_) if self.limit_decision(now, state) != LimitDecision::Allowed => {
                Err(RefusalReason::Limited)
            }
            _ => compared,
        }
    }

    /// Returns whether this host may send a request to a server, by the limit that the server names.
    pub(super) fn limit_decision(&self, now: Instant, state: &ServerState) -> LimitDecision {
        let process = state.server.incarnation;
        self.limits.decide(now, state.name_hash, process)
    }

    fn room(&self, now: Instant, state: &ServerState) -> RoomDecision {
        room_decision(
            &self.refusal_limits,
            self.config.reported_load_ttl,
            now,
            state,
        )
    }

    fn plain_candidate(&self, now: Instant, key: ServerKey) -> Result<Candidate, RefusalReason> {
        let state = &self.servers[key];
        let requests = f64::from(state.request_count(now, self.config.reported_load_ttl));
        let slots = f64::from(state.server.slots.max(1));
        if requests >= slots * self.config.plain_requests_per_slot {
            return Err(RefusalReason::Full);
        }
        let queued_ms = requests / slots * PLAIN_REQUEST_MS;
        Ok(Candidate {
            key,
            cost_ms: queued_ms + self.network_cost_ms(now, state, None),
            queued_ms,
            own_work_ms: 0.0,
            estimate: Duration::ZERO,
            missing_tokens: 0,
            fetch_from: None,
            crossing_reason: None,
        })
    }

    fn model_candidate(
        &self,
        now: Instant,
        (prompt, urgency): (&PromptInfo, Urgency),
        capacity: &RunnerCapacity,
        affinities: &[PromptAffinity],
        index: usize,
    ) -> Result<Candidate, RefusalReason> {
        let affinity = &affinities[index];
        let state = &self.servers[affinity.key];
        let load = state.load(now);
        let memory = f64::from(capacity.kv_cache_tokens) * self.config.memory_fraction;
        let needed_tokens = load
            .unshared_tokens
            .saturating_add(prompt.unshared_tokens());
        let has_memory = f64::from(needed_tokens) <= memory;
        let service = &state.server.service;
        let urgency = self.uses_urgency(state.service_hash).then_some(urgency);
        let slots = urgency.map_or(capacity.slots, |urgency| {
            self.urgent_room
                .slots_for(now, service, urgency, capacity.slots)
        });
        if load.requests >= slots || (!has_memory && load.requests > 0) {
            return Err(RefusalReason::Full);
        }
        let speed = self.runner_speed(now, state);
        let work_factor = speed.work_factor;
        let transfer =
            self.best_transfer(now, prompt, capacity, affinities, (affinity, work_factor));
        let fetched_tokens = transfer.map_or(0, |transfer| transfer.tokens);
        let cached_tokens = affinity.cached_tokens.saturating_add(fetched_tokens);
        let missing_tokens = prompt.input_tokens.saturating_sub(cached_tokens);
        let prefill_ms = self.prefill_ms(missing_tokens, prompt.input_tokens) * work_factor;
        let transfer_ms = transfer.map_or(0.0, |transfer| transfer.duration_ms);
        let queued_ms = self.work_ahead_ms(load, urgency, work_factor) * speed.slowdown;
        let estimate_ms = queued_ms
            + (prefill_ms * speed.slowdown + transfer_ms)
            + speed.first_event_ms * speed.slowdown;
        let evicting_tokens = missing_tokens.saturating_add(fetched_tokens);
        let eviction_cost_ms = self.eviction_cost_ms(now, state, evicting_tokens, work_factor);
        let cost_ms = estimate_ms
            + self.old_weights_cost_ms(now, state, &prompt.model, estimate_ms)?
            + affinity.owner_rank.min(MAX_OWNER_RANK) as f64 * millis(self.config.owner_rank_cost)
            + eviction_cost_ms
            + self.length_cost_ms(prompt, affinities.len(), index)
            + transfer.map_or(0.0, |transfer| transfer.price_ms)
            + self.network_cost_ms(now, state, Some(prompt));
        Ok(Candidate {
            key: affinity.key,
            cost_ms,
            queued_ms,
            own_work_ms: prefill_ms + transfer_ms,
            estimate: Duration::from_secs_f64(estimate_ms / 1_000.0),
            missing_tokens,
            fetch_from: transfer
                .map(|transfer| (transfer.from, transfer.tokens))
                .or_else(|| self.speculative_fetch(now, prompt, state, missing_tokens)),
            crossing_reason: None,
        })
    }

    /// Returns the prefill time, by the configured constants, of the last `missing` tokens of a prompt. It grows with the prompt
    /// length because each token attends to all tokens before it.
    pub(super) fn prefill_ms(&self, missing: TokenCount, input: TokenCount) -> f64 {
        let (missing, input) = (f64::from(missing), f64::from(input));
        let million_pairs = missing * (input - missing / 2.0) / 1e6;
        missing / self.config.prefill_tokens_per_ms
            + million_pairs * self.config.attention_ms_per_million_pairs
    }

    /// Returns the work at a runner that comes before a request. Runners that are told the urgency of
    /// requests take urgent ones first, so that only the chunk in progress of a less urgent prompt
    /// delays the most urgent ones.
    fn work_ahead_ms(&self, load: HostLoad, urgency: Option<Urgency>, work_factor: f64) -> f64 {
        let pending_ms = f64::from(load.pending_ms);
        if urgency != Some(MOST_URGENT) {
            return pending_ms;
        }
        let urgent_ms = f64::from(load.urgent_pending_ms).min(pending_ms);
        let chunk_ms = self.prefill_ms(PREFILL_CHUNK_TOKENS, PREFILL_CHUNK_TOKENS) * work_factor;
        urgent_ms + (pending_ms - urgent_ms).min(chunk_ms)
    }

    /// Returns the cost of the cached prompts that `tokens` new ones would evict from a runner.
    fn eviction_cost_ms(
        &self,
        now: Instant,
        state: &ServerState,
        tokens: TokenCount,
        work_factor: f64,
    ) -> f64 {
        let evicted_tokens = state
            .expected_cache
            .eviction_tokens(now, tokens, EVICTION_HALF_LIFE);
        evicted_tokens / self.config.prefill_tokens_per_ms
            * self.config.eviction_cost_factor
            * work_factor
    }

    /// Returns the transfer that minimizes the time of transfer and prefill. The source is another
    /// runner or the prompt cache store, which may hold more of the prompt. `to` is the runner that
    /// gets it, with the time that prefill takes there relative to the constants.
    fn best_transfer(
        &self,
        now: Instant,
        prompt: &PromptInfo,
        capacity: &RunnerCapacity,
        affinities: &[PromptAffinity],
        (to, work_factor): (&PromptAffinity, f64),
    ) -> Option<Transfer> {
        let from_runner = self.runner_transfer(now, capacity, affinities, to, false);
        let from_near_runner = self.crossing.as_ref();
        let from_near_runner = from_near_runner
            .and_then(|_| self.runner_transfer(now, capacity, affinities, to, true));
        let from_store = self.cache_store_transfer(now, prompt, capacity, to);
        let prefill_ms = |cached_tokens| {
            let missing = prompt.input_tokens.saturating_sub(cached_tokens);
            self.prefill_ms(missing, prompt.input_tokens) * work_factor
        };
        let total_ms = |transfer: &Transfer| {
            transfer.duration_ms
                + transfer.price_ms
                + prefill_ms(to.cached_tokens.saturating_add(transfer.tokens))
        };
        let transfers = from_runner.into_iter().chain(from_near_runner);
        let best = transfers
            .chain(from_store)
            .min_by(|one, other| total_ms(one).total_cmp(&total_ms(other)))?;
        let is_worth_it = best.price_ms <= 0.0 || total_ms(&best) < prefill_ms(to.cached_tokens);
        is_worth_it.then_some(best)
    }

    /// Returns the transfer from the runner that holds most of the prompt; a runner in the same
    /// failure domain is preferred among equals, or is the only choice with `is_near`.
    fn runner_transfer(
        &self,
        now: Instant,
        capacity: &RunnerCapacity,
        affinities: &[PromptAffinity],
        to: &PromptAffinity,
        is_near: bool,
    ) -> Option<Transfer> {
        let receiver = &self.servers[to.key];
        let sources = affinities.iter().filter(|from| {
            let state = &self.servers[from.key];
            let is_up = !state.is_leaving() && !state.ejection.is_ejected(now);
            is_up && state.weights() == receiver.weights() && !state.is_changing_weights(now)
        });
        let is_same_domain =
            |from: &PromptAffinity| self.servers[from.key].server.domain == receiver.server.domain;
        let best = sources
            .filter(|from| !is_near || is_same_domain(from))
            .max_by_key(|from| (from.fetchable_tokens, is_same_domain(from)))?;
        let tokens = best.fetchable_tokens.saturating_sub(to.cached_tokens);
        if tokens < self.config.min_fetch_tokens {
            return None;
        }
        let (distance_factor, price_ms) = if is_same_domain(best) {
            (1.0, 0.0)
        } else {
            (2.0, self.move_price_ms(capacity, tokens))
        };
        Some(Transfer {
            from: self.servers[best.key].server.address,
            tokens,
            duration_ms: transfer_ms(capacity, tokens) * distance_factor
                + millis(self.config.fetch_setup),
            price_ms,
        })
    }

    /// Returns the transfer from the prompt cache store, based on what it is known to hold.
    fn cache_store_transfer(
        &self,
        now: Instant,
        prompt: &PromptInfo,
        capacity: &RunnerCapacity,
        to: &PromptAffinity,
    ) -> Option<Transfer> {
        let store = &self.cache_stores[self.cache_store_index(now, prompt)?];
        let state = &self.servers[to.key];
        let tokens = store.cached_tokens(prompt.shared_levels(), state.weights());
        let tokens = tokens.saturating_sub(to.cached_tokens);
        if tokens < self.config.min_fetch_tokens {
            return None;
        }
        let (distance_factor, price_ms) = if state.server.domain == store.domain {
            (1.0, 0.0)
        } else {
            (2.0, self.move_price_ms(capacity, tokens))
        };
        let distance_factor = distance_factor * CACHE_STORE_LINK_FACTOR;
        Some(Transfer {
            from: store.address,
            tokens,
            duration_ms: transfer_ms(capacity, tokens) * distance_factor
                + millis(self.config.fetch_setup),
            price_ms,
        })
    }

    /// Returns the prompt cache store if the runner lacks many shared tokens. The store may hold
    /// more than this host knows, and a fetch that finds nothing costs only a millisecond.
    fn speculative_fetch(
        &self,
        now: Instant,
        prompt: &PromptInfo,
        to: &ServerState,
        missing_tokens: TokenCount,
    ) -> Option<(SocketAddr, TokenCount)> {
        let store = &self.cache_stores[self.cache_store_index(now, prompt)?];
        let shared = sum_tokens(prompt.shared_levels());
        let private = prompt.input_tokens.saturating_sub(shared);
        let is_promising = missing_tokens >= private.saturating_add(self.config.min_save_tokens);
        let is_near = store.domain == to.server.domain;
        let is_promising = is_promising && (is_near || self.is_move_worth_it(prompt, shared));
        is_promising.then_some((store.address, 0))
    }

    /// Returns the cost of a runner's old weights.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalReason::NoServer`] if the request could start on the old weights after their
    /// age limit.
    fn old_weights_cost_ms(
        &self,
        now: Instant,
        state: &ServerState,
        model: &str,
        estimate_ms: f64,
    ) -> Result<f64, RefusalReason> {
        let Some(superseded_for) = self.superseded_for(now, state, model) else {
            return Ok(0.0);
        };
        let estimate = Duration::from_secs_f64(estimate_ms / 1_000.0);
        let latest_start = superseded_for + estimate.mul_f64(MAX_ESTIMATE_FACTOR);
        if latest_start >= self.config.old_weights_limit {
            return Err(RefusalReason::NoServer);
        }
        if superseded_for + estimate < self.config.old_weights_grace {
            return Ok(0.0);
        }
        Ok(millis(self.config.old_weights_cost))
    }

    /// Returns for how long the weights of a server have been replaced; `None` if they have not.
    fn superseded_for(&self, now: Instant, state: &ServerState, model: &str) -> Option<Duration> {
        let unknown_age = self
            .config
            .old_weights_limit
            .saturating_sub(self.config.unknown_age_limit);
        let history = self.desired_versions.get(model)?;
        history.superseded_for(now, state.weights(), unknown_age)
    }

    /// Returns the time by which a stream must have begun at a server with replaced weights, however long
    /// the server is busy; `None` for other weights.
    pub(super) fn begin_by(
        &self,
        now: Instant,
        state: &ServerState,
        prompt: &PromptInfo,
    ) -> Option<Instant> {
        let superseded_for = self.superseded_for(now, state, &prompt.model)?;
        Some(now + self.config.old_weights_end.saturating_sub(superseded_for))
    }

    /// Returns the cost of a runner that is meant for prompts of the other length class.
    fn length_cost_ms(&self, prompt: &PromptInfo, runners: usize, index: usize) -> f64 {
        if self.is_other_length_class(prompt, runners, index) {
            millis(self.config.other_length_cost)
        } else {
            0.0
        }
    }

    /// Returns whether a runner is meant for prompts of the other length class.
    ///
    /// The first runners, by index, take the short prompts.
    pub(super) fn is_other_length_class(
        &self,
        prompt: &PromptInfo,
        runners: usize,
        index: usize,
    ) -> bool {
        let short_runners = (runners as f64 * self.config.short_prompt_fraction).round() as usize;
        let is_short_runner = index < short_runners;
        let is_short = prompt.input_tokens < self.config.long_prompt_tokens;
        is_short != is_short_runner
    }

    /// Returns the network cost of a server for a request, which is higher if its failure domain may be
    /// unreachable.
    fn network_cost_ms(
        &self,
        now: Instant,
        state: &ServerState,
        prompt: Option<&PromptInfo>,
    ) -> f64 {
        if state.server.domain == self.config.domain {
            return 0.0;
        }
        let unreachable_ms = if self.may_be_unreachable(now, &state.server.domain) {
            millis(self.config.unreachable_domain_cost)
        } else {
            0.0
        };
        self.crossing_cost_ms(prompt) + unreachable_ms
    }

    /// Returns whether servers of a failure domain were unreachable lately.
    pub(super) fn may_be_unreachable(&self, now: Instant, domain: &FailureDomainId) -> bool {
        let until = self.unreachable_domains.get(domain);
        until.is_some_and(|&until| now < until)
    }
}

/// Returns the time in milliseconds to transfer the cache memory of `tokens` between runners.
fn transfer_ms(capacity: &RunnerCapacity, tokens: TokenCount) -> f64 {
    if capacity.link_mbps <= 0.0 {
        return f64::INFINITY;
    }
    f64::from(tokens) * capacity.kv_token_bytes * 8.0 / (capacity.link_mbps * 1_000.0)
}

pub(super) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
