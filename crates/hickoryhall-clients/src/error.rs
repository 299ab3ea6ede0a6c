//! Errors of calls to servers.

use std::io;
use std::net::SocketAddr;

use hickoryhall_types::{Incarnation, Ran, Step, WeightsVersion};

use crate::StreamError;

/// Cause of a failed call.
#[derive(Debug, thiserror::Error)]
pub enum ClientErrorKind {
    /// The connection could not be opened, so nothing was sent.
    #[error("no connection: {0}")]
    NotConnected(String),
    /// The call may have been sent, and no complete response was received.
    #[error("no answer: {0}")]
    NoResponse(String),
    /// The server responded with an error status.
    #[error("status {status}: {body}")]
    Status {
        /// HTTP status code.
        status: u16,
        /// Text of the response body, empty if it could not be read.
        body: String,
        /// State of the server, if it reports that the call did not run.
        not_run: Option<NotRun>,
        /// Incarnation of the server, if it reports one.
        incarnation: Option<Incarnation>,
    },
    /// The condition of a write did not hold; contains the key's revision, 0 if the key does not
    /// exist.
    #[error("the revision is {0}")]
    Conflict(u64),
    /// The response does not follow the protocol.
    #[error("bad answer: {0}")]
    InvalidResponse(String),
    /// An answer stream is incomplete, out of order or belongs to another attempt.
    #[error("bad stream: {0}")]
    Stream(#[from] StreamError),
}

/// State of a backend server that rejected a call without running it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NotRun {
    /// Whether the server is leaving and accepts no new work.
    pub leaving: bool,
    /// Weights version that the server serves, 0 while it loads one; `None` if it is not a runner.
    pub weights_version: Option<WeightsVersion>,
}

/// Error of a call to a server.
#[derive(Debug, thiserror::Error)]
#[error("{step:?} at {peer}: {kind}")]
pub struct ClientError {
    /// Step of the request path at which the call failed.
    pub step: Step,
    /// Address of the server that was called.
    pub peer: SocketAddr,
    /// Cause of the failure.
    pub kind: ClientErrorKind,
}

impl ClientError {
    pub(crate) fn new(step: Step, peer: SocketAddr, kind: ClientErrorKind) -> Self {
        Self { step, peer, kind }
    }

    /// Returns whether the server ran the call, as far as the error shows.
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

    /// Returns whether a write to the store may have taken effect although it failed.
    ///
    /// A write that the store answered with an error status has not taken effect.
    #[must_use]
    pub fn is_in_doubt(&self) -> bool {
        self.ran() != Ran::No && !matches!(self.kind, ClientErrorKind::Status { .. })
    }
}

/// Classifies an error of `ureq` by whether anything can have been sent.
pub(crate) fn classify_error(error: &ureq::Error) -> ClientErrorKind {
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
        _ => ClientErrorKind::NoResponse(message),
    }
}
