//! State of an engine server: jobs, faults, orders and load, without HTTP.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, unbounded};

use super::super::text::answer_key;
use super::super::{
    EngineConfig, EngineEvent, EngineFaults, EngineModel, Fault, Job, JobId, LoadBody, Order,
    OrderBody, PieceKey, PromptBody, continuation_start, pieces_of,
};
use super::{
    CacheEvent, EVENT_LIMIT, LOAD_LAG, Log, Progress, RESUME_WINDOW, State, StreamPlan,
    WEIGHTS_LOAD,
};

impl State {
    pub(super) fn new(
        name: &str,
        served_model: &str,
        check_fencing: bool,
        config: EngineConfig,
    ) -> Self {
        Self {
            model: EngineModel::new(config),
            name: name.to_owned(),
            served_model: served_model.to_owned(),
            weights_version: 1,
            weights_ready_at: Instant::now(),
            wanted_version: 1,
            loads: 0,
            check_fencing,
            fencing: 0,
            refused_orders: 0,
            leaving: false,
            down_until: None,
            faults: EngineFaults::default(),
            jobs: HashMap::new(),
            by_attempt: HashMap::new(),
            next_job: 1,
            events: VecDeque::new(),
            next_event: 1,
            load: None,
        }
    }

    pub(super) fn apply(&mut self, fault: &Fault) {
        match fault.clone() {
            Fault::Crash { down_ms } => self.crash(Duration::from_millis(down_ms)),
            Fault::Leaving { on } => self.leaving = on,
            Fault::BreakStreams {
                count,
                after_tokens,
            } => {
                self.faults.break_streams = count;
                self.faults.break_after_tokens = after_tokens;
            }
            Fault::Garbage { count } => self.faults.garbage = count,
            Fault::SkipToken { count } => self.faults.skip_token = count,
            Fault::WrongId { count } => self.faults.wrong_id = count,
            Fault::Stall { count, stall_ms } => {
                self.faults.stall = count;
                self.faults.stall_ms = stall_ms;
            }
            Fault::Poison { marker } => self.faults.poison = marker,
            Fault::EventGaps { every } => self.faults.event_gaps_every = every,
        }
    }

    pub(super) fn crash(&mut self, down: Duration) {
        self.model.crash();
        // Dropping the senders of the jobs ends every stream.
        self.jobs.clear();
        self.by_attempt.clear();
        self.events.clear();
        self.load = None;
        self.leaving = false;
        self.down_until = Some(Instant::now() + down);
    }

    pub(super) fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    pub(super) fn advance(&mut self, now: Instant) {
        if self.wanted_version != self.weights_version && now >= self.weights_ready_at {
            self.weights_version = self.wanted_version;
            self.model.clear_cache();
        }
        let mut events = Vec::new();
        self.model.advance(now, &mut events);
        events.into_iter().for_each(|event| self.take(event));
        self.drop_unread(now);
    }

    pub(super) fn take(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::FirstToken {
                id, cached_tokens, ..
            } => {
                if self.jobs.get(&id).is_some_and(|log| log.poisoned) {
                    self.crash(Duration::from_millis(500));
                    return;
                }
                self.progress(id, Progress::First { cached_tokens });
            }
            EngineEvent::Tokens { id, count } => self.progress(id, Progress::Tokens { count }),
            EngineEvent::Done { id, .. } => self.progress(id, Progress::Done),
            EngineEvent::Stored(key) => self.record(true, key),
            EngineEvent::Evicted(key) => self.record(false, key),
        }
    }

    pub(super) fn progress(&mut self, id: JobId, progress: Progress) {
        let Some(log) = self.jobs.get_mut(&id) else {
            return;
        };
        match progress {
            Progress::First { cached_tokens } => {
                log.cached_tokens = cached_tokens;
                log.count = 1;
            }
            Progress::Tokens { count } => log.count = count,
            Progress::Done => {
                log.done = true;
                log.unread_since.get_or_insert_with(Instant::now);
            }
        }
        if let Some(reader) = &log.reader {
            // Fails only if the reader is gone; `Shared::stream` handles that when the stream ends.
            let _ = reader.send(progress);
        }
    }

    pub(super) fn record(&mut self, stored: bool, key: PieceKey) {
        let sequence = self.next_event;
        self.next_event += 1;
        let every = self.faults.event_gaps_every;
        if every > 0 && sequence.is_multiple_of(every) {
            return;
        }
        self.events.push_back(CacheEvent {
            sequence,
            stored,
            key,
        });
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }

    pub(super) fn drop_unread(&mut self, now: Instant) {
        let overdue = |log: &Log| {
            log.unread_since
                .is_some_and(|at| now.duration_since(at) > RESUME_WINDOW)
        };
        let ended = self
            .jobs
            .iter()
            .filter(|(_, log)| overdue(log))
            .map(|(&id, _)| id);
        for id in ended.collect::<Vec<_>>() {
            self.drop_job(now, id);
        }
    }

    pub(super) fn drop_job(&mut self, now: Instant, id: JobId) {
        self.model.cancel(now, id);
        self.jobs.remove(&id);
        self.by_attempt.retain(|_, job| *job != id);
    }

    pub(super) fn submit(
        &mut self,
        attempt: String,
        body: &PromptBody,
    ) -> (JobId, Receiver<Progress>) {
        let now = Instant::now();
        self.advance(now);
        let id = self.next_job;
        self.next_job += 1;
        let (reader, progress) = unbounded();
        let marker = &self.faults.poison;
        let has_marker =
            |m: &crate::engine::Message| !marker.is_empty() && m.content.contains(marker);
        let first_index = continuation_start(body);
        let log = Log {
            answer_key: answer_key(body),
            first_index,
            cached_tokens: 0,
            count: 0,
            done: false,
            unread_since: None,
            reader: Some(reader),
            poisoned: body.messages.iter().any(has_marker),
        };
        self.jobs.insert(id, log);
        self.by_attempt.insert(attempt, id);
        let job = Job {
            id,
            pieces: pieces_of(&body.cache_salt, &body.messages),
            output_tokens: body.max_tokens.saturating_sub(first_index).max(1),
            priority: body.priority,
        };
        self.model.submit(now, job);
        (id, progress)
    }

    pub(super) fn load(&mut self) -> LoadBody {
        let now = Instant::now();
        let fresh = self
            .load
            .as_ref()
            .filter(|(at, _)| now.duration_since(*at) < LOAD_LAG);
        if let Some((_, body)) = fresh {
            return LoadBody {
                leaving: self.leaving,
                ..body.clone()
            };
        }
        let body = LoadBody {
            incarnation: self.model.incarnation(),
            model: self.served_model.clone(),
            weights_version: if self.wanted_version == self.weights_version {
                self.weights_version
            } else {
                0
            },
            waiting_tokens: self.model.waiting_tokens(now),
            jobs: self.model.jobs(),
            prefill_tokens_per_s: self.model.config().prefill_tokens_per_s,
            cache_tokens: self.model.config().cache_tokens,
            leaving: self.leaving,
        };
        self.load = Some((now, body.clone()));
        body
    }

    pub(super) fn order(&mut self, body: &OrderBody) -> Result<(), String> {
        if self.check_fencing && body.fencing < self.fencing {
            self.refused_orders += 1;
            return Err(format!(
                "fencing number {} is older than {}",
                body.fencing, self.fencing
            ));
        }
        self.fencing = self.fencing.max(body.fencing);
        match &body.order {
            Order::LoadWeights { weights_version } if *weights_version != self.wanted_version => {
                self.wanted_version = *weights_version;
                self.weights_ready_at = Instant::now() + WEIGHTS_LOAD;
                self.loads += 1;
            }
            Order::LoadWeights { .. } | Order::LoadAdapter { .. } => {}
            Order::Drain => self.leaving = true,
        }
        Ok(())
    }

    pub(super) fn plan(
        &mut self,
        request_id: String,
        attempt_id: u64,
        next_index: u32,
    ) -> StreamPlan {
        let faults = &mut self.faults;
        let breaks = use_up(&mut faults.break_streams).then_some(faults.break_after_tokens);
        let skip = use_up(&mut faults.skip_token);
        let stalls = use_up(&mut faults.stall);
        let wrong = use_up(&mut faults.wrong_id);
        StreamPlan {
            request_id: if wrong {
                "another-request".to_owned()
            } else {
                request_id
            },
            attempt_id,
            next_index,
            break_after: breaks,
            is_crossed: wrong,
            skip,
            stall: if stalls {
                Duration::from_millis(faults.stall_ms)
            } else {
                Duration::ZERO
            },
        }
    }
}

fn use_up(count: &mut u32) -> bool {
    let used = *count > 0;
    *count = count.saturating_sub(1);
    used
}
