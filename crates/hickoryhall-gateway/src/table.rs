//! The routes, services and workspaces in force.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hickoryhall_types::{FailureDomainId, Revision, TargetId, TokenCount, WorkspaceId};

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    Once,
    /// It is a stream of events, which may go on at another runner where it is resumable.
    Stream {
        /// Whether another runner may go on after the last event.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Tells whether a request may be sent again after it may have run.
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

    /// Tells whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Box<str>,
    /// Beginning of the paths.
    pub path_prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Services and their weights.
    pub targets: Vec<(TargetId, u32)>,
    /// Backend servers that one request may be sent to.
    pub attempts: u32,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time in which an answer is of full use.
    pub target_latency: Duration,
    /// Longest pause between events that is of full use.
    pub target_gap: Duration,
    /// Urgency, 0 first.
    pub rank: u8,
    /// Whether it needs no key.
    pub is_public: bool,
}

/// A model service's runners.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineShape {
    /// Requests that a runner batches.
    pub slots: u32,
    /// Tokens of its memory.
    pub memory_tokens: TokenCount,
    /// Bytes that one token of memory takes on its way to another runner.
    pub token_bytes: f64,
    /// Rate of the links between runners, in megabits per second.
    pub link_mbps: f64,
}

/// A store of cached prompts beside the runners.
#[derive(Clone, Debug, PartialEq)]
pub struct KeepInfo {
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: FailureDomainId,
    /// Tokens that it holds.
    pub memory_tokens: u64,
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceInfo {
    /// Shape of its runners, where it serves models.
    pub engine: Option<EngineShape>,
    /// Where it is a store of cached prompts.
    pub keep: Option<KeepInfo>,
    /// Connections that one backend server takes.
    pub connection_limit: u32,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name.
    pub id: WorkspaceId,
    /// Keys of its callers.
    pub keys: Vec<Box<str>>,
    /// Urgency, 0 first; it goes before that of routes.
    pub rank: Option<u8>,
    /// Whether it shares no cached prompts.
    pub is_isolated: bool,
}

/// Limits of what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time for a body to arrive.
    pub read: Duration,
    /// Time for which a connection may stay idle.
    pub idle: Duration,
}

/// Parts of a table, as its source gives them.
#[derive(Clone, Debug)]
pub struct TableParts {
    /// Number of the table.
    pub revision: Revision,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<TargetId, ServiceInfo>,
    /// Workspaces; empty where callers need no key.
    pub workspaces: Vec<Workspace>,
    /// Limits of callers.
    pub limits: CallerLimits,
}

/// The table in force, with its indexes.
#[derive(Clone, Debug)]
pub struct RouteTable {
    revision: Revision,
    routes: Vec<Arc<Route>>,
    by_host: HashMap<Box<str>, Vec<usize>>,
    services: HashMap<TargetId, ServiceInfo>,
    workspaces: Vec<Arc<Workspace>>,
    by_key: HashMap<Box<str>, usize>,
    limits: CallerLimits,
}

impl From<TableParts> for RouteTable {
    fn from(parts: TableParts) -> Self {
        let routes = parts.routes.into_iter().map(Arc::new).collect::<Vec<_>>();
        let mut by_host = HashMap::<Box<str>, Vec<usize>>::new();
        for (index, route) in routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase().into_boxed_str();
            by_host.entry(host).or_default().push(index);
        }
        for indexes in by_host.values_mut() {
            indexes.sort_by_key(|&index| std::cmp::Reverse(routes[index].path_prefix.len()));
        }
        let workspaces = parts.workspaces.into_iter().map(Arc::new);
        let workspaces = workspaces.collect::<Vec<_>>();
        let keys = workspaces
            .iter()
            .enumerate()
            .flat_map(|(index, workspace)| {
                let keys = workspace.keys.iter();
                keys.map(move |key| (key.clone(), index))
            });
        Self {
            revision: parts.revision,
            by_key: keys.collect(),
            by_host,
            routes,
            services: parts.services,
            workspaces,
            limits: parts.limits,
        }
    }
}

impl RouteTable {
    /// Returns the number of the table.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the route of a host and path: the one with the longest prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let indexes = self.by_host.get(name.to_ascii_lowercase().as_str())?;
        let routes = indexes.iter().map(|&index| &self.routes[index]);
        routes
            .into_iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the workspace that a key belongs to.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.by_key.get(key).map(|&index| &self.workspaces[index])
    }

    /// Tells whether callers of routes that are not public need a key.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        !self.workspaces.is_empty()
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceInfo> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = (&TargetId, &ServiceInfo)> {
        self.services.iter()
    }

    /// Returns the limits of callers.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }
}

impl Route {
    /// Returns the service for a request, by the weights and the request's hash.
    #[must_use]
    pub fn target(&self, request_hash: u64) -> Option<&TargetId> {
        let total = self.targets.iter().map(|(_, weight)| u64::from(*weight));
        let total = total.sum::<u64>();
        if total == 0 {
            return self.targets.first().map(|(service, _)| service);
        }
        let mut place = request_hash % total;
        for (service, weight) in &self.targets {
            if place < u64::from(*weight) {
                return Some(service);
            }
            place -= u64::from(*weight);
        }
        None
    }
}
