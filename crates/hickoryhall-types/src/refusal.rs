//! The one error that callers see.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a refused request ran on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It certainly did not run.
    No,
    /// It ran.
    Yes,
    /// Nobody can tell.
    Unknown,
}

/// Step of the request path at which an error arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Reading the caller's request.
    Read,
    /// Matching the key to a workspace.
    Authenticate,
    /// Limits and fair shares.
    Admission,
    /// Choosing a backend server.
    Placement,
    /// Creating or reading the claim of a request that may run once.
    Claim,
    /// Sending to the backend server.
    Send,
    /// Reading the answer of the backend server.
    Answer,
    /// Reading or writing the table.
    Table,
}

/// Reason for a refusal; part of the interface to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is malformed.
    BadRequest,
    /// The body, prompt or a header is too large.
    TooLarge,
    /// The key names no workspace.
    UnknownKey,
    /// The table has no such model or service for this workspace.
    UnknownTarget,
    /// A limit of the workspace's row is reached.
    LimitReached,
    /// The fleet is full and the workspace is over its share.
    Overloaded,
    /// The deadline passed.
    DeadlineExceeded,
    /// No backend server can be reached.
    NoBackend,
    /// The request ended several backend servers that ran it.
    Suspect,
    /// The backend server failed.
    BackendFailed,
    /// The platform's store could not be reached, and the request needs it.
    StoreUnavailable,
    /// Another attempt owns the idempotency key.
    AlreadyClaimed,
    /// The host is shutting down or has no table yet.
    NotReady,
    /// The table change clashes with another one.
    Conflict,
}

impl RefusalCode {
    /// Returns the HTTP status for this code.
    #[must_use]
    pub fn http_status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::TooLarge => 413,
            Self::UnknownKey => 401,
            Self::UnknownTarget => 404,
            Self::AlreadyClaimed | Self::Conflict => 409,
            Self::Suspect => 422,
            Self::LimitReached => 429,
            Self::BackendFailed => 502,
            Self::Overloaded | Self::NoBackend | Self::StoreUnavailable | Self::NotReady => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}

/// A refusal: code, step, peer, and whether the request ran.
///
/// `ran: No` is a promise to the caller, so [`Refusal::new`] starts there and only a step that
/// has sent something to a backend server raises it with [`Refusal::ran`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{code:?} at {step:?}: {message}")]
pub struct Refusal {
    /// Why the request was refused.
    pub code: RefusalCode,
    /// Where it was refused.
    pub step: Step,
    /// The peer at which the error arose, empty for this host.
    pub peer: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// Detail for a person.
    pub message: String,
    /// When to ask again, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    #[must_use]
    pub fn new(code: RefusalCode, step: Step, message: impl Into<String>) -> Self {
        Self {
            code,
            step,
            peer: String::new(),
            ran: Ran::No,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Sets the peer at which the error arose.
    #[must_use]
    pub fn peer(mut self, peer: impl Into<String>) -> Self {
        self.peer = peer.into();
        self
    }

    /// Sets whether the request ran.
    #[must_use]
    pub fn ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Tells the caller when to ask again.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        self
    }
}
