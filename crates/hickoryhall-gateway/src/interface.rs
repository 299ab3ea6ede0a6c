//! What a gateway needs from the outside world, as small traits that a platform implements.
//!
//! The gateway decides; implementations translate and keep no state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickoryhall_types::{FencingNumber, Ran, TargetId, TokenCount, WeightsVersion, WorkspaceId};
use http::{request, response};
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};

use crate::registry::BackendServer;
use crate::table::RouteTable;

/// Part of a prompt that requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Name of its text.
    pub id: Box<str>,
    /// Tokens.
    pub tokens: TokenCount,
}

/// Prompt of a model request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Model.
    pub model: TargetId,
    /// Tokens to read.
    pub input_tokens: TokenCount,
    /// Tokens to generate at most.
    pub output_tokens: TokenCount,
    /// Parts in order.
    pub parts: Vec<PromptPart>,
}

/// What the head of a caller's request says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Id of this try of the caller.
    pub request_id: Arc<str>,
    /// Host that the caller named.
    pub host: Box<str>,
    /// Key of the caller.
    pub key: Option<Box<str>>,
    /// Time for which the caller waits, where it says so.
    pub patience: Option<Duration>,
    /// Prompt, where it is a model request.
    pub prompt: Option<Prompt>,
    /// Last event that the caller has of a broken stream.
    pub last_event_id: Option<Box<str>>,
}

/// A head that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadHead {
    /// A header that every request needs is missing.
    #[error("header {0} is missing")]
    Missing(&'static str),
    /// A header cannot be read.
    #[error("header {0} cannot be read")]
    Unreadable(&'static str),
    /// A header stands twice with different values.
    #[error("header {0} stands twice")]
    Twice(&'static str),
}

/// What one attempt tells the backend server.
#[derive(Clone, Debug)]
pub struct AttemptPlan<'a> {
    /// The server that must answer.
    pub server: &'a BackendServer,
    /// Time that is left.
    pub time_left: Duration,
    /// Workspace of the caller.
    pub workspace: Option<&'a WorkspaceId>,
    /// Name under which cached prompts are shared.
    pub cache_salt: Option<&'a str>,
    /// Event after which the stream goes on.
    pub resume_after: Option<&'a str>,
    /// Version of the weights that the runner must have.
    pub expected_weights: Option<WeightsVersion>,
    /// Address that has more of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// Address of a store that shall keep the prompt.
    pub save_to: Option<SocketAddr>,
}

/// Load that a server tells with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ToldLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What the head of a backend server's answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// A success; its body follows.
    Success,
    /// The server ran the request and failed.
    Failure,
    /// The server did not run the request.
    NotRun,
    /// Another server has the address; the request did not run.
    WrongServer,
    /// It answers another request, or is no answer at all.
    Foreign,
}

/// The head of a backend server's answer, judged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Judged {
    /// What it means for the request.
    pub meaning: Meaning,
    /// Load that it tells.
    pub load: Option<ToldLoad>,
    /// Version of the weights that answer.
    pub weights: Option<WeightsVersion>,
    /// Whether the server ends the connection after it.
    pub is_last: bool,
    /// Time for which the server keeps the connection.
    pub keep_alive: Option<Duration>,
}

/// A failure of this host's own, as the caller shall see it.
#[derive(Clone, Debug)]
pub struct OwnFailure {
    /// Status that says the same as `ran`.
    pub status: StatusCode,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// Reason for a person.
    pub reason: &'static str,
}

/// How requests and answers are written.
pub trait Interface {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error where a header is missing, unreadable or ambiguous.
    fn read(&self, head: &request::Parts) -> Result<Ask, BadHead>;

    /// Writes the head of an attempt; method and path are the caller's.
    fn attempt(&self, head: &request::Parts, plan: &AttemptPlan<'_>) -> Request<()>;

    /// Judges the head of an answer.
    fn judge(&self, head: &response::Parts, ask: &Ask) -> Judged;

    /// Keeps those headers of an answer that go on to the caller.
    fn answer_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Writes a failure of this host's own.
    fn own_failure(&self, request_id: Option<&str>, failure: &OwnFailure) -> Response<Bytes>;
}

/// Revision of the store.
pub type StoreRevision = u64;
/// Id of a lease of the store.
pub type LeaseId = u64;

/// An item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreItem {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: StoreRevision,
}

/// A change that a watch tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreChange {
    /// An item was written.
    Put(StoreItem),
    /// An item was removed.
    Removed {
        /// Key.
        key: String,
        /// Revision of the removal.
        revision: StoreRevision,
    },
}

/// Items or changes, with the revision to go on from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AsOf<T> {
    /// Content.
    pub content: T,
    /// Revision.
    pub revision: StoreRevision,
}

/// A write under a condition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConditionalPut {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Revision that the key must have, 0 where it must not exist.
    pub expected: StoreRevision,
    /// Lease that the item ends with.
    pub lease: LeaseId,
}

/// A call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The history that a watch needs is gone.
    #[error("the store has dropped the history")]
    Compacted,
    /// The condition does not hold.
    #[error("the condition does not hold")]
    Conflict,
    /// There is no such item or lease.
    #[error("no such item or lease")]
    NotFound,
    /// The store refused the call; nothing was done.
    #[error("the store refused the call with {0}")]
    Refused(StatusCode),
    /// No answer came; a write may have been done.
    #[error("no answer from the store: {0}")]
    NoAnswer(String),
    /// The answer cannot be read.
    #[error("unreadable answer of the store: {0}")]
    Unreadable(String),
}

/// The store that holds the operators' table, the registry and leases.
pub trait Store {
    /// Reads all items under a prefix.
    fn range(&self, prefix: &str)
    -> impl Future<Output = Result<AsOf<Vec<StoreItem>>, StoreError>>;

    /// Waits for changes under a prefix after a revision, at most for `wait`.
    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<AsOf<Vec<StoreChange>>, StoreError>>;

    /// Writes under a condition and returns the item's new revision.
    fn put_if(
        &self,
        put: &ConditionalPut,
    ) -> impl Future<Output = Result<StoreRevision, StoreError>>;

    /// Takes a lease.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, StoreError>>;

    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;

    /// Ends a lease.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
}

/// A record that operators write.
#[derive(Clone, Debug)]
pub enum OperatorRecord {
    /// The routes, services and workspaces.
    Table(Box<RouteTable>),
    /// The version of a model's weights that runners shall have.
    Weights {
        /// Model.
        model: TargetId,
        /// Version.
        version: WeightsVersion,
    },
}

/// A record that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("record {key}: {reason}")]
pub struct BadRecord {
    /// Key of the record.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

/// How records in the store are written.
pub trait Records {
    /// Prefix of the operators' records.
    const OPERATOR_PREFIX: &'static str;
    /// Prefix of the registry of backend servers.
    const REGISTRY_PREFIX: &'static str;

    /// Reads a record of the operators; `None` for one that concerns nobody here.
    ///
    /// # Errors
    ///
    /// Returns an error where it cannot be read.
    fn operator_record(&self, item: &StoreItem) -> Result<Option<OperatorRecord>, BadRecord>;

    /// Reads an entry of the registry.
    ///
    /// # Errors
    ///
    /// Returns an error where it cannot be read or names no server to use.
    fn server(&self, item: &StoreItem) -> Result<BackendServer, BadRecord>;

    /// Returns the id in the key of a registry entry.
    fn server_id<'a>(&self, key: &'a str) -> &'a str;
}

/// What a runner reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerReport {
    /// Models with the versions of their weights.
    pub models: Vec<(TargetId, WeightsVersion)>,
    /// Whether it carries out an order.
    pub is_busy: bool,
    /// Orders that it has accepted since its start.
    pub orders_accepted: u64,
}

/// How requests that run are treated when the weights change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwitchMode {
    /// They finish first.
    Wait,
    /// Their streams are broken off.
    Truncate,
    /// They go on under the new weights.
    Keep,
}

/// Order to change a model's weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsOrder {
    /// Model.
    pub model: TargetId,
    /// Version.
    pub version: WeightsVersion,
    /// What becomes of requests that run.
    pub mode: SwitchMode,
    /// Host that gives the order.
    pub holder: String,
    /// Fencing number of its lease.
    pub fencing: FencingNumber,
    /// Orders that the runner must have accepted before.
    pub expected_orders: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The runner carries it out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order is being carried out, or was accepted since.
    Busy,
}

/// A runner could not be asked or ordered.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// No answer came; an order may be carried out later.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The runner refused the call.
    #[error("refused with {0}")]
    Refused(StatusCode),
    /// The answer, or the call, is not what both agreed on.
    #[error("unreadable: {0}")]
    Unreadable(String),
}

/// How runners are asked and ordered.
pub trait RunnerControl {
    /// Reads the report of a runner.
    fn report(
        &self,
        server: &BackendServer,
    ) -> impl Future<Output = Result<RunnerReport, ControlError>>;

    /// Gives an order.
    fn order(
        &self,
        server: &BackendServer,
        order: &WeightsOrder,
    ) -> impl Future<Output = Result<OrderOutcome, ControlError>>;
}

/// Everything that a gateway needs from a platform.
pub trait Platform: Interface + Store + Records + RunnerControl + 'static {}

impl<T: Interface + Store + Records + RunnerControl + 'static> Platform for T {}
