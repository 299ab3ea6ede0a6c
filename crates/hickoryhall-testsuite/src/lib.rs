//! Helpers shared by the end-to-end tests: a small local fleet and requests to it.
//!
//! ```no_run
//! use hickoryhall_testsuite::{ModelRequest, small_fleet};
//!
//! let fleet = small_fleet();
//! let request = ModelRequest::new("question");
//! assert_eq!(request.send(&fleet, 0).text(), Some(request.expected_text().as_str()));
//! ```

use std::thread::JoinHandle;
use std::time::Duration;

use hickoryhall_clients::Message;
use hickoryhall_standins::engine::{EngineConfig, expected_answer};
use hickoryhall_tools::caller::{CallResult, CallerClient, ModelCall, ServiceCall};
use hickoryhall_tools::fleet::{Fleet, FleetConfig, MODEL, SERVICE, workspace_key};

/// Time that a test waits for a condition before it fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Deadline of each request that the helpers send.
const REQUEST_DEADLINE: Duration = Duration::from_secs(15);
/// Default number of tokens in the answer to a [`ModelRequest`].
const ANSWER_TOKENS: u32 = 20;

/// Starts the fleet that [`small_config`] describes.
///
/// # Panics
///
/// Panics if the fleet does not start.
#[must_use]
pub fn small_fleet() -> Fleet {
    start_fleet(small_config())
}

/// Returns the configuration of [`small_fleet`]: 2 failure domains, each with 1 host, 2 runners and
/// 1 server of a plain service.
#[must_use]
pub fn small_config() -> FleetConfig {
    FleetConfig {
        domains: 2,
        hosts_per_domain: 1,
        runners_per_domain: 2,
        services_per_domain: 1,
        workspaces: 2,
        engine: EngineConfig {
            decode_interval: Duration::from_millis(10),
            ..EngineConfig::default()
        },
        ..FleetConfig::default()
    }
}

/// Starts a fleet with the given configuration.
///
/// # Panics
///
/// Panics if the fleet does not start.
#[must_use]
pub fn start_fleet(config: FleetConfig) -> Fleet {
    Fleet::start(config).expect("failed to start the fleet")
}

/// A chat completion request from a workspace to the model of the fleet.
#[derive(Clone, Debug)]
pub struct ModelRequest {
    /// Index of the workspace that sends the request.
    pub workspace: u32,
    /// Value of the `X-Request-Id` header.
    pub id: String,
    /// Messages of the prompt.
    pub messages: Vec<Message>,
    /// Number of tokens in the answer.
    pub tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
}

impl ModelRequest {
    /// Creates a streamed request of workspace 0 with a long system message that all requests share
    /// and `question` as user message. The request id is derived from `question`.
    #[must_use]
    pub fn new(question: &str) -> Self {
        let message = |role: &str, content: &str| Message {
            role: role.to_owned(),
            content: content.to_owned(),
        };
        Self {
            workspace: 0,
            id: format!("request-{question}").replace(' ', "-"),
            messages: vec![
                message("system", &"shared regulation text ".repeat(200)),
                message("user", question),
            ],
            tokens: ANSWER_TOKENS,
            stream: true,
        }
    }

    /// Returns the complete answer of a runner with weights version 1.
    #[must_use]
    pub fn expected_text(&self) -> String {
        self.expected_text_of(1)
    }

    /// Returns the complete answer of a runner with the given weights version.
    #[must_use]
    pub fn expected_text_of(&self, weights_version: u64) -> String {
        let messages = self
            .messages
            .iter()
            .map(|m| hickoryhall_standins::engine::Message {
                role: m.role.clone(),
                content: m.content.clone(),
            });
        expected_answer(&messages.collect::<Vec<_>>(), weights_version, self.tokens)
    }

    /// Sends the request to the host with index `host` and waits until the call ends.
    #[must_use]
    pub fn send(&self, fleet: &Fleet, host: usize) -> CallResult {
        self.send_to(fleet.address(host))
    }

    /// Sends the request to the host at an address and waits until the call ends.
    #[must_use]
    pub fn send_to(&self, host: std::net::SocketAddr) -> CallResult {
        CallerClient::default().call_model(
            host,
            &ModelCall {
                key: &workspace_key(self.workspace),
                request_id: &self.id,
                model: MODEL,
                messages: &self.messages,
                max_tokens: self.tokens,
                stream: self.stream,
                deadline: REQUEST_DEADLINE,
            },
        )
    }
}

impl ModelRequest {
    /// Sends the request to a host from a new thread and waits until a runner has a job.
    ///
    /// # Panics
    ///
    /// Panics if no runner has a job within [`WAIT_TIMEOUT`].
    #[must_use]
    pub fn spawn(&self, fleet: &Fleet, host: usize) -> JoinHandle<CallResult> {
        let (request, address) = (self.clone(), fleet.address(host));
        let caller = std::thread::spawn(move || request.send_to(address));
        fleet
            .wait_until("a runner has a job", WAIT_TIMEOUT, has_busy_runner)
            .expect("the request did not reach a runner");
        caller
    }
}

/// Returns whether at least one runner has a job.
#[must_use]
pub fn has_busy_runner(fleet: &Fleet) -> bool {
    fleet.runners.iter().any(|runner| runner.job_count() > 0)
}

/// Sends a booking, a service call that must not be repeated, with an idempotency key to a host.
#[must_use]
pub fn book(host: std::net::SocketAddr, key: &str) -> CallResult {
    CallerClient::default().call_service(
        host,
        &ServiceCall {
            key: &workspace_key(0),
            path: &format!("{SERVICE}/coaches"),
            idempotency_key: Some(key),
            deadline: REQUEST_DEADLINE,
        },
    )
}

/// Returns how many times the booking with an idempotency key ran, summed over all service servers.
#[must_use]
pub fn run_count(fleet: &Fleet, key: &str) -> u32 {
    fleet
        .services
        .iter()
        .filter_map(|service| service.run_counts().get(key).copied())
        .sum()
}
