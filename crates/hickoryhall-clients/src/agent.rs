//! `ureq` configuration and response handling shared by all clients.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryhall_types::Step;
use ureq::Agent;
use ureq::http::Response;

use crate::error::classify_error;
use crate::{ClientError, ClientErrorKind, NotRun};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of an error response body that is read.
const ERROR_BODY_LIMIT_BYTES: u64 = 2_048;

/// Whether connections are reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Connections {
    /// Opens a connection for each call, so that after a failure to connect nothing can have been
    /// sent.
    PerCall,
    /// Keeps idle connections for later calls.
    Reused,
}

/// Creates an agent that returns error statuses as responses and never follows a redirect.
pub(crate) fn build_agent(connections: Connections, call_timeout: Option<Duration>) -> Agent {
    let max_idle = if connections == Connections::PerCall {
        0
    } else {
        8
    };
    Agent::config_builder()
        .http_status_as_error(false)
        // Following a redirect would send the call a second time.
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .max_idle_connections(max_idle)
        .max_idle_connections_per_host(max_idle)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(call_timeout)
        .build()
        .new_agent()
}

/// Returns the response if its status is 2xx, and an error for any other status or a failed call.
pub(crate) fn check_status(
    step: Step,
    peer: SocketAddr,
    result: Result<Response<ureq::Body>, ureq::Error>,
) -> Result<Response<ureq::Body>, ClientError> {
    let response = result.map_err(|error| ClientError::new(step, peer, classify_error(&error)))?;
    let status = response.status().as_u16();
    if (200..300).contains(&status) {
        return Ok(response);
    }
    let mut body = response.into_body();
    let text = body
        .with_config()
        .limit(ERROR_BODY_LIMIT_BYTES)
        .read_to_string();
    let text = text.unwrap_or_default();
    let json = serde_json::from_str::<serde_json::Value>(&text).unwrap_or_default();
    let not_run = (json["ran"] == "no").then(|| NotRun {
        leaving: json["leaving"] == true,
        weights_version: json["weights_version"].as_u64(),
    });
    let kind = match (status, json["revision"].as_u64()) {
        (409, Some(revision)) => ClientErrorKind::Conflict(revision),
        _ => ClientErrorKind::Status {
            status,
            body: text,
            not_run,
            incarnation: json["incarnation"].as_u64(),
        },
    };
    Err(ClientError::new(step, peer, kind))
}

/// Parses a response body as JSON.
pub(crate) fn read_json<T: serde::de::DeserializeOwned>(
    step: Step,
    peer: SocketAddr,
    response: Response<ureq::Body>,
    limit_bytes: u64,
) -> Result<T, ClientError> {
    let bytes = response
        .into_body()
        .with_config()
        .limit(limit_bytes)
        .read_to_vec()
        .map_err(|error| ClientError::new(step, peer, classify_error(&error)))?;
    serde_json::from_slice(&bytes).map_err(|error| {
        ClientError::new(
            step,
            peer,
            ClientErrorKind::InvalidResponse(error.to_string()),
        )
    })
}
