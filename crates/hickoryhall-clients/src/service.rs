//! Client of plain services.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hickoryhall_types::Step;
use ureq::Agent;
use ureq::http::StatusCode;

use crate::ClientError;
use crate::agent::{Connections, accept, agent};
use crate::error::call_error;

/// Largest answer of a service.
const ANSWER_LIMIT_BYTES: u64 = 4 << 20;

/// One call of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// Path below the server's root, with a leading slash.
    pub path: String,
    /// Id of the request.
    pub request_id: String,
    /// Id of the attempt.
    pub attempt_id: u64,
    /// Idempotency key, if the caller gave one.
    pub idempotency_key: Option<String>,
    /// W3C trace parent of this hop.
    pub traceparent: String,
    /// Body.
    pub body: Bytes,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Type of the body.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}

/// Client of all services.
#[derive(Clone, Debug)]
pub struct ServiceClient {
    agent: Agent,
}

impl Default for ServiceClient {
    fn default() -> Self {
        Self {
            agent: agent(Connections::Fresh, None),
        }
    }
}

impl ServiceClient {
    /// Calls a server once; nothing is sent a second time.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the call may have run.
    pub fn call(
        &self,
        server: SocketAddr,
        call: &ServiceCall,
        timeout: Duration,
    ) -> Result<ServiceAnswer, ClientError> {
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
            // Any other status is the service's own answer.
            Ok(response) if response.status() != StatusCode::SERVICE_UNAVAILABLE => response,
            result => accept(Step::Send, server, result)?,
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
            .limit(ANSWER_LIMIT_BYTES)
            .read_to_vec()
            .map_err(|error| ClientError::new(Step::Answer, server, call_error(&error)))?;
        Ok(ServiceAnswer {
            status,
            content_type,
            body: body.into(),
        })
    }
}
