//! Applies the policy for leaving the failure domain: splits the servers by domain, tells the policy
//! what room other domains have, and prices the bytes that cross.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hickoryhall_routing::{
    CrossingOffer, CrossingReason, CrossingRequest, DomainHash, DomainRoom, HomeOffer,
};
use hickoryhall_types::{FailureDomainId, TokenCount, hash_name, rendezvous_score};

use super::candidate::{Candidate, PLAIN_REQUEST_MS, millis};
use super::crossing_state::{Crossing, CrossingKey};
use super::search::Search;
use super::{AttemptEnd, PlacementRequest, PromptInfo, Scheduler, ServerKey, ServerState};
use crate::table::RunnerCapacity;

/// Time between two looks at the room of other domains: the time between two digests of a host.
const ROOM_INTERVAL: Duration = Duration::from_millis(250);
/// Bytes of a response per output token.
const OUTPUT_TOKEN_BYTES: f64 = 70.0;
/// Bytes of a request body per prompt token.
const PROMPT_TOKEN_BYTES: f64 = 1.0;
/// Bytes of the body and the response of a request without a prompt.
const PLAIN_BYTES: f64 = 1_000.0;

impl Scheduler {
    /// Records that a host of a failure domain was heard from, given by the hash of its name.
    pub fn record_domain_heard(&mut self, now: Instant, domain: DomainHash) {
        if let Some(crossing) = &mut self.crossing {
            crossing.heard_at.insert(domain, now);
        }
    }

    /// Looks at the room of the other failure domains, if some time has passed since the last look.
    pub fn update_crossing(&mut self, now: Instant, hosts: usize) {
        let Some(crossing) = &self.crossing else {
            return;
        };
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ROOM_INTERVAL;
        if crossing.updated_at.is_some_and(is_recent) {
            return;
        }
        let rooms = self.rooms(now, hosts);
        if let Some(crossing) = &mut self.crossing {
            crossing.updated_at = Some(now);
            for ((service, domain), room) in rooms {
                crossing.policy.record_room(now, service, domain, &room);
            }
        }
    }

    fn rooms(&self, now: Instant, hosts: usize) -> HashMap<CrossingKey, DomainRoom> {
        let mut spare = HashMap::<CrossingKey, f64>::new();
        let mut domains = vec![hash_name(&self.config.domain)];
        for (service, keys) in &self.by_service {
            let service = hash_name(service);
            for state in keys.iter().map(|&key| &self.servers[key]) {
                let domain = hash_name(&state.server.domain);
                if !domains.contains(&domain) {
                    domains.push(domain);
                }
                if self.is_at_home(state) {
                    continue;
                }
                *spare.entry((service, domain)).or_default() += self.spare_ms(now, state);
            }
        }
        let senders = (hosts * (domains.len() - 1)).div_ceil(domains.len()).max(1);
        let heard_at = self.crossing.as_ref().map(|crossing| &crossing.heard_at);
        let rooms = spare.into_iter().map(|((service, domain), spare_ms)| {
            let heard_at = heard_at.and_then(|heard_at| heard_at.get(&domain));
            let room = DomainRoom {
                spare_ms,
                senders,
                news_age: heard_at.map(|&at| now.saturating_duration_since(at)),
            };
            ((service, domain), room)
        });
        rooms.collect()
    }

    /// Returns the work of other domains that a server could take until the next look: the part of that
    /// time that its queue leaves, or all of it for each free slot of a plain server.
    fn spare_ms(&self, now: Instant, state: &ServerState) -> f64 {
        let is_out = state.is_leaving()
            || state.ejection.is_ejected(now)
            || state.is_changing_weights(now)
            || state.statements.pause_end(now).is_some()
            || self.may_be_unreachable(now, &state.server.domain);
        if is_out {
            return 0.0;
        }
        let requests = state.request_count(now, self.config.reported_load_ttl);
        let free_slots = state.slots().saturating_sub(requests);
        let interval_ms = millis(ROOM_INTERVAL);
        if state.runner_capacity.is_none() {
            return f64::from(free_slots) * interval_ms;
        }
        if free_slots == 0 {
            return 0.0;
        }
        (interval_ms - f64::from(state.load(now).pending_ms)).max(0.0)
    }

    fn is_at_home(&self, state: &ServerState) -> bool {
        state.server.domain == self.config.domain
    }

    /// Returns the servers to compare, first those of the home domain and then those of each other domain.
    /// Without a policy, and for a suspect, whose place is the same for all hosts, it is one list.
    pub(super) fn by_domain(
        &self,
        keys: &[ServerKey],
        request: &PlacementRequest,
        indices: Vec<usize>,
    ) -> (Vec<usize>, Vec<Vec<usize>>) {
        if self.crossing.is_none() || request.suspect.is_some() {
            return (indices, Vec::new());
        }
        let mut home = Vec::new();
        let mut away = BTreeMap::<&str, Vec<usize>>::new();
        for index in indices {
            let state = &self.servers[keys[index]];
            if self.is_at_home(state) {
                home.push(index);
            } else {
                away.entry(&*state.server.domain).or_default().push(index);
            }
        }
        (home, away.into_values().collect())
    }

    /// Returns the indices of all servers, beginning with one that differs by host and request.
    pub(super) fn rotated(&self, keys: &[ServerKey], request: &PlacementRequest) -> Vec<usize> {
        let seed = rendezvous_score(request.attempt_id, self.config.host);
        let first = usize::try_from(seed % keys.len().max(1) as u64).unwrap_or(0);
        (first..keys.len()).chain(0..first).collect()
    }

    /// Completes a search of the home domain: decides whether the request leaves, and searches the other
    /// domains if it may.
    pub(super) fn search_away(
        &self,
        now: Instant,
        request: &PlacementRequest,
        mut home: Search,
        away: &[Vec<usize>],
        scan: impl Fn(&[usize]) -> Search,
    ) -> Search {
        let Some(crossing) = self.crossing.as_ref().filter(|_| !away.is_empty()) else {
            return home;
        };
        let elapsed = now.saturating_duration_since(request.arrived_at) + self.config.slack;
        let asked = CrossingRequest {
            service: hash_name(&request.service),
            time_left_ms: millis(request.target_latency.saturating_sub(elapsed)),
            rank: u8::try_from(request.priority.1).unwrap_or(u8::MAX),
        };
        let at_home = match &home.best {
            Some(best) => HomeOffer::Offer(self.offer(request, best)),
            None if home.may_take_later() => HomeOffer::Full,
            None => HomeOffer::NoServer,
        };
        if !crossing.policy.may_leave(&asked, &at_home) {
            return home;
        }
        let mut found = Vec::new();
        for indices in away {
            let search = scan(indices);
            found.extend(search.best);
            home.absorb(&search);
        }
        let offers = found.iter().map(|best| self.offer(request, best));
        let offers = offers.collect::<Vec<_>>();
        if let Some((index, reason)) = crossing.policy.choose(now, &asked, &at_home, &offers) {
            home.best = Some(Candidate {
                crossing_reason: Some(reason),
                ..found[index]
            });
        }
        home
    }

    fn offer(&self, request: &PlacementRequest, candidate: &Candidate) -> CrossingOffer {
        let estimate_ms = if request.prompt.is_some() {
            millis(candidate.estimate)
        } else {
            candidate.queued_ms
        };
        CrossingOffer {
            domain: hash_name(&self.servers[candidate.key].server.domain),
            estimate_ms,
            cost_ms: candidate.cost_ms,
        }
    }

    /// Returns the price of moving the cache of `tokens` between domains; 0 without a policy.
    pub(super) fn move_price_ms(&self, capacity: &RunnerCapacity, tokens: TokenCount) -> f64 {
        self.crossing.as_ref().map_or(0.0, |crossing| {
            let bytes = f64::from(tokens) * capacity.kv_token_bytes;
            crossing.policy.config().price_ms(bytes)
        })
    }

    /// Returns whether moving the cache of shared levels from another domain costs less than prefilling
    /// them; always true without a policy.
    pub(super) fn is_move_worth_it(&self, prompt: &PromptInfo, tokens: TokenCount) -> bool {
        let capacity = self.runner_capacities.values();
        let price_ms = capacity.map(|capacity| self.move_price_ms(capacity, tokens));
        let price_ms = price_ms.fold(0.0, f64::max);
        self.crossing.is_none() || price_ms < self.prefill_ms(tokens, prompt.input_tokens)
    }

    /// Returns the cost of a server in another domain: with a policy that of the round trip and of the
    /// request's bytes, else the fixed one.
    pub(super) fn crossing_cost_ms(&self, prompt: Option<&PromptInfo>) -> f64 {
        match &self.crossing {
            Some(crossing) => crossing.policy.config().cost_ms(request_bytes(prompt)),
            None => millis(self.config.cross_domain_cost),
        }
    }

    /// Records that a request is sent, if it leaves the domain.
    pub(super) fn record_crossing(
        &mut self,
        now: Instant,
        request: &PlacementRequest,
        candidate: &Candidate,
    ) -> Option<CrossingKey> {
        let state = &self.servers[candidate.key];
        if self.is_at_home(state) {
            return None;
        }
        let key = (hash_name(&request.service), hash_name(&state.server.domain));
        let crossing = self.crossing.as_mut()?;
        let work_ms = if request.prompt.is_some() {
            candidate.own_work_ms
        } else {
            PLAIN_REQUEST_MS
        };
        crossing.policy.record_sent(now, key.0, key.1, work_ms);
        Some(key)
    }

    /// Records that a request that left was answered, or how it ended without an answer.
    pub(super) fn record_crossing_end(
        &mut self,
        now: Instant,
        key: Option<CrossingKey>,
        end: AttemptEnd,
    ) {
        let (Some(crossing), Some((service, domain))) = (&mut self.crossing, key) else {
            return;
        };
        let policy = &mut crossing.policy;
        match end {
            AttemptEnd::Answered => policy.record_answer(now, service, domain),
            AttemptEnd::Released => policy.record_released(now, service, domain),
            AttemptEnd::Failed => policy.record_failure(now, service, domain, false),
            AttemptEnd::Unreachable => policy.record_failure(now, service, domain, true),
        }
    }

    /// Returns what crosses for a request that is placed; `None` if nothing does, or without a policy.
    pub(super) fn crossing_of(
        &self,
        request: &PlacementRequest,
        candidate: &Candidate,
    ) -> Option<Crossing> {
        self.crossing.as_ref()?;
        let state = &self.servers[candidate.key];
        let prompt = request.prompt.as_ref();
        let cache = candidate.fetch_from.and_then(|(from, tokens)| {
            let from = self.domain_of(from)?;
            let bytes = f64::from(tokens) * state.runner_capacity.as_ref()?.kv_token_bytes;
            (*from != state.server.domain && tokens > 0).then(|| (from.clone(), bytes as u64))
        });
        let leaves = !self.is_at_home(state);
        let reason = candidate.crossing_reason.map(CrossingReason::as_str);
        (leaves || cache.is_some()).then(|| Crossing {
            reason: leaves.then(|| reason.unwrap_or("suspect")),
            from: self.config.domain.clone(),
            to: state.server.domain.clone(),
            request_bytes: if leaves {
                request_bytes(prompt) as u64
            } else {
                0
            },
            cache,
        })
    }

    /// Returns the domain of a runner or prompt cache store.
    fn domain_of(&self, address: SocketAddr) -> Option<&FailureDomainId> {
        let stores = self.cache_stores.iter();
        let mut stores = stores.filter(|store| store.address == address);
        let servers = self.servers.values();
        let mut servers = servers.filter(|state| state.server.address == address);
        let store = stores.next().map(|store| &store.domain);
        store.or_else(|| servers.next().map(|state| &state.server.domain))
    }
}

/// Returns the estimated bytes of a request and its response.
fn request_bytes(prompt: Option<&PromptInfo>) -> f64 {
    prompt.map_or(PLAIN_BYTES, |prompt| {
        f64::from(prompt.input_tokens) * PROMPT_TOKEN_BYTES
            + f64::from(prompt.output_tokens) * OUTPUT_TOKEN_BYTES
    })
}
