//! Client of runners.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryhall_types::{AttemptId, FencingNumber, Incarnation, Step, TokenIndex, WeightsVersion};
use serde::{Deserialize, Serialize};
use serde_json::json;
use ureq::Agent;

use crate::agent::{Connections, accept, agent, read_json};
use crate::{ClientError, RunnerStream, StreamCheck};

/// Time that a short call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const ANSWER_LIMIT_BYTES: u64 = 64 << 10;

/// One message of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text.
    pub content: String,
}

/// One attempt to run a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptRequest<'a> {
    /// Id of the request.
    pub request_id: &'a str,
    /// Id of the attempt.
    pub attempt_id: AttemptId,
    /// W3C trace parent of this hop.
    pub traceparent: &'a str,
    /// Model.
    pub model: &'a str,
    /// Prompt.
    pub messages: &'a [Message],
    /// Part of the answer that the caller has already, and its tokens.
    pub partial: Option<(&'a str, TokenIndex)>,
    /// Tokens of the whole answer at most.
    pub max_tokens: u32,
    /// Salt of the engine's cache keys.
    pub cache_salt: &'a str,
    /// A lower number goes first.
    pub priority: u32,
    /// Weights version that must answer.
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
        let asked = request.messages.iter();
        let asked = asked.map(|m| MessageRef {
            role: &m.role,
            content: &m.content,
        });
        let partial = request.partial.iter().map(|(text, _)| MessageRef {
            role: "assistant",
            content: text,
        });
        Self {
            model: request.model,
            messages: asked.chain(partial).collect(),
            max_tokens: request.max_tokens,
            stream: true,
            cache_salt: request.cache_salt,
            priority: request.priority,
            weights_version: request.weights_version,
            continue_final_message: request.partial.is_some(),
        }
    }
}

/// What a backend server says of its load.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LoadAnswer {
    /// Start number.
    pub incarnation: Incarnation,
    /// Weights version served; a plain service has none.
    #[serde(default)]
    pub weights_version: WeightsVersion,
    /// Prompt tokens that wait.
    #[serde(default)]
    pub waiting_tokens: u64,
    /// Rate of prefill.
    #[serde(default)]
    pub prefill_tokens_per_s: u32,
    /// Memory for cached prompts.
    #[serde(default)]
    pub cache_tokens: u64,
    /// Whether it takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// What an order asks for; repeating one changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Order {
    /// Serve this weights version.
    LoadWeights {
        /// Version.
        weights_version: WeightsVersion,
    },
    /// Load this adapter.
    LoadAdapter {
        /// Adapter.
        adapter: String,
    },
    /// Take no new work.
    Drain,
}

/// An order with the fencing number of the lease that it is given under.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// Fencing number.
    pub fencing: FencingNumber,
    /// What to do.
    pub order: Order,
}

/// Client of all runners.
#[derive(Clone, Debug)]
pub struct RunnerClient {
    streams: Agent,
    calls: Agent,
}

impl Default for RunnerClient {
    fn default() -> Self {
        Self {
            streams: agent(Connections::Fresh, None),
            calls: agent(Connections::Kept, Some(CALL_TIMEOUT)),
        }
    }
}

impl RunnerClient {
    /// Starts an attempt; the stream starts at the first token that the caller does not have.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the attempt may have run.
    pub fn open(
        &self,
        runner: SocketAddr,
        request: &PromptRequest<'_>,
        timeout: Duration,
    ) -> Result<RunnerStream, ClientError> {
        let body = serde_json::to_vec(&PromptBody::from(request)).expect("a body of plain values");
        let call = self
            .streams
            .post(format!("http://{runner}/v1/chat/completions"))
            .config()
            .timeout_global(Some(timeout))
            .build()
            // A broken stream must end the connection, not leave it open.
            .header("Connection", "close")
            .header("Content-Type", "application/json")
            .header("X-Request-Id", request.request_id)
            .header("X-Attempt-Id", request.attempt_id.to_string())
            .header("traceparent", request.traceparent);
        let response = accept(Step::Send, runner, call.send(&body))?;
        let from = request.partial.map_or(0, |(_, tokens)| tokens);
        let check = StreamCheck::new(request.request_id, request.attempt_id, from);
        Ok(RunnerStream::new(runner, check, response.into_body()))
    }

    /// Takes up a stream that broke, at a token.
    ///
    /// # Errors
    ///
    /// Returns an error where the runner does not know the attempt any more.
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
            .streams
            .post(format!("http://{runner}/v1/resume"))
            .config()
            .timeout_global(Some(timeout))
            .build()
            .header("Connection", "close")
            .header("Content-Type", "application/json");
        let response = accept(Step::Answer, runner, call.send(body.to_string()))?;
        let check = StreamCheck::new(request_id, attempt_id, from);
        Ok(RunnerStream::new(runner, check, response.into_body()))
    }

    /// Ends an attempt.
    ///
    /// # Errors
    ///
    /// Returns an error where the runner cannot be reached.
    pub fn cancel(
        &self,
        runner: SocketAddr,
        request_id: &str,
        attempt_id: AttemptId,
    ) -> Result<(), ClientError> {
        let body = json!({"request_id": request_id, "attempt_id": attempt_id}).to_string();
        let result = self
            .calls
            .post(format!("http://{runner}/v1/cancel"))
            .send(body);
        accept(Step::Send, runner, result).map(drop)
    }

    /// Asks a backend server for its load.
    ///
    /// # Errors
    ///
    /// Returns an error where the server cannot be reached or answers nonsense.
    pub fn load(&self, server: SocketAddr) -> Result<LoadAnswer, ClientError> {
        let result = self.calls.get(format!("http://{server}/load")).call();
        let response = accept(Step::Placement, server, result)?;
        read_json(Step::Placement, server, response, ANSWER_LIMIT_BYTES)
    }

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// Returns an error where the runner cannot be reached or refuses the fencing number.
    pub fn order(&self, runner: SocketAddr, order: &OrderBody) -> Result<(), ClientError> {
        let body = serde_json::to_string(order).expect("a body of plain values");
        let result = self
            .calls
            .post(format!("http://{runner}/orders"))
            .send(body);
        accept(Step::Send, runner, result).map(drop)
    }
}
