//! State of one backend server: load, cache estimates, weights version and health.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hickoryhall_routing::{Ejection, ShadowCache};
use hickoryhall_types::{TokenCount, WeightsVersion, hash_name};

use super::{GroupHash, HostHash, Ticket};
use crate::interface::ToldLoad;
use crate::registry::BackendServer;
use crate::table::EngineShape;

/// Time after which a load reported by a peer expires, because the peer may be gone.
const PEER_LOAD_TTL: Duration = Duration::from_secs(2);
/// Maximum number of prompt levels in a cache estimate of one runner.
const SHADOW_LEVELS: usize = 512;
/// Time after which a weight change without an update no longer blocks new work.
const CHANGE_LIMIT: Duration = Duration::from_secs(5);

/// Load that one request puts on its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct RequestLoad {
    /// Expected time to fetch and prefill the prompt; 0 after the first event.
    pub pending_ms: u32,
    /// Cache memory in addition to the levels shared with other requests.
    pub own_tokens: TokenCount,
    /// Cache memory for the answer; included in `own_tokens`.
    pub output_tokens: TokenCount,
    /// Whether no other server can resume it.
    pub is_bound: bool,
}

/// Load that a host, or several hosts together, put on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostLoad {
    /// Number of requests in flight.
    pub requests: u32,
    /// Expected time to fetch and prefill the prompts of requests without a first event.
    pub pending_ms: u32,
    /// Cache memory of the requests in addition to shared levels.
    pub own_tokens: u32,
    /// Cache memory for their answers; included in `own_tokens`.
    pub output_tokens: u32,
    /// Number of requests that no other server can resume.
    pub bound: u32,
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
    at: Instant,
}

/// What the scheduler knows about a backend server.
#[derive(Debug)]
pub(super) struct ServerState {
    pub server: BackendServer,
    pub name_hash: u64,
    pub ejection: Ejection,
    /// Cache estimate for the time when every prompt sent to it has been prefilled.
    pub shadow: ShadowCache,
    /// Cache estimate for now, used for transfers to other runners.
    pub held: ShadowCache,
    pub engine: Option<EngineShape>,
    own: HashMap<Ticket, RequestLoad>,
    own_sum: HostLoad,
    peers: HashMap<LoadSource, PeerLoad>,
    told: Option<(ToldLoad, Instant)>,
    weights: WeightsVersion,
    changing_since: Option<Instant>,
}

impl ServerState {
    pub fn new(server: BackendServer, engine: Option<EngineShape>) -> Self {
        let memory = engine.as_ref().map_or(0, |engine| engine.memory_tokens);
        Self {
            name_hash: hash_name(&server.id),
            ejection: Ejection::default(),
            shadow: ShadowCache::new(memory.into(), SHADOW_LEVELS),
            held: ShadowCache::new(memory.into(), SHADOW_LEVELS),
            engine,
            own: HashMap::new(),
            own_sum: HostLoad::default(),
            peers: HashMap::new(),
            told: None,
            weights: newest_weights(&server),
            changing_since: None,
            server,
        }
    }

    /// Applies a changed registry entry; a new incarnation resets the recorded state.
    pub fn update(&mut self, server: BackendServer) {
        if server.incarnation != self.server.incarnation {
            self.shadow.clear();
            self.held.clear();
            self.ejection = Ejection::default();
            self.told = None;
            self.changing_since = None;
        }
        self.set_weights(newest_weights(&server));
        self.server = server;
    }

    /// Records a weights version reported by the runner; versions never decrease.
    pub fn set_weights(&mut self, weights: WeightsVersion) {
        if weights > self.weights {
            self.weights = weights;
            self.shadow.clear();
            self.held.clear();
            self.changing_since = None;
        }
    }

    pub fn weights(&self) -> WeightsVersion {
        self.weights
    }

    /// Records that the runner is changing its weights; repeated calls keep the first time.
    pub fn set_changing(&mut self, now: Instant) {
        self.changing_since.get_or_insert(now);
    }

    pub fn end_change(&mut self) {
        self.changing_since = None;
    }

    pub fn is_changing(&self, now: Instant) -> bool {
        self.changing_since
            .is_some_and(|since| now.saturating_duration_since(since) < CHANGE_LIMIT)
    }

    pub fn take(&mut self, ticket: Ticket, load: RequestLoad) {
        self.own.insert(ticket, load);
        self.own_sum.requests += 1;
        self.own_sum.pending_ms += load.pending_ms;
        self.own_sum.own_tokens += load.own_tokens;
        self.own_sum.output_tokens += load.output_tokens;
        self.own_sum.bound += u32::from(load.is_bound);
    }

    /// Limits the cache estimates to the memory that running requests leave free.
    pub fn fit_caches(&mut self, now: Instant) {
        let memory = self
            .engine
            .as_ref()
            .map_or(0, |engine| engine.memory_tokens);
        let left = memory.saturating_sub(self.load(now).output_tokens);
        self.shadow.set_budget(left.into());
        self.held.set_budget(left.into());
    }

    pub fn first_event(&mut self, ticket: Ticket) {
        if let Some(load) = self.own.get_mut(&ticket) {
            self.own_sum.pending_ms -= load.pending_ms;
            load.pending_ms = 0;
        }
    }

    pub fn release(&mut self, ticket: Ticket) {
        if let Some(load) = self.own.remove(&ticket) {
            self.own_sum.requests -= 1;
            self.own_sum.pending_ms -= load.pending_ms;
            self.own_sum.own_tokens -= load.own_tokens;
            self.own_sum.output_tokens -= load.output_tokens;
            self.own_sum.bound -= u32::from(load.is_bound);
        }
    }

    pub fn own_load(&self) -> HostLoad {
        self.own_sum
    }

    pub fn set_peer(&mut self, now: Instant, source: LoadSource, load: HostLoad) {
        self.peers.insert(source, PeerLoad { load, at: now });
    }

    pub fn clear_peer(&mut self, source: LoadSource) {
        self.peers.remove(&source);
    }

    pub fn observe(&mut self, now: Instant, load: ToldLoad) {
        self.told = Some((load, now));
    }

    /// Returns the load of all hosts.
    pub fn load(&self, now: Instant) -> HostLoad {
        self.sum(now, |_| true)
    }

    /// Returns the load of this host's group.
    pub fn group_load(&self, now: Instant) -> HostLoad {
        self.sum(now, |source| matches!(source, LoadSource::Host(_)))
    }

    fn sum(&self, now: Instant, counts: impl Fn(&LoadSource) -> bool) -> HostLoad {
        let is_fresh = |peer: &PeerLoad| now.saturating_duration_since(peer.at) < PEER_LOAD_TTL;
        let fresh = self.peers.iter();
        let fresh = fresh.filter(|&(source, peer)| is_fresh(peer) && counts(source));
        fresh.fold(self.own_sum, |sum, (_, peer)| HostLoad {
            requests: sum.requests + peer.load.requests,
            pending_ms: sum.pending_ms + peer.load.pending_ms,
            own_tokens: sum.own_tokens + peer.load.own_tokens,
            output_tokens: sum.output_tokens + peer.load.output_tokens,
            bound: sum.bound + peer.load.bound,
        })
    }

    /// Returns the number of requests at the server: the sum over all hosts, or the number that
    /// the server reported within `told_ttl` if that is larger.
    pub fn requests(&self, now: Instant, told_ttl: Duration) -> u32 {
        let known = self.load(now).requests;
        let fresh = self
            .told
            .filter(|(_, at)| now.saturating_duration_since(*at) < told_ttl);
        fresh.map_or(known, |(told, _)| known.max(told.running + told.waiting))
    }
}

fn newest_weights(server: &BackendServer) -> WeightsVersion {
    let versions = server.models.iter().map(|(_, version)| *version);
    versions.max().unwrap_or(0)
}
