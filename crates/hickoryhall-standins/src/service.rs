//! Stand-in for a plain service that counts how many times each call ran.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use hickoryhall_http::{BindError, Method, Request, header, read_body, respond_json};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{ServerThread, spawn_server};

const MAX_BODY_BYTES: usize = 1 << 20;

/// Faults of the service; body of `POST /control`, which replaces all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Time that each call takes, in milliseconds.
    pub slow_ms: u64,
    /// Number of upcoming calls that run but get no response.
    pub lose_answers: u32,
    /// Number of upcoming calls that are refused before they run.
    pub refuse: u32,
    /// Whether the server reports that it is leaving and refuses all calls.
    pub leaving: bool,
}

#[derive(Default)]
struct State {
    faults: ServiceFaults,
    runs: HashMap<String, u32>,
}

/// A running service server; dropping it stops the server.
pub struct ServiceServer {
    server: ServerThread,
    state: Arc<Mutex<State>>,
}

impl ServiceServer {
    /// Starts a service that reports `name` as its server in each response.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot listen on the address.
    pub fn start(address: SocketAddr, name: &str) -> Result<Self, BindError> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let name = name.to_owned();
        let server = spawn_server(address, move |request| {
            handle(&shared, &name, request);
        })?;
        Ok(Self { server, state })
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults, as `POST /control` does.
    pub fn set_faults(&self, faults: ServiceFaults) {
        lock(&self.state).faults = faults;
    }

    /// Returns how many times calls ran, by their `Idempotency-Key` header. Calls without the header
    /// are counted under the empty key.
    #[must_use]
    pub fn run_counts(&self) -> HashMap<String, u32> {
        lock(&self.state).runs.clone()
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn handle(state: &Mutex<State>, name: &str, mut request: Request) {
    let body = read_body(&mut request, MAX_BODY_BYTES).unwrap_or_default();
    match (request.method().clone(), request.path_and_query()) {
        (Method::POST, "/control") => match serde_json::from_slice(&body) {
            Ok(faults) => {
                lock(state).faults = faults;
                respond_json(request, 200, &json!({"ok": true}));
            }
            Err(error) => respond_json(request, 400, &json!({"error": error.to_string()})),
        },
        (Method::GET, "/load") => {
            let leaving = lock(state).faults.leaving;
            respond_json(request, 200, &json!({"incarnation": 1, "leaving": leaving}));
        }
        (Method::GET, "/runs") => {
            let runs = lock(state).runs.clone();
            respond_json(request, 200, &runs);
        }
        _ => run(state, name, request),
    }
}

fn run(state: &Mutex<State>, name: &str, request: Request) {
    let key = header(&request, "Idempotency-Key")
        .unwrap_or_default()
        .to_owned();
    let (runs, slow_ms, loses_response) = {
        let mut state = lock(state);
        if state.faults.leaving || state.faults.refuse > 0 {
            state.faults.refuse = state.faults.refuse.saturating_sub(1);
            drop(state);
            let refusal = json!({"error": "not taken", "ran": "no"});
            return respond_json(request, 503, &refusal);
        }
        let loses_response = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        let runs = state.runs.entry(key.clone()).or_default();
        *runs += 1;
        (*runs, state.faults.slow_ms, loses_response)
    };
    thread::sleep(Duration::from_millis(slow_ms));
    if loses_response {
        request.close_connection();
    } else {
        respond_json(
            request,
            200,
            &json!({"server": name, "key": key, "run": runs}),
        );
    }
}
