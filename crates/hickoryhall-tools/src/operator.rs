//! Client of the operators' API, which any entry host serves.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryhall_table::{Change, Row, Table};
use hickoryhall_types::Revision;
use serde::Deserialize;
use serde_json::{Value, json};
use ureq::Agent;

/// Timeout of one call; a change may wait for a slow store.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of times that one change is sent.
const MAX_ATTEMPTS: u32 = 3;

/// The table that a host has in force, with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableSnapshot {
    /// Revision of the table, which each change increases.
    pub revision: Revision,
    /// Rows of that revision.
    pub table: Table,
}

/// A conflict: a cell that this change and a change since its base set to different values.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CellConflict {
    /// Workspace of the row.
    pub workspace: String,
    /// Target of the row.
    pub target: String,
    /// Column of the cell.
    pub column: String,
    /// Value in force; empty for an empty cell.
    pub theirs: String,
    /// Value that this change would set.
    pub ours: String,
}

/// State of one host, as collected by the host that was asked.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct HostStatus {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Revision of its table in force; `None` if the host did not respond.
    pub revision: Option<Revision>,
    /// Reason why the host did not respond.
    pub error: Option<String>,
}

/// State of the fleet, as seen by the host that was asked.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct FleetStatus {
    /// Revision in force at the host that was asked.
    pub revision: Revision,
    /// Number of times that the store offered that host a table older than the one in force.
    pub older_offers: u64,
    /// Number of live hosts.
    pub live: usize,
    /// Every host that it knows, also those that are not live.
    pub hosts: Vec<HostStatus>,
}

/// Error of a call of the operators' API.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The change conflicts with another operator's change in these cells.
    #[error("{} cells conflict with another change", .0.len())]
    Conflict(Vec<CellConflict>),
    /// The host refused the call.
    #[error("{host} refused: {message}")]
    Refused {
        /// Address of the host.
        host: SocketAddr,
        /// Message of the refusal, or the body if it has none.
        message: String,
    },
    /// The host cannot be reached or its response is invalid; a change may have taken effect.
    #[error("no valid response from {host}: {message}")]
    NoResponse {
        /// Address of the host.
        host: SocketAddr,
        /// Description of the error.
        message: String,
    },
}

#[derive(Deserialize)]
struct TableResponse {
    revision: Revision,
    rows: Vec<Row>,
}

#[derive(Deserialize)]
struct AcceptedResponse {
    revision: Revision,
}

#[derive(Deserialize)]
struct ConflictResponse {
    clashes: Vec<CellConflict>,
}

/// Client of the operators' API of one entry host.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    host: SocketAddr,
    key: String,
    agent: Agent,
}

impl OperatorClient {
    /// Creates a client that calls `host` and authenticates with the operators' key.
    #[must_use]
    pub fn new(host: SocketAddr, key: &str) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(CALL_TIMEOUT))
            .build()
            .new_agent();
        Self {
            host,
            key: key.to_owned(),
            agent,
        }
    }

    /// Returns the table in force at the host.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot be reached or refuses the call.
    pub fn table(&self) -> Result<TableSnapshot, OperatorError> {
        let body = self.get::<TableResponse>("/admin/table")?;
        Ok(TableSnapshot {
            revision: body.revision,
            table: body.rows.into_iter().collect(),
        })
    }

    /// Returns the latest changes, oldest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot be reached or refuses the call.
    pub fn history(&self) -> Result<Vec<Change>, OperatorError> {
        self.get("/admin/history")
    }

    /// Returns the state of the fleet as the host sees it.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot be reached or refuses the call.
    pub fn status(&self) -> Result<FleetStatus, OperatorError> {
        self.get("/admin/status")
    }

    /// Applies the difference between `base` and `wanted` to the table; returns the new revision.
    ///
    /// A call that gets no response is sent again with the same `id`, so that the change takes
    /// effect only once.
    ///
    /// # Errors
    ///
    /// Returns an error if cells conflict, or the host refuses the table or does not respond.
    pub fn apply(
        &self,
        id: &str,
        author: &str,
        base: &Table,
        wanted: &Table,
    ) -> Result<Revision, OperatorError> {
        let rows = |table: &Table| table.rows().cloned().collect::<Vec<_>>();
        let body = json!({"id": id, "author": author, "base": rows(base), "rows": rows(wanted)});
        let body = body.to_string();
        let mut result = self.try_apply(&body);
        for _ in 1..MAX_ATTEMPTS {
            if !matches!(result, Err(OperatorError::NoResponse { .. })) {
                break;
            }
            result = self.try_apply(&body);
        }
        result
    }

    fn try_apply(&self, body: &str) -> Result<Revision, OperatorError> {
        let call = self
            .agent
            .post(self.url("/admin/table"))
            .header("Authorization", self.bearer());
        let (status, text) = self.read(call.send(body))?;
        match status {
            200 => Ok(self.parse::<AcceptedResponse>(&text)?.revision),
            409 => Err(OperatorError::Conflict(
                self.parse::<ConflictResponse>(&text)?.clashes,
            )),
            _ => Err(self.refused(&text)),
        }
    }

    fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, OperatorError> {
        let call = self
            .agent
            .get(self.url(path))
            .header("Authorization", self.bearer());
        match self.read(call.call())? {
            (200, text) => self.parse(&text),
            (_, text) => Err(self.refused(&text)),
        }
    }

    fn read(
        &self,
        result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<(u16, String), OperatorError> {
        let response = result.map_err(|error| self.no_response(&error.to_string()))?;
        let status = response.status().as_u16();
        let text = response
            .into_body()
            .with_config()
            .limit(64 << 20)
            .read_to_string();
        Ok((
            status,
            text.map_err(|error| self.no_response(&error.to_string()))?,
        ))
    }

    fn parse<T: serde::de::DeserializeOwned>(&self, text: &str) -> Result<T, OperatorError> {
        serde_json::from_str(text).map_err(|error| self.no_response(&error.to_string()))
    }

    fn refused(&self, text: &str) -> OperatorError {
        let body = serde_json::from_str::<Value>(text).unwrap_or_default();
        let message = body["message"].as_str().unwrap_or(text).to_owned();
        OperatorError::Refused {
            host: self.host,
            message,
        }
    }

    fn no_response(&self, message: &str) -> OperatorError {
        OperatorError::NoResponse {
            host: self.host,
            message: message.to_owned(),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.host)
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.key)
    }
}
