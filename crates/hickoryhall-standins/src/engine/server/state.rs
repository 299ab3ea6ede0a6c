//! State of an engine server: jobs, faults, orders and load, without HTTP.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, unbounded};

use super::super::text::answer_key;
use super::super::{
    EngineConfig, EngineEvent, EngineFaults, Fault, Job, JobId, LoadBody, Order, OrderBody,
    PieceKey, PromptBody, SimulatedEngine, continuation_start, pieces_of,
};
use super::{
    CacheEvent, JobRecord, MAX_CACHE_EVENTS, MAX_LOAD_AGE, Progress, RESUME_WINDOW, State,
    StreamPlan, WEIGHTS_LOAD_TIME,
};

impl State {
    pub(super) fn new(
        name: &str,
        served_model: &str,
        check_fencing: bool,
        config: EngineConfig,
    ) -> Self {
        Self {
            engine: SimulatedEngine::new(config),
            name: name.to_owned(),
            served_model: served_model.to_owned(),
            weights_version: 1,
            weights_ready_at: Instant::now(),
            desired_version: 1,
            load_count: 0,
            check_fencing,
            highest_fencing: 0,
            refused_orders: 0,
            leaving: false,
            down_until: None,
            faults: EngineFaults::default(),
            jobs: HashMap::new(),
            jobs_by_attempt: HashMap::new(),
            next_job_id: 1,
            events: VecDeque::new(),
            next_event_sequence: 1,
            last_load: None,
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

    pub(super) fn crash(&mut self, down_time: Duration) {
        self.engine.crash();
        // Dropping the senders of the jobs ends every stream.
        self.jobs.clear();
        self.jobs_by_attempt.clear();
        self.events.clear();
        self.last_load = None;
        self.leaving = false;
        self.down_until = Some(Instant::now() + down_time);
    }

    pub(super) fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    pub(super) fn advance(&mut self, now: Instant) {
        if self.desired_version != self.weights_version && now >= self.weights_ready_at {
            self.weights_version = self.desired_version;
            self.engine.clear_cache();
        }
        let mut events = Vec::new();
        self.engine.advance(now, &mut events);
        events
            .into_iter()
            .for_each(|event| self.on_engine_event(event));
        self.drop_expired_jobs(now);
    }

    pub(super) fn on_engine_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::FirstToken {
                id, cached_tokens, ..
            } => {
                if self
                    .jobs
                    .get(&id)
                    .is_some_and(|record| record.has_poison_marker)
                {
                    self.crash(Duration::from_millis(500));
                    return;
                }
                self.on_progress(id, Progress::First { cached_tokens });
            }
            EngineEvent::Tokens { id, count } => self.on_progress(id, Progress::Tokens { count }),
            EngineEvent::Done { id, .. } => self.on_progress(id, Progress::Done),
            EngineEvent::Stored(key) => self.push_cache_event(true, key),
            EngineEvent::Evicted(key) => self.push_cache_event(false, key),
        }
    }

    pub(super) fn on_progress(&mut self, id: JobId, progress: Progress) {
        let Some(record) = self.jobs.get_mut(&id) else {
            return;
        };
        match progress {
            Progress::First { cached_tokens } => {
                record.cached_tokens = cached_tokens;
                record.token_count = 1;
            }
            Progress::Tokens { count } => record.token_count = count,
            Progress::Done => {
                record.is_done = true;
                record.resume_window_start.get_or_insert_with(Instant::now);
            }
        }
        if let Some(sender) = &record.sender {
            // Fails only if the reader is gone; `Shared::stream` handles that when the stream ends.
            let _ = sender.send(progress);
        }
    }

    pub(super) fn push_cache_event(&mut self, stored: bool, key: PieceKey) {
        let sequence = self.next_event_sequence;
        self.next_event_sequence += 1;
        let every = self.faults.event_gaps_every;
        if every > 0 && sequence.is_multiple_of(every) {
            return;
        }
        self.events.push_back(CacheEvent {
            sequence,
            stored,
            key,
        });
        if self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
    }

    pub(super) fn drop_expired_jobs(&mut self, now: Instant) {
        let is_expired = |record: &JobRecord| {
            record
                .resume_window_start
                .is_some_and(|at| now.duration_since(at) > RESUME_WINDOW)
        };
        let expired = self
            .jobs
            .iter()
            .filter(|(_, record)| is_expired(record))
            .map(|(&id, _)| id);
        for id in expired.collect::<Vec<_>>() {
            self.drop_job(now, id);
        }
    }

    pub(super) fn drop_job(&mut self, now: Instant, id: JobId) {
        self.engine.cancel(now, id);
        self.jobs.remove(&id);
        self.jobs_by_attempt.retain(|_, job| *job != id);
    }

    pub(super) fn submit(
        &mut self,
        attempt: String,
        body: &PromptBody,
    ) -> (JobId, Receiver<Progress>) {
        let now = Instant::now();
        self.advance(now);
        let id = self.next_job_id;
        self.next_job_id += 1;
        let (sender, progress) = unbounded();
        let marker = &self.faults.poison;
        let has_marker =
            |m: &crate::engine::Message| !marker.is_empty() && m.content.contains(marker);
        let first_index = continuation_start(body);
        let record = JobRecord {
            answer_key: answer_key(body),
            first_index,
            cached_tokens: 0,
            token_count: 0,
            is_done: false,
            resume_window_start: None,
            sender: Some(sender),
            has_poison_marker: body.messages.iter().any(has_marker),
        };
        self.jobs.insert(id, record);
        self.jobs_by_attempt.insert(attempt, id);
        let job = Job {
            id,
            pieces: pieces_of(&body.cache_salt, &body.messages),
            output_tokens: body.max_tokens.saturating_sub(first_index).max(1),
            priority: body.priority,
        };
        self.engine.submit(now, job);
        (id, progress)
    }

    pub(super) fn load(&mut self) -> LoadBody {
        let now = Instant::now();
        let fresh = self
            .last_load
            .as_ref()
            .filter(|(at, _)| now.duration_since(*at) < MAX_LOAD_AGE);
        if let Some((_, body)) = fresh {
            return LoadBody {
                leaving: self.leaving,
                ..body.clone()
            };
        }
        let body = LoadBody {
            incarnation: self.engine.incarnation(),
            model: self.served_model.clone(),
            weights_version: if self.desired_version == self.weights_version {
                self.weights_version
            } else {
                0
            },
            waiting_tokens: self.engine.waiting_tokens(now),
            jobs: self.engine.job_count(),
            prefill_tokens_per_s: self.engine.config().prefill_tokens_per_s,
            cache_tokens: self.engine.config().cache_tokens,
            leaving: self.leaving,
        };
        self.last_load = Some((now, body.clone()));
        body
    }

    pub(super) fn order(&mut self, body: &OrderBody) -> Result<(), String> {
        if self.check_fencing && body.fencing < self.highest_fencing {
            self.refused_orders += 1;
            return Err(format!(
                "fencing number {} is older than {}",
                body.fencing, self.highest_fencing
            ));
        }
        self.highest_fencing = self.highest_fencing.max(body.fencing);
        match &body.order {
            Order::LoadWeights { weights_version } if *weights_version != self.desired_version => {
                self.desired_version = *weights_version;
                self.weights_ready_at = Instant::now() + WEIGHTS_LOAD_TIME;
                self.load_count += 1;
            }
            Order::LoadWeights { .. } | Order::LoadAdapter { .. } => {}
            Order::Drain => self.leaving = true,
        }
        Ok(())
    }

    pub(super) fn plan_stream(
        &mut self,
        request_id: String,
        attempt_id: u64,
        next_index: u32,
    ) -> StreamPlan {
        let faults = &mut self.faults;
        let break_after_tokens =
            consume_one(&mut faults.break_streams).then_some(faults.break_after_tokens);
        let skip = consume_one(&mut faults.skip_token);
        let is_stalled = consume_one(&mut faults.stall);
        let uses_wrong_id = consume_one(&mut faults.wrong_id);
        StreamPlan {
            request_id: if uses_wrong_id {
                "another-request".to_owned()
            } else {
                request_id
            },
            attempt_id,
            next_index,
            break_after: break_after_tokens,
            has_wrong_id: uses_wrong_id,
            skip,
            stall: if is_stalled {
                Duration::from_millis(faults.stall_ms)
            } else {
                Duration::ZERO
            },
        }
    }
}

fn consume_one(count: &mut u32) -> bool {
    let used = *count > 0;
    *count = count.saturating_sub(1);
    used
}
