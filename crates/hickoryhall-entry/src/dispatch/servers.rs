//! Backend servers, as the platform lists them and as they describe themselves.

use std::net::SocketAddr;

use hickoryhall_clients::{HostListEntry, HostListEntryKind};
use hickoryhall_types::{FailureDomainId, TargetId, WeightsVersion};

/// Kind of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerKind {
    /// Runs a model.
    Runner,
    /// Serves a plain service.
    Service,
}

/// Entry of the platform's list for a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Name, unique in the fleet.
    pub id: std::sync::Arc<str>,
    /// Whether it is a runner or serves a plain service.
    pub kind: ServerKind,
    /// Failure domain that it runs in.
    pub domain: FailureDomainId,
    /// Address that requests and load queries are sent to.
    pub address: SocketAddr,
    /// Name of the model or service that it serves.
    pub target: TargetId,
    /// Whether the platform is about to remove it, so that it gets no new requests.
    pub leaving: bool,
}

impl Server {
    /// Creates a server from an entry of the platform's list; returns `None` for an entry host.
    #[must_use]
    pub fn from_listed(entry: &HostListEntry) -> Option<Self> {
        let kind = match entry.kind {
            HostListEntryKind::Entry => return None,
            HostListEntryKind::Runner => ServerKind::Runner,
            HostListEntryKind::Service => ServerKind::Service,
        };
        Some(Self {
            id: entry.id.as_str().into(),
            kind,
            domain: entry.failure_domain.as_str().into(),
            address: entry.address,
            target: entry.target.as_str().into(),
            leaving: entry.leaving,
        })
    }
}

/// State of a runner according to its latest report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerState {
    /// Entry of the platform's list for the runner.
    pub server: Server,
    /// Weights version that it serves; 0 while it loads one.
    pub weights: WeightsVersion,
    /// Whether it accepts new requests.
    pub is_available: bool,
}
