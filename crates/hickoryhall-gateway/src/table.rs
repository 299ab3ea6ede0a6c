//! Defines the table of routes, services and workspaces and its lookups.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hickoryhall_types::{
    FailureDomainId, Revision, TargetId, TokenCount, WorkspaceId, hash_name, rendezvous_score,
};

/// Rank of a route or workspace among others; 0 is the most urgent.
pub type Rank = u64;

/// Whether and how a request of a route may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    Once,
    /// The response is a stream of events.
    Stream {
        /// Whether another runner may continue the stream after the last event.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may be sent again after it may have run.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        !matches!(
            self,
            Self::Once
                | Self::Stream {
                    is_resumable: false
                }
        )
    }

    /// Returns whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Requests to one host and path prefix, and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, as logged.
    pub name: Arc<str>,
    /// Host name in the requests, without a port; its case does not matter.
    pub host: Box<str>,
    /// Prefix of the request paths; among several that match, the longest wins.
    pub path_prefix: Box<str>,
    /// Whether and how requests may be repeated.
    pub kind: RouteKind,
    /// Services and the weights by which requests are split among them.
    pub targets: Vec<(TargetId, u32)>,
    /// Maximum number of backend servers that may run one request.
    pub attempts: u32,
    /// Longest time from the arrival of a request to its final response.
    pub timeout: Duration,
    /// Latency up to which a response has its full value to the caller.
    pub target_latency: Duration,
    /// Pause between events up to which a stream has its full value to the caller.
    pub target_gap: Duration,
    /// Urgency among requests of workspaces with equal priority; 0 is the most urgent.
    pub priority: Rank,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// Capacity of each runner of a model service.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerCapacity {
    /// Requests that a runner processes in one batch.
    pub slots: u32,
    /// Capacity of a runner's KV cache, in tokens.
    pub kv_cache_tokens: TokenCount,
    /// Bytes transferred to another runner per cached token.
    pub kv_token_bytes: f64,
    /// Bandwidth of the links between runners, in megabits per second.
    pub link_mbps: f64,
}

/// A prompt cache store.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptCacheStoreInfo {
    /// Address at which runners reach the store.
    pub address: SocketAddr,
    /// Failure domain of the store.
    pub domain: FailureDomainId,
    /// Capacity of the store, in tokens.
    pub capacity_tokens: u64,
}

/// What the table says of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceInfo {
    /// Capacity of its runners; `None` for a service that does not serve a model.
    pub runner_capacity: Option<RunnerCapacity>,
    /// Address and capacity of a prompt cache store; `None` for any other service.
    pub prompt_cache_store: Option<PromptCacheStoreInfo>,
    /// Maximum number of connections to one backend server.
    pub connection_limit: u32,
}

/// What a request counts towards the quota of its workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaUnit {
    /// Each request counts 1.
    Requests,
    /// A request counts its prompt tokens and the maximum number of output tokens.
    Tokens {
        /// Tokens of a request that states none.
        unstated: f64,
    },
}

impl QuotaUnit {
    /// Returns the units of a request with the number of tokens that it states.
    #[must_use]
    pub fn units(self, tokens: Option<u64>) -> f64 {
        match self {
            Self::Requests => 1.0,
            Self::Tokens { unstated } => tokens.map_or(unstated, |tokens| tokens as f64),
        }
    }
}

/// Limit on what the callers of a workspace use, at all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units per second; positive.
    pub rate_per_s: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// What a request counts.
    pub unit: QuotaUnit,
}

/// A customer whose callers share keys and a priority.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub id: WorkspaceId,
    /// Keys that identify its callers.
    pub keys: Vec<Box<str>>,
    /// Urgency, 0 is the most urgent; it takes precedence over the priority of the route. A
    /// workspace without one comes last.
    pub priority: Option<Rank>,
    /// Whether it has a cache partition of its own instead of the shared one.
    pub is_isolated: bool,
    /// Limit on what its callers use; `None` for no limit.
    pub quota: Option<Quota>,
}

/// Limits on the size and duration of callers' requests. The default is for a table whose limits cannot be
/// read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Entry of a table that could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableEntry {
    /// Path of the entry, such as `routes.chat`.
    pub path: String,
    /// Why it could not be read, without secrets.
    pub reason: String,
}

/// Requests to one host and path prefix, whose route could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePlace {
    /// Host name in the requests, without a port; its case does not matter.
    pub host: Box<str>,
    /// Prefix of the request paths.
    pub path_prefix: Box<str>,
}

/// What could not be read of a table, and what that means for the lookups.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Omissions {
    /// The entries.
    pub entries: Vec<UnreadableEntry>,
    /// Places of unreadable routes. Their requests belong to no other route.
    pub places: Vec<RoutePlace>,
    /// Whether there are routes whose place could not be read.
    pub has_unplaced_routes: bool,
    /// Keys of unreadable workspaces.
    pub keys: Vec<Box<str>>,
    /// Whether there are keys that could not be read.
    pub has_unknown_keys: bool,
}

/// Why a lookup finds nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotFound {
    /// The table has no such entry.
    Missing,
    /// The table has, or may have, such an entry, but it could not be read.
    Unreadable,
}

impl NotFound {
    fn new(may_be_unreadable: bool) -> Self {
        if may_be_unreadable {
            Self::Unreadable
        } else {
            Self::Missing
        }
    }
}

/// Contents of a table before its indexes are built.
#[derive(Clone, Debug)]
pub struct TableParts {
    /// Revision of the table; a newer table has a higher one.
    pub revision: Revision,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<TargetId, ServiceInfo>,
    /// Workspaces; empty where callers need no key.
    pub workspaces: Vec<Workspace>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// What could not be read.
    pub omissions: Omissions,
}

/// A path prefix of a host.
#[derive(Clone, Debug)]
struct PrefixEntry {
    path_prefix: Box<str>,
    /// Index of the route; `None` if it could not be read.
    route: Option<usize>,
}

/// A table of routes, services and workspaces, indexed for lookups.
#[derive(Clone, Debug)]
pub struct RouteTable {
    revision: Revision,
    routes: Vec<Arc<Route>>,
    /// Path prefixes by host, longest first.
    by_host: HashMap<Box<str>, Vec<PrefixEntry>>,
    services: HashMap<TargetId, ServiceInfo>,
    workspaces: Vec<Arc<Workspace>>,
    /// Indexes of workspaces by key; `None` for a key of an unreadable one.
    by_key: HashMap<Box<str>, Option<usize>>,
    /// Cache partition of the workspaces that are not isolated.
    common_partition: Box<str>,
    limits: CallerLimits,
    omissions: Omissions,
}

impl From<TableParts> for RouteTable {
    fn from(parts: TableParts) -> Self {
        let routes = parts.routes.into_iter().map(Arc::new).collect::<Vec<_>>();
        let omissions = parts.omissions;
        let workspaces = parts.workspaces.into_iter().map(Arc::new);
        let workspaces = workspaces.collect::<Vec<_>>();
        let keys = workspaces
            .iter()
            .enumerate()
            .flat_map(|(index, workspace)| {
                let keys = workspace.keys.iter();
                keys.map(move |key| (key.clone(), Some(index)))
            });
        let unreadable_keys = omissions.keys.iter().map(|key| (key.clone(), None));
        Self {
            common_partition: common_partition(&workspaces),
            revision: parts.revision,
            by_key: keys.chain(unreadable_keys).collect(),
            by_host: prefixes_by_host(&routes, &omissions.places),
            routes,
            services: parts.services,
            workspaces,
            limits: parts.limits,
            omissions,
        }
    }
}

fn prefixes_by_host(
    routes: &[Arc<Route>],
    unreadable: &[RoutePlace],
) -> HashMap<Box<str>, Vec<PrefixEntry>> {
    let mut by_host = HashMap::<Box<str>, Vec<PrefixEntry>>::new();
    let mut add = |host: &str, path_prefix: &str, route| {
        let entry = PrefixEntry {
            path_prefix: path_prefix.into(),
            route,
        };
        let host = host.to_ascii_lowercase().into_boxed_str();
        by_host.entry(host).or_default().push(entry);
    };
    // At the same place, the unreadable route is found first: its kind may allow less.
    for place in unreadable {
        add(&place.host, &place.path_prefix, None);
    }
    for (index, route) in routes.iter().enumerate() {
        add(&route.host, &route.path_prefix, Some(index));
    }
    for prefixes in by_host.values_mut() {
        prefixes.sort_by_key(|entry| std::cmp::Reverse(entry.path_prefix.len()));
    }
    by_host
}

impl RouteTable {
    /// Returns the revision of the table.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the route of a host and path, the one with the longest matching prefix. The host may
    /// carry a port and be in any case.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such route, or if it could not be read.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>, NotFound> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = self.by_host.get(name.to_ascii_lowercase().as_str());
        let mut prefixes = prefixes.into_iter().flatten();
        match prefixes.find(|entry| path.starts_with(&*entry.path_prefix)) {
            Some(entry) => {
                let index = entry.route.ok_or(NotFound::Unreadable)?;
                Ok(&self.routes[index])
            }
            None => Err(NotFound::new(self.omissions.has_unplaced_routes)),
        }
    }

    /// Returns the cache partition of a workspace: its own if it is isolated, else the one that all
    /// other workspaces share.
    #[must_use]
    pub fn cache_partition(&self, workspace: Option<&Workspace>) -> String {
        match workspace {
            Some(workspace) if workspace.is_isolated => {
                format!("w{:016x}", hash_name(&workspace.id))
            }
            _ => self.common_partition.to_string(),
        }
    }

    /// Returns the workspace that a key belongs to.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such workspace, or if it or its keys could not be read.
    pub fn workspace(&self, key: &str) -> Result<&Arc<Workspace>, NotFound> {
        match self.by_key.get(key) {
            Some(index) => {
                let index = index.ok_or(NotFound::Unreadable)?;
                Ok(&self.workspaces[index])
            }
            None => Err(NotFound::new(self.omissions.has_unknown_keys)),
        }
    }

    /// Returns all workspaces in the order of the table.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.iter().map(|workspace| &**workspace)
    }

    /// Returns whether callers of routes that are not public need a key.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        !self.by_key.is_empty() || !self.workspaces.is_empty() || self.omissions.has_unknown_keys
    }

    /// Returns the service with the given name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceInfo> {
        self.services.get(name)
    }

    /// Returns all services with their names, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = (&TargetId, &ServiceInfo)> {
        self.services.iter()
    }

    /// Returns the longest timeout of a route.
    #[must_use]
    pub fn longest_timeout(&self) -> Duration {
        let timeouts = self.routes.iter().map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Returns the limits on callers' requests.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the entries that could not be read.
    #[must_use]
    pub fn unreadable_entries(&self) -> &[UnreadableEntry] {
        &self.omissions.entries
    }
}

impl Route {
    /// Returns the service for a request, chosen by its hash in proportion to the weights.
    ///
    /// Returns the first service where all weights are 0, `None` where there are no services.
    #[must_use]
    pub fn target(&self, request_hash: u64) -> Option<&TargetId> {
        let total = self.targets.iter().map(|(_, weight)| u64::from(*weight));
        let total = total.sum::<u64>();
        if total == 0 {
            return self.targets.first().map(|(service, _)| service);
        }
        let mut offset = request_hash % total;
        for (service, weight) in &self.targets {
            if offset < u64::from(*weight) {
                return Some(service);
            }
            offset -= u64::from(*weight);
        }
        None
    }
}

/// Returns the cache partition that workspaces share: another one for each set of isolated workspaces, as
/// the requests of a workspace that becomes isolated have left prompts in the one before.
fn common_partition(workspaces: &[Arc<Workspace>]) -> Box<str> {
    let isolated = workspaces.iter().filter(|workspace| workspace.is_isolated);
    let mut isolated = isolated
        .map(|workspace| hash_name(&workspace.id))
        .collect::<Vec<_>>();
    isolated.sort_unstable();
    let set = isolated.into_iter().reduce(rendezvous_score);
    set.map_or("shared".into(), |set| format!("shared{set:016x}").into())
}
