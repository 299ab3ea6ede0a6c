//! Stand-in for the platform's list of hosts and backend servers, which shows changes with a delay.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hickoryhall_http::{BindError, Method, read_body, respond_json};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{ServerThread, spawn_server};

const MAX_BODY_BYTES: usize = 1 << 20;

/// Role of an entry in the host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostListEntryKind {
    /// An entry host.
    Entry,
    /// A runner that serves a model.
    Runner,
    /// A server of a plain service.
    Service,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostListEntry {
    /// Name of the host or backend server, unique in the list.
    pub id: String,
    /// Role of the host or backend server.
    pub kind: HostListEntryKind,
    /// Name of the failure domain that the host or backend server is in.
    pub failure_domain: String,
    /// Address that serves requests; for an entry host, the address for messages between hosts.
    pub address: SocketAddr,
    /// Name of the model or plain service that it serves; empty for an entry host.
    #[serde(default)]
    pub target: String,
    /// Whether it is shutting down and accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
}

struct State {
    lag: Duration,
    /// Lists with the times at which they were set, oldest first.
    lists: Vec<(Instant, Vec<HostListEntry>)>,
    down: bool,
}

/// A running host list server; dropping it stops the server.
pub struct HostListServer {
    server: ServerThread,
    state: Arc<Mutex<State>>,
}

impl HostListServer {
    /// Starts an empty list that shows each change after `lag`, except for the first one, which it
    /// shows at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot listen on the address.
    pub fn start(address: SocketAddr, lag: Duration) -> Result<Self, BindError> {
        let state = Arc::new(Mutex::new(State {
            lag,
            lists: Vec::new(),
            down: false,
        }));
        let shared = Arc::clone(&state);
        let server = spawn_server(address, move |mut request| {
            let body = read_body(&mut request, MAX_BODY_BYTES).unwrap_or_default();
            match (request.method().clone(), request.path_and_query()) {
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
        Ok(Self { server, state })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the list, as `POST /control` does; readers see the new list after the lag.
    pub fn set(&self, list: Vec<HostListEntry>) {
        lock(&self.state).set(list);
    }

    /// Starts or ends an outage, during which `GET /hosts` fails with status 503.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    fn set(&mut self, list: Vec<HostListEntry>) {
        self.lists.push((Instant::now(), list));
    }

    fn current(&mut self) -> Option<Vec<HostListEntry>> {
        if self.down {
            return None;
        }
        let now = Instant::now();
        let lag = self.lag;
        let visible = self
            .lists
            .iter()
            .rposition(|(at, _)| now.duration_since(*at) >= lag);
        let visible = visible.unwrap_or(0);
        self.lists.drain(..visible);
        Some(
            self.lists
                .first()
                .map(|(_, list)| list.clone())
                .unwrap_or_default(),
        )
    }
}
