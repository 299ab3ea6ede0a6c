//! Client of the platform's list of hosts and backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryhall_types::Step;
use serde::{Deserialize, Serialize};
use ureq::Agent;

use crate::ClientError;
use crate::agent::{Connections, accept, agent, read_json};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const ANSWER_LIMIT_BYTES: u64 = 8 << 20;

/// What an entry of the list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedKind {
    /// An entry host.
    Entry,
    /// A runner of a model.
    Runner,
    /// A server of a plain service.
    Service,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Name.
    pub id: String,
    /// Kind.
    pub kind: ListedKind,
    /// Failure domain.
    pub failure_domain: String,
    /// Address; for an entry host, that of the inner protocol.
    pub address: SocketAddr,
    /// Model or service, empty for an entry host.
    #[serde(default)]
    pub target: String,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// Client of the list.
#[derive(Clone, Debug)]
pub struct HostListClient {
    address: SocketAddr,
    agent: Agent,
}

impl HostListClient {
    /// Creates a client.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            agent: agent(Connections::Kept, Some(CALL_TIMEOUT)),
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns an error where the platform cannot be reached or refuses.
    pub fn list(&self) -> Result<Vec<Listed>, ClientError> {
        let result = self
            .agent
            .get(format!("http://{}/hosts", self.address))
            .call();
        let response = accept(Step::Placement, self.address, result)?;
        read_json(Step::Placement, self.address, response, ANSWER_LIMIT_BYTES)
    }
}
