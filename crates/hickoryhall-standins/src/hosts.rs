//! Stand-in for the platform's lagging list of hosts and backend servers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hickoryhall_http::{BindError, Method, read_body, respond_json};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{Running, start};

const BODY_LIMIT_BYTES: usize = 1 << 20;

/// What an entry of the list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An entry host.
    Entry,
    /// A runner of a model.
    Runner,
    /// A server of a plain service.
    Service,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Name.
    pub id: String,
    /// Kind.
    pub kind: Kind,
    /// Failure domain.
    pub failure_domain: String,
    /// Address for requests; for an entry host, that of the inner protocol.
    pub address: SocketAddr,
    /// Model or service, empty for an entry host.
    #[serde(default)]
    pub target: String,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

struct State {
    lag: Duration,
    versions: Vec<(Instant, Vec<Listed>)>,
    down: bool,
}

/// A running host list.
pub struct HostListServer {
    running: Running,
    state: Arc<Mutex<State>>,
}

impl HostListServer {
    /// Starts a list that shows changes after `lag`; the first list is shown at once.
    ///
    /// # Errors
    ///
    /// Returns an error where the address cannot be listened on.
    pub fn start(address: SocketAddr, lag: Duration) -> Result<Self, BindError> {
        let state = Arc::new(Mutex::new(State {
            lag,
            versions: Vec::new(),
            down: false,
        }));
        let shared = Arc::clone(&state);
        let running = start(address, move |mut request| {
            let body = read_body(&mut request, BODY_LIMIT_BYTES).unwrap_or_default();
            match (request.method().clone(), request.url()) {
                (Method::GET, "/hosts") => match lock(&shared).current() {
                    Some(list) => respond_json(request, 200, &list),
                    None => respond_json(request, 503, &json!({"error": "outage"})),
                },
                (Method::POST, "/control") => match serde_json::from_slice(&body) {
                    Ok(list) => {
                        lock(&shared).set(list);
                        respond_json(request, 200, &json!({"ok": true}));
                    }
                    Err(error) => respond_json(request, 400, &json!({"error": error.to_string()})),
                },
                _ => respond_json(request, 404, &json!({"error": "no such path"})),
            }
        })?;
        Ok(Self { running, state })
    }

    /// Returns the address that the list listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.running.address()
    }

    /// Replaces the list; readers see it after the lag.
    pub fn set(&self, list: Vec<Listed>) {
        lock(&self.state).set(list);
    }

    /// Switches an outage on or off.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    fn set(&mut self, list: Vec<Listed>) {
        self.versions.push((Instant::now(), list));
    }

    fn current(&mut self) -> Option<Vec<Listed>> {
        if self.down {
            return None;
        }
        let now = Instant::now();
        let lag = self.lag;
        let shown = self
            .versions
            .iter()
            .rposition(|(at, _)| now.duration_since(*at) >= lag);
        let shown = shown.unwrap_or(0);
        self.versions.drain(..shown);
        Some(
            self.versions
                .first()
                .map(|(_, list)| list.clone())
                .unwrap_or_default(),
        )
    }
}
