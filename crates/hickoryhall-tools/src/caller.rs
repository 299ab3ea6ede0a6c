//! HTTP client that calls models and services through entry hosts.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hickoryhall_clients::Message;
use serde_json::{Value, json};
use ureq::Agent;

/// Result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// The response is complete.
    Complete {
        /// Text of the model's answer, or body of the service's response.
        text: String,
        /// Time from the start of the call to the first token; equals `total` if the response was
        /// not streamed.
        first_token: Duration,
        /// Time from the start of the call to the end of the response.
        total: Duration,
    },
    /// The host refused the call, or ended the stream with an error event.
    Refused {
        /// HTTP status; 200 if the stream had begun.
        status: u16,
        /// JSON object of the refusal; the body as a JSON string if it is not JSON.
        refusal: Value,
        /// Text received before the refusal; empty if the stream had not begun.
        text: String,
        /// Value of the `Retry-After` header in seconds, if the host sent one.
        retry_after_s: Option<u64>,
    },
    /// The connection failed, or the response is incomplete or invalid.
    Failed {
        /// Description of the error.
        message: String,
    },
}

impl CallResult {
    /// Returns the text of a complete response, or `None` for any other result.
    #[must_use]
    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Complete { text, .. } => Some(text),
            _ => None,
        }
    }

    /// Returns a text field of a refusal, such as `code` or `ran`.
    #[must_use]
    pub fn refusal_field(&self, field: &str) -> Option<&str> {
        match self {
            Self::Refused { refusal, .. } => refusal[field].as_str(),
            _ => None,
        }
    }
}

/// Parameters of a call of a model.
#[derive(Clone, Debug)]
pub struct ModelCall<'a> {
    /// Key with which the caller's workspace authenticates.
    pub key: &'a str,
    /// Id of the request, sent as `X-Request-Id`.
    pub request_id: &'a str,
    /// Name of the model, without the prefix `model:`.
    pub model: &'a str,
    /// Messages of the prompt, in order.
    pub messages: &'a [Message],
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the host sends the answer as a stream of events.
    pub stream: bool,
    /// Time that the host may take for the call. The client itself gives up 5 seconds later.
    pub deadline: Duration,
}

/// Parameters of a call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall<'a> {
    /// Key with which the caller's workspace authenticates.
    pub key: &'a str,
    /// Name of the service and path in it, such as `booking/coaches`.
    pub path: &'a str,
    /// Value of the `Idempotency-Key` header, if one is sent.
    pub idempotency_key: Option<&'a str>,
    /// Time that the host may take for the call. The client itself gives up 5 seconds later.
    pub deadline: Duration,
}

/// Client that opens a new connection for each call.
#[derive(Clone, Debug)]
pub struct CallerClient {
    agent: Agent,
}

impl Default for CallerClient {
    fn default() -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .max_idle_connections(0)
            .max_idle_connections_per_host(0)
            .build()
            .new_agent();
        Self { agent }
    }
}

impl CallerClient {
    /// Calls a model and reads the response to its end.
    #[must_use]
    pub fn call_model(&self, host: SocketAddr, call: &ModelCall<'_>) -> CallResult {
        let body = json!({
            "model": call.model,
            "messages": call.messages,
            "max_tokens": call.max_tokens,
            "stream": call.stream,
        });
        let started = Instant::now();
        let response = self
            .agent
            .post(format!("http://{host}/v1/chat/completions"))
            .config()
            .timeout_global(Some(call.deadline + Duration::from_secs(5)))
            .build()
            .header("Connection", "close")
            .header("Authorization", format!("Bearer {}", call.key))
            .header("X-Request-Id", call.request_id)
            .header("X-Deadline-Ms", call.deadline.as_millis().to_string())
            .send(body.to_string());
        match response {
            Err(error) => CallResult::Failed {
                message: error.to_string(),
            },
            Ok(response) if response.status() != 200 => read_refusal(response),
            Ok(response) if call.stream => read_stream(response, started),
            Ok(response) => read_json(response, started, |body| {
                body["choices"][0]["message"]["content"]
                    .as_str()
                    .map(str::to_owned)
            }),
        }
    }

    /// Calls a plain service and reads the response to its end.
    #[must_use]
    pub fn call_service(&self, host: SocketAddr, call: &ServiceCall<'_>) -> CallResult {
        let started = Instant::now();
        let mut request = self
            .agent
            .post(format!("http://{host}/svc/{}", call.path))
            .config()
            .timeout_global(Some(call.deadline + Duration::from_secs(5)))
            .build()
            .header("Connection", "close")
            .header("Authorization", format!("Bearer {}", call.key))
            .header("X-Deadline-Ms", call.deadline.as_millis().to_string());
        if let Some(key) = call.idempotency_key {
            request = request.header("Idempotency-Key", key);
        }
        match request.send("{}") {
            Err(error) => CallResult::Failed {
                message: error.to_string(),
            },
            Ok(response) if response.status() != 200 => read_refusal(response),
            Ok(response) => read_json(response, started, |body| Some(body.to_string())),
        }
    }

    /// Returns the JSON document at a path of a host.
    ///
    /// # Errors
    ///
    /// Returns a message if the host cannot be reached or the response is not JSON.
    pub fn get_json(&self, host: SocketAddr, path: &str) -> Result<Value, String> {
        let text = self.get_text(host, path)?;
        serde_json::from_str(&text).map_err(|error| error.to_string())
    }

    /// Returns the response body at a path of a host, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns a message if the host cannot be reached or the body is not text.
    pub fn get_text(&self, host: SocketAddr, path: &str) -> Result<String, String> {
        let response = self.agent.get(format!("http://{host}{path}")).call();
        let response = response.map_err(|error| error.to_string())?;
        response
            .into_body()
            .read_to_string()
            .map_err(|error| error.to_string())
    }
}

type Response = ureq::http::Response<ureq::Body>;

fn read_refusal(response: Response) -> CallResult {
    let status = response.status().as_u16();
    let retry_after = response.headers().get("retry-after");
    let retry_after_s = retry_after
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok());
    let text = response.into_body().read_to_string().unwrap_or_default();
    let refusal = serde_json::from_str(&text).unwrap_or(Value::String(text));
    CallResult::Refused {
        status,
        refusal,
        text: String::new(),
        retry_after_s,
    }
}

fn read_json(
    response: Response,
    started: Instant,
    text: impl FnOnce(&Value) -> Option<String>,
) -> CallResult {
    let body = response
        .into_body()
        .read_to_string()
        .map_err(|error| error.to_string());
    let body = body
        .and_then(|body| serde_json::from_str::<Value>(&body).map_err(|error| error.to_string()));
    let total = started.elapsed();
    match body.map(|body| text(&body)) {
        Ok(Some(text)) => CallResult::Complete {
            text,
            first_token: total,
            total,
        },
        Ok(None) => CallResult::Failed {
            message: "the response has no message content".to_owned(),
        },
        Err(message) => CallResult::Failed { message },
    }
}

fn read_stream(response: Response, started: Instant) -> CallResult {
    let mut lines = BufReader::new(response.into_body().into_reader());
    let mut text = String::new();
    let mut first_token = None;
    loop {
        let mut line = String::new();
        match lines.read_line(&mut line) {
            Ok(0) => {
                return CallResult::Failed {
                    message: "the stream ended before the event [DONE]".to_owned(),
                };
            }
            Err(error) => {
                return CallResult::Failed {
                    message: error.to_string(),
                };
            }
            Ok(_) => {}
        }
        let Some(data) = line.trim_end().strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            let total = started.elapsed();
            return CallResult::Complete {
                text,
                first_token: first_token.unwrap_or(total),
                total,
            };
        }
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            return CallResult::Failed {
                message: format!("the stream has an event that is not JSON: {data}"),
            };
        };
        if !event["error"].is_null() {
            let refusal = event["error"].clone();
            return CallResult::Refused {
                status: 200,
                refusal,
                text,
                retry_after_s: None,
            };
        }
        if let Some(token) = event["choices"][0]["delta"]["content"].as_str() {
            first_token.get_or_insert_with(|| started.elapsed());
            text.push_str(token);
        }
    }
}
