//! Operators' side of the table, through any entry host.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryhall_table::{Change, Row, Table};
use hickoryhall_types::Revision;
use serde::Deserialize;
use serde_json::{Value, json};
use ureq::Agent;

/// Time for one call; a change may wait for a slow store.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Tries of a call under the same id.
const TRIES: u32 = 3;

/// A table with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableAt {
    /// Revision.
    pub revision: Revision,
    /// Table.
    pub table: Table,
}

/// A cell that others changed meanwhile.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ClashCell {
    /// Workspace of the row.
    pub workspace: String,
    /// Target of the row.
    pub target: String,
    /// Column.
    pub column: String,
    /// Value now.
    pub theirs: String,
    /// Value asked for.
    pub ours: String,
}

/// State of one host.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct HostState {
    /// Name.
    pub host: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Revision in force, if the host answered.
    pub revision: Option<Revision>,
    /// Why it did not answer.
    pub error: Option<String>,
}

/// State of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct FleetState {
    /// Revision in force at the host that was asked.
    pub revision: Revision,
    /// Times that the store offered an older table to that host.
    pub older_offers: u64,
    /// Live hosts.
    pub live: usize,
    /// Every known host.
    pub hosts: Vec<HostState>,
}

/// An operator's call that failed.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// Cells clash with another operator's change.
    #[error("{} cells clash with another change", .0.len())]
    Clash(Vec<ClashCell>),
    /// The host refused.
    #[error("{host} refused: {message}")]
    Refused {
        /// Host.
        host: SocketAddr,
        /// Answer.
        message: String,
    },
    /// The host cannot be reached or answered nonsense; a change may have taken effect.
    #[error("{host}: {message}")]
    NoAnswer {
        /// Host.
        host: SocketAddr,
        /// What was seen.
        message: String,
    },
}

#[derive(Deserialize)]
struct TableBody {
    revision: Revision,
    rows: Vec<Row>,
}

#[derive(Deserialize)]
struct AcceptedBody {
    revision: Revision,
}

#[derive(Deserialize)]
struct ClashBody {
    clashes: Vec<ClashCell>,
}

/// Client of one entry host's operators' interface.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    host: SocketAddr,
    key: String,
    agent: Agent,
}

impl OperatorClient {
    /// Creates a client.
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

    /// Reads the table in force.
    ///
    /// # Errors
    ///
    /// Returns an error where the host cannot be reached or refuses.
    pub fn table(&self) -> Result<TableAt, OperatorError> {
        let body = self.get::<TableBody>("/admin/table")?;
        Ok(TableAt {
            revision: body.revision,
            table: body.rows.into_iter().collect(),
        })
    }

    /// Reads the latest changes.
    ///
    /// # Errors
    ///
    /// Returns an error where the host cannot be reached or refuses.
    pub fn history(&self) -> Result<Vec<Change>, OperatorError> {
        self.get("/admin/history")
    }

    /// Reads the state of the fleet.
    ///
    /// # Errors
    ///
    /// Returns an error where the host cannot be reached or refuses.
    pub fn status(&self) -> Result<FleetState, OperatorError> {
        self.get("/admin/status")
    }

    /// Makes `wanted`, which was made from `base`, the table; returns the revision of the change.
    ///
    /// A call that gets no answer is repeated under the same `id`, which takes effect once.
    ///
    /// # Errors
    ///
    /// Returns an error where cells clash, the sheet is wrong or no host answers.
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
        let mut result = self.apply_once(&body);
        for _ in 1..TRIES {
            if !matches!(result, Err(OperatorError::NoAnswer { .. })) {
                break;
            }
            result = self.apply_once(&body);
        }
        result
    }

    fn apply_once(&self, body: &str) -> Result<Revision, OperatorError> {
        let call = self
            .agent
            .post(self.url("/admin/table"))
            .header("Authorization", self.bearer());
        let (status, text) = self.read(call.send(body))?;
        match status {
            200 => Ok(self.parse::<AcceptedBody>(&text)?.revision),
            409 => Err(OperatorError::Clash(
                self.parse::<ClashBody>(&text)?.clashes,
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
        let response = result.map_err(|error| self.no_answer(&error.to_string()))?;
        let status = response.status().as_u16();
        let text = response
            .into_body()
            .with_config()
            .limit(64 << 20)
            .read_to_string();
        Ok((
            status,
            text.map_err(|error| self.no_answer(&error.to_string()))?,
        ))
    }

    fn parse<T: serde::de::DeserializeOwned>(&self, text: &str) -> Result<T, OperatorError> {
        serde_json::from_str(text).map_err(|error| self.no_answer(&error.to_string()))
    }

    fn refused(&self, text: &str) -> OperatorError {
        let body = serde_json::from_str::<Value>(text).unwrap_or_default();
        let message = body["message"].as_str().unwrap_or(text).to_owned();
        OperatorError::Refused {
            host: self.host,
            message,
        }
    }

    fn no_answer(&self, message: &str) -> OperatorError {
        OperatorError::NoAnswer {
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
