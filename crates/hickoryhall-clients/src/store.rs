//! Client of the store, which is the platform's key-value service.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryhall_types::Step;
use serde::Deserialize;
use ureq::Agent;

use crate::agent::{Connections, build_agent, check_status, read_json};
use crate::{ClientError, ClientErrorKind};

/// Revision of the store, which grows with each change; 0 stands for a key that does not exist.
pub type StoreRevision = u64;
/// Id of a lease, assigned by the store.
pub type LeaseId = u64;

/// Timeout of a call other than a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time added to the wait of a watch to get its timeout.
const WATCH_MARGIN: Duration = Duration::from_secs(2);
/// Maximum size of a response that contains values.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Condition under which a put takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutCondition {
    /// No condition.
    Always,
    /// The key does not exist.
    Absent,
    /// The key has this revision.
    Revision(StoreRevision),
}

/// A value in the store with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct StoredValue {
    /// Stored text.
    pub value: String,
    /// Store revision of the last change of this key.
    pub revision: StoreRevision,
}

/// Response to a watch; `changed` is empty if the wait ended first.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct WatchResponse {
    /// Revision of the store when it responded.
    pub revision: StoreRevision,
    /// Changed keys with their values.
    pub changed: Vec<WatchedKey>,
}

/// A key that changed, with its value.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct WatchedKey {
    /// Full key, the watched prefix included.
    pub key: String,
    /// Stored text.
    pub value: String,
    /// Store revision of the change.
    pub revision: StoreRevision,
}

#[derive(Deserialize)]
struct PutResponse {
    revision: StoreRevision,
}

#[derive(Deserialize)]
struct LeaseResponse {
    lease: LeaseId,
}

/// Client of the store at one address.
#[derive(Clone, Debug)]
pub struct StoreClient {
    address: SocketAddr,
    agent: Agent,
}

impl StoreClient {
    /// Creates a client of the store at this address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            agent: build_agent(Connections::Reused, Some(CALL_TIMEOUT)),
        }
    }

    /// Returns the address of the store.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the value of a key, or `None` if the key does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unreachable or responds with an error status.
    pub fn get(&self, key: &str) -> Result<Option<StoredValue>, ClientError> {
        let result = self.agent.get(self.url(&format!("/v1/kv/{key}"))).call();
        match check_status(Step::Table, self.address, result) {
            Ok(response) => {
                read_json(Step::Table, self.address, response, MAX_RESPONSE_BYTES).map(Some)
            }
            Err(ClientError {
                kind: ClientErrorKind::Status { status: 404, .. },
                ..
            }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Writes a value if `condition` holds and returns its revision.
    ///
    /// With a lease, the store deletes the key when the lease expires.
    ///
    /// # Errors
    ///
    /// Returns a [`ClientErrorKind::Conflict`] if the condition does not hold. After any other error
    /// the write may have taken effect; [`ClientError::is_in_doubt`] tells whether this is possible.
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
        let response = check_status(Step::Table, self.address, result)?;
        let parsed = read_json::<PutResponse>(Step::Table, self.address, response, 1 << 10)?;
        Ok(parsed.revision)
    }

    /// Deletes a key.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unreachable or responds with an error status.
    pub fn delete(&self, key: &str) -> Result<(), ClientError> {
        let result = self.agent.delete(self.url(&format!("/v1/kv/{key}"))).call();
        check_status(Step::Table, self.address, result).map(drop)
    }

    /// Requests a lease that expires after `ttl` unless it is renewed.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unreachable or responds with an error status.
    pub fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, ClientError> {
        let body = format!("{{\"ttl_ms\":{}}}", ttl.as_millis());
        let result = self.agent.post(self.url("/v1/lease")).send(body);
        let response = check_status(Step::Table, self.address, result)?;
        let parsed = read_json::<LeaseResponse>(Step::Table, self.address, response, 1 << 10)?;
        Ok(parsed.lease)
    }

    /// Renews a lease for its full duration.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease has expired or the store is unreachable.
    pub fn renew_lease(&self, lease: LeaseId) -> Result<(), ClientError> {
        let url = self.url(&format!("/v1/lease/renew?lease={lease}"));
        check_status(Step::Table, self.address, self.agent.post(url).send_empty()).map(drop)
    }

    /// Waits until a key with this prefix changes after the revision `after`, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is unreachable or responds with an error status.
    pub fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<WatchResponse, ClientError> {
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
        let response = check_status(Step::Table, self.address, call.call())?;
        read_json(Step::Table, self.address, response, MAX_RESPONSE_BYTES)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}
