//! Backend servers as the platform lists them.

use std::net::SocketAddr;

use hickoryhall_clients::{Listed, ListedKind};
use hickoryhall_types::{FailureDomainId, TargetId, WeightsVersion};

/// What a backend server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerKind {
    /// It runs a model.
    Runner,
    /// It runs a plain service.
    Service,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Name.
    pub id: std::sync::Arc<str>,
    /// What it does.
    pub kind: ServerKind,
    /// Failure domain.
    pub domain: FailureDomainId,
    /// Address.
    pub address: SocketAddr,
    /// Model or service.
    pub target: TargetId,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}

impl Server {
    /// Takes a backend server from the platform's list; `None` for an entry host.
    #[must_use]
    pub fn from_listed(listed: &Listed) -> Option<Self> {
        let kind = match listed.kind {
            ListedKind::Entry => return None,
            ListedKind::Runner => ServerKind::Runner,
            ListedKind::Service => ServerKind::Service,
        };
        Some(Self {
            id: listed.id.as_str().into(),
            kind,
            domain: listed.failure_domain.as_str().into(),
            address: listed.address,
            target: listed.target.as_str().into(),
            leaving: listed.leaving,
        })
    }
}

/// A runner as it last described itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerState {
    /// The runner.
    pub server: Server,
    /// Weights version that it serves, 0 while it loads one.
    pub weights: WeightsVersion,
    /// Whether it takes new work.
    pub takes_work: bool,
}
