//! Relays event streams to callers and resumes broken ones at another runner where the route
//! allows it.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hickoryhall_edge::{AnswerBody, BodySender};
use http_body_util::BodyExt;
use hyper::Response;
use slog::info;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::Exchange;
use super::attempt::{Attempted, OpenStream, Unanswered};
use crate::events::EventFramer;
use crate::interface::Platform;
use crate::scheduler::AttemptEnd;

/// Time without an event after which a resumable stream is resumed at another runner: well above
/// the longest step of a busy runner, and below the time after which callers leave.
const RESUME_SILENCE: Duration = Duration::from_millis(1_200);
/// Reason for a stream without an event within the limit.
const SILENT: &str = "silent";
/// Runners that are tried to resume a stream after one break.
const RESUME_TRIES: u32 = 3;

/// Next item read from a stream.
enum Step {
    /// One or more whole events.
    Events(Bytes),
    /// The end of the response body.
    End,
    /// The runner broke off, sent nothing in time or sent an oversize event; holds the reason.
    Broken(&'static str),
}

/// A stream from a runner, split into whole events.
struct Upstream {
    open: Box<OpenStream>,
    framer: EventFramer,
}

impl Upstream {
    async fn next(&mut self, limit: Duration) -> Step {
        match timeout(limit, self.read()).await {
            Ok(step) => step,
            Err(_) => Step::Broken(SILENT),
        }
    }

    async fn read(&mut self) -> Step {
        loop {
            let frame = match self.open.body.frame().await {
                None => return Step::End,
                Some(Err(_)) => return Step::Broken("broken_off"),
                Some(Ok(frame)) => frame,
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            match self.framer.push(&data) {
                Ok(Some(events)) => return Step::Events(events),
                Ok(None) => {}
                Err(_) => return Step::Broken("oversize_event"),
            }
        }
    }
}

/// A stream that is being passed on to the caller.
struct Relay<P> {
    exchange: Exchange<P>,
    upstream: Upstream,
}

impl<P: Platform> Exchange<P> {
    /// Waits for the first event and starts a task that passes the stream on.
    ///
    /// # Errors
    ///
    /// Returns the exchange and why the attempt failed if it broke before the first event.
    pub(super) async fn start_stream(
        self,
        open: Box<OpenStream>,
    ) -> Result<Response<AnswerBody>, (Box<Self>, Unanswered)> {
        let limit = open
            .first_event_by
            .saturating_duration_since(Instant::now());
        let last_id = self.job.ask.last_event_id.clone();
        let mut upstream = Upstream {
            open,
            framer: EventFramer::after(last_id),
        };
        let first = match upstream.next(limit).await {
            Step::Broken(reason) => {
                let unanswered = if reason == SILENT {
                    Unanswered::TimedOut
                } else {
                    Unanswered::Broken
                };
                self.note_failure(&unanswered, upstream.open.server.address);
                upstream.open.ticket.end(unanswered.end());
                return Err((Box::new(self), unanswered));
            }
            step => step,
        };
        let (sender, body) = AnswerBody::stream();
        let mut response = Response::new(body);
        *response.status_mut() = upstream.open.head.status;
        *response.headers_mut() = self
            .gateway
            .platform
            .answer_headers(&upstream.open.head.headers);
        let relay = Relay {
            exchange: self,
            upstream,
        };
        spawn_local(relay.run(first, sender));
        Ok(response)
    }
}

impl<P: Platform> Relay<P> {
    async fn run(mut self, first: Step, sender: BodySender) {
        self.exchange.record.first_event();
        self.upstream.open.ticket.first_event();
        let outcome = tokio::select! {
            biased;
            () = sender.closed() => Outcome::CallerLeft,
            outcome = self.pump(first, &sender) => outcome,
        };
        let Self {
            mut exchange,
            upstream,
        } = self;
        let Upstream { open, .. } = upstream;
        let OpenStream {
            connection,
            judged,
            ticket,
            head,
            ..
        } = *open;
        match outcome {
            Outcome::Complete => {
                ticket.end(AttemptEnd::Answered);
                exchange.keep(connection, &judged);
                let fingerprint = exchange.job.fingerprint;
                exchange
                    .gateway
                    .core
                    .with(|core, _| core.acquit(fingerprint));
                exchange.record.answered(head.status);
                sender.finish();
            }
            Outcome::CallerLeft => {
                ticket.end(AttemptEnd::Released);
                exchange.record.caller_left();
            }
            Outcome::Broken(reason) => {
                ticket.end(AttemptEnd::Failed);
                exchange.record.broken(reason);
            }
        }
    }

    /// Passes events on until the stream ends, the caller leaves or a break cannot be resumed.
    async fn pump(&mut self, first: Step, sender: &BodySender) -> Outcome {
        let mut step = first;
        loop {
            match step {
                Step::Events(events) => {
                    self.exchange.record.events(events.len());
                    if !sender.send(events).await {
                        return Outcome::CallerLeft;
                    }
                }
                Step::End => {
                    if let Some(rest) = self.upstream.framer.finish() {
                        sender.send(rest).await;
                    }
                    return Outcome::Complete;
                }
                Step::Broken(reason) => {
                    if !self.resume(reason).await {
                        return Outcome::Broken(reason);
                    }
                }
            }
            step = self.upstream.next(self.silence_limit()).await;
        }
    }

    /// Returns the time within which the next event must arrive.
    fn silence_limit(&self) -> Duration {
        let job = &self.exchange.job;
        let left = job.deadline.saturating_duration_since(Instant::now());
        if job.route.kind.may_repeat() {
            left.min(RESUME_SILENCE)
        } else {
            left
        }
    }

    /// Resumes the stream at another runner after the last whole event; returns whether that
    /// succeeded.
    async fn resume(&mut self, reason: &'static str) -> bool {
        for _ in 0..RESUME_TRIES {
            let server = self.upstream.open.server.id.clone();
            self.exchange.record.attempted(&server, reason);
            self.exchange.excluded.push(server);
            self.exchange.runs += 1;
            if !self.exchange.may_run_again() {
                return false;
            }
            let Ok((assignment, ticket)) = self.exchange.place().await else {
                return false;
            };
            self.upstream.framer.drop_partial();
            let last_id = self.upstream.framer.last_id().map(Box::<str>::from);
            info!(
                self.exchange.gateway.logger,
                "exchange: Stream is being resumed at another runner.";
                "request" => &*self.exchange.job.ask.request_id, "reason" => reason,
                "after" => last_id.as_deref().unwrap_or_default(),
                "server" => &*assignment.server.id
            );
            let attempted = self
                .exchange
                .attempt(&assignment, ticket, last_id.as_deref())
                .await;
            match attempted {
                Attempted::Stream(open) => {
                    let framer = EventFramer::after(last_id);
                    self.upstream = Upstream { open, framer };
                    return true;
                }
                Attempted::Without(Unanswered::Unsent | Unanswered::NotRun) => {
                    // That runner did not run the request, so it does not count as an attempt.
                    self.exchange.runs -= 1;
                    self.exchange.excluded.push(assignment.server.id.clone());
                }
                _ => return false,
            }
        }
        false
    }
}

/// How a stream ended.
enum Outcome {
    Complete,
    CallerLeft,
    Broken(&'static str),
}
