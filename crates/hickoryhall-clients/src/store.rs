//! Client of the platform's key-value service.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryhall_types::Step;
use serde::Deserialize;
use ureq::Agent;

use crate::agent::{Connections, accept, agent, read_json};
use crate::{ClientError, ClientErrorKind};

/// Number of a change of the store.
pub type StoreRevision = u64;
/// Id of a lease.
pub type LeaseId = u64;

/// Time that a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a watch may take longer than it waits.
const WATCH_MARGIN: Duration = Duration::from_secs(2);
/// Largest answer.
const ANSWER_LIMIT_BYTES: u64 = 16 << 20;

/// When a put takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutCondition {
    /// Always.
    Always,
    /// Only while the key does not exist.
    Absent,
    /// Only while the key's revision is this one.
    Revision(StoreRevision),
}

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct StoredValue {
    /// Content.
    pub value: String,
    /// Revision of the last change of this key.
    pub revision: StoreRevision,
}

/// Keys that changed.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct WatchAnswer {
    /// Revision of the store.
    pub revision: StoreRevision,
    /// Changed keys with their values.
    pub changed: Vec<WatchedKey>,
}

/// A changed key.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct WatchedKey {
    /// Key.
    pub key: String,
    /// Content.
    pub value: String,
    /// Revision of the change.
    pub revision: StoreRevision,
}

#[derive(Deserialize)]
struct PutAnswer {
    revision: StoreRevision,
}

#[derive(Deserialize)]
struct GrantAnswer {
    lease: LeaseId,
}

/// Client of one store.
#[derive(Clone, Debug)]
pub struct StoreClient {
    address: SocketAddr,
    agent: Agent,
}

impl StoreClient {
    /// Creates a client.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            agent: agent(Connections::Kept, Some(CALL_TIMEOUT)),
        }
    }

    /// Returns the address of the store.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reads a value.
    ///
    /// # Errors
    ///
    /// Returns an error where the store cannot be reached or refuses.
    pub fn get(&self, key: &str) -> Result<Option<StoredValue>, ClientError> {
        let result = self.agent.get(self.url(&format!("/v1/kv/{key}"))).call();
        match accept(Step::Table, self.address, result) {
            Ok(response) => {
                read_json(Step::Table, self.address, response, ANSWER_LIMIT_BYTES).map(Some)
            }
            Err(ClientError {
                kind: ClientErrorKind::Status { status: 404, .. },
                ..
            }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes a value and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientErrorKind::Conflict`] where the condition does not hold. After another
    /// error the write may have taken effect, as [`ClientError::is_in_doubt`] says.
    pub fn put(
        &self,
        key: &str,
        value: &str,
        condition: PutCondition,
        lease: Option<LeaseId>,
    ) -> Result<StoreRevision, ClientError> {
        let condition = match condition {
            PutCondition::Always => String::new(),
            PutCondition::Absent => "if_revision=0".to_owned(),
            PutCondition::Revision(revision) => format!("if_revision={revision}"),
        };
        let lease = lease.map(|id| format!("&lease={id}")).unwrap_or_default();
        let url = self.url(&format!("/v1/kv/{key}?{condition}{lease}"));
        let result = self.agent.put(url).send(value);
        let response = accept(Step::Table, self.address, result)?;
        let answer = read_json::<PutAnswer>(Step::Table, self.address, response, 1 << 10)?;
        Ok(answer.revision)
    }

    /// Removes a key.
    ///
    /// # Errors
    ///
    /// Returns an error where the store cannot be reached or refuses.
    pub fn delete(&self, key: &str) -> Result<(), ClientError> {
        let result = self.agent.delete(self.url(&format!("/v1/kv/{key}"))).call();
        accept(Step::Table, self.address, result).map(drop)
    }

    /// Asks for a lease.
    ///
    /// # Errors
    ///
    /// Returns an error where the store cannot be reached or refuses.
    pub fn grant(&self, ttl: Duration) -> Result<LeaseId, ClientError> {
        let body = format!("{{\"ttl_ms\":{}}}", ttl.as_millis());
        let result = self.agent.post(self.url("/v1/lease")).send(body);
        let response = accept(Step::Table, self.address, result)?;
        let answer = read_json::<GrantAnswer>(Step::Table, self.address, response, 1 << 10)?;
        Ok(answer.lease)
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Returns an error where the lease has lapsed or the store cannot be reached.
    pub fn renew(&self, lease: LeaseId) -> Result<(), ClientError> {
        let url = self.url(&format!("/v1/lease/renew?lease={lease}"));
        accept(Step::Table, self.address, self.agent.post(url).send_empty()).map(drop)
    }

    /// Waits until a key below a prefix changes after a revision, or the time is over.
    ///
    /// # Errors
    ///
    /// Returns an error where the store cannot be reached or refuses.
    pub fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<WatchAnswer, ClientError> {
        let wait_ms = wait.as_millis();
        let url = self.url(&format!(
            "/v1/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}"
        ));
        let call = self
            .agent
            .get(url)
            .config()
            .timeout_global(Some(wait + WATCH_MARGIN))
            .build();
        let response = accept(Step::Table, self.address, call.call())?;
        read_json(Step::Table, self.address, response, ANSWER_LIMIT_BYTES)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}
