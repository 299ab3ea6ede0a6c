//! The error type that callers receive.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a refused request ran on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The request certainly did not run.
    No,
    /// The request ran.
    Yes,
    /// It is unknown whether the request ran.
    Unknown,
}

/// Step of request processing at which an error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Reading the caller's request.
    Read,
    /// Matching the key to a workspace.
    Authenticate,
    /// Checking the workspace's limits and fair share.
    Admission,
    /// Choosing a backend server.
    Placement,
    /// Creating or reading the claim of a request that may run only once.
    Claim,
    /// Sending the request to the backend server.
    Send,
    /// Reading the response of the backend server.
    Answer,
    /// Reading or writing the table.
    Table,
}

/// Reason for a refusal; part of the HTTP API for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request is malformed.
    BadRequest,
    /// The body, prompt or a header is too large.
    TooLarge,
    /// The API key belongs to no workspace.
    UnknownKey,
    /// The table has no such model or service for the workspace.
    UnknownTarget,
    /// A limit in the workspace's row of the table is reached.
    LimitReached,
    /// The fleet is at capacity and the workspace exceeds its fair share.
    Overloaded,
    /// The deadline of the request passed.
    DeadlineExceeded,
    /// No backend server for the request can be reached.
    NoBackend,
    /// The request is suspected of crashing backend servers: several crashed while running it.
    Suspect,
    /// The backend server failed.
    BackendFailed,
    /// The request needs the platform's store, which is unreachable.
    StoreUnavailable,
    /// Another attempt owns the idempotency key.
    AlreadyClaimed,
    /// The host is shutting down or has no table yet.
    NotReady,
    /// The table change conflicts with another one.
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

/// Error response to a caller: why and where its request was refused, and whether the request ran.
///
/// `ran: No` guarantees that the request did not run. [`Refusal::new`] sets it, and only a step
/// that has sent something to a backend server changes it with [`Refusal::ran`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{code:?} at {step:?}: {message}")]
pub struct Refusal {
    /// Why the request was refused.
    pub code: RefusalCode,
    /// Step at which the request was refused.
    pub step: Step,
    /// Name of the backend server or other host at which the error occurred; empty for this host.
    pub peer: String,
    /// Whether the request ran on a backend server.
    pub ran: Ran,
    /// Human-readable detail.
    pub message: String,
    /// Time after which the caller may retry, in milliseconds; `None` if unknown.
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

    /// Sets the name of the backend server or other host at which the error occurred.
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

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        self
    }
}
