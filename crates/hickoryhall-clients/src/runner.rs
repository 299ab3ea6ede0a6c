//! Client of runners, and of the load endpoint of all backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryhall_types::{AttemptId, FencingNumber, Incarnation, Step, TokenIndex, WeightsVersion};
use serde::{Deserialize, Serialize};
use serde_json::json;
use ureq::Agent;

use crate::agent::{Connections, build_agent, check_status, read_json};
use crate::{ClientError, RunnerStream, StreamValidator};

/// Timeout of calls other than answer streams.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response other than an answer stream.
const MAX_RESPONSE_BYTES: u64 = 64 << 10;

/// A message of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// An attempt to run a prompt on a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptRequest<'a> {
    /// Id of the request that the attempt belongs to.
    pub request_id: &'a str,
    /// Id of the attempt, which every event of the stream repeats.
    pub attempt_id: AttemptId,
    /// W3C `traceparent` header of this call.
    pub traceparent: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// Messages of the prompt, in order.
    pub messages: &'a [Message],
    /// Part of the answer that the caller already has, with its number of tokens; the runner
    /// continues after it.
    pub partial: Option<(&'a str, TokenIndex)>,
    /// Maximum number of tokens of the whole answer, `partial` included.
    pub max_tokens: u32,
    /// Salt of the engine's cache keys, which keeps cache partitions apart.
    pub cache_salt: &'a str,
    /// Priority of the attempt; the engine serves lower numbers first.
    pub priority: u32,
    /// Weights version that must produce the answer.
    pub weights_version: WeightsVersion,
}

#[derive(Serialize)]
struct PromptBody<'a> {
    model: &'a str,
    messages: Vec<MessageRef<'a>>,
    max_tokens: u32,
    stream: bool,
    cache_salt: &'a str,
    priority: u32,
    weights_version: WeightsVersion,
    continue_final_message: bool,
}

#[derive(Serialize)]
struct MessageRef<'a> {
    role: &'a str,
    content: &'a str,
}

impl<'a> From<&PromptRequest<'a>> for PromptBody<'a> {
    fn from(request: &PromptRequest<'a>) -> Self {
        let messages = request.messages.iter();
        let messages = messages.map(|m| MessageRef {
            role: &m.role,
            content: &m.content,
        });
        let partial = request.partial.iter().map(|(text, _)| MessageRef {
            role: "assistant",
            content: text,
        });
        Self {
            model: request.model,
            messages: messages.chain(partial).collect(),
            max_tokens: request.max_tokens,
            stream: true,
            cache_salt: request.cache_salt,
            priority: request.priority,
            weights_version: request.weights_version,
            continue_final_message: request.partial.is_some(),
        }
    }
}

/// Load that a backend server reports.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LoadResponse {
    /// Incarnation of the server, which grows with each start.
    pub incarnation: Incarnation,
    /// Weights version that a runner serves, 0 while it loads one; 0 for a plain service.
    #[serde(default)]
    pub weights_version: WeightsVersion,
    /// Prompt tokens that wait in the queue; 0 for a plain service.
    #[serde(default)]
    pub waiting_tokens: u64,
    /// Prefill rate in tokens per second; 0 for a plain service.
    #[serde(default)]
    pub prefill_tokens_per_s: u32,
    /// Capacity of the prompt cache in tokens; 0 for a plain service.
    #[serde(default)]
    pub cache_tokens: u64,
    /// Whether the server accepts no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// An order of the lease holder to a runner; it is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Order {
    /// Load and serve a weights version.
    LoadWeights {
        /// Weights version to serve.
        weights_version: WeightsVersion,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Accept no new work.
    Drain,
}

/// An order with the fencing number of the lease under which it is given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// Fencing number of the lease; the runner refuses a number lower than one it has seen.
    pub fencing: FencingNumber,
    /// Order to carry out.
    pub order: Order,
}

/// Client for any number of runners.
#[derive(Clone, Debug)]
pub struct RunnerClient {
    stream_agent: Agent,
    call_agent: Agent,
}

impl Default for RunnerClient {
    fn default() -> Self {
        Self {
            stream_agent: build_agent(Connections::PerCall, None),
            call_agent: build_agent(Connections::Reused, Some(CALL_TIMEOUT)),
        }
    }
}

impl RunnerClient {
    /// Starts an attempt and returns its answer stream, which starts at the first token that the
    /// caller does not have.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt could not be started; [`ClientError::ran`] tells whether the
    /// runner may have run it.
    pub fn open(
        &self,
        runner: SocketAddr,
        request: &PromptRequest<'_>,
        timeout: Duration,
    ) -> Result<RunnerStream, ClientError> {
        let body =
            serde_json::to_vec(&PromptBody::from(request)).expect("the body serializes to JSON");
        let call = self
            .stream_agent
            .post(format!("http://{runner}/v1/chat/completions"))
            .config()
            .timeout_global(Some(timeout))
            .build()
            // Disables keep-alive, so that a broken stream also ends the connection.
            .header("Connection", "close")
            .header("Content-Type", "application/json")
            .header("X-Request-Id", request.request_id)
            .header("X-Attempt-Id", request.attempt_id.to_string())
            .header("traceparent", request.traceparent);
        let response = check_status(Step::Send, runner, call.send(&body))?;
        let from = request.partial.map_or(0, |(_, tokens)| tokens);
        let validator = StreamValidator::new(request.request_id, request.attempt_id, from);
        Ok(RunnerStream::new(runner, validator, response.into_body()))
    }

    /// Resumes an interrupted answer stream at the token with index `from`.
    ///
    /// # Errors
    ///
    /// Returns an error if the runner is unreachable or no longer knows the attempt.
    pub fn resume(
        &self,
        runner: SocketAddr,
        request_id: &str,
        attempt_id: AttemptId,
        from: TokenIndex,
        timeout: Duration,
    ) -> Result<RunnerStream, ClientError> {
        let body = json!({"request_id": request_id, "attempt_id": attempt_id, "from_index": from});
        let call = self
            .stream_agent
            .post(format!("http://{runner}/v1/resume"))
            .config()
            .timeout_global(Some(timeout))
            .build()
            .header("Connection", "close")
            .header("Content-Type", "application/json");
        let response = check_status(Step::Answer, runner, call.send(body.to_string()))?;
        let validator = StreamValidator::new(request_id, attempt_id, from);
        Ok(RunnerStream::new(runner, validator, response.into_body()))
    }

    /// Cancels an attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if the runner is unreachable or responds with an error status.
    pub fn cancel(
        &self,
        runner: SocketAddr,
        request_id: &str,
        attempt_id: AttemptId,
    ) -> Result<(), ClientError> {
        let body = json!({"request_id": request_id, "attempt_id": attempt_id}).to_string();
        let result = self
            .call_agent
            .post(format!("http://{runner}/v1/cancel"))
            .send(body);
        check_status(Step::Send, runner, result).map(drop)
    }

    /// Returns the load of a backend server, which may be a runner or serve a plain service.
    ///
    /// # Errors
    ///
    /// Returns an error if the server is unreachable, responds with an error status or sends an
    /// invalid response.
    pub fn load(&self, server: SocketAddr) -> Result<LoadResponse, ClientError> {
        let result = self.call_agent.get(format!("http://{server}/load")).call();
        let response = check_status(Step::Placement, server, result)?;
        read_json(Step::Placement, server, response, MAX_RESPONSE_BYTES)
    }

    /// Sends an order to a runner.
    ///
    /// # Errors
    ///
    /// Returns an error if the runner is unreachable or refuses the order, such as for its fencing
    /// number.
    pub fn order(&self, runner: SocketAddr, order: &OrderBody) -> Result<(), ClientError> {
        let body = serde_json::to_string(order).expect("the body serializes to JSON");
        let result = self
            .call_agent
            .post(format!("http://{runner}/orders"))
            .send(body);
        check_status(Step::Send, runner, result).map(drop)
    }
}
