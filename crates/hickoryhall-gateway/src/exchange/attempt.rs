//! Sends a request to one backend server and reads the response.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hickoryhall_edge::{Connection, ReadBodyError, SegmentedBody, SendError};
use hickoryhall_types::{Ran, SoftwareVersion, hash_name};
use http::response;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use slog::{debug, info};
use tokio::task::spawn_local;
use tokio::time::{Instant as TokioInstant, timeout_at};

use super::Exchange;
use super::forward::{Forwarding, Source};
use super::late::PendingResponse;
use super::record::ResponseRecord;
use crate::core::CoreHandle;
use crate::framing::{BodyFraming, BodyMedia};
use crate::interface::{AttemptPlan, Platform, ResponseId, ResponseMeta};
use crate::outcome::{self, ResponseKind};
use crate::registry::BackendServer;
use crate::scheduler::{Assignment, AttemptEnd, AttemptId};

/// Fraction of the remaining time that an attempt gets if the request may be sent to another
/// server afterwards.
const EARLY_ATTEMPT_FRACTION: f64 = 0.5;
/// Time beyond 1.5 times its estimate that a stream's first event may take if another runner may
/// take over: several times the delay of a busy runner.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(1_200);
/// Time for the response behind one that belongs to an earlier request.
const NEXT_HEAD_TIMEOUT: Duration = Duration::from_millis(100);
/// Time to read the body of a refusal; the connection can be reused only after that.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Reports the end of an attempt to the scheduler, at the latest when dropped.
pub(super) struct AttemptGuard {
    core: CoreHandle,
    attempt_id: AttemptId,
    is_open: bool,
}

impl AttemptGuard {
    pub fn new(core: CoreHandle, attempt_id: AttemptId) -> Self {
        Self {
            core,
            attempt_id,
            is_open: true,
        }
    }

    pub fn first_event(&self) {
        let attempt_id = self.attempt_id;
        self.core
            .with(|core, now| core.record_first_event(now, attempt_id));
    }

    /// Reports that the server broke off, before another attempt takes over.
    pub fn fail(&mut self) {
        self.close(AttemptEnd::Failed);
    }

    pub fn end(mut self, end: AttemptEnd) {
        self.close(end);
    }

    fn close(&mut self, end: AttemptEnd) {
        if std::mem::take(&mut self.is_open) {
            let attempt_id = self.attempt_id;
            self.core
                .with(|core, now| core.end_attempt(now, attempt_id, end));
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.close(AttemptEnd::Released);
    }
}

/// A response that was read in full.
pub(super) struct BufferedResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A stream whose response head was received.
pub(super) struct OpenStream {
    pub head: response::Parts,
    pub body: Incoming,
    pub connection: Connection,
    pub response_meta: ResponseMeta,
    pub source: Source,
    /// Software of the server that generates the stream; empty if it is uncertain.
    pub software: SoftwareVersion,
    pub guard: AttemptGuard,
    /// Counts the stream as in progress at the peer that passes it on.
    pub forwarding: Option<Forwarding>,
    pub sent_at: Instant,
    /// Deadline of the first event.
    pub first_event_by: Instant,
}

/// Result of an attempt.
pub(super) enum AttemptResult {
    /// A successful response, read in full.
    Response(BufferedResponse),
    /// A stream whose response head was received.
    Stream(Box<OpenStream>),
    /// A failure that a peer generated after it has done all that it could.
    PeerFailure(BufferedResponse, Ran),
    /// The attempt failed.
    Failed(AttemptFailure),
}

/// Why an attempt failed, with the server's failure response where there is one.
pub(super) type AttemptFailure = outcome::AttemptFailure<BufferedResponse>;

/// Returns the end of a failed attempt as reported to the scheduler.
pub(super) fn attempt_end(failure: &AttemptFailure) -> AttemptEnd {
    match failure {
        AttemptFailure::ServerFailure { .. } => AttemptEnd::Answered,
        AttemptFailure::NotRun | AttemptFailure::Unproven => AttemptEnd::Released,
        AttemptFailure::Unsent | AttemptFailure::TimedOut => AttemptEnd::Unreachable,
        AttemptFailure::Broken | AttemptFailure::Invalid => AttemptEnd::Failed,
    }
}

/// A response whose head was received, with its connection.
struct ReceivedResponse {
    response: Response<Incoming>,
    connection: Connection,
}

impl<P: Platform> Exchange<P> {
    /// Sends the request to a server and reads the response, or only the response head of a stream.
    pub(super) async fn attempt(
        &mut self,
        assignment: &Assignment,
        guard: AttemptGuard,
        resume_after: Option<&str>,
    ) -> AttemptResult {
        self.record.attempt_begins();
        let sent_at = Instant::now();
        let until = self.attempt_deadline(assignment);
        let received = match self.send(assignment, resume_after, until).await {
            Ok(received) => received,
            Err(failure) => {
                self.record_failure(&failure, &assignment.server, sent_at);
                guard.end(attempt_end(&failure));
                return AttemptResult::Failed(failure);
            }
        };
        let (head, body) = received.response.into_parts();
        let response_meta = self
            .gateway
            .platform
            .parse_response_head(&head, &self.request.meta);
        let is_kept = received.connection.is_reused();
        let kind = ResponseKind::of(head.status, &response_meta, is_kept);
        self.record.response_head(ResponseRecord {
            status: head.status,
            framing: BodyFraming::of(&head.headers),
            media: BodyMedia::of(&head.headers),
            id: response_meta.id,
            is_sealed: response_meta.is_sealed,
            is_kept,
        });
        let server = &assignment.server;
        self.gateway.core.with(|core, now| {
            core.on_response_head(now, server, kind, &response_meta);
            if kind.is_from_server() {
                core.on_stated_limit(now, server, response_meta.limit, sent_at);
                core.on_refusal_limit(now, server, response_meta.refusal_limit, sent_at);
            }
        });
        let is_stream = kind == ResponseKind::Success && self.request.route.kind.is_stream();
        if is_stream && BodyMedia::of(&head.headers) != BodyMedia::Other {
            return AttemptResult::Stream(Box::new(OpenStream {
                head,
                body,
                connection: received.connection,
                response_meta,
                software: assignment.server.software.clone(),
                source: Source::Server(assignment.server.clone()),
                guard,
                forwarding: None,
                sent_at,
                first_event_by: until,
            }));
        }
        let outcome = match kind {
            ResponseKind::Success if is_stream => Err(AttemptFailure::Invalid),
            ResponseKind::Success | ResponseKind::Failure => {
                self.read_response(head, body, received.connection, &response_meta, until)
                    .await
            }
            ResponseKind::NotRun | ResponseKind::WrongServer => {
                if kind == ResponseKind::WrongServer {
                    let core = &self.gateway.core;
                    core.with(|core, now| core.on_wrong_server(now, server));
                    self.gateway.refresh_weights(assignment);
                }
                let mut connection = received.connection;
                connection.record_refusal(hash_name(&self.request.meta.request_id));
                self.drain_refusal(body, connection, &response_meta).await;
                Err(AttemptFailure::NotRun)
            }
            ResponseKind::Unproven => {
                self.read_pause_behind(server, body, received.connection);
                Err(AttemptFailure::Unproven)
            }
            ResponseKind::Invalid => {
                if response_meta.id == ResponseId::Other {
                    self.read_pause_behind(server, body, received.connection);
                }
                Err(AttemptFailure::Invalid)
            }
        };
        match outcome {
            Ok(response) => {
                guard.end(AttemptEnd::Answered);
                AttemptResult::Response(response)
            }
            Err(failure) => {
                self.record_failure(&failure, &assignment.server, sent_at);
                guard.end(attempt_end(&failure));
                AttemptResult::Failed(failure)
            }
        }
    }

    /// Returns the deadline of an attempt, for a stream that of its first event. The last attempt
    /// gets all the remaining time; an earlier one less, so that another server can take over. A stream
    /// must not begin on weights that have been replaced for too long.
    fn attempt_deadline(&self, assignment: &Assignment) -> Instant {
        let route = &self.request.route;
        let is_stream = route.kind.is_stream();
        let begin_by = assignment.begin_by.filter(|_| is_stream);
        let latest = self.request.deadline;
        let latest = begin_by.map_or(latest, |begin_by| begin_by.min(latest));
        if self.outcome.is_last_run() {
            return latest;
        }
        let now = Instant::now();
        let left = self.request.deadline.saturating_duration_since(now);
        let limit = if is_stream {
            assignment.estimate.mul_f64(1.5) + FIRST_EVENT_SLACK
        } else {
            left.mul_f64(EARLY_ATTEMPT_FRACTION)
        };
        (now + limit).min(latest)
    }

    async fn send(
        &self,
        assignment: &Assignment,
        resume_after: Option<&str>,
        until: Instant,
    ) -> Result<ReceivedResponse, AttemptFailure> {
        let server = &assignment.server;
        // An earlier refusal on the connection may come once more, and prove nothing.
        let request_hash = hash_name(&self.request.meta.request_id);
        let connection = self.gateway.acquire(server, request_hash).await;
        let connection = connection.map_err(|error| {
            debug!(
                self.gateway.logger, "exchange: Connection to server failed.";
                "request" => &*self.request.meta.request_id,
                "server" => &*server.id, "error" => %error
            );
            AttemptFailure::Unsent
        })?;
        let request = self.build_request(assignment, resume_after);
        let (sent, connection) = self.send_on(connection, request, server, until).await?;
        match sent {
            Ok(response) => Ok(ReceivedResponse {
                response,
                connection,
            }),
            Err(error) if error.is_unsent && connection.is_reused() => {
                // The server had closed the idle connection. Whether it is reachable shows only on
                // a new one.
                let connection = self.gateway.connect(server).await;
                let connection = connection.map_err(|_| AttemptFailure::Unsent)?;
                let request = self.build_request(assignment, resume_after);
                let (sent, connection) = self.send_on(connection, request, server, until).await?;
                let response = sent.map_err(|error| self.send_failure(&error, server))?;
                Ok(ReceivedResponse {
                    response,
                    connection,
                })
            }
            Err(error) => Err(self.send_failure(&error, server)),
        }
    }

    /// Sends the request on a connection and waits for the response head. An answer that comes after the
    /// wait is read for what it says of its server.
    async fn send_on(
        &self,
        connection: Connection,
        request: Request<SegmentedBody>,
        server: &BackendServer,
        until: Instant,
    ) -> Result<(Result<Response<Incoming>, SendError>, Connection), AttemptFailure> {
        let meta = &self.request.meta;
        self.record.sent_on(connection.number());
        let mut pending = PendingResponse::new(&self.gateway, connection, server, meta);
        let deadline = TokioInstant::from_std(until);
        let sent = timeout_at(deadline, pending.connection().send(request)).await;
        let sent = sent.map_err(|_| AttemptFailure::TimedOut)?;
        Ok((sent, pending.end()))
    }

    /// Returns the failure of an attempt that got no response head.
    fn send_failure(&self, error: &SendError, server: &BackendServer) -> AttemptFailure {
        debug!(
            self.gateway.logger, "exchange: Attempt ended without a response head.";
            "request" => &*self.request.meta.request_id,
            "server" => &*server.id, "error" => %error, "head_bytes" => error.head_bytes
        );
        self.record.cut_head(error.head_bytes);
        if error.is_unsent {
            AttemptFailure::Unsent
        } else if error.is_invalid_response() {
            AttemptFailure::Invalid
        } else {
            AttemptFailure::Broken
        }
    }

    fn build_request(
        &self,
        assignment: &Assignment,
        resume_after: Option<&str>,
    ) -> Request<SegmentedBody> {
        let request = &self.request;
        let weights = assignment.weights;
        let salt = request
            .cache_partition
            .as_ref()
            .map(|partition| format!("{partition}-{weights}"));
        let plan = AttemptPlan {
            server: &assignment.server,
            time_left: request.deadline.saturating_duration_since(Instant::now()),
            workspace: request.workspace.as_ref().map(|workspace| &workspace.id),
            cache_salt: salt.as_deref(),
            resume_after: resume_after.or(request.meta.last_event_id.as_deref()),
            expected_weights: salt.as_ref().map(|_| weights),
            fetch_from: assignment.fetch_from.map(|(address, _)| address),
            save_to: assignment.save_to,
            urgency: assignment.urgency,
        };
        let head = self.gateway.platform.attempt_head(&request.head, &plan);
        head.map(|()| request.body.clone())
    }

    /// Reads the rest of a response that is not a stream.
    async fn read_response(
        &self,
        head: response::Parts,
        body: Incoming,
        connection: Connection,
        response_meta: &ResponseMeta,
        until: Instant,
    ) -> Result<BufferedResponse, AttemptFailure> {
        let read = self.gateway.responses.read(body);
        match timeout_at(TokioInstant::from_std(until), read).await {
            Ok(Ok(body)) => {
                self.return_to_pool(connection, response_meta);
                let status = head.status;
                let response = BufferedResponse {
                    status,
                    headers: self.gateway.platform.response_headers(&head.headers),
                    body,
                };
                if status.is_success() {
                    Ok(response)
                } else {
                    Err(AttemptFailure::ServerFailure { status, response })
                }
            }
            Ok(Err(error)) => {
                debug!(
                    self.gateway.logger, "exchange: Response body could not be read.";
                    "request" => &*self.request.meta.request_id,
                    "peer" => %connection.address(), "error" => %error
                );
                Err(match error {
                    ReadBodyError::TooLarge { .. } => AttemptFailure::Invalid,
                    ReadBodyError::Incomplete(_) => AttemptFailure::Broken,
                })
            }
            Err(_) => Err(AttemptFailure::TimedOut),
        }
    }

    /// Reads the body of a refusal and returns the connection to the pool if it ends soon enough and
    /// is small.
    pub(super) async fn drain_refusal(
        &self,
        body: Incoming,
        connection: Connection,
        response_meta: &ResponseMeta,
    ) {
        let read = self.gateway.refusals.read(body);
        let read = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, read).await;
        if matches!(read, Ok(Ok(_))) {
            self.return_to_pool(connection, response_meta);
        }
    }

    /// Reads the response behind one that belongs to an earlier request. If it refuses this request and
    /// asks for a pause, no more requests go to the server for so long.
    fn read_pause_behind(&self, server: &BackendServer, body: Incoming, connection: Connection) {
        let (gateway, server) = (Rc::clone(&self.gateway), server.clone());
        let meta = self.request.meta.clone();
        spawn_local(async move {
            let read = gateway.refusals.read(body);
            if !matches!(
                tokio::time::timeout(REFUSAL_BODY_TIMEOUT, read).await,
                Ok(Ok(_))
            ) {
                return;
            }
            let Some(head) = connection.next_head(NEXT_HEAD_TIMEOUT).await else {
                return;
            };
            let next = gateway.platform.parse_response_head(&head, &meta);
            if next.id == ResponseId::Other || next.pause.is_none() {
                return;
            }
            info!(
                gateway.logger, "exchange: Pause behind a late answer.";
                "request" => &*meta.request_id, "server" => &*server.id,
                "pause_ms" => next.pause.map(|pause| pause.as_millis())
            );
            let kind = ResponseKind::Unproven;
            let core = &gateway.core;
            core.with(|core, now| core.on_response_head(now, &server, kind, &next));
        });
    }

    /// Returns a connection to the pool, unless its server closes it.
    pub(super) fn return_to_pool(&self, connection: Connection, response_meta: &ResponseMeta) {
        if !response_meta.closes_connection {
            self.gateway
                .pool
                .release(connection, response_meta.keep_alive);
        }
    }

    /// Drops the idle connections to a server that broke off, timed out or was unreachable. If it
    /// broke off, also counts that against the request, which may have crashed the server.
    pub(super) fn record_failure(
        &self,
        failure: &AttemptFailure,
        server: &BackendServer,
        sent_at: Instant,
    ) {
        let address = server.address;
        match failure {
            AttemptFailure::Broken => {
                self.record_break(server, sent_at, false);
                self.gateway.pool.close_idle(address);
            }
            AttemptFailure::TimedOut => {
                self.gateway.pool.close_idle(address);
                self.gateway.check_silent_server(server);
            }
            AttemptFailure::Unsent | AttemptFailure::Invalid => {
                self.gateway.pool.close_idle(address);
            }
            _ => {}
        }
    }
}
