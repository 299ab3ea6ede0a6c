//! Errors of calls to other processes.

use std::io;
use std::net::SocketAddr;

use hickoryhall_types::{Incarnation, Ran, Step, WeightsVersion};

use crate::StreamFault;

/// What went wrong in a call.
#[derive(Debug, thiserror::Error)]
pub enum ClientErrorKind {
    /// No connection was made, so nothing was sent.
    #[error("no connection: {0}")]
    NotConnected(String),
    /// The call was sent and no whole answer came.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// The peer refused the call.
    #[error("status {status}: {body}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Start of the answer.
        body: String,
        /// What the peer says of itself, where it says that the call did not run.
        not_run: Option<NotRun>,
        /// Start number of the peer, where it says so.
        incarnation: Option<Incarnation>,
    },
    /// A conditional write found another revision, 0 for no value.
    #[error("the revision is {0}")]
    Conflict(u64),
    /// The answer is not what the protocol says.
    #[error("bad answer: {0}")]
    BadAnswer(String),
    /// An answer stream is not whole, in order and for this attempt.
    #[error("bad stream: {0}")]
    Stream(#[from] StreamFault),
}

/// State of a backend server that took a call and did not run it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NotRun {
    /// Whether the server is leaving.
    pub leaving: bool,
    /// Weights version that it serves, 0 while it loads one, if it is a runner.
    pub weights_version: Option<WeightsVersion>,
}

/// A failed call.
#[derive(Debug, thiserror::Error)]
#[error("{step:?} at {peer}: {kind}")]
pub struct ClientError {
    /// Step at which the call failed.
    pub step: Step,
    /// Peer that was called.
    pub peer: SocketAddr,
    /// Cause.
    pub kind: ClientErrorKind,
}

impl ClientError {
    pub(crate) fn new(step: Step, peer: SocketAddr, kind: ClientErrorKind) -> Self {
        Self { step, peer, kind }
    }

    /// Tells whether the peer may have run the call.
    #[must_use]
    pub fn ran(&self) -> Ran {
        match &self.kind {
            ClientErrorKind::NotConnected(_) | ClientErrorKind::Conflict(_) => Ran::No,
            ClientErrorKind::Status {
                not_run: Some(_), ..
            } => Ran::No,
            ClientErrorKind::Stream(_) => Ran::Yes,
            _ => Ran::Unknown,
        }
    }

    /// Tells whether a write to the store may have taken effect.
    #[must_use]
    pub fn is_in_doubt(&self) -> bool {
        self.ran() != Ran::No && !matches!(self.kind, ClientErrorKind::Status { .. })
    }
}

/// Sorts `ureq`'s errors by whether anything was sent.
pub(crate) fn call_error(error: &ureq::Error) -> ClientErrorKind {
    let message = error.to_string();
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            ClientErrorKind::NotConnected(message)
        }
        ureq::Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            ClientErrorKind::NotConnected(message)
        }
        _ => ClientErrorKind::NoAnswer(message),
    }
}
