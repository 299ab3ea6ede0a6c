//! HTTP server of the store, with outages, slow calls, lost responses, stale reads and rate limits.

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hickoryhall_http::{BindError, Method, Request, read_body, respond_json};
use serde::{Deserialize, Serialize};
use serde_json::{Value as Json, json};

use super::{LeaseId, PutCondition, SimulatedStore, StoreError, StoreRevision};
use crate::{ServerThread, spawn_server};

const MAX_BODY_BYTES: usize = 2 << 20;
/// Maximum time that a watch waits for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Faults of the store; body of `POST /control`, which replaces all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Whether every call fails with status 503.
    pub down: bool,
    /// Delay added to each call, in milliseconds.
    pub slow_ms: u64,
    /// Number of upcoming writes that take effect but get no response.
    pub lose_answers: u32,
    /// Whether reads return the oldest value that is kept for the key.
    pub stale: bool,
    /// Maximum number of writes per second; 0 for no limit.
    pub writes_per_s: u32,
    /// Maximum number of reads and watches per second; 0 for no limit.
    pub reads_per_s: u32,
}

/// Number of calls since the start of the server. Calls refused by a rate limit are counted, calls
/// during an outage are not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCalls {
    /// Puts, deletes, and grants and renewals of leases.
    pub writes: u64,
    /// Reads of a single key.
    pub reads: u64,
    /// Calls that wait for changes below a prefix.
    pub watches: u64,
}

#[derive(Default)]
struct State {
    store: SimulatedStore,
    faults: StoreFaults,
    calls: StoreCalls,
    window_start: Option<Instant>,
    writes_in_window: u32,
    reads_in_window: u32,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running store server; dropping it stops the server.
pub struct StoreServer {
    server: ServerThread,
    shared: Arc<Shared>,
}

impl StoreServer {
    /// Starts an empty store without faults.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot listen on the address.
    pub fn start(address: SocketAddr) -> Result<Self, BindError> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let handler = Arc::clone(&shared);
        let server = spawn_server(address, move |request| {
            handler.handle(request);
        })?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the store listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults, as `POST /control` does.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.lock().faults = faults;
    }

    /// Returns the number of calls by kind.
    #[must_use]
    pub fn calls(&self) -> StoreCalls {
        self.shared.lock().calls
    }

    /// Returns the current value of a key, regardless of the faults.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<String> {
        self.shared
            .lock()
            .store
            .get(Instant::now(), key)
            .map(|value| value.value)
    }
}

enum Call {
    Get {
        key: String,
    },
    Put {
        key: String,
        condition: PutCondition,
        lease: Option<LeaseId>,
    },
    Delete {
        key: String,
    },
    Grant,
    Renew {
        lease: LeaseId,
    },
    Watch {
        prefix: String,
        after: StoreRevision,
        wait: Duration,
    },
}

#[derive(Deserialize)]
struct GrantBody {
    ttl_ms: u64,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, mut request: Request) {
        let body = read_body(&mut request, MAX_BODY_BYTES).unwrap_or_default();
        let body = String::from_utf8_lossy(&body).into_owned();
        if request.path_and_query() == "/control" {
            return self.control(request, &body);
        }
        let Some(call) = parse_call(request.method(), request.path_and_query()) else {
            return respond_json(request, 404, &json!({"error": "no such call"}));
        };
        let faults = self.lock().faults;
        thread::sleep(Duration::from_millis(faults.slow_ms));
        if faults.down {
            return respond_json(request, 503, &json!({"error": "outage"}));
        }
        if !self.lock().admit(&call) {
            return respond_json(request, 429, &json!({"error": "rate limit"}));
        }
        if let Call::Watch {
            prefix,
            after,
            wait,
        } = call
        {
            return self.watch(request, &prefix, after, wait);
        }
        let is_write = !matches!(call, Call::Get { .. });
        let (status, response) = self.lock().apply(call, body);
        self.changed.notify_all();
        if is_write && self.lock().consume_lost_response() {
            // The write has taken effect, but the caller gets no response.
            request.close_connection();
            return;
        }
        respond_json(request, status, &response);
    }

    fn control(&self, request: Request, body: &str) {
        match serde_json::from_str(body) {
            Ok(faults) => {
                self.lock().faults = faults;
                respond_json(request, 200, &json!({"ok": true}));
            }
            Err(error) => respond_json(request, 400, &json!({"error": error.to_string()})),
        }
    }

    fn watch(&self, request: Request, prefix: &str, after: StoreRevision, wait: Duration) {
        let deadline = Instant::now() + wait.min(MAX_WATCH_WAIT);
        let mut state = self.lock();
        let changed = loop {
            let now = Instant::now();
            let changed = state.store.changed_since(now, prefix, after);
            if !changed.is_empty() || now >= deadline || state.faults.down {
                break changed;
            }
            // An outage that starts meanwhile does not signal `changed`, so it is checked regularly.
            let sleep = (deadline - now).min(Duration::from_millis(200));
            let waited = self.changed.wait_timeout(state, sleep);
            state = waited.map_or_else(|error| error.into_inner().0, |(state, _)| state);
        };
        let revision = state.store.revision();
        drop(state);
        let changed = changed
            .into_iter()
            .map(|(key, v)| json!({"key": key, "value": v.value, "revision": v.revision}))
            .collect::<Vec<_>>();
        respond_json(
            request,
            200,
            &json!({"revision": revision, "changed": changed}),
        );
    }
}

impl State {
    fn admit(&mut self, call: &Call) -> bool {
        let now = Instant::now();
        if self
            .window_start
            .is_none_or(|at| now.duration_since(at) >= Duration::from_secs(1))
        {
            self.window_start = Some(now);
            self.writes_in_window = 0;
            self.reads_in_window = 0;
        }
        let (count, limit) = match call {
            Call::Get { .. } => {
                self.calls.reads += 1;
                (&mut self.reads_in_window, self.faults.reads_per_s)
            }
            Call::Watch { .. } => {
                self.calls.watches += 1;
                (&mut self.reads_in_window, self.faults.reads_per_s)
            }
            _ => {
                self.calls.writes += 1;
                (&mut self.writes_in_window, self.faults.writes_per_s)
            }
        };
        *count += 1;
        limit == 0 || *count <= limit
    }

    fn consume_lost_response(&mut self) -> bool {
        let is_lost = self.faults.lose_answers > 0;
        self.faults.lose_answers = self.faults.lose_answers.saturating_sub(1);
        is_lost
    }

    fn apply(&mut self, call: Call, body: String) -> (u16, Json) {
        let now = Instant::now();
        let result = match call {
            Call::Get { key } => return self.get(now, &key),
            Call::Put {
                key,
                condition,
                lease,
            } => {
                let put = self.store.put(now, &key, body, condition, lease);
                put.map(|revision| json!({"revision": revision}))
            }
            Call::Delete { key } => {
                self.store.delete(now, &key);
                Ok(json!({"ok": true}))
            }
            Call::Grant => match serde_json::from_str::<GrantBody>(&body) {
                Ok(grant) => {
                    let ttl = Duration::from_millis(grant.ttl_ms);
                    Ok(json!({"lease": self.store.grant(now, ttl)}))
                }
                Err(error) => return (400, json!({"error": error.to_string()})),
            },
            Call::Renew { lease } => self.store.renew(now, lease).map(|()| json!({"ok": true})),
            Call::Watch { .. } => unreachable!("watches are handled by Shared::watch"),
        };
        match result {
            Ok(response) => (200, response),
            Err(StoreError::Conflict(revision)) => (409, json!({"revision": revision})),
            Err(StoreError::NoLease) => (410, json!({"error": "no such lease"})),
            Err(StoreError::TooLarge) => (413, json!({"error": "value too large"})),
        }
    }

    fn get(&mut self, now: Instant, key: &str) -> (u16, Json) {
        let stale = self.faults.stale;
        let value = if stale {
            self.store.get_stale(key)
        } else {
            self.store.get(now, key)
        };
        match value {
            Some(value) => (200, json!(value)),
            None => (404, json!({"error": "no such key"})),
        }
    }
}

fn parse_call(method: &Method, url: &str) -> Option<Call> {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let param = |name: &str| {
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
    };
    let number = |name: &str| param(name).and_then(|(_, value)| value.parse::<u64>().ok());
    if let Some(key) = path.strip_prefix("/v1/kv/") {
        let key = key.to_owned();
        return match *method {
            Method::GET => Some(Call::Get { key }),
            Method::PUT => {
                let condition = match number("if_revision") {
                    None => PutCondition::Always,
                    Some(0) => PutCondition::Absent,
                    Some(revision) => PutCondition::Revision(revision),
                };
                Some(Call::Put {
                    key,
                    condition,
                    lease: number("lease"),
                })
            }
            Method::DELETE => Some(Call::Delete { key }),
            _ => None,
        };
    }
    match (method, path) {
        (&Method::POST, "/v1/lease") => Some(Call::Grant),
        (&Method::POST, "/v1/lease/renew") => Some(Call::Renew {
            lease: number("lease")?,
        }),
        (&Method::GET, "/v1/watch") => Some(Call::Watch {
            prefix: param("prefix")?.1.to_owned(),
            after: number("after").unwrap_or(0),
            wait: Duration::from_millis(number("wait_ms").unwrap_or(0)),
        }),
        _ => None,
    }
}
