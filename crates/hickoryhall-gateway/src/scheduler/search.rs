//! Searches the servers of a service for the one that takes a request.
//!
//! The load that the search in a large service answers: many hosts place prompts that share levels,
//! each with load updates that are some tenths of a second old. If they compared many runners, each
//! prompt family would spread over all of these whenever loads seem uneven; the copies would evict
//! each other, runners would prefill the same levels again and again, and the work of that makes
//! loads more uneven still. So the search compares only as many owners of the prompt as the demand
//! for its family requires.

use std::borrow::Cow;
use std::cmp::Reverse;
use std::time::Instant;

use hickoryhall_limits::LimitDecision;
use hickoryhall_routing::Level;
use hickoryhall_types::rendezvous_score;

use super::candidate::{Candidate, PromptAffinity, millis};
use super::{PlacementRequest, PromptInfo, RefusalReason, Scheduler, ServerKey, ServerState};
use crate::stream_versions::SoftwareHash;

/// Least number of owners of a prompt that are compared in a large service: with a second one, a
/// queue at the first can be avoided.
const MIN_OWNERS: u32 = 2;
/// Part of an owner's time that a family may take before it gets another owner.
const MAX_FAMILY_UTILIZATION: f64 = 0.35;
/// Number of owners that are compared in addition while none of the first ones would answer in time.
const MAX_FURTHER_OWNERS: u32 = 3;
/// Number of servers on which a suspect may run at the same time: several only while the first ones are busy,
/// as many requests may share a sound part.
const MAX_SUSPECT_SERVERS: u32 = 3;
/// Number of servers that are compared in a large service for a request without a prompt.
const SAMPLE: u64 = 6;
/// The same number in each failure domain with a policy for leaving it.
const PLAIN_CANDIDATES: u32 = 6;

/// Best server found for a request so far.
#[derive(Default)]
pub(super) struct Search {
    pub best: Option<Candidate>,
    /// Number of servers that can take the request.
    pub candidates: u32,
    /// Whether a server cannot take the request only because it is at its limit.
    has_full: bool,
    /// Whether a server cannot take the request now for a reason that may end at any time.
    pub has_unavailable: bool,
    /// Whether no server that stays has the software version that the request needs.
    pub is_version_gone: bool,
    /// Earliest end of a pause of a server that could take the request otherwise.
    pub pause_end: Option<Instant>,
    /// Whether a server that names a limit could take the request otherwise.
    has_limited: bool,
    /// Earliest time at which this host may send a request to such a server.
    pub limit_end: Option<Instant>,
    /// Earliest end of a pause of a server that is excluded for this request.
    pub excluded_pause_end: Option<Instant>,
}

/// Servers of a service, and what is known for comparing them for one request.
struct Scan<'a> {
    keys: &'a [ServerKey],
    affinities: Option<&'a [PromptAffinity]>,
    lone_versions: Vec<SoftwareHash>,
    /// Number of servers that can take the request after which no more are compared.
    limit: u32,
}

impl Search {
    fn record(&mut self, compared: Result<Candidate, RefusalReason>) {
        match compared {
            Ok(candidate) => {
                self.candidates += 1;
                if self
                    .best
                    .is_none_or(|best| candidate.cost_ms < best.cost_ms)
                {
                    self.best = Some(candidate);
                }
            }
            Err(reason) => self.has_full |= reason == RefusalReason::Full,
        }
    }

    /// Returns whether a server that is in service may take the request later.
    pub fn may_take_later(&self) -> bool {
        self.has_full || self.has_limited || self.pause_end.is_some()
    }

    /// Adds what a search of other servers found, except its best one.
    pub fn absorb(&mut self, other: &Self) {
        self.candidates += other.candidates;
        self.has_full |= other.has_full;
        self.has_unavailable |= other.has_unavailable;
        self.has_limited |= other.has_limited;
        self.pause_end = earlier(self.pause_end, other.pause_end);
        self.limit_end = earlier(self.limit_end, other.limit_end);
        self.excluded_pause_end = earlier(self.excluded_pause_end, other.excluded_pause_end);
    }

    /// Returns why no server takes the request, if none can.
    pub fn refusal_reason(&self) -> RefusalReason {
        if self.is_version_gone {
            RefusalReason::VersionGone
        } else if self.has_full {
            RefusalReason::Full
        } else if self.has_limited {
            RefusalReason::Limited
        } else if self.pause_end.is_some() {
            RefusalReason::Paused
        } else {
            RefusalReason::NoServer
        }
    }
}

impl Scheduler {
    /// Searches the servers of the request's service.
    ///
    /// In a small service every server is compared. In a large one these are the first owners of
    /// the prompt that can take the request. With a policy for leaving the failure domain, the home
    /// domain is searched first, and the others if the request may leave.
    pub(super) fn search(&self, now: Instant, request: &PlacementRequest) -> Search {
        let keys = self.by_service.get(&request.service);
        let keys = keys.map(Vec::as_slice).unwrap_or_default();
        let keys = &*self.with_software(keys, request.software);
        let prompt = request.prompt.as_ref();
        let affinities = prompt.map(|prompt| self.affinities(keys, prompt));
        let affinities = affinities.as_deref();
        let is_small = keys.len() <= self.config.full_scan_limit;
        let (indices, limit) = match (prompt, affinities) {
            _ if request.suspect.is_some() => {
                (self.suspect_order(keys, request), MAX_SUSPECT_SERVERS)
            }
            _ if is_small => ((0..keys.len()).collect(), u32::MAX),
            (Some(prompt), Some(affinities)) => (
                self.owners(prompt, affinities),
                self.owner_count(now, prompt),
            ),
            _ if self.crossing.is_some() => (self.rotated(keys, request), PLAIN_CANDIDATES),
            _ => (self.sample(keys, request), u32::MAX),
        };
        let is_there = |key: &ServerKey| !self.servers[*key].is_leaving();
        let scan = Scan {
            keys,
            affinities,
            lone_versions: self.lone_versions(keys, request),
            limit,
        };
        let (home, away) = self.by_domain(keys, request, indices);
        let mut search = self.scan(now, request, &scan, &home);
        search.is_version_gone = request.software.is_some() && !keys.iter().any(is_there);
        self.search_away(now, request, search, &away, |indices| {
            self.scan(now, request, &scan, indices)
        })
    }

    /// Compares servers in the given order until enough of them can take the request.
    fn scan(
        &self,
        now: Instant,
        request: &PlacementRequest,
        scan: &Scan<'_>,
        indices: &[usize],
    ) -> Search {
        let mut search = Search::default();
        for &index in indices {
            let key = scan.keys[index];
            let further = if self.uses_urgency(self.servers[key].service_hash) {
                MAX_FURTHER_OWNERS
            } else {
                0
            };
            let is_enough = search.candidates >= scan.limit;
            if is_enough
                && (search.candidates >= scan.limit.saturating_add(further)
                    || self.is_best_on_time(now, request, &search))
            {
                break;
            }
            let mut compared = self.candidate(now, key, request, scan.affinities, index);
            let state = &self.servers[key];
            if scan.lone_versions.contains(&state.software())
                && let Ok(candidate) = &mut compared
            {
                candidate.cost_ms += millis(self.config.lone_version_cost);
            }
            let pause_end = state.statements.pause_end(now);
            let is_excluded = request.excluded_servers.contains(&state.server.id);
            match compared {
                Err(RefusalReason::Paused) => {
                    search.pause_end = earlier(search.pause_end, pause_end);
                }
                Err(RefusalReason::Limited) => {
                    search.has_limited = true;
                    if let LimitDecision::From(at) = self.limit_decision(now, state) {
                        search.limit_end = earlier(search.limit_end, Some(at));
                    }
                }
                Err(RefusalReason::NoServer) if is_excluded => {
                    search.excluded_pause_end = earlier(search.excluded_pause_end, pause_end);
                }
                Err(RefusalReason::NoServer) => search.has_unavailable |= !state.is_leaving(),
                _ => {}
            }
            search.record(compared);
            if request.suspect.is_some() && self.is_good_enough(now, request, search.best) {
                break;
            }
        }
        search
    }

    /// Returns whether the best server found for a new request would answer within its target latency.
    /// A suspect is never placed on more servers than its limit.
    fn is_best_on_time(&self, now: Instant, request: &PlacementRequest, search: &Search) -> bool {
        request.suspect.is_some()
            || search
                .best
                .is_some_and(|best| self.is_on_time(now, request, &best))
    }

    /// Returns whether a request that may crash its server needs no other one: it is on time there, and
    /// runs on weights that are not outdated.
    fn is_good_enough(
        &self,
        now: Instant,
        request: &PlacementRequest,
        best: Option<Candidate>,
    ) -> bool {
        best.is_some_and(|best| {
            let extra_ms = best.cost_ms - millis(best.estimate);
            let is_outdated = extra_ms >= millis(self.config.old_weights_cost);
            !is_outdated && self.is_on_time(now, request, &best)
        })
    }

    /// Returns the servers that have a software version, all of them if it does not matter.
    fn with_software<'a>(
        &self,
        keys: &'a [ServerKey],
        software: Option<SoftwareHash>,
    ) -> Cow<'a, [ServerKey]> {
        let Some(software) = software else {
            return Cow::Borrowed(keys);
        };
        let keys = keys.iter().copied();
        keys.filter(|&key| self.servers[key].has_software(software))
            .collect()
    }

    /// Returns the software versions that only one of the servers has, if there are several and the
    /// request is a new stream that may be resumed.
    fn lone_versions(&self, keys: &[ServerKey], request: &PlacementRequest) -> Vec<SoftwareHash> {
        if request.software.is_some() || !request.is_resumable {
            return Vec::new();
        }
        let states = keys.iter().map(|&key| &self.servers[key]);
        let staying = states.filter(|state| !state.is_leaving());
        let mut versions = Vec::<(SoftwareHash, usize)>::new();
        for software in staying.map(ServerState::software) {
            match versions.iter_mut().find(|(other, _)| *other == software) {
                Some((_, count)) => *count += 1,
                None => versions.push((software, 1)),
            }
        }
        let is_mixed = versions.len() > 1;
        let lone = versions.into_iter().filter(|(_, count)| *count == 1);
        lone.filter(|_| is_mixed)
            .map(|(software, _)| software)
            .collect()
    }

    /// Returns the indices of all runners, the first owners of the prompt first; those of the
    /// prompt's length class come before the others, so that long prompts seldom stall the answers
    /// to short ones.
    fn owners(&self, prompt: &PromptInfo, affinities: &[PromptAffinity]) -> Vec<usize> {
        let mut owners = (0..affinities.len()).collect::<Vec<_>>();
        owners.sort_by_key(|&index| {
            let is_other_class = self.is_other_length_class(prompt, affinities.len(), index);
            (is_other_class, affinities[index].owner_rank)
        });
        owners
    }

    /// Returns how many owners of a prompt are compared, by the demand for its family.
    fn owner_count(&self, now: Instant, prompt: &PromptInfo) -> u32 {
        let busy = self.demand.busy_runners(now, prompt.chain.shared_key());
        ((busy / MAX_FAMILY_UTILIZATION).ceil() as u32).max(MIN_OWNERS)
    }

    /// Returns the indices of all servers in the order in which the request's suspect is placed. It is
    /// the same on every host, so that few servers at a time run the suspect, and it does not depend
    /// on loads, which change the order from one host to the next.
    fn suspect_order(&self, keys: &[ServerKey], request: &PlacementRequest) -> Vec<usize> {
        let suspect = request.suspect.unwrap_or_default();
        let mut order = (0..keys.len()).collect::<Vec<_>>();
        order.sort_by_key(|&index| {
            Reverse(rendezvous_score(
                suspect,
                self.servers[keys[index]].name_hash,
            ))
        });
        order
    }

    /// Returns the indices of some servers that differ by host and request. All hosts know equally
    /// outdated loads; without the difference all of them would choose the one server that was idle.
    fn sample(&self, keys: &[ServerKey], request: &PlacementRequest) -> Vec<usize> {
        let seed = rendezvous_score(request.attempt_id, self.config.host);
        let indices = (0..SAMPLE).map(|n| {
            let index = rendezvous_score(seed, n) % keys.len() as u64;
            usize::try_from(index).unwrap_or(0)
        });
        let mut indices = indices.collect::<Vec<_>>();
        indices.sort_unstable();
        indices.dedup();
        indices
    }

    /// Counts a request of a prompt family, of this host or of another one, given the time that
    /// prefill takes at runners of its service relative to the constants.
    pub(super) fn record_demand(&mut self, now: Instant, levels: &[Level], work_factor: f64) {
        let Some((own, shared)) = levels.split_last() else {
            return;
        };
        let family = shared.last().unwrap_or(own).key;
        let work_ms = self.prefill_ms(own.tokens, own.tokens) * work_factor;
        self.demand.record(now, family, work_ms);
    }
}

/// Returns the earlier one of two times that may be unknown.
fn earlier(one: Option<Instant>, other: Option<Instant>) -> Option<Instant> {
    one.into_iter().chain(other).min()
}
