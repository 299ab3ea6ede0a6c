//! Client of servers of plain services.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hickoryhall_types::Step;
use ureq::Agent;
use ureq::http::StatusCode;

use crate::ClientError;
use crate::agent::{Connections, build_agent, check_status};
use crate::error::classify_error;

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// Request path, with a leading slash.
    pub path: String,
    /// Id of the request that the call belongs to.
    pub request_id: String,
    /// Id of the attempt, sent as `X-Attempt-Id`.
    pub attempt_id: u64,
    /// Idempotency key, if the caller sent one.
    pub idempotency_key: Option<String>,
    /// W3C `traceparent` header of this call.
    pub traceparent: String,
    /// Request body, sent as JSON.
    pub body: Bytes,
}

/// A complete response of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status code; any except 503.
    pub status: u16,
    /// Media type of the body, `application/octet-stream` if the server sent none.
    pub content_type: String,
    /// Response body.
    pub body: Bytes,
}

/// Client for any number of servers of plain services.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    agent: Agent,
}

impl Default for ServiceClient {
    fn default() -> Self {
        Self {
            agent: build_agent(Connections::PerCall, None),
        }
    }
}

impl ServiceClient {
    /// Sends a call to a server once, without retries.
    ///
    /// # Errors
    ///
    /// Returns an error if the server is unreachable, does not complete its response or responds
    /// with status 503; [`ClientError::ran`] tells whether the call may have run.
    pub fn call(
        &self,
        server: SocketAddr,
        call: &ServiceCall,
        timeout: Duration,
    ) -> Result<ServiceResponse, ClientError> {
        let mut request = self
            .agent
            .post(format!("http://{server}{}", call.path))
            .config()
            .timeout_global(Some(timeout))
            .build()
            .header("Connection", "close")
            .header("Content-Type", "application/json")
            .header("X-Request-Id", &call.request_id)
            .header("X-Attempt-Id", call.attempt_id.to_string())
            .header("traceparent", &call.traceparent);
        if let Some(key) = &call.idempotency_key {
            request = request.header("Idempotency-Key", key);
        }
        let result = request.send(&call.body[..]);
        let response = match result {
            // Any status other than 503 is a response of the service itself.
            Ok(response) if response.status() != StatusCode::SERVICE_UNAVAILABLE => response,
            result => check_status(Step::Send, server, result)?,
        };
        let status = response.status().as_u16();
        let content_type = response.headers().get("content-type");
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let content_type = content_type
            .unwrap_or("application/octet-stream")
            .to_owned();
        let body = response
            .into_body()
            .with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_to_vec()
            .map_err(|error| ClientError::new(Step::Answer, server, classify_error(&error)))?;
        Ok(ServiceResponse {
            status,
            content_type,
            body: body.into(),
        })
    }
}
