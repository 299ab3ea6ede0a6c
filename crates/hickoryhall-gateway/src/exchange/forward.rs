//! Forwards requests to peers while this host reaches no server of their service, and takes the requests
//! that peers forward.
//!
//! A request is forwarded once at most: one that comes from a peer goes to a server or is refused.

use std::fmt::Display;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use hickoryhall_edge::{
    CallerConnection, Connection, Handler, RequestBody, ResponseBody, SegmentedBody, StreamAborted,
    end_to_end_headers,
};
use hickoryhall_routing::PeerEnd;
use hickoryhall_types::Ran;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{Request, Response, StatusCode};
use metrics::counter;
use slog::{debug, info, warn};
use tokio::time::{Instant as TokioInstant, timeout_at};

use super::attempt::{AttemptFailure, AttemptGuard, AttemptResult, BufferedResponse, OpenStream};
use super::intake::Forwarded;
use super::{Exchange, Gateway};
use crate::core::CoreHandle;
use crate::forwarding::{self, ForwardOutcome, ForwardedRequest};
use crate::framing::BodyMedia;
use crate::interface::{LocalFailure, Platform, ResponseMeta};
use crate::outcome;
use crate::registry::{BackendServer, ServerId};
use crate::scheduler::{Assignment, PlacementRefusal, RefusalReason};

/// Maximum number of peers that get a request.
const MAX_PEERS: usize = 3;
/// Servers of a service that could not be connected to, after which a request goes to a peer.
const MAX_UNSENT_BEFORE_PEER: u32 = 2;

/// Where a request is sent next.
pub(super) enum Target {
    Server(Box<Assignment>, AttemptGuard),
    Peer(Ipv4Addr, AttemptGuard),
}

impl Target {
    pub fn source(&self) -> Source {
        match self {
            Self::Server(assignment, _) => Source::Server(assignment.server.clone()),
            Self::Peer(ip, _) => Source::Peer(*ip),
        }
    }
}

/// Where a response comes from.
#[derive(Clone)]
pub(super) enum Source {
    Server(BackendServer),
    /// A peer, which passes on what a server sends.
    Peer(Ipv4Addr),
}

impl Source {
    /// Returns the server that this host has the response from.
    pub fn server(&self) -> Option<&BackendServer> {
        match self {
            Self::Server(server) => Some(server),
            Self::Peer(_) => None,
        }
    }

    /// Returns the id of the server or the address of the peer, for the log.
    pub fn id(&self) -> ServerId {
        match self {
            Self::Server(server) => server.id.clone(),
            Self::Peer(ip) => ip.to_string().into(),
        }
    }
}

/// Counts a request as in progress at a peer until it is dropped.
pub(super) struct Forwarding {
    core: CoreHandle,
    peer: Ipv4Addr,
}

impl Forwarding {
    fn begin(core: CoreHandle, peer: Ipv4Addr) -> Self {
        core.with(|core, _| core.record_forwarded(peer));
        Self { core, peer }
    }
}

impl Drop for Forwarding {
    fn drop(&mut self) {
        self.core
            .with(|core, _| core.record_forwarding_end(self.peer));
    }
}

impl<P: Platform> Exchange<P> {
    /// Chooses where the request is sent next: to a server, or to a peer if no server can be reached.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that neither can take.
    pub(super) async fn choose_target(&mut self) -> Result<Target, PlacementRefusal> {
        let service = &self.request.service;
        let core = &self.gateway.core;
        let reaches_none = self.unsent_attempts >= MAX_UNSENT_BEFORE_PEER
            || core.with(|core, _| core.is_cut_off(service));
        if reaches_none && let Some(peer) = self.choose_peer() {
            self.check_suspect(None)?;
            return Ok(peer);
        }
        match self.place().await {
            Ok((assignment, guard)) => Ok(Target::Server(assignment, guard)),
            Err(refusal) if refusal.reason == RefusalReason::NoServer => {
                self.choose_peer().ok_or(refusal)
            }
            Err(refusal) => Err(refusal),
        }
    }

    fn choose_peer(&mut self) -> Option<Target> {
        if self.request.forwarded.is_some() || self.peers.len() >= MAX_PEERS || !self.has_time() {
            return None;
        }
        let (service, id) = (&self.request.service, &self.request.meta.request_id);
        let core = &self.gateway.core;
        let peer = core.with(|core, now| core.choose_peer(now, service, id, &self.peers))?;
        self.peers.push(peer);
        self.record.forwarded(peer);
        info!(
            self.gateway.logger, "exchange: Request forwarded to a peer.";
            "request" => &**id, "peer" => %peer, "service" => &**service,
            "unsent_attempts" => self.unsent_attempts,
            "is_cut_off" => core.with(|core, _| core.is_cut_off(service))
        );
        let attempt_id = self.gateway.new_attempt_id();
        let guard = AttemptGuard::new(core.clone(), attempt_id);
        Some(Target::Peer(peer, guard))
    }

    /// Sends the request to a server or a peer and reads the response, or only the response head of a
    /// stream.
    pub(super) async fn attempt_at(
        &mut self,
        target: Target,
        resume_after: Option<&str>,
    ) -> AttemptResult {
        match target {
            Target::Server(assignment, guard) => {
                self.attempt(&assignment, guard, resume_after).await
            }
            Target::Peer(peer, guard) => {
                let (end, result) = self.attempt_at_peer(peer, guard, resume_after).await;
                counter!("requests_forwarded_total", "outcome" => end_name(end)).increment(1);
                let (core, service) = (&self.gateway.core, &self.request.service);
                core.with(|core, now| core.record_peer_end(now, service, peer, end));
                result
            }
        }
    }

    async fn attempt_at_peer(
        &mut self,
        peer: Ipv4Addr,
        guard: AttemptGuard,
        resume_after: Option<&str>,
    ) -> (PeerEnd, AttemptResult) {
        self.record.attempt_begins();
        let failed = |end, failure| (end, AttemptResult::Failed(failure));
        let request = match self.build_forwarded(resume_after) {
            Ok(request) => request,
            Err(error) => {
                warn!(
                    self.gateway.logger, "exchange: Request cannot be forwarded.";
                    "request" => &*self.request.meta.request_id, "error" => %error
                );
                return failed(PeerEnd::Answered, AttemptFailure::Unsent);
            }
        };
        let forwarding = Forwarding::begin(self.gateway.core.clone(), peer);
        let sent_at = Instant::now();
        let (response, connection) = match self.send_to_peer(peer, &request).await {
            Ok(sent) => sent,
            Err(failure) => return failed(PeerEnd::Gone, failure),
        };
        let (mut head, body) = response.into_parts();
        let forwarded = match ForwardOutcome::try_from(&head.headers) {
            Ok(outcome) => {
                forwarding::remove_headers(&mut head.headers);
                outcome
            }
            Err(error) => {
                warn!(
                    self.gateway.logger, "exchange: Response of a peer cannot be read.";
                    "request" => &*self.request.meta.request_id, "peer" => %peer, "error" => %error
                );
                return failed(PeerEnd::Gone, AttemptFailure::Invalid);
            }
        };
        // A peer of an earlier build passes any status on.
        if !outcome::is_final(head.status) {
            return failed(PeerEnd::Answered, AttemptFailure::Invalid);
        }
        let meta = &self.request.meta;
        let response_meta = self.gateway.platform.parse_response_head(&head, meta);
        let is_stream = self.request.route.kind.is_stream() && head.status.is_success();
        let ran = match forwarded {
            ForwardOutcome::Served { .. }
                if is_stream && BodyMedia::of(&head.headers) == BodyMedia::Other =>
            {
                return failed(PeerEnd::Answered, AttemptFailure::Invalid);
            }
            ForwardOutcome::Served { software } if is_stream => {
                let stream = OpenStream {
                    head,
                    body,
                    connection,
                    response_meta,
                    source: Source::Peer(peer),
                    software: software.unwrap_or_default(),
                    guard,
                    forwarding: Some(forwarding),
                    sent_at,
                    first_event_by: self.request.deadline,
                };
                return (PeerEnd::Answered, AttemptResult::Stream(Box::new(stream)));
            }
            ForwardOutcome::Unreached => {
                self.drain_refusal(body, connection, &response_meta).await;
                return failed(PeerEnd::Unreached, AttemptFailure::Unsent);
            }
            ForwardOutcome::Served { .. } => None,
            ForwardOutcome::Failed { ran } => Some(ran),
        };
        let headers = self.gateway.platform.response_headers(&head.headers);
        let body = match self.read_peer_body(body, connection, &response_meta).await {
            Ok(body) => body,
            Err(failure) => return failed(PeerEnd::Gone, failure),
        };
        let response = BufferedResponse {
            status: head.status,
            headers,
            body,
        };
        let result = match ran {
            None => AttemptResult::Response(response),
            Some(ran) => AttemptResult::PeerFailure(response, ran),
        };
        (PeerEnd::Answered, result)
    }

    fn build_forwarded(
        &self,
        resume_after: Option<&str>,
    ) -> Result<Request<SegmentedBody>, forwarding::InvalidForwarding> {
        let forwarded = ForwardedRequest {
            elapsed: self.request.arrived_at.elapsed(),
            possible_runs: self.outcome.possible_runs(),
            excluded: self.excluded.clone(),
            software: self.software,
            resume_after: resume_after.map(Box::from),
        };
        let (head, body) = (&self.request.head, self.request.body.clone());
        let mut request = Request::new(body);
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = head.uri.clone();
        *request.headers_mut() = end_to_end_headers(&head.headers);
        request.headers_mut().remove(CONTENT_LENGTH);
        forwarded.set_headers(request.headers_mut())?;
        Ok(request)
    }

    async fn send_to_peer(
        &self,
        peer: Ipv4Addr,
        request: &Request<SegmentedBody>,
    ) -> Result<(Response<Incoming>, Connection), AttemptFailure> {
        let pool = &self.gateway.pool;
        let address = SocketAddr::from((peer, self.gateway.forwarding_port));
        let deadline = TokioInstant::from_std(self.request.deadline);
        let unsent = |error| {
            self.log_unsent(peer, &error);
            AttemptFailure::Unsent
        };
        let mut connection = pool.acquire(address).await.map_err(unsent)?;
        loop {
            let sent = timeout_at(deadline, connection.send(request.clone())).await;
            let error = match sent {
                Ok(Ok(response)) => return Ok((response, connection)),
                Ok(Err(error)) => error,
                Err(_) => return Err(AttemptFailure::TimedOut),
            };
            self.log_unsent(peer, &error);
            if !error.is_unsent {
                pool.close_idle(address);
                return Err(AttemptFailure::Broken);
            }
            if !connection.is_reused() {
                return Err(AttemptFailure::Unsent);
            }
            // The peer had closed the kept connection.
            connection = pool.connect(address).await.map_err(unsent)?;
        }
    }

    fn log_unsent(&self, peer: Ipv4Addr, error: &impl Display) {
        debug!(
            self.gateway.logger, "exchange: Request could not be sent to a peer.";
            "request" => &*self.request.meta.request_id, "peer" => %peer, "error" => %error
        );
    }

    async fn read_peer_body(
        &self,
        body: Incoming,
        connection: Connection,
        response_meta: &ResponseMeta,
    ) -> Result<Bytes, AttemptFailure> {
        let deadline = TokioInstant::from_std(self.request.deadline);
        let read = self.gateway.responses.read(body);
        match timeout_at(deadline, read).await {
            Ok(Ok(body)) => {
                self.return_to_pool(connection, response_meta);
                Ok(body)
            }
            Ok(Err(error)) => {
                debug!(
                    self.gateway.logger, "exchange: Response of a peer could not be read.";
                    "request" => &*self.request.meta.request_id,
                    "peer" => %connection.address(), "error" => %error
                );
                Err(AttemptFailure::Broken)
            }
            Err(_) => Err(AttemptFailure::TimedOut),
        }
    }
}

fn end_name(end: PeerEnd) -> &'static str {
    match end {
        PeerEnd::Answered => "answered",
        PeerEnd::Unreached => "unreached",
        PeerEnd::Gone => "gone",
    }
}

/// Handles the requests that peers forward.
pub(crate) struct ForwardedHandler<P>(pub(crate) Rc<Gateway<P>>);

impl<P: Platform> Handler for ForwardedHandler<P> {
    async fn handle(
        self: Rc<Self>,
        mut request: Request<RequestBody>,
        caller: Rc<CallerConnection>,
    ) -> Result<Response<ResponseBody>, StreamAborted> {
        let gateway = Rc::clone(&self.0);
        let peer = caller.address().ip();
        let mut response = match ForwardedRequest::try_from(request.headers()) {
            Ok(forwarded) => {
                counter!("forwarded_requests_total").increment(1);
                forwarding::remove_headers(request.headers_mut());
                let arrived_at = arrival(&forwarded);
                let forwarded = Forwarded {
                    by: peer,
                    request: forwarded,
                };
                gateway
                    .respond(request, &caller, arrived_at, Some(forwarded))
                    .await
            }
            Err(error) => {
                warn!(
                    gateway.logger, "exchange: Request of a peer cannot be read.";
                    "peer" => %peer, "error" => %error
                );
                let failure = LocalFailure {
                    status: StatusCode::BAD_REQUEST,
                    ran: Ran::No,
                    retry_after: None,
                    reason: "bad_forwarding",
                };
                gateway.error_response(None, &failure)
            }
        };
        let outcome = ForwardOutcome::of(&response);
        outcome.set_headers(response.headers_mut());
        Ok(response)
    }
}

/// Returns when a request arrived from its caller, by the clock of this host.
fn arrival(forwarded: &ForwardedRequest) -> Instant {
    let now = Instant::now();
    now.checked_sub(forwarded.elapsed_with_transit())
        .unwrap_or(now)
}
