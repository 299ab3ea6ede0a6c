//! Concurrent attempts of a request: a first attempt, and a hedge if its first token is late.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, unbounded};
use hickoryhall_clients::{ClientError, ClientErrorKind, StreamError, StreamEvent, Token};
use hickoryhall_telemetry::Span;
use hickoryhall_types::{Incarnation, Ran, RunnerId, Step};
use metrics::{counter, histogram};

use super::Answer;
use super::attempt_stream::{AttemptEvent, AttemptStream, StreamOpening};
use super::model::{CALLER_POLL_INTERVAL, ModelRun};
use crate::actors::CoreMsg;
use crate::dispatch::{AttemptEnd, AttemptId, Placed};

/// Maximum number of times that the stream of one attempt is resumed.
const MAX_RESUMES: u32 = 2;
/// Constant part of the wait for a first token before a hedge starts.
const HEDGE_MARGIN: Duration = Duration::from_millis(1_500);
/// Multiple of the expected time to the first token that is waited before a hedge starts.
const HEDGE_FACTOR: f64 = 3.0;

/// Longest time to wait for the placement of a hedge. Events of the first attempt are handled only
/// after it, and a placement that is held longer shows that no other runner is free.
const HEDGE_PLACEMENT_TIMEOUT: Duration = Duration::from_millis(50);

/// Distance between the priorities of two classes; priorities in table rows stay below it.
const PRIORITIES_PER_CLASS: u32 = 1_000_000;

/// How a group of concurrent attempts ended.
pub(super) enum GroupEnd {
    /// The answer is complete.
    Done,
    /// The caller hung up.
    Abandoned,
    /// The deadline passed.
    DeadlinePassed,
    /// Every attempt failed; holds the error of the last one and whether its runner died.
    Failed {
        error: Box<ClientError>,
        runner: RunnerId,
        runner_died: bool,
    },
}

/// An attempt in progress.
struct LiveAttempt {
    attempt_id: AttemptId,
    runner: RunnerId,
    address: SocketAddr,
    /// Incarnation of the runner: as known at the placement, then as sent with the latest token.
    incarnation: Incarnation,
    /// Number of times that the stream was resumed.
    resumes: u32,
    /// Whether the attempt brought a token to this group.
    has_token: bool,
    span: Span,
}

/// Concurrent attempts of one request, of which the first to bring a token is kept.
pub(super) struct AttemptGroup<'a> {
    run: &'a ModelRun<'a>,
    event_sender: Sender<AttemptEvent>,
    event_receiver: Receiver<AttemptEvent>,
    live: Vec<LiveAttempt>,
    /// When to start a hedge; `None` once it was tried, or where none is planned.
    hedge_at: Option<Instant>,
    /// When the latest token arrived, an attempt started or the idle limit was last exceeded.
    idle_since: Instant,
}

impl<'a> AttemptGroup<'a> {
    /// Starts the first attempt; a hedge is planned only where the caller has no token yet.
    pub fn start(
        run: &'a ModelRun<'a>,
        attempt_id: AttemptId,
        placed: &Placed,
        answer: &Answer,
    ) -> Self {
        let (event_sender, event_receiver) = unbounded();
        let expected = Duration::from_secs_f64(placed.choice.cost.total_ms() / 1_000.0);
        let hedge_at = Instant::now() + expected.mul_f64(HEDGE_FACTOR) + HEDGE_MARGIN;
        let mut group = Self {
            run,
            event_sender,
            event_receiver,
            live: Vec::new(),
            hedge_at: (answer.next_index() == 0).then_some(hedge_at),
            idle_since: Instant::now(),
        };
        group.start_attempt(attempt_id, placed, answer);
        group
    }

    /// Relays tokens to the caller until the answer ends or every attempt has failed.
    pub fn run(mut self, answer: &mut Answer) -> GroupEnd {
        let deadline = self.run.request.deadline;
        loop {
            let now = Instant::now();
            if answer.is_abandoned() || now >= deadline {
                self.cancel_all();
                return if now >= deadline {
                    GroupEnd::DeadlinePassed
                } else {
                    GroupEnd::Abandoned
                };
            }
            self.hedge_if_due(now, answer);
            let end = match self
                .event_receiver
                .recv_timeout(CALLER_POLL_INTERVAL.min(deadline - now))
            {
                Ok(event) => self.handle_event(event, answer),
                Err(_) => self.check_idle(answer),
            };
            if let Some(end) = end {
                return end;
            }
        }
    }

    fn start_attempt(&mut self, attempt_id: AttemptId, placed: &Placed, answer: &Answer) {
        let run = self.run;
        let context = run.context;
        let id = context.next_span_id();
        let span = context
            .spans
            .start(run.request.trace, id, "attempt", &placed.server.id);
        let tokens = answer.next_index();
        let opening = StreamOpening::Start {
            partial: (tokens > 0).then(|| (answer.text().to_owned(), tokens)),
            cache_salt: run.seed.cache_salt(),
            weights_version: run.weights_version,
            // Engines serve a lower number first, so the class outweighs the row's priority.
            priority: run.request.policy.priority + placed.class * PRIORITIES_PER_CLASS,
        };
        let live = LiveAttempt {
            attempt_id,
            runner: placed.server.id.clone(),
            address: placed.server.address,
            incarnation: placed.server.incarnation,
            resumes: 0,
            has_token: false,
            span,
        };
        self.open_stream(&live, opening);
        self.live.push(live);
        self.idle_since = Instant::now();
    }

    fn open_stream(&self, live: &LiveAttempt, opening: StreamOpening) {
        let LiveAttempt {
            attempt_id,
            address,
            ..
        } = *live;
        let traceparent = live.span.context().to_string();
        let stream = AttemptStream {
            address,
            attempt_id,
            opening,
            traceparent,
        };
        let started = stream.start(
            self.run.context,
            self.run.request,
            self.event_sender.clone(),
        );
        if let Err(unavailable) = started {
            let kind = ClientErrorKind::NotConnected(unavailable.to_string());
            let event = Err(ClientError {
                step: Step::Send,
                peer: address,
                kind,
            });
            // Sending cannot fail: `self` holds the receiver.
            let _ = self.event_sender.send(AttemptEvent { attempt_id, event });
        }
    }

    fn handle_event(&mut self, event: AttemptEvent, answer: &mut Answer) -> Option<GroupEnd> {
        let AttemptEvent { attempt_id, event } = event;
        let Some(index) = self
            .live
            .iter()
            .position(|live| live.attempt_id == attempt_id)
        else {
            counter!("late_answers_total").increment(1);
            return None;
        };
        match event {
            Ok(StreamEvent::Token(token)) => self.handle_token(index, &token, answer),
            Ok(StreamEvent::Done) => {
                let live = self.live.swap_remove(index);
                live.span.end("answered");
                self.run.report_end(live.attempt_id, AttemptEnd::Finished);
                self.cancel_all();
                Some(GroupEnd::Done)
            }
            Err(error) => self.handle_error(index, error, answer),
        }
    }

    fn handle_token(
        &mut self,
        index: usize,
        token: &Token,
        answer: &mut Answer,
    ) -> Option<GroupEnd> {
        // A token that the caller already has comes from the old connection of a resumed stream.
        if token.index != answer.next_index() {
            counter!("late_answers_total").increment(1);
            return None;
        }
        self.idle_since = Instant::now();
        self.live[index].incarnation = token.incarnation;
        if !std::mem::replace(&mut self.live[index].has_token, true) {
            self.handle_first_token(index, token, answer);
        }
        if answer.push_token(token.index, &token.text).is_err() {
            self.cancel_all();
            return Some(GroupEnd::Abandoned);
        }
        None
    }

    /// Keeps the attempt that brought the first token and cancels the others.
    fn handle_first_token(&mut self, index: usize, token: &Token, answer: &Answer) {
        let attempt_id = self.live[index].attempt_id;
        let cached_tokens = token.cached_tokens;
        self.run.context.core.send(CoreMsg::FirstToken {
            attempt_id,
            cached_tokens,
        });
        let (winner, others): (Vec<_>, Vec<_>) = std::mem::take(&mut self.live)
            .into_iter()
            .partition(|live| live.attempt_id == attempt_id);
        self.live = winner;
        others.into_iter().for_each(|live| self.cancel(live));
        if answer.next_index() > 0 {
            return;
        }
        let run = self.run;
        let tokens = run.chain.tokens();
        histogram!("ttft_seconds").record(run.request.arrived_at.elapsed().as_secs_f64());
        counter!("prompt_tokens_total").increment(tokens.into());
        counter!("prompt_tokens_cached_total").increment(cached_tokens.into());
        run.record_decision(
            "first_token",
            &format!("{cached_tokens} of {tokens} tokens cached"),
            "",
        );
    }

    /// Resumes a stream that broke off, or ends its attempt as failed.
    fn handle_error(
        &mut self,
        index: usize,
        error: ClientError,
        answer: &Answer,
    ) -> Option<GroupEnd> {
        count_fault(&error);
        let broke_off = matches!(
            error.kind,
            ClientErrorKind::Stream(StreamError::UnexpectedEnd { .. })
        );
        if broke_off && self.live[index].resumes < MAX_RESUMES {
            self.live[index].resumes += 1;
            let live = &self.live[index];
            self.run
                .record_decision("resume", &error.to_string(), &live.runner);
            self.open_stream(
                live,
                StreamOpening::Resume {
                    from_index: answer.next_index(),
                },
            );
            return None;
        }
        let LiveAttempt {
            attempt_id,
            runner,
            resumes,
            incarnation,
            span,
            address,
            ..
        } = self.live.swap_remove(index);
        span.end(&error.to_string());
        // A stream that was resumed had been opened before, whatever ended the last connection.
        if resumes > 0 || error.ran() != Ran::No {
            self.run.may_have_run.set(true);
        }
        let refusal = match &error.kind {
            ClientErrorKind::Status { not_run, .. } if resumes == 0 => *not_run,
            _ => None,
        };
        let is_refusal = refusal.is_some();
        if let Some(refusal) = refusal {
            let id = runner.clone();
            let message = CoreMsg::RunnerRefused { id, refusal };
            self.run.context.core.send(message);
        }
        // A refusal does not count as a failure of the runner.
        let end = if is_refusal {
            AttemptEnd::Released
        } else {
            AttemptEnd::Failed
        };
        self.run.report_end(attempt_id, end);
        if !is_refusal && error.ran() != Ran::No {
            self.cancel_at_runner(address, attempt_id);
        }
        if !self.live.is_empty() {
            return None;
        }
        let runner_died = resumes > 0 && has_runner_died(&error, incarnation);
        Some(GroupEnd::Failed {
            error: Box::new(error),
            runner,
            runner_died,
        })
    }

    /// Treats a stream that is idle for longer than the limit as broken off.
    fn check_idle(&mut self, answer: &Answer) -> Option<GroupEnd> {
        let limit = self.run.context.settings.limits.stream_idle_timeout;
        if answer.next_index() == 0 || self.idle_since.elapsed() < limit {
            return None;
        }
        self.idle_since = Instant::now();
        let peer = self.live.first()?.address;
        let stream_error = StreamError::UnexpectedEnd {
            after: answer.next_index(),
        };
        let error = ClientError {
            step: Step::Answer,
            peer,
            kind: stream_error.into(),
        };
        self.handle_error(0, error, answer)
    }

    /// Starts an attempt on a second runner where the first token is overdue.
    fn hedge_if_due(&mut self, now: Instant, answer: &Answer) {
        if answer.next_index() > 0 || self.hedge_at.is_none_or(|at| now < at) {
            return;
        }
        self.hedge_at = None;
        let run = self.run;
        if !run.take_from_retry_budget() {
            return;
        }
        let attempt_id = run.context.next_id();
        let mut placement = run.placement_request(attempt_id);
        placement
            .excluded_runners
            .extend(self.live.iter().map(|live| live.runner.clone()));
        let placed = run
            .context
            .core
            .place(placement)
            .recv_timeout(HEDGE_PLACEMENT_TIMEOUT);
        let placed = match placed {
            Ok(Ok(placed)) => placed,
            Ok(Err(_)) => return,
            Err(_) => return run.report_end(attempt_id, AttemptEnd::Released),
        };
        if self.live.iter().any(|live| live.runner == placed.server.id) {
            // No other runner is available.
            return run.report_end(attempt_id, AttemptEnd::Released);
        }
        counter!("hedges_total").increment(1);
        run.record_decision("hedge", "the first token is overdue", &placed.server.id);
        self.start_attempt(attempt_id, &placed, answer);
    }

    fn cancel_all(&mut self) {
        std::mem::take(&mut self.live)
            .into_iter()
            .for_each(|live| self.cancel(live));
    }

    fn cancel(&self, live: LiveAttempt) {
        let LiveAttempt {
            attempt_id,
            address,
            span,
            ..
        } = live;
        span.end("cancelled");
        self.run.report_end(attempt_id, AttemptEnd::Released);
        self.cancel_at_runner(address, attempt_id);
    }

    fn cancel_at_runner(&self, address: SocketAddr, attempt_id: AttemptId) {
        let context = Arc::clone(self.run.context);
        let id = self.run.request.id.clone();
        // Where no worker is free, the runner detects the closed connection instead.
        let _ = self.run.context.upstream_pool.run(move || {
            if context.runners.cancel(address, &id, attempt_id).is_err() {
                counter!("cancels_failed_total").increment(1);
            }
        });
    }
}

/// Returns whether a stream could not be resumed because its runner died.
///
/// A runner with an unchanged incarnation is still alive and only lost the attempt.
fn has_runner_died(error: &ClientError, before: Incarnation) -> bool {
    match &error.kind {
        ClientErrorKind::NotConnected(_) | ClientErrorKind::NoResponse(_) => true,
        ClientErrorKind::Status { incarnation, .. } => incarnation.is_none_or(|now| now != before),
        _ => false,
    }
}

fn count_fault(error: &ClientError) {
    let fault = match &error.kind {
        ClientErrorKind::Stream(StreamError::WrongAttempt { .. }) => "crossed",
        ClientErrorKind::Stream(StreamError::WrongIndex { .. }) => "wrong_index",
        ClientErrorKind::Stream(StreamError::UnexpectedEnd { .. }) => "broke_off",
        ClientErrorKind::Stream(_) => "bad_stream",
        ClientErrorKind::NotConnected(_) => "not_connected",
        ClientErrorKind::Status { .. } => "refused",
        _ => "no_answer",
    };
    counter!("attempt_faults_total", "fault" => fault).increment(1);
}
