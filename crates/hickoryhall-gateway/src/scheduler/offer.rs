//! Estimates the cost of a request at each server.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hickoryhall_types::{TokenCount, rendezvous_score};

use super::{DenyReason, Need, PromptNeed, Scheduler, ServerKey, ServerState, Ticket};
use crate::table::EngineShape;

/// Transfer time from a prompt cache store relative to that from a runner, whose link is faster.
const KEEP_LINK_FACTOR: f64 = 4.0;
/// Rank in the owner order of a prompt from which all runners cost the same.
const PLACES_TOLD_APART: usize = 9;
/// Number of first owners of a prompt that are evaluated in a large service.
const OWNERS_CONSIDERED: usize = 6;
/// Number of other servers that are evaluated in a large service.
const OTHERS_CONSIDERED: usize = 6;
/// Idle time after which evicting a cached prompt costs half as much.
const HALF_LIFE: Duration = Duration::from_secs(8);
/// Approximate time in which a plain server with all slots busy completes one request per slot.
const PLAIN_ROUND_MS: f64 = 100.0;

/// A server that can take a request, with its estimated cost.
#[derive(Clone, Copy)]
pub(super) struct Offer {
    pub key: ServerKey,
    /// Total cost; the server with the lowest one is chosen.
    pub cost_ms: f64,
    /// Work queued at the server before the request.
    pub ahead_ms: f64,
    /// Work for the request itself: transfer and prefill.
    pub own_ms: f64,
    /// Estimated time to the first event.
    pub estimate: Duration,
    pub missing_tokens: TokenCount,
    pub fetch_from: Option<(SocketAddr, TokenCount)>,
}

/// A transfer of cached prompt levels from a runner or a prompt cache store.
#[derive(Clone, Copy)]
struct Transfer {
    from: SocketAddr,
    tokens: TokenCount,
    ms: f64,
}

/// Cached tokens of a prompt at a runner, and the runner's rank among the prompt's owners.
pub(super) struct Holder {
    key: ServerKey,
    /// Tokens that the runner is expected to hold when it starts the request.
    cached_tokens: TokenCount,
    /// Tokens that other runners can fetch from it now.
    held_tokens: TokenCount,
    /// Rank in the owner order of the prompt; 0 is the first owner.
    place: usize,
}

impl Scheduler {
    /// Returns the cached tokens and owner rank of each runner for a prompt.
    ///
    /// The owner order is a rendezvous hash of the prompt's shared levels.
    pub(super) fn holders(&self, keys: &[ServerKey], prompt: &PromptNeed) -> Vec<Holder> {
        let shared = prompt.chain.shared();
        let score = |key: ServerKey| rendezvous_score(shared, self.servers[key].name_hash);
        let scores = keys.iter().map(|&key| score(key)).collect::<Vec<_>>();
        let mut sorted = scores.clone();
        sorted.sort_unstable_by(|one, other| other.cmp(one));
        let holders = keys.iter().zip(scores).map(|(&key, score)| {
            let place = sorted.partition_point(|&other| other > score);
            let state = &self.servers[key];
            Holder {
                key,
                cached_tokens: state.shadow.cached_tokens(&prompt.chain),
                held_tokens: state.held.cached_tokens(&prompt.chain),
                place,
            }
        });
        holders.collect()
    }

    /// Returns the indices of the servers to evaluate.
    ///
    /// In a small service these are all servers. In a large one they are the first owners of the
    /// prompt and a sample that differs by host and request. Without the sample, hosts with
    /// outdated updates of each other's load would all choose the one server that was free.
    pub(super) fn considered(
        &self,
        keys: &[ServerKey],
        holders: Option<&[Holder]>,
        ticket: Ticket,
    ) -> Vec<usize> {
        if keys.len() <= self.config.all_considered {
            return (0..keys.len()).collect();
        }
        let mut considered = Vec::with_capacity(OWNERS_CONSIDERED + OTHERS_CONSIDERED);
        if let Some(holders) = holders {
            let owners = holders.iter().enumerate();
            let owners = owners.filter(|(_, holder)| holder.place < OWNERS_CONSIDERED);
            considered.extend(owners.map(|(index, _)| index));
        }
        let seed = rendezvous_score(ticket, self.config.host);
        let others = (0..OTHERS_CONSIDERED as u64).map(|n| {
            let place = rendezvous_score(seed, n) % keys.len() as u64;
            usize::try_from(place).unwrap_or(0)
        });
        considered.extend(others);
        considered.sort_unstable();
        considered.dedup();
        considered
    }

    /// Returns the cost of a request at a server.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the server does not take the request.
    pub(super) fn offer(
        &self,
        now: Instant,
        key: ServerKey,
        need: &Need,
        holders: Option<&[Holder]>,
        index: usize,
    ) -> Result<Offer, DenyReason> {
        let state = &self.servers[key];
        let is_away = state.server.is_leaving
            || state.ejection.is_ejected(now)
            || state.is_changing(now)
            || need.exclude.contains(&state.server.id);
        if is_away {
            return Err(DenyReason::NoServer);
        }
        match (&need.prompt, &state.engine, holders) {
            (Some(prompt), Some(engine), Some(holders)) => {
                self.engine_offer(now, prompt, engine, holders, index)
            }
            _ => self.plain_offer(now, key),
        }
    }

    fn plain_offer(&self, now: Instant, key: ServerKey) -> Result<Offer, DenyReason> {
        let state = &self.servers[key];
        let requests = f64::from(state.requests(now, self.config.told_ttl));
        let slots = f64::from(state.server.slots.max(1));
        if requests >= slots * self.config.plain_fill {
            return Err(DenyReason::Full);
        }
        Ok(Offer {
            key,
            cost_ms: requests / slots * PLAIN_ROUND_MS + self.distance_ms(now, state),
            ahead_ms: 0.0,
            own_ms: 0.0,
            estimate: Duration::ZERO,
            missing_tokens: 0,
            fetch_from: None,
        })
    }

    fn engine_offer(
        &self,
        now: Instant,
        prompt: &PromptNeed,
        engine: &EngineShape,
        holders: &[Holder],
        index: usize,
    ) -> Result<Offer, DenyReason> {
        let holder = &holders[index];
        let state = &self.servers[holder.key];
        let load = state.load(now);
        let memory = f64::from(engine.memory_tokens) * self.config.memory_part;
        let is_fitting = f64::from(load.own_tokens + prompt.own_tokens()) <= memory;
        if load.requests >= engine.slots || (!is_fitting && load.requests > 0) {
            return Err(DenyReason::Full);
        }
        let transfer = self.best_transfer(now, prompt, engine, holders, holder);
        let fetched_tokens = transfer.map_or(0, |transfer| transfer.tokens);
        let held = holder.cached_tokens + fetched_tokens;
        let missing_tokens = prompt.input_tokens.saturating_sub(held);
        let own_ms = self.read_ms(missing_tokens, prompt.input_tokens)
            + transfer.map_or(0.0, |transfer| transfer.ms);
        let ahead_ms = f64::from(load.pending_ms);
        let estimate_ms = ahead_ms + own_ms + millis(self.config.first_event);
        let displaced_ms = self.displaced_ms(now, state, missing_tokens + fetched_tokens);
        let cost_ms = estimate_ms
            + self.old_weights_ms(now, state, &prompt.model, estimate_ms)?
            + holder.place.min(PLACES_TOLD_APART) as f64 * millis(self.config.owner_place)
            + displaced_ms
            + self.part_ms(prompt, holders.len(), index)
            + self.distance_ms(now, state);
        Ok(Offer {
            key: holder.key,
            cost_ms,
            ahead_ms,
            own_ms,
            estimate: Duration::from_secs_f64(estimate_ms / 1_000.0),
            missing_tokens,
            fetch_from: transfer
                .map(|transfer| (transfer.from, transfer.tokens))
                .or_else(|| self.keep_attempt(now, prompt, missing_tokens)),
        })
    }

    /// Returns the prefill time of the last `missing` tokens of a prompt. It grows with the prompt
    /// length because each token attends to all tokens before it.
    fn read_ms(&self, missing: TokenCount, input: TokenCount) -> f64 {
        let (missing, input) = (f64::from(missing), f64::from(input));
        let pairs_m = missing * (input - missing / 2.0) / 1e6;
        missing / self.config.prefill_tokens_per_ms + pairs_m * self.config.pairs_ms_per_m
    }

    /// Returns the cost of the cached prompts that `tokens` new ones would evict from a runner.
    fn displaced_ms(&self, now: Instant, state: &ServerState, tokens: TokenCount) -> f64 {
        let displaced = state.shadow.eviction_tokens(now, tokens, HALF_LIFE);
        displaced / self.config.prefill_tokens_per_ms * self.config.displaced_part
    }

    /// Returns the transfer that minimizes the time of transfer and prefill. The source is another
    /// runner or the prompt cache store, which may hold more of the prompt.
    fn best_transfer(
        &self,
        now: Instant,
        prompt: &PromptNeed,
        engine: &EngineShape,
        holders: &[Holder],
        to: &Holder,
    ) -> Option<Transfer> {
        let from_runner = self.transfer(now, engine, holders, to);
        let from_keep = self.keep_transfer(now, prompt, engine, to);
        let read_after_ms = |transfer: &Transfer| {
            let held = to.cached_tokens + transfer.tokens;
            let missing = prompt.input_tokens.saturating_sub(held);
            transfer.ms + self.read_ms(missing, prompt.input_tokens)
        };
        let transfers = from_runner.into_iter().chain(from_keep);
        transfers.min_by(|one, other| read_after_ms(one).total_cmp(&read_after_ms(other)))
    }

    /// Returns the transfer from the runner that holds most of the prompt; a runner in the same
    /// failure domain is preferred among equals.
    fn transfer(
        &self,
        now: Instant,
        engine: &EngineShape,
        holders: &[Holder],
        to: &Holder,
    ) -> Option<Transfer> {
        let target = &self.servers[to.key];
        let sources = holders.iter().filter(|from| {
            let state = &self.servers[from.key];
            let is_up = !state.server.is_leaving && !state.ejection.is_ejected(now);
            is_up && state.weights() == target.weights() && !state.is_changing(now)
        });
        let is_near = |from: &Holder| self.servers[from.key].server.domain == target.server.domain;
        let best = sources.max_by_key(|from| (from.held_tokens, is_near(from)))?;
        let tokens = best.held_tokens.saturating_sub(to.cached_tokens);
        if tokens < self.config.fetch_tokens {
            return None;
        }
        let distance = if is_near(best) { 1.0 } else { 2.0 };
        Some(Transfer {
            from: self.servers[best.key].server.address,
            tokens,
            ms: transfer_ms(engine, tokens) * distance + millis(self.config.fetch_setup),
        })
    }

    /// Returns the transfer from the prompt cache store, based on what it is known to hold.
    fn keep_transfer(
        &self,
        now: Instant,
        prompt: &PromptNeed,
        engine: &EngineShape,
        to: &Holder,
    ) -> Option<Transfer> {
        let keep = &self.keeps[self.keep_place(now, prompt)?];
        let state = &self.servers[to.key];
        let tokens = keep.held_tokens(prompt.shared_levels(), state.weights());
        let tokens = tokens.saturating_sub(to.cached_tokens);
        if tokens < self.config.fetch_tokens {
            return None;
        }
        let is_near = state.server.domain == keep.domain;
        let distance = if is_near { 1.0 } else { 2.0 } * KEEP_LINK_FACTOR;
        Some(Transfer {
            from: keep.address,
            tokens,
            ms: transfer_ms(engine, tokens) * distance + millis(self.config.fetch_setup),
        })
    }

    /// Returns the prompt cache store if the runner lacks many shared tokens. The store may hold
    /// more than this host knows, and a fetch that finds nothing costs only a millisecond.
    fn keep_attempt(
        &self,
        now: Instant,
        prompt: &PromptNeed,
        missing_tokens: TokenCount,
    ) -> Option<(SocketAddr, TokenCount)> {
        let keep = &self.keeps[self.keep_place(now, prompt)?];
        let shared = prompt.shared_levels().iter().map(|level| level.tokens);
        let shared = shared.sum::<TokenCount>();
        let private = prompt.input_tokens.saturating_sub(shared);
        let is_promising = missing_tokens >= private + self.config.save_tokens;
        is_promising.then_some((keep.address, 0))
    }

    /// Returns the cost of a runner's old weights.
    ///
    /// # Errors
    ///
    /// Returns [`DenyReason::NoServer`] if the request would start on the old weights after their
    /// age limit.
    fn old_weights_ms(
        &self,
        now: Instant,
        state: &ServerState,
        model: &str,
        estimate_ms: f64,
    ) -> Result<f64, DenyReason> {
        let wanted = self.wanted.get(model);
        let replaced_for = wanted.and_then(|wanted| wanted.replaced_for(now, state.weights()));
        let Some(replaced_for) = replaced_for else {
            return Ok(0.0);
        };
        let at_begin = replaced_for + Duration::from_secs_f64(estimate_ms / 1_000.0);
        if at_begin >= self.config.old_weights_limit {
            return Err(DenyReason::NoServer);
        }
        if at_begin < self.config.old_weights_free {
            return Ok(0.0);
        }
        Ok(millis(self.config.old_weights))
    }

    /// Returns the cost of a runner that is meant for prompts of the other length class.
    ///
    /// The first runners, by index, take the short prompts.
    fn part_ms(&self, prompt: &PromptNeed, runners: usize, index: usize) -> f64 {
        let short_runners = (runners as f64 * self.config.short_part).round() as usize;
        let is_short_runner = index < short_runners;
        let is_short = prompt.input_tokens < self.config.long_prompt_tokens;
        if is_short == is_short_runner {
            0.0
        } else {
            millis(self.config.other_part)
        }
    }

    /// Returns the network cost of a server, which is higher if its failure domain may be
    /// unreachable.
    fn distance_ms(&self, now: Instant, state: &ServerState) -> f64 {
        let domain = &state.server.domain;
        let is_own = *domain == self.config.domain;
        let is_doubted = self.doubted.get(domain).is_some_and(|&until| now < until);
        let way = if is_own {
            0.0
        } else {
            millis(self.config.cross_domain)
        };
        let doubt = if is_doubted && !is_own {
            millis(self.config.doubt)
        } else {
            0.0
        };
        way + doubt
    }
}

/// Returns the time in milliseconds to transfer the cache memory of `tokens` between runners.
fn transfer_ms(engine: &EngineShape, tokens: TokenCount) -> f64 {
    if engine.link_mbps <= 0.0 {
        return f64::INFINITY;
    }
    f64::from(tokens) * engine.token_bytes * 8.0 / (engine.link_mbps * 1_000.0)
}

pub(super) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
