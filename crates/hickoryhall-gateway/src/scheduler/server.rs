//! What a host knows of one backend server: its load, cached prompts, weights and health.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hickoryhall_routing::{Ejection, ShadowCache};
use hickoryhall_types::{TokenCount, WeightsVersion, hash_name};

use super::{GroupHash, HostHash, Ticket};
use crate::interface::ToldLoad;
use crate::registry::BackendServer;
use crate::table::EngineShape;

/// Time after which what another host told of its load is void, as that host may be gone.
const PEER_LOAD_TTL: Duration = Duration::from_secs(2);
/// Prompt levels remembered of one runner.
const SHADOW_LEVELS: usize = 512;
/// Time for which a runner that was ordered to change its weights gets no work without news.
const CHANGE_LIMIT: Duration = Duration::from_secs(5);

/// Load of a request at its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct RequestLoad {
    /// Time that reading its prompt takes, until the first event.
    pub pending_ms: u32,
    /// Memory beside what it shares with others.
    pub own_tokens: TokenCount,
    /// Memory for what it generates, a part of its own.
    pub output_tokens: TokenCount,
    /// Whether it cannot go on at another server.
    pub is_bound: bool,
}

/// Load of one host at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostLoad {
    /// Requests in flight.
    pub requests: u32,
    /// Time that reading prompts takes.
    pub pending_ms: u32,
    /// Memory of the requests beside what they share.
    pub own_tokens: u32,
    /// Memory for what they generate, a part of their own.
    pub output_tokens: u32,
    /// Requests that cannot go on at another server.
    pub bound: u32,
}

/// Whose load other hosts told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LoadSource {
    /// That of one host of this one's group.
    Host(HostHash),
    /// That of all hosts of another group.
    Group(GroupHash),
}

#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    load: HostLoad,
    at: Instant,
}

/// A backend server as the scheduler sees it.
#[derive(Debug)]
pub(super) struct ServerState {
    pub server: BackendServer,
    pub name_hash: u64,
    pub ejection: Ejection,
    /// What it holds once all that was sent to it is read.
    pub shadow: ShadowCache,
    /// What it holds now, for transfers to others.
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

    /// Takes a new description; a new start of the process empties what was known.
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

    /// Records the weights that the runner answers with; they never go back.
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

    /// Records that the runner is about to change its weights.
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

    /// Fits the caches to the memory that requests leave them.
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

    /// Returns the load of all hosts together.
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

    /// Returns the requests at the server: those known of all hosts, or what it told just now.
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
