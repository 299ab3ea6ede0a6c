//! Sends a request to one backend server and reads the response.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hickoryhall_edge::Connection;
use http::response;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use slog::debug;
use tokio::time::{Instant as TokioInstant, timeout_at};

use super::Exchange;
use crate::core::CoreHandle;
use crate::interface::{AttemptPlan, Judged, Meaning, Platform};
use crate::registry::BackendServer;
use crate::scheduler::{Assignment, AttemptEnd, Ticket};

/// Fraction of the remaining time that an attempt gets if the request may be sent to another
/// server afterwards.
const FIRST_ATTEMPT_PART: f64 = 0.5;
/// Time beyond its estimate that a stream's first event may take if another runner may take over:
/// several times the delay of a busy runner.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(1_200);
/// Time to read the body of a refusal; the connection can be reused only after that.
const REFUSAL_BODY: Duration = Duration::from_millis(50);

/// Reports the end of an attempt to the scheduler, at the latest when dropped.
pub(super) struct TicketGuard {
    core: CoreHandle,
    ticket: Ticket,
    is_open: bool,
}

impl TicketGuard {
    pub fn new(core: CoreHandle, ticket: Ticket) -> Self {
        Self {
            core,
            ticket,
            is_open: true,
        }
    }

    pub fn first_event(&self) {
        let ticket = self.ticket;
        self.core.with(|core, now| core.first_event(now, ticket));
    }

    pub fn end(mut self, end: AttemptEnd) {
        self.close(end);
    }

    fn close(&mut self, end: AttemptEnd) {
        if std::mem::take(&mut self.is_open) {
            let ticket = self.ticket;
            self.core.with(|core, now| core.ended(now, ticket, end));
        }
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        self.close(AttemptEnd::Released);
    }
}

/// A response that was read in full.
pub(super) struct SavedAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub is_success: bool,
}

/// A stream whose response head was received.
pub(super) struct OpenStream {
    pub head: response::Parts,
    pub body: Incoming,
    pub connection: Connection,
    pub judged: Judged,
    pub server: BackendServer,
    pub ticket: TicketGuard,
    /// Deadline of the first event.
    pub first_event_by: Instant,
}

/// Result of an attempt.
pub(super) enum Attempted {
    /// A successful response, read in full.
    Answer(SavedAnswer),
    /// A stream whose response head was received.
    Stream(Box<OpenStream>),
    /// The attempt failed.
    Without(Unanswered),
}

/// Why an attempt failed.
pub(super) enum Unanswered {
    /// The server ran the request and returned a failure.
    Failed(SavedAnswer),
    /// The server says that it did not run the request.
    NotRun,
    /// Nothing was sent to the server.
    Unsent,
    /// The server broke off, or its response was not valid; the request may have run.
    Broken,
    /// No response arrived in time; the request may have run.
    TimedOut,
}

impl Unanswered {
    /// Returns the outcome as named in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Failed(_) => "failed",
            Self::NotRun => "not_run",
            Self::Unsent => "unsent",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns the end of the attempt as reported to the scheduler.
    pub fn end(&self) -> AttemptEnd {
        match self {
            Self::Failed(_) => AttemptEnd::Answered,
            Self::NotRun => AttemptEnd::Released,
            Self::Unsent | Self::TimedOut => AttemptEnd::Unreachable,
            Self::Broken => AttemptEnd::Failed,
        }
    }
}

/// A response whose head was received, with its connection.
struct Answered {
    response: Response<Incoming>,
    connection: Connection,
}

impl<P: Platform> Exchange<P> {
    /// Sends the request to a server and reads the response, or only the response head of a stream.
    pub(super) async fn attempt(
        &mut self,
        assignment: &Assignment,
        ticket: TicketGuard,
        resume_after: Option<&str>,
    ) -> Attempted {
        let until = self.attempt_until(assignment);
        let address = assignment.server.address;
        let answered = match self.send(assignment, resume_after, until).await {
            Ok(answered) => answered,
            Err(unanswered) => {
                self.note_failure(&unanswered, address);
                ticket.end(unanswered.end());
                return Attempted::Without(unanswered);
            }
        };
        let (head, body) = answered.response.into_parts();
        let judged = self.gateway.platform.judge(&head, &self.job.ask);
        let server = &assignment.server.id;
        self.gateway
            .core
            .with(|core, now| core.observe(now, server, &judged));
        if judged.meaning == Meaning::Success && self.job.route.kind.is_stream() {
            return Attempted::Stream(Box::new(OpenStream {
                head,
                body,
                connection: answered.connection,
                judged,
                server: assignment.server.clone(),
                ticket,
                first_event_by: until,
            }));
        }
        let outcome = match judged.meaning {
            Meaning::Success | Meaning::Failure => {
                self.whole(head, body, answered.connection, &judged, until)
                    .await
            }
            Meaning::NotRun | Meaning::WrongServer => {
                if judged.meaning == Meaning::WrongServer {
                    self.gateway.refresh(assignment);
                }
                self.keep_after_refusal(body, answered.connection, &judged)
                    .await;
                Err(Unanswered::NotRun)
            }
            Meaning::Foreign => Err(Unanswered::Broken),
        };
        match outcome {
            Ok(answer) => {
                ticket.end(AttemptEnd::Answered);
                Attempted::Answer(answer)
            }
            Err(unanswered) => {
                self.note_failure(&unanswered, address);
                ticket.end(unanswered.end());
                Attempted::Without(unanswered)
            }
        }
    }

    /// Returns the deadline of an attempt. The last attempt gets all the remaining time; an earlier
    /// one less, so that another server can take over.
    fn attempt_until(&self, assignment: &Assignment) -> Instant {
        let route = &self.job.route;
        let is_last = !route.kind.may_repeat() || self.runs + 1 >= route.attempts;
        if is_last {
            return self.job.deadline;
        }
        let now = Instant::now();
        let left = self.job.deadline.saturating_duration_since(now);
        let limit = if route.kind.is_stream() {
            assignment.estimate.mul_f64(1.5) + FIRST_EVENT_SLACK
        } else {
            left.mul_f64(FIRST_ATTEMPT_PART)
        };
        (now + limit).min(self.job.deadline)
    }

    async fn send(
        &self,
        assignment: &Assignment,
        resume_after: Option<&str>,
        until: Instant,
    ) -> Result<Answered, Unanswered> {
        let server = &assignment.server;
        let pool = &self.gateway.pool;
        let mut connection = pool.connection(server.address).await.map_err(|error| {
            debug!(
                self.gateway.logger, "exchange: Connection to server failed.";
                "server" => &*server.id, "error" => %error
            );
            Unanswered::Unsent
        })?;
        let request = self.request(assignment, resume_after);
        let deadline = TokioInstant::from_std(until);
        let sent = timeout_at(deadline, connection.send(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_unsent && connection.is_reused() => {
                // The server had closed the idle connection. Whether it is reachable shows only on
                // a new one.
                connection = pool
                    .connect(server.address)
                    .await
                    .map_err(|_| Unanswered::Unsent)?;
                let request = self.request(assignment, resume_after);
                match timeout_at(deadline, connection.send(request)).await {
                    Ok(Ok(response)) => response,
                    Ok(Err(error)) if error.is_unsent => return Err(Unanswered::Unsent),
                    Ok(Err(_)) => return Err(Unanswered::Broken),
                    Err(_) => return Err(Unanswered::TimedOut),
                }
            }
            Ok(Err(error)) => {
                debug!(
                    self.gateway.logger, "exchange: Attempt ended without a response head.";
                    "server" => &*server.id, "error" => %error
                );
                return Err(if error.is_unsent {
                    Unanswered::Unsent
                } else {
                    Unanswered::Broken
                });
            }
            Err(_) => return Err(Unanswered::TimedOut),
        };
        Ok(Answered {
            response,
            connection,
        })
    }

    fn request(&self, assignment: &Assignment, resume_after: Option<&str>) -> Request<Full<Bytes>> {
        let job = &self.job;
        let weights = assignment.weights;
        let salt = job
            .cache_wall
            .as_ref()
            .map(|wall| format!("{wall}-{weights}"));
        let plan = AttemptPlan {
            server: &assignment.server,
            time_left: job.deadline.saturating_duration_since(Instant::now()),
            workspace: job.workspace.as_ref().map(|workspace| &workspace.id),
            cache_salt: salt.as_deref(),
            resume_after: resume_after.or(job.ask.last_event_id.as_deref()),
            expected_weights: salt.as_ref().map(|_| weights),
            fetch_from: assignment.fetch_from.map(|(address, _)| address),
            save_to: assignment.save_to,
        };
        let head = self.gateway.platform.attempt(&job.head, &plan);
        head.map(|()| Full::new(job.body.clone()))
    }

    /// Reads the rest of a response that is not a stream.
    async fn whole(
        &self,
        head: response::Parts,
        body: Incoming,
        connection: Connection,
        judged: &Judged,
        until: Instant,
    ) -> Result<SavedAnswer, Unanswered> {
        match timeout_at(TokioInstant::from_std(until), body.collect()).await {
            Ok(Ok(body)) => {
                self.keep(connection, judged);
                let answer = SavedAnswer {
                    status: head.status,
                    headers: self.gateway.platform.answer_headers(&head.headers),
                    body: body.to_bytes(),
                    is_success: judged.meaning == Meaning::Success,
                };
                if answer.is_success {
                    Ok(answer)
                } else {
                    Err(Unanswered::Failed(answer))
                }
            }
            Ok(Err(error)) => {
                debug!(
                    self.gateway.logger, "exchange: Response body broke off.";
                    "peer" => %connection.address(), "error" => %error
                );
                Err(Unanswered::Broken)
            }
            Err(_) => Err(Unanswered::TimedOut),
        }
    }

    /// Reads the body of a refusal and returns the connection to the pool if it ends soon enough.
    async fn keep_after_refusal(&self, body: Incoming, connection: Connection, judged: &Judged) {
        let collected = tokio::time::timeout(REFUSAL_BODY, body.collect()).await;
        if matches!(collected, Ok(Ok(_))) {
            self.keep(connection, judged);
        }
    }

    /// Returns a connection to the pool, unless its server closes it.
    pub(super) fn keep(&self, connection: Connection, judged: &Judged) {
        if !judged.is_last {
            self.gateway.pool.keep(connection, judged.keep_alive);
        }
    }

    /// Drops the idle connections to a server that broke off, timed out or was unreachable. If it
    /// broke off, also counts that against the request, which may have crashed the server.
    pub(super) fn note_failure(&self, unanswered: &Unanswered, address: SocketAddr) {
        match unanswered {
            Unanswered::Broken => {
                let fingerprint = self.job.fingerprint;
                let deaths = self
                    .gateway
                    .core
                    .with(|core, now| core.death(now, fingerprint));
                slog::info!(
                    self.gateway.logger, "exchange: Server broke off a request.";
                    "request" => &*self.job.ask.request_id, "peer" => %address,
                    "fingerprint" => self.job.fingerprint, "deaths" => deaths
                );
                self.gateway.pool.forget(address);
            }
            Unanswered::Unsent | Unanswered::TimedOut => self.gateway.pool.forget(address),
            _ => {}
        }
    }
}
