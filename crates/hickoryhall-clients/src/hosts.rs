//! Client of the platform's list of hosts and backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryhall_types::Step;
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::ClientError;
use crate::agent::{Connections, build_agent, check_status, read_json};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the list.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

/// Kind of an entry of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostListEntryKind {
    /// An entry host.
    Entry,
    /// A runner of a model.
    Runner,
    /// A server of a plain service.
    Service,
}

/// An entry of the list: a host or a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostListEntry {
    /// Name of the host or backend server.
    pub id: String,
    /// Whether the entry is an entry host, a runner or a server of a plain service.
    pub kind: HostListEntryKind,
    /// Failure domain that it runs in.
    pub failure_domain: String,
    /// Address that it listens on; for an entry host, that of the protocol between hosts.
    pub address: SocketAddr,
    /// Name of the model or service that it serves, empty for an entry host.
    #[serde(default)]
    pub target: String,
    /// Whether it is leaving and accepts no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Client of the platform's host list.
#[derive(Clone, Debug)]
pub struct HostListClient {
    address: SocketAddr,
    agent: Agent,
}

impl HostListClient {
    /// Creates a client of the host list at this address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            agent: build_agent(Connections::Reused, Some(CALL_TIMEOUT)),
        }
    }

    /// Returns the current list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform is unreachable, responds with an error status or sends an
    /// invalid list.
    pub fn list(&self) -> Result<Vec<HostListEntry>, ClientError> {
        let result = self
            .agent
            .get(format!("http://{}/hosts", self.address))
            .call();
        let response = check_status(Step::Placement, self.address, result)?;
        read_json(Step::Placement, self.address, response, MAX_RESPONSE_BYTES)
    }
}
