//! HTTP server of an engine, which advances the simulated engine in real time.

mod state;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, unbounded};
use hickoryhall_http::{BindError, EventWriter, Method, Request, header, read_body, respond_json};
use serde::Deserialize;
use serde_json::json;

use super::{
    EngineConfig, EngineFaults, Fault, JobId, LoadBody, OrderBody, PieceKey, PromptBody,
    SimulatedEngine, continuation_start, pieces_of, token_text,
};
use crate::{ServerThread, spawn_server};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Time for which a job is kept after its stream broke or its answer was generated, so that a
/// reader can resume the stream.
const RESUME_WINDOW: Duration = Duration::from_secs(5);
/// Maximum age of a load report before a new one replaces it.
const MAX_LOAD_AGE: Duration = Duration::from_millis(500);
/// Maximum number of cache events kept for readers.
const MAX_CACHE_EVENTS: usize = 10_000;
/// Time to load weights. It assumes that at most two engines load at the same time, the default
/// limit of the order planner; the stand-in does not model slower loads above that.
const WEIGHTS_LOAD_TIME: Duration = Duration::from_millis(600);

/// Progress of a job, sent to the reader of its stream; `count` is the number of tokens that the job
/// has generated so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    First { cached_tokens: u32 },
    Tokens { count: u32 },
    Done,
}

/// Job as its reader sees it, kept until its answer was sent completely or [`RESUME_WINDOW`] has
/// passed.
struct JobRecord {
    answer_key: u64,
    /// Index in the answer of the first token that the job generates.
    first_index: u32,
    cached_tokens: u32,
    /// Tokens that the job has generated so far, without those before `first_index`.
    token_count: u32,
    is_done: bool,
    resume_window_start: Option<Instant>,
    /// Channel to the reader of the stream, `None` while there is no reader.
    sender: Option<Sender<Progress>>,
    has_poison_marker: bool,
}

struct CacheEvent {
    sequence: u64,
    /// Whether the piece was stored; `false` if it was evicted.
    stored: bool,
    key: PieceKey,
}

struct State {
    engine: SimulatedEngine,
    name: String,
    served_model: String,
    weights_version: u64,
    /// Time at which `desired_version` is loaded.
    weights_ready_at: Instant,
    desired_version: u64,
    load_count: u64,
    check_fencing: bool,
    highest_fencing: u64,
    refused_orders: u64,
    leaving: bool,
    down_until: Option<Instant>,
    faults: EngineFaults,
    jobs: HashMap<JobId, JobRecord>,
    jobs_by_attempt: HashMap<String, JobId>,
    next_job_id: JobId,
    events: VecDeque<CacheEvent>,
    next_event_sequence: u64,
    last_load: Option<(Instant, LoadBody)>,
}

struct Shared {
    state: Mutex<State>,
    wake: Condvar,
}

/// A running engine server; dropping it stops the server.
pub struct EngineServer {
    server: ServerThread,
    shared: Arc<Shared>,
}

impl EngineServer {
    /// Starts an engine with weights version 1.
    ///
    /// The engine reports `name` in its cache events and `served_model` in its load. It refuses
    /// orders with an old fencing number if `check_fencing` is set.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot listen on the address.
    ///
    /// # Panics
    ///
    /// Panics if the operating system does not create a thread.
    pub fn start(
        address: SocketAddr,
        name: &str,
        served_model: &str,
        check_fencing: bool,
        config: EngineConfig,
    ) -> Result<Self, BindError> {
        let state = State::new(name, served_model, check_fencing, config);
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            wake: Condvar::new(),
        });
        let weak = Arc::downgrade(&shared);
        thread::Builder::new()
            .name("engine-clock".to_owned())
            .spawn(move || {
                while let Some(shared) = weak.upgrade() {
                    shared.tick();
                }
            })
            .expect("failed to spawn the engine clock thread");
        let handler = Arc::clone(&shared);
        let server = spawn_server(address, move |request| {
            handler.handle(request);
        })?;
        Ok(Self { server, shared })
    }

    /// Returns the address that the engine listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Injects a fault, as `POST /control` does.
    pub fn inject_fault(&self, fault: &Fault) {
        self.shared.lock().apply(fault);
        self.shared.wake.notify_all();
    }

    /// Returns the number of waiting and running jobs.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.shared.lock().engine.job_count()
    }

    /// Returns the number of weights loads and the number of orders refused for an old fencing number
    /// since the start of the server.
    #[must_use]
    pub fn order_counts(&self) -> (u64, u64) {
        let state = self.shared.lock();
        (state.load_count, state.refused_orders)
    }

    /// Returns the incarnation of the engine, which increases with each crash.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.shared.lock().engine.incarnation()
    }

    /// Returns the weights version that the engine serves. While it loads another version, this is
    /// the previous one.
    #[must_use]
    pub fn weights_version(&self) -> u64 {
        self.shared.lock().weights_version
    }
}

#[derive(Deserialize)]
struct AttemptBody {
    request_id: String,
    attempt_id: u64,
    #[serde(default)]
    from_index: u32,
}

impl AttemptBody {
    fn attempt_key(&self) -> String {
        format!("{}/{}", self.request_id, self.attempt_id)
    }
}

/// Position of a stream to one reader, and the faults to inject into it.
struct StreamPlan {
    request_id: String,
    attempt_id: u64,
    next_index: u32,
    /// Number of generated tokens after which the connection is closed.
    break_after: Option<u32>,
    has_wrong_id: bool,
    /// Whether the next token is omitted.
    skip: bool,
    stall: Duration,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tick(&self) {
        const MAX_SLEEP: Duration = Duration::from_millis(100);
        let mut state = self.lock();
        let now = Instant::now();
        state.advance(now);
        let next = state
            .engine
            .next_event_at()
            .map(|at| at.saturating_duration_since(now));
        let sleep = next.unwrap_or(MAX_SLEEP).min(MAX_SLEEP);
        let sleep = sleep.max(Duration::from_millis(1));
        drop(self.wake.wait_timeout(state, sleep));
    }

    fn handle(&self, mut request: Request) {
        let path = request
            .path_and_query()
            .split('?')
            .next()
            .unwrap_or_default()
            .to_owned();
        let body = match read_body(&mut request, MAX_BODY_BYTES) {
            Ok(body) => body,
            Err(error) => return respond_json(request, 400, &json!({"error": error.to_string()})),
        };
        if path == "/control" {
            return self.control(request, &body);
        }
        if self.lock().is_down() {
            // Closes the connection without a response, as the host of a crashed engine does.
            request.close_connection();
            return;
        }
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/load") => respond_json(request, 200, &self.load()),
            (Method::GET, "/v1/cache_events") => self.cache_events(request),
            (Method::POST, "/v1/chat/completions") => self.complete(request, &body),
            (Method::POST, "/v1/resume") => self.resume(request, &body),
            (Method::POST, "/v1/cancel") => self.cancel(request, &body),
            (Method::POST, "/orders") => self.order(request, &body),
            (Method::POST, "/v1/kv/export") => self.export(request, &body),
            (Method::POST, "/v1/kv/import") => self.import(request, &body),
            _ => respond_json(request, 404, &json!({"error": "no such path"})),
        }
    }

    fn load(&self) -> LoadBody {
        self.lock().load()
    }

    fn control(&self, request: Request, body: &[u8]) {
        match serde_json::from_slice::<Fault>(body) {
            Ok(fault) => {
                self.lock().apply(&fault);
                self.wake.notify_all();
                respond_json(request, 200, &json!({"ok": true}));
            }
            Err(error) => respond_json(request, 400, &json!({"error": error.to_string()})),
        }
    }

    fn complete(&self, request: Request, body: &[u8]) {
        let body = match serde_json::from_slice::<PromptBody>(body) {
            Ok(body) => body,
            Err(error) => return respond_json(request, 400, &json!({"error": error.to_string()})),
        };
        let mut state = self.lock();
        let is_loading = state.desired_version != state.weights_version;
        if state.leaving || is_loading || state.weights_version != body.weights_version {
            let response = json!({
                "error": "not served here",
                "leaving": state.leaving,
                "weights_version": if is_loading { 0 } else { state.weights_version },
                "ran": "no",
            });
            drop(state);
            return respond_json(request, 503, &response);
        }
        let request_id = header(&request, "X-Request-Id")
            .unwrap_or_default()
            .to_owned();
        let attempt_id = header(&request, "X-Attempt-Id").and_then(|id| id.parse().ok());
        let attempt_id = attempt_id.unwrap_or(0);
        if state.faults.garbage > 0 {
            state.faults.garbage -= 1;
            drop(state);
            return send_garbage(request);
        }
        let plan = state.plan_stream(request_id, attempt_id, continuation_start(&body));
        let (id, progress) = state.submit(format!("{}/{attempt_id}", plan.request_id), &body);
        let incarnation = state.engine.incarnation();
        drop(state);
        self.wake.notify_all();
        self.stream(request, id, &progress, plan, incarnation);
    }

    fn resume(&self, request: Request, body: &[u8]) {
        let body = match serde_json::from_slice::<AttemptBody>(body) {
            Ok(body) => body,
            Err(error) => return respond_json(request, 400, &json!({"error": error.to_string()})),
        };
        let mut state = self.lock();
        let Some(&id) = state.jobs_by_attempt.get(&body.attempt_key()) else {
            let incarnation = state.engine.incarnation();
            drop(state);
            let response = json!({"error": "no such attempt", "incarnation": incarnation});
            return respond_json(request, 404, &response);
        };
        let incarnation = state.engine.incarnation();
        let (sender, progress) = unbounded();
        let record = state.jobs.get_mut(&id).expect("no job for a known attempt");
        record.resume_window_start = None;
        if record.token_count > 0 {
            // The channel is unbounded and its receiver exists, so sending cannot fail.
            let _ = sender.send(Progress::First {
                cached_tokens: record.cached_tokens,
            });
            let _ = sender.send(Progress::Tokens {
                count: record.token_count,
            });
        }
        if record.is_done {
            let _ = sender.send(Progress::Done);
        }
        record.sender = Some(sender);
        let plan = state.plan_stream(body.request_id, body.attempt_id, body.from_index);
        drop(state);
        self.stream(request, id, &progress, plan, incarnation);
    }

    fn stream(
        &self,
        request: Request,
        id: JobId,
        progress: &Receiver<Progress>,
        plan: StreamPlan,
        incarnation: u64,
    ) {
        let is_complete = self.write_stream(request, id, progress, plan, incarnation);
        let mut state = self.lock();
        if is_complete {
            state.jobs.remove(&id);
            state.jobs_by_attempt.retain(|_, job| *job != id);
        } else if let Some(record) = state.jobs.get_mut(&id) {
            record.resume_window_start = Some(Instant::now());
            record.sender = None;
        }
    }

    /// Writes tokens as they are generated and returns whether the answer was written completely.
    fn write_stream(
        &self,
        request: Request,
        id: JobId,
        progress: &Receiver<Progress>,
        mut plan: StreamPlan,
        incarnation: u64,
    ) -> bool {
        let (answer_key, first_index) = match self.lock().jobs.get(&id) {
            // Another key gives other tokens, as the answer to another request has.
            Some(record) => (
                record.answer_key ^ u64::from(plan.has_wrong_id),
                record.first_index,
            ),
            None => {
                request.close_connection();
                return false;
            }
        };
        let headers = [("X-Incarnation", incarnation.to_string())];
        let headers = headers
            .each_ref()
            .map(|(name, value)| (*name, value.as_str()));
        let Ok(mut writer) = EventWriter::start(request, &headers) else {
            return false;
        };
        let mut cached = None;
        loop {
            let Ok(progress) = progress.recv() else {
                return false;
            };
            let count = match progress {
                Progress::First { cached_tokens } => {
                    cached = Some(cached_tokens);
                    1
                }
                Progress::Tokens { count } => count,
                Progress::Done => break,
            };
            thread::sleep(std::mem::take(&mut plan.stall));
            while plan.next_index < first_index + count {
                if plan
                    .break_after
                    .is_some_and(|after| plan.next_index >= first_index + after)
                {
                    return false;
                }
                let index = plan.next_index;
                plan.next_index += 1;
                if std::mem::take(&mut plan.skip) {
                    continue;
                }
                let event = json!({
                    "id": plan.request_id,
                    "attempt_id": plan.attempt_id,
                    "incarnation": incarnation,
                    "token_index": index,
                    "cached_tokens": cached,
                    "choices": [{"index": 0, "delta": {"content": token_text(answer_key, index)}}],
                });
                if writer.send_event(&event.to_string()).is_err() {
                    return false;
                }
            }
        }
        let done = json!({
            "id": plan.request_id,
            "attempt_id": plan.attempt_id,
            "incarnation": incarnation,
            "tokens": plan.next_index,
            "choices": [{"index": 0, "delta": {}, "finish_reason": "length"}],
        });
        writer
            .send_event(&done.to_string())
            .and_then(|()| writer.send_event("[DONE]"))
            .is_ok()
            && writer.finish().is_ok()
    }

    fn cancel(&self, request: Request, body: &[u8]) {
        if let Ok(body) = serde_json::from_slice::<AttemptBody>(body) {
            let mut state = self.lock();
            if let Some(id) = state.jobs_by_attempt.get(&body.attempt_key()).copied() {
                state.drop_job(Instant::now(), id);
            }
        }
        respond_json(request, 200, &json!({"ok": true}));
    }

    fn order(&self, request: Request, body: &[u8]) {
        let result = serde_json::from_slice::<OrderBody>(body)
            .map_err(|error| error.to_string())
            .and_then(|body| self.lock().order(&body));
        match result {
            Ok(()) => respond_json(request, 200, &json!({"ok": true})),
            Err(error) => respond_json(request, 409, &json!({"error": error})),
        }
    }

    fn cache_events(&self, request: Request) {
        let after = request
            .path_and_query()
            .split("after=")
            .nth(1)
            .and_then(|n| n.parse::<u64>().ok());
        let after = after.unwrap_or(0);
        let state = self.lock();
        let events = state
            .events
            .iter()
            .filter(|event| event.sequence > after)
            .map(|e| json!({"sequence": e.sequence, "stored": e.stored, "key": e.key}))
            .collect::<Vec<_>>();
        let body = json!({
            "engine": state.name,
            "incarnation": state.engine.incarnation(),
            "events": events,
        });
        drop(state);
        respond_json(request, 200, &body);
    }

    fn export(&self, request: Request, body: &[u8]) {
        let Ok(body) = serde_json::from_slice::<PromptBody>(body) else {
            return respond_json(request, 400, &json!({"error": "no prompt"}));
        };
        let pieces = pieces_of(&body.cache_salt, &body.messages);
        let cached_tokens = self.lock().engine.cached_tokens(&pieces);
        respond_json(request, 200, &json!({"cached_tokens": cached_tokens}));
    }

    fn import(&self, request: Request, body: &[u8]) {
        let Ok(body) = serde_json::from_slice::<PromptBody>(body) else {
            return respond_json(request, 400, &json!({"error": "no prompt"}));
        };
        let pieces = pieces_of(&body.cache_salt, &body.messages);
        self.lock().engine.import(&pieces);
        respond_json(request, 200, &json!({"ok": true}));
    }
}

fn send_garbage(request: Request) {
    if let Ok(mut writer) = EventWriter::start(request, &[]) {
        // Errors are ignored: it does not matter whether the reader is still connected.
        let _ = writer
            .send_event("{\"nonsense\": tru")
            .and_then(|()| writer.send_bytes(b"\xff\xfe\r\n"));
    }
}
