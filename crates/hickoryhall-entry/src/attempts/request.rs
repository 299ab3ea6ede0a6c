//! Model requests as callers send them: the body, its checks and the fields derived from it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hickoryhall_clients::Message;
use hickoryhall_table::AccessPolicy;
use hickoryhall_telemetry::TraceContext;
use hickoryhall_types::{RequestId, TokenCount, WorkspaceId, estimate_tokens, hash_name};
use serde::Deserialize;

use crate::settings::HostLimits;

/// Default of `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// JSON format of the answer, given by the path of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerFormat {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Completion,
}

/// A model request whose caller is authenticated and whose fields are checked.
#[derive(Clone, Debug)]
pub(crate) struct ModelRequest {
    pub id: RequestId,
    pub workspace: WorkspaceId,
    pub model: Arc<str>,
    pub format: AnswerFormat,
    pub messages: Vec<Message>,
    pub max_tokens: u32,
    pub stream: bool,
    /// Limits, weight and priority of the workspace for this model, from the table.
    pub policy: AccessPolicy,
    pub arrived_at: Instant,
    pub deadline: Instant,
    pub trace: TraceContext,
    /// Hash of workspace, model and messages, equal for each resend of the same request.
    pub fingerprint: u64,
}

impl ModelRequest {
    /// Returns the time left until the deadline, zero after it.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Body of a model request before it is checked.
#[derive(Debug, Deserialize)]
pub(crate) struct RequestBody {
    pub model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    pub stream: bool,
}

impl RequestBody {
    /// Parses a body; the error message gives the position of the problem.
    pub fn parse(bytes: &[u8]) -> Result<Self, String> {
        let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
        serde_json::from_str(text).map_err(|error| error.to_string())
    }

    /// Checks the prompt and the token limit of the answer and returns both.
    ///
    /// # Errors
    ///
    /// Returns a message for the caller that names the invalid field.
    pub fn into_messages_and_limit(
        self,
        format: AnswerFormat,
        limits: &HostLimits,
    ) -> Result<(Vec<Message>, u32), String> {
        let messages = match (format, self.prompt) {
            (AnswerFormat::Chat, None) => self.messages,
            (AnswerFormat::Chat, Some(_)) => return Err("prompt is for /v1/completions".to_owned()),
            (AnswerFormat::Completion, Some(prompt)) => {
                vec![Message {
                    role: "user".to_owned(),
                    content: prompt,
                }]
            }
            (AnswerFormat::Completion, None) => return Err("prompt is missing".to_owned()),
        };
        if messages.iter().all(|message| message.content.is_empty()) {
            return Err("the prompt is empty".to_owned());
        }
        let max_tokens = self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 || max_tokens > limits.output_tokens {
            return Err(format!(
                "max_tokens must be from 1 to {}",
                limits.output_tokens
            ));
        }
        Ok((messages, max_tokens))
    }
}

/// Estimates the number of tokens in a prompt.
pub(crate) fn estimate_prompt_tokens(messages: &[Message]) -> TokenCount {
    messages
        .iter()
        .map(|message| estimate_tokens(message.content.len()))
        .sum()
}

/// Returns the hash of workspace, model and messages, equal for each resend of a request.
///
/// Each part is hashed with its length, so that moving text between parts changes the hash.
pub(crate) fn fingerprint(workspace: &str, model: &str, messages: &[Message]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    let contents = messages.iter().map(|message| message.content.as_str());
    for part in [workspace, model].into_iter().chain(contents) {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hash_name(hasher.finalize().to_hex().as_str())
}
