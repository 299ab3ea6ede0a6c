//! What the tests of the running system share: a small fleet and requests to it.
//!
//! ```no_run
//! use hickoryhall_testsuite::{Ask, small_fleet};
//!
//! let fleet = small_fleet();
//! let ask = Ask::new("question");
//! assert_eq!(ask.send(&fleet, 0).text(), Some(ask.expected().as_str()));
//! ```

use std::thread::JoinHandle;
use std::time::Duration;

use hickoryhall_clients::Message;
use hickoryhall_standins::engine::{EngineConfig, expected_answer};
use hickoryhall_tools::caller::{CallEnd, CallerClient, ModelCall, ServiceCall};
use hickoryhall_tools::fleet::{Fleet, FleetConfig, MODEL, SERVICE, workspace_key};

/// Time that a condition may take to hold before a test gives up on it.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// Deadline of requests.
const DEADLINE: Duration = Duration::from_secs(15);
/// Tokens of an answer.
const TOKENS: u32 = 20;

/// Starts a fleet of 2 failure domains with a host, 2 runners and a service server each.
///
/// # Panics
///
/// Panics where the fleet does not start.
#[must_use]
pub fn small_fleet() -> Fleet {
    fleet_of(small_config())
}

/// Returns the size of [`small_fleet`].
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

/// Starts a fleet.
///
/// # Panics
///
/// Panics where the fleet does not start.
#[must_use]
pub fn fleet_of(config: FleetConfig) -> Fleet {
    Fleet::start(config).expect("a fleet on free ports")
}

/// A request to a model.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Workspace that asks.
    pub workspace: u32,
    /// Id of the request.
    pub id: String,
    /// Prompt.
    pub messages: Vec<Message>,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
}

impl Ask {
    /// Creates a streamed request with a long shared prompt and a question.
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
            tokens: TOKENS,
            stream: true,
        }
    }

    /// Returns the answer that the first weights version gives.
    #[must_use]
    pub fn expected(&self) -> String {
        self.expected_of(1)
    }

    /// Returns the answer that a weights version gives.
    #[must_use]
    pub fn expected_of(&self, weights_version: u64) -> String {
        let messages = self
            .messages
            .iter()
            .map(|m| hickoryhall_standins::engine::Message {
                role: m.role.clone(),
                content: m.content.clone(),
            });
        expected_answer(&messages.collect::<Vec<_>>(), weights_version, self.tokens)
    }

    /// Sends the request to a host and waits for its end.
    #[must_use]
    pub fn send(&self, fleet: &Fleet, host: usize) -> CallEnd {
        self.send_to(fleet.address(host))
    }

    /// Sends the request to an address and waits for its end.
    #[must_use]
    pub fn send_to(&self, host: std::net::SocketAddr) -> CallEnd {
        CallerClient::default().model(
            host,
            &ModelCall {
                key: &workspace_key(self.workspace),
                request_id: &self.id,
                model: MODEL,
                messages: &self.messages,
                max_tokens: self.tokens,
                stream: self.stream,
                deadline: DEADLINE,
            },
        )
    }
}

impl Ask {
    /// Sends the request to a host on a thread of its own, and waits until a runner has it.
    ///
    /// # Panics
    ///
    /// Panics where no runner gets the request.
    #[must_use]
    pub fn start(&self, fleet: &Fleet, host: usize) -> JoinHandle<CallEnd> {
        let (ask, address) = (self.clone(), fleet.address(host));
        let caller = std::thread::spawn(move || ask.send_to(address));
        fleet
            .wait_until("the request runs", PATIENCE, is_busy)
            .expect("a busy runner");
        caller
    }
}

/// Tells whether a runner has work.
#[must_use]
pub fn is_busy(fleet: &Fleet) -> bool {
    fleet.runners.iter().any(|runner| runner.jobs() > 0)
}

/// Sends a booking under an idempotency key to a host.
#[must_use]
pub fn book(host: std::net::SocketAddr, key: &str) -> CallEnd {
    CallerClient::default().service(
        host,
        &ServiceCall {
            key: &workspace_key(0),
            path: &format!("{SERVICE}/coaches"),
            idempotency_key: Some(key),
            deadline: DEADLINE,
        },
    )
}

/// Returns how often a booking ran, over all servers.
#[must_use]
pub fn runs_of(fleet: &Fleet, key: &str) -> u32 {
    fleet
        .services
        .iter()
        .filter_map(|service| service.runs().get(key).copied())
        .sum()
}
