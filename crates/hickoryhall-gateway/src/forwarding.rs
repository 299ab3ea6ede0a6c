//! Headers of requests that a host forwards to a peer, and of the peer's responses.
//!
//! They are exchanged on a port that only hosts reach. The rest of a forwarded head is the caller's own,
//! by which the peer authorizes and routes the request itself.

use std::str::FromStr;
use std::time::Duration;

use hickoryhall_types::{Ran, SoftwareVersion};
use http::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::Response;

use crate::interface::LocalFailure;
use crate::registry::ServerId;
use crate::stream_versions::SoftwareHash;

const ELAPSED_MS: HeaderName = HeaderName::from_static("hickoryhall-elapsed-ms");
const POSSIBLE_RUNS: HeaderName = HeaderName::from_static("hickoryhall-possible-runs");
/// Ids of servers, separated by commas.
const EXCLUDED: HeaderName = HeaderName::from_static("hickoryhall-excluded");
const SOFTWARE: HeaderName = HeaderName::from_static("hickoryhall-software");
const RESUME_AFTER: HeaderName = HeaderName::from_static("hickoryhall-resume-after");
const OUTCOME: HeaderName = HeaderName::from_static("hickoryhall-outcome");
const SERVER_SOFTWARE: HeaderName = HeaderName::from_static("hickoryhall-server-software");
const HEADERS: [HeaderName; 7] = [
    ELAPSED_MS,
    POSSIBLE_RUNS,
    EXCLUDED,
    SOFTWARE,
    RESUME_AFTER,
    OUTCOME,
    SERVER_SOFTWARE,
];

/// Time that a forwarded request and its response take between two hosts; the peer answers by so much
/// earlier.
const TRANSIT_TIME: Duration = Duration::from_millis(10);
/// Longest time that a request may have been in progress at the forwarding host.
const MAX_ELAPSED: Duration = Duration::from_secs(24 * 3_600);
/// Reasons of refusals that another peer may not have: this one reaches no server, has another table, or
/// stops.
const UNREACHED_REASONS: [&str; 9] = [
    "no_server",
    "unreachable",
    "no_service",
    "no_table",
    "no_route",
    "unreadable_route",
    "unknown_key",
    "unreadable_workspace",
    "stopping",
];

/// What a peer has to know of a request beside the caller's own head and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForwardedRequest {
    /// Time since the request arrived from its caller.
    pub elapsed: Duration,
    /// Attempts that may have run the request.
    pub possible_runs: u32,
    /// Servers that failed the request or did not run it.
    pub excluded: Vec<ServerId>,
    /// Software version at which the stream must go on, if it has begun.
    pub software: Option<SoftwareHash>,
    /// Id of the event after which the stream goes on.
    pub resume_after: Option<Box<str>>,
}

/// A header of a peer is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("header {0} is missing or has an invalid value")]
pub struct InvalidForwarding(&'static str);

/// What a peer says about its response to a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The response is that of a server.
    Served {
        /// Software of the server, if the response is a stream and the software is certain.
        software: Option<SoftwareVersion>,
    },
    /// The peer did not run the request, and another peer may.
    Unreached,
    /// The peer generated the response itself.
    Failed {
        /// Whether the request ran, as far as the peer knows.
        ran: Ran,
    },
}

/// Software of the server that began a stream; an extension of responses.
#[derive(Clone, Debug)]
pub struct StreamSoftware(pub SoftwareVersion);

/// Marks the failure response of a request that reached a server; an extension of responses.
#[derive(Clone, Copy, Debug)]
pub struct ReachedServer;

/// Removes the headers of this module from a head.
pub fn remove_headers(headers: &mut HeaderMap) {
    for name in &HEADERS {
        headers.remove(name);
    }
}

impl ForwardedRequest {
    /// Returns the time since the request arrived from its caller, the way to this host and back
    /// included.
    #[must_use]
    pub fn elapsed_with_transit(&self) -> Duration {
        self.elapsed + TRANSIT_TIME
    }

    /// Adds the request's headers to the caller's head.
    ///
    /// # Errors
    ///
    /// Returns an error if the id of an event cannot be a header; without it, the stream would begin
    /// anew.
    pub fn set_headers(&self, headers: &mut HeaderMap) -> Result<(), InvalidForwarding> {
        remove_headers(headers);
        set_text(headers, ELAPSED_MS, &self.elapsed.as_millis().to_string());
        set_text(headers, POSSIBLE_RUNS, &self.possible_runs.to_string());
        if !self.excluded.is_empty() {
            set_text(headers, EXCLUDED, &self.excluded.join(","));
        }
        if let Some(software) = self.software {
            set_text(headers, SOFTWARE, &software.to_string());
        }
        if let Some(resume_after) = &self.resume_after {
            let value = HeaderValue::from_str(resume_after);
            let value = value.map_err(|_| InvalidForwarding("hickoryhall-resume-after"))?;
            headers.insert(RESUME_AFTER, value);
        }
        Ok(())
    }
}

impl TryFrom<&HeaderMap> for ForwardedRequest {
    type Error = InvalidForwarding;

    fn try_from(headers: &HeaderMap) -> Result<Self, Self::Error> {
        let elapsed_ms = number(headers, &ELAPSED_MS, "hickoryhall-elapsed-ms")?;
        let elapsed_ms = elapsed_ms.ok_or(InvalidForwarding("hickoryhall-elapsed-ms"))?;
        let possible_runs = number(headers, &POSSIBLE_RUNS, "hickoryhall-possible-runs")?;
        let excluded = text(headers, &EXCLUDED).unwrap_or_default();
        let excluded = excluded.split(',').filter(|id| !id.is_empty());
        Ok(Self {
            elapsed: Duration::from_millis(elapsed_ms).min(MAX_ELAPSED),
            possible_runs: possible_runs.ok_or(InvalidForwarding("hickoryhall-possible-runs"))?,
            excluded: excluded.map(ServerId::from).collect(),
            software: number(headers, &SOFTWARE, "hickoryhall-software")?,
            resume_after: text(headers, &RESUME_AFTER).map(Box::from),
        })
    }
}

impl ForwardOutcome {
    /// Returns the outcome of a response of this host.
    #[must_use]
    pub fn of<B>(response: &Response<B>) -> Self {
        let extensions = response.extensions();
        match extensions.get::<LocalFailure>() {
            Some(failure)
                if failure.ran == Ran::No
                    && UNREACHED_REASONS.contains(&failure.reason)
                    && extensions.get::<ReachedServer>().is_none() =>
            {
                Self::Unreached
            }
            Some(failure) => Self::Failed { ran: failure.ran },
            None => Self::Served {
                software: extensions
                    .get::<StreamSoftware>()
                    .map(|software| software.0.clone()),
            },
        }
    }

    /// Adds the outcome to the head of a response.
    pub fn set_headers(&self, headers: &mut HeaderMap) {
        remove_headers(headers);
        let name = match self {
            Self::Served { .. } => "served",
            Self::Unreached => "unreached",
            Self::Failed { ran: Ran::No } => "failed-not-run",
            Self::Failed { ran: Ran::Yes } => "failed-run",
            Self::Failed { ran: Ran::Unknown } => "failed",
        };
        set_text(headers, OUTCOME, name);
        if let Self::Served {
            software: Some(software),
        } = self
        {
            set_text(headers, SERVER_SOFTWARE, software);
        }
    }
}

impl TryFrom<&HeaderMap> for ForwardOutcome {
    type Error = InvalidForwarding;

    fn try_from(headers: &HeaderMap) -> Result<Self, Self::Error> {
        match text(headers, &OUTCOME) {
            Some("served") => Ok(Self::Served {
                software: text(headers, &SERVER_SOFTWARE).map(SoftwareVersion::from),
            }),
            Some("unreached") => Ok(Self::Unreached),
            Some("failed-not-run") => Ok(Self::Failed { ran: Ran::No }),
            Some("failed-run") => Ok(Self::Failed { ran: Ran::Yes }),
            Some("failed") => Ok(Self::Failed { ran: Ran::Unknown }),
            _ => Err(InvalidForwarding("hickoryhall-outcome")),
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number<T: FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
    label: &'static str,
) -> Result<Option<T>, InvalidForwarding> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number.map(Some).ok_or(InvalidForwarding(label))
}

/// Sets a header, unless its value cannot be one. Ids and versions of servers come from records, and the
/// peer does without them.
fn set_text(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
