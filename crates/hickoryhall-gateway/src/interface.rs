//! Defines the traits by which a platform connects a gateway to callers, backend servers and the
//! store.
//!
//! The gateway makes all decisions; implementations only translate protocols and keep no state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickoryhall_limits::Urgency;
use hickoryhall_types::{
    FencingNumber, Incarnation, Ran, TargetId, TokenCount, WeightsVersion, WorkspaceId,
};
use http::{request, response};
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};

use crate::registry::{BackendServer, RegistryEntry};
use crate::table::RouteTable;

/// Part of a prompt that several requests may have in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the text of the part; equal ids stand for equal texts.
    pub id: Box<str>,
    /// Length of the part, in tokens.
    pub tokens: TokenCount,
}

/// Prompt of a model request, as its headers describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Model that the caller requested.
    pub model: TargetId,
    /// Length of the prompt, in tokens.
    pub input_tokens: TokenCount,
    /// Maximum number of tokens to generate.
    pub output_tokens: TokenCount,
    /// Parts from the start of the prompt, in order; empty if the caller declares none.
    pub parts: Vec<PromptPart>,
}

/// Contents of the head of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestMeta {
    /// Id that the caller gave to this request; a retry by the caller has another one.
    pub request_id: Arc<str>,
    /// Host name that the caller addressed, possibly with a port.
    pub host: Box<str>,
    /// Key by which the caller's workspace is found, where it sent one.
    pub key: Option<Box<str>>,
    /// Time for which the caller waits for a response, where it says so.
    pub caller_timeout: Option<Duration>,
    /// Prompt of a model request; `None` for any other request.
    pub prompt: Option<Prompt>,
    /// Number of prompt tokens and maximum number of output tokens together, where the caller states
    /// them.
    pub token_count: Option<u64>,
    /// Id of the last event that the caller received of a broken stream which it resumes.
    pub last_event_id: Option<Box<str>>,
    /// Id of the request that brought the first event of that stream, where the caller names it.
    pub resumed_request_id: Option<Arc<str>>,
}

impl RequestMeta {
    /// Returns the id of the request that brought, or will bring, the first event of the stream: an
    /// earlier one only if the caller takes its stream up.
    #[must_use]
    pub fn first_request_id(&self) -> &Arc<str> {
        let resumed = self.resumed_request_id.as_ref();
        let resumed = resumed.filter(|_| self.last_event_id.is_some());
        resumed.unwrap_or(&self.request_id)
    }
}

/// The head of a caller's request is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidHead {
    /// A required header is missing.
    #[error("header {0} is missing")]
    Missing(&'static str),
    /// A header has a value that cannot be parsed.
    #[error("header {0} has an invalid value")]
    Unreadable(&'static str),
    /// A header that may occur only once occurs several times.
    #[error("header {0} occurs more than once")]
    Repeated(&'static str),
}

/// Contents of the head of an attempt, beside what it takes over from the caller's request.
#[derive(Clone, Debug)]
pub struct AttemptPlan<'a> {
    /// Server that must handle the attempt; any other one at its address must refuse it.
    pub server: &'a BackendServer,
    /// Time left until the deadline of the request.
    pub time_left: Duration,
    /// Workspace of the caller, where its key belongs to one.
    pub workspace: Option<&'a WorkspaceId>,
    /// Salt of cached prompts, which only requests with the same salt share: the cache partition
    /// and the version of the weights. `None` for requests without a prompt.
    pub cache_salt: Option<&'a str>,
    /// Id of the event after which the stream continues.
    pub resume_after: Option<&'a str>,
    /// Version of the weights that the runner must have; `None` for requests without a prompt.
    pub expected_weights: Option<WeightsVersion>,
    /// Address of a runner or prompt cache store that has more of the prompt cached.
    pub fetch_from: Option<SocketAddr>,
    /// Address of the prompt cache store to which the runner shall save the prompt.
    pub save_to: Option<SocketAddr>,
    /// Urgency of the request among those at the runner; `None` if the runner shall treat all alike.
    pub urgency: Option<Urgency>,
}

/// Load that a backend server reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of requests that the server is processing.
    pub running: u32,
    /// Number of requests that wait at the server.
    pub waiting: u32,
    /// How long work takes at the moment, in percent of the server's usual time; `None` if the
    /// server does not tell.
    pub work_time_percent: Option<u32>,
}

/// Id that a response repeats of the request that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseId {
    /// The id of the request that was sent.
    Matching,
    /// No id.
    Missing,
    /// The id of another request.
    Other,
}

impl ResponseId {
    /// Returns the name in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Matching => "matching",
            Self::Missing => "missing",
            Self::Other => "other",
        }
    }
}

/// Contents of the head of a backend server's response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseMeta {
    /// Id of the request that the response belongs to.
    pub id: ResponseId,
    /// Whether the response has the seal of a backend server.
    pub is_sealed: bool,
    /// Whether the response is marked as coming from a server that did not run the request.
    pub says_not_run: bool,
    /// Whether the body has an encoding that the caller did not ask for, so that it is not the
    /// server's own.
    pub is_encoded: bool,
    /// Load of the server, where the response reports it.
    pub load: Option<ReportedLoad>,
    /// Version of the weights that generated the response, where the response reports it.
    pub weights: Option<WeightsVersion>,
    /// Whether the server closes the connection after the response.
    pub closes_connection: bool,
    /// Time for which the server keeps the idle connection open, where the response reports it.
    pub keep_alive: Option<Duration>,
    /// Whether the server says that it is shutting down and wants no new requests.
    pub is_leaving: bool,
    /// Time for which the server, which turned the request away, wants no others from this host.
    pub pause: Option<Duration>,
    /// Number of requests that the server takes from all hosts together.
    pub limit: StatedLimit,
    /// Number of requests that the server can turn away for want of room before it fails, from all hosts
    /// together.
    pub refusal_limit: StatedLimit,
}

/// What a response says about a number of requests at its server, those of all hosts together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedLimit {
    /// The server names none.
    #[default]
    None,
    /// Requests a second; a finite number, 0 or higher.
    PerSecond(f64),
    /// The response has a limit that is no such number.
    Unreadable,
}

/// A failure response that this host generates itself.
#[derive(Clone, Debug)]
pub struct LocalFailure {
    /// Status of the response; it must agree with `ran`.
    pub status: StatusCode,
    /// Whether the request ran, as far as this host knows.
    pub ran: Ran,
    /// Time after which the caller may send the request again, if that is useful.
    pub retry_after: Option<Duration>,
    /// Short reason, such as `no_route`, for the caller, the log and the metrics.
    pub reason: &'static str,
}

/// Reads and writes the heads of requests and responses.
pub trait HttpCodec {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error if a header is missing, invalid or ambiguous.
    fn parse_request_head(&self, head: &request::Parts) -> Result<RequestMeta, InvalidHead>;

    /// Returns the head of an attempt, with the method and path of the caller's request.
    fn attempt_head(&self, head: &request::Parts, plan: &AttemptPlan<'_>) -> Request<()>;

    /// Parses the response head of an attempt.
    fn parse_response_head(&self, head: &response::Parts, meta: &RequestMeta) -> ResponseMeta;

    /// Returns those headers of a server's response that are passed on to the caller.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Returns the response for a failure of this host; the request id is `None` where the head of
    /// the request was invalid.
    fn error_response(&self, request_id: Option<&str>, failure: &LocalFailure) -> Response<Bytes>;
}

/// Number of times that the store came back from an older copy of its contents; 0 for a store that
/// has none.
pub type StoreEra = u64;
/// Revision of the store, which grows with each change within an era.
pub type StoreRevision = u64;
/// Id of a lease that the store granted.
pub type LeaseId = u64;

/// A key in the store with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreItem {
    /// Key with its whole path.
    pub key: String,
    /// Value as stored, not parsed.
    pub value: Bytes,
    /// Revision of the last change of the item.
    pub revision: StoreRevision,
}

/// A change that a watch returns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// An item was created or changed.
    Put(StoreItem),
    /// An item was removed, or its lease ended.
    Removed {
        /// Key of the removed item.
        key: String,
        /// Revision of the removal.
        revision: StoreRevision,
    },
}

impl StoreChange {
    /// Returns the key that changed.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Put(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    /// Returns the revision of the change.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        match self {
            Self::Put(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// Items or changes with the store revision that they were read at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WithRevision<T> {
    /// Items or changes that were read.
    pub content: T,
    /// Revision after which a watch continues without missing a change.
    pub revision: StoreRevision,
}

/// Result of a call to the store, with the era that the store answered in.
#[derive(Debug)]
pub struct StoreAnswer<T> {
    /// Era that the response states, 0 if it states none; `None` if no response arrived.
    pub era: Option<StoreEra>,
    /// Result of the call.
    pub result: Result<T, StoreError>,
}

/// A write that happens only if the key is at an expected revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConditionalPut {
    /// Key to write.
    pub key: String,
    /// Value to write.
    pub value: Bytes,
    /// Revision that the key must have, 0 if it must not exist.
    pub expected_revision: StoreRevision,
    /// Lease with which the item is removed.
    pub lease: LeaseId,
}

/// A call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store no longer has the history since the revision of a watch.
    #[error("the store has compacted its history")]
    Compacted,
    /// A conditional write found the key at another revision; nothing was written.
    #[error("the key is not at the expected revision")]
    Conflict,
    /// The item or lease does not exist.
    #[error("the item or lease does not exist")]
    NotFound,
    /// The store refused the call; nothing was changed.
    #[error("the store refused the call with status {0}")]
    Refused(StatusCode),
    /// The store answered in a newer era than the one that the call belongs to: what the caller
    /// knows of revisions and leases no longer holds. A write may have been carried out.
    #[error("the store is in a newer era")]
    EraChanged,
    /// A response of an older era arrived late; a write may have been carried out.
    #[error("the response is from an older era of the store")]
    OlderEra,
    /// No response arrived; a write may have been carried out.
    #[error("no response from the store: {0}")]
    NoAnswer(String),
    /// The call could not be encoded, or the response could not be parsed.
    #[error("invalid call to the store or response from it: {0}")]
    Unreadable(String),
}

/// Calls to the store, which holds the operators' records, the registry and leases.
///
/// Implementations report the era of each response, also of one with an error status.
pub trait Store {
    /// Returns all items under a prefix.
    fn range(
        &self,
        prefix: &str,
    ) -> impl Future<Output = StoreAnswer<WithRevision<Vec<StoreItem>>>>;

    /// Returns the changes under a prefix after a revision; waits for the first one at most for
    /// `wait` and returns none if none occurs.
    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = StoreAnswer<WithRevision<Vec<StoreChange>>>>;

    /// Writes an item if its key is at the expected revision and returns its new revision.
    fn put_if(&self, put: &ConditionalPut) -> impl Future<Output = StoreAnswer<StoreRevision>>;

    /// Requests a lease, which lapses unless it is renewed within `ttl`.
    fn grant(&self, ttl: Duration) -> impl Future<Output = StoreAnswer<LeaseId>>;

    /// Renews a lease for another period of the `ttl` that it was granted for.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = StoreAnswer<()>>;

    /// Ends a lease, which removes its items.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = StoreAnswer<()>>;
}

/// A record that operators write.
#[derive(Clone, Debug)]
pub enum OperatorRecord {
    /// The routes, services and workspaces.
    Table(Box<RouteTable>),
    /// Version of the weights that the runners of one model shall have.
    DesiredVersion {
        /// Model whose runners shall have the version.
        model: TargetId,
        /// Version of the weights that the runners shall have.
        version: WeightsVersion,
    },
}

/// A record in the store is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("record {key}: {reason}")]
pub struct InvalidRecord {
    /// Key of the record.
    pub key: String,
    /// What is wrong with the record.
    pub reason: String,
}

/// Parses the records in the store.
pub trait RecordCodec {
    /// Key prefix of the operators' records.
    const OPERATOR_PREFIX: &'static str;
    /// Key prefix of the registry of backend servers.
    const REGISTRY_PREFIX: &'static str;

    /// Parses a record of the operators; returns `None` for one that does not concern hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is invalid.
    fn operator_record(&self, item: &StoreItem) -> Result<Option<OperatorRecord>, InvalidRecord>;

    /// Parses an entry of the registry.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry is invalid or describes no usable server.
    fn registry_entry(&self, item: &StoreItem) -> Result<RegistryEntry, InvalidRecord>;

    /// Returns the server id in the key of a registry entry.
    fn server_id<'a>(&self, key: &'a str) -> &'a str;
}

/// State that a runner reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerReport {
    /// Loaded models with the versions of their weights.
    pub models: Vec<(TargetId, WeightsVersion)>,
    /// Whether the runner is carrying out an order.
    pub is_busy: bool,
    /// Number of orders that the runner has accepted since its start.
    pub orders_accepted: u64,
    /// Process that reports; `None` if the report does not tell.
    pub incarnation: Option<Incarnation>,
    /// Whether the runner says that it is shutting down.
    pub is_leaving: bool,
}

/// What happens to running requests when the weights change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwitchMode {
    /// The runner completes them before it changes the weights.
    Wait,
    /// The runner breaks off their streams.
    Truncate,
    /// The runner continues them with the new weights.
    Keep,
}

/// Order to a runner to change a model's weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsOrder {
    /// Model whose weights change.
    pub model: TargetId,
    /// Version of the weights to load.
    pub version: WeightsVersion,
    /// What happens to running requests.
    pub mode: SwitchMode,
    /// Lease holder that gives the order.
    pub holder: String,
    /// Fencing number of the holder's lease.
    pub fencing: FencingNumber,
    /// Number of orders that the runner must have accepted before this one; it refuses the order as
    /// [`OrderOutcome::Busy`] if it has accepted more.
    pub expected_orders: u64,
}

/// Answer of a runner to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The runner accepted the order and carries it out.
    Accepted,
    /// The runner already has the ordered version.
    Holds,
    /// The runner is carrying out another order, or has accepted one since.
    Busy,
}

impl OrderOutcome {
    /// Returns whether the runner has the ordered version or is loading it for this order.
    #[must_use]
    pub fn is_in_effect(self) -> bool {
        match self {
            Self::Accepted | Self::Holds => true,
            Self::Busy => false,
        }
    }
}

/// A control call to a runner failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// No response arrived; an order may still be carried out.
    #[error("no response from the runner: {0}")]
    NoAnswer(String),
    /// The runner answered with an error status.
    #[error("the runner refused the call with status {0}")]
    Refused(StatusCode),
    /// The call could not be encoded, or the response could not be parsed.
    #[error("invalid call or response: {0}")]
    Unreadable(String),
}

/// Control calls to runners.
pub trait RunnerControl {
    /// Returns the state that a runner reports.
    fn report(
        &self,
        server: &BackendServer,
    ) -> impl Future<Output = Result<RunnerReport, ControlError>>;

    /// Gives an order to a runner.
    fn order(
        &self,
        server: &BackendServer,
        order: &WeightsOrder,
    ) -> impl Future<Output = Result<OrderOutcome, ControlError>>;
}

/// Everything that a gateway needs from a platform.
pub trait Platform: HttpCodec + Store + RecordCodec + RunnerControl + 'static {}

impl<T: HttpCodec + Store + RecordCodec + RunnerControl + 'static> Platform for T {}
