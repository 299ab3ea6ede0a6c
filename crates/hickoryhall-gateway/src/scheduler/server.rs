//! State of one backend server: load, cache estimates, weights version and health.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hickoryhall_routing::{CacheEstimate, Ejection};
use hickoryhall_types::{TokenCount, WeightsVersion, hash_name};

use super::{AttemptId, GroupHash, HostHash};
use crate::interface::ReportedLoad;
use crate::registry::BackendServer;
use crate::table::RunnerCapacity;

/// Time after which a load reported by a peer expires, because the peer may be gone.
const PEER_LOAD_TTL: Duration = Duration::from_secs(2);
/// Maximum number of prompt levels in a cache estimate of one runner.
const CACHE_ESTIMATE_LEVELS: usize = 512;
/// Time after which a weight change whose end was not reported no longer blocks new work.
const WEIGHT_CHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Load that one request puts on its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct RequestLoad {
    /// Estimated time to fetch and prefill the prompt; 0 after the first event.
    pub pending_ms: u32,
    /// Cache memory for the private level of the prompt and the answer; the other levels are shared
    /// with other requests.
    pub unshared_tokens: TokenCount,
    /// Cache memory for the answer; included in `unshared_tokens`.
    pub output_tokens: TokenCount,
    /// Whether no other server can resume the answer.
    pub is_non_resumable: bool,
    /// Whether the request may crash the server.
    pub is_suspect: bool,
}

/// Load that a host, or several hosts together, put on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostLoad {
    /// Number of requests in flight.
    pub requests: u32,
    /// Estimated time to fetch and prefill the prompts of requests without a first event.
    pub pending_ms: u32,
    /// Cache memory for the private levels of the prompts and the answers.
    pub unshared_tokens: u32,
    /// Cache memory for their answers; included in `unshared_tokens`.
    pub output_tokens: u32,
    /// Number of requests that no other server can resume.
    pub non_resumable: u32,
}

/// Origin of a load reported by peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LoadSource {
    /// One host of this host's group.
    Host(HostHash),
    /// The sum over all hosts of another group.
    Group(GroupHash),
}

#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    load: HostLoad,
    received_at: Instant,
}

/// What the scheduler knows about a backend server.
#[derive(Debug)]
pub(super) struct ServerState {
    pub server: BackendServer,
    /// Hash of the server's id, under which hosts refer to it in updates.
    pub name_hash: u64,
    pub ejection: Ejection,
    /// Cache estimate for the time when every prompt sent to it has been prefilled.
    pub expected_cache: CacheEstimate,
    /// Cache estimate for now, used for transfers to other runners.
    pub current_cache: CacheEstimate,
    /// Capacity of a runner; `None` for a plain server.
    pub runner_capacity: Option<RunnerCapacity>,
    /// Load of each request in flight that this host has placed.
    own_requests: HashMap<AttemptId, RequestLoad>,
    own_total: HostLoad,
    peer_loads: HashMap<LoadSource, PeerLoad>,
    /// Load that the server itself reported last, and when it did.
    reported_load: Option<(ReportedLoad, Instant)>,
    /// Last known weights version; 0 if the server has no model.
    weights: WeightsVersion,
    /// Start of the weight change in progress.
    changing_since: Option<Instant>,
}

impl ServerState {
    pub fn new(server: BackendServer, runner_capacity: Option<RunnerCapacity>) -> Self {
        let memory = runner_capacity
            .as_ref()
            .map_or(0, |capacity| capacity.kv_cache_tokens);
        Self {
            name_hash: hash_name(&server.id),
            ejection: Ejection::default(),
            expected_cache: CacheEstimate::new(memory.into(), CACHE_ESTIMATE_LEVELS),
            current_cache: CacheEstimate::new(memory.into(), CACHE_ESTIMATE_LEVELS),
            runner_capacity,
            own_requests: HashMap::new(),
            own_total: HostLoad::default(),
            peer_loads: HashMap::new(),
            reported_load: None,
            weights: newest_weights(&server),
            changing_since: None,
            server,
        }
    }

    /// Applies a changed registry entry; a new incarnation resets the recorded state.
    pub fn update(&mut self, server: BackendServer) {
        if server.incarnation != self.server.incarnation {
            self.expected_cache.clear();
            self.current_cache.clear();
            self.ejection = Ejection::default();
            self.reported_load = None;
            self.changing_since = None;
        }
        self.set_weights(newest_weights(&server));
        self.server = server;
    }

    /// Records a weights version reported by the runner; versions never decrease.
    pub fn set_weights(&mut self, weights: WeightsVersion) {
        if weights > self.weights {
            self.weights = weights;
            self.expected_cache.clear();
            self.current_cache.clear();
            self.changing_since = None;
        }
    }

    pub fn weights(&self) -> WeightsVersion {
        self.weights
    }

    /// Records that the runner is changing its weights; repeated calls keep the first time.
    pub fn begin_weight_change(&mut self, now: Instant) {
        self.changing_since.get_or_insert(now);
    }

    pub fn end_weight_change(&mut self) {
        self.changing_since = None;
    }

    pub fn is_changing_weights(&self, now: Instant) -> bool {
        self.changing_since
            .is_some_and(|since| now.saturating_duration_since(since) < WEIGHT_CHANGE_TIMEOUT)
    }

    pub fn add_request(&mut self, attempt_id: AttemptId, load: RequestLoad) {
        self.own_requests.insert(attempt_id, load);
        self.own_total.requests += 1;
        self.own_total.pending_ms += load.pending_ms;
        self.own_total.unshared_tokens += load.unshared_tokens;
        self.own_total.output_tokens += load.output_tokens;
        self.own_total.non_resumable += u32::from(load.is_non_resumable);
    }

    /// Limits the cache estimates to the memory that running requests leave free.
    pub fn update_cache_budgets(&mut self, now: Instant) {
        let memory = self
            .runner_capacity
            .as_ref()
            .map_or(0, |capacity| capacity.kv_cache_tokens);
        let left = memory.saturating_sub(self.load(now).output_tokens);
        self.expected_cache.set_budget(left.into());
        self.current_cache.set_budget(left.into());
    }

    pub fn record_first_event(&mut self, attempt_id: AttemptId) {
        if let Some(load) = self.own_requests.get_mut(&attempt_id) {
            self.own_total.pending_ms -= load.pending_ms;
            load.pending_ms = 0;
        }
    }

    pub fn remove_request(&mut self, attempt_id: AttemptId) {
        if let Some(load) = self.own_requests.remove(&attempt_id) {
            self.own_total.requests -= 1;
            self.own_total.pending_ms -= load.pending_ms;
            self.own_total.unshared_tokens -= load.unshared_tokens;
            self.own_total.output_tokens -= load.output_tokens;
            self.own_total.non_resumable -= u32::from(load.is_non_resumable);
        }
    }

    /// Returns whether the server runs a request of this host that may crash it.
    pub fn runs_suspect(&self) -> bool {
        self.own_requests.values().any(|load| load.is_suspect)
    }

    pub fn own_load(&self) -> HostLoad {
        self.own_total
    }

    pub fn set_peer_load(&mut self, now: Instant, source: LoadSource, load: HostLoad) {
        self.peer_loads.insert(
            source,
            PeerLoad {
                load,
                received_at: now,
            },
        );
    }

    pub fn clear_peer_load(&mut self, source: LoadSource) {
        self.peer_loads.remove(&source);
    }

    pub fn set_reported_load(&mut self, now: Instant, load: ReportedLoad) {
        self.reported_load = Some((load, now));
    }

    /// Returns the load of all hosts, this one included.
    pub fn load(&self, now: Instant) -> HostLoad {
        self.total_load(now, |_| true)
    }

    /// Returns the load of this host's group, this host included.
    pub fn group_load(&self, now: Instant) -> HostLoad {
        self.total_load(now, |source| matches!(source, LoadSource::Host(_)))
    }

    fn total_load(&self, now: Instant, is_included: impl Fn(&LoadSource) -> bool) -> HostLoad {
        let is_fresh =
            |peer: &PeerLoad| now.saturating_duration_since(peer.received_at) < PEER_LOAD_TTL;
        let fresh = self.peer_loads.iter();
        let fresh = fresh.filter(|&(source, peer)| is_fresh(peer) && is_included(source));
        fresh.fold(self.own_total, |sum, (_, peer)| HostLoad {
            requests: sum.requests + peer.load.requests,
            pending_ms: sum.pending_ms + peer.load.pending_ms,
            unshared_tokens: sum.unshared_tokens + peer.load.unshared_tokens,
            output_tokens: sum.output_tokens + peer.load.output_tokens,
            non_resumable: sum.non_resumable + peer.load.non_resumable,
        })
    }

    /// Returns the number of requests at the server: the sum over all hosts, or the number that
    /// the server reported within `reported_load_ttl` if that is larger.
    pub fn request_count(&self, now: Instant, reported_load_ttl: Duration) -> u32 {
        let known = self.load(now).requests;
        let fresh = self
            .reported_load
            .filter(|(_, at)| now.saturating_duration_since(*at) < reported_load_ttl);
        fresh.map_or(known, |(load, _)| known.max(load.running + load.waiting))
    }
}

fn newest_weights(server: &BackendServer) -> WeightsVersion {
    let versions = server.models.iter().map(|(_, version)| *version);
    versions.max().unwrap_or(0)
}
