//! Handles a caller's request from its head to the last byte of the response.
//!
//! How a request fails depends on whether it may have run; [`outcome`](crate::outcome) decides it.
//! While nothing has been sent, or where the server itself says that it did not run the request, the
//! caller is told that the request was not run. Once it may have run, only a repeatable request is
//! sent again, within the retry budget; every other request fails with `ran` unknown.

mod attempt;
mod bodies;
mod crash;
mod forward;
mod intake;
mod late;
mod quota;
mod reach;
mod record;
mod relay;
mod respond;
mod retry;
mod take_up;

use std::cell::Cell;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hickoryhall_edge::{
    BodyReader, CallerConnection, Handler, Pool, RequestBody, ResponseBody, StreamAborted,
    StreamRoom,
};
use hickoryhall_limits::HostBudgets;
use hickoryhall_routing::{Fingerprint, SuspectDecision};
use hickoryhall_types::Ran;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, StatusCode};
use slog::{Logger, debug, info, warn};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{Notify, oneshot};
use tokio::task::{spawn_local, yield_now};

use crate::core::CoreHandle;
use crate::interface::{LocalFailure, Platform};
use crate::outcome::{NextStep, RequestOutcome, TimeLeft};
use crate::registry::ServerId;
use crate::scheduler::{
    Assignment, AttemptId, PlacementRefusal, PlacementRequest, RefusalReason, ReportedState,
    Suspect,
};
use crate::stream_versions::SoftwareHash;

use attempt::{AttemptFailure, AttemptGuard, AttemptResult, BufferedResponse};
use bodies::Bodies;
pub(crate) use forward::ForwardedHandler;
use forward::Source;
use intake::{Forwarded, PreparedRequest, Rejection};
use late::LateAnswer;
use record::RequestRecord;
use retry::RetryReservation;

/// Maximum size of a response that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Maximum size of a refusal, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// Time that must remain before the deadline for another attempt to be worthwhile.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);
/// Failure of a request whose process ends first; it may have run.
const ENDING: LocalFailure = LocalFailure {
    status: StatusCode::BAD_GATEWAY,
    ran: Ran::Unknown,
    retry_after: None,
    reason: "stopped",
};

/// Handles callers' requests: places each on a backend server, forwards it and passes the response
/// back.
pub struct Gateway<P> {
    platform: Rc<P>,
    core: CoreHandle,
    pool: Pool,
    bodies: Rc<Bodies>,
    responses: BodyReader,
    streams: StreamRoom,
    refusals: BodyReader,
    /// Port at which peers take forwarded requests.
    forwarding_port: u16,
    /// Takes the connections of answers that nobody waits for.
    late_answers: UnboundedSender<LateAnswer>,
    /// Receives them, until the task that reads them begins.
    abandoned: Cell<Option<UnboundedReceiver<LateAnswer>>>,
    next_attempt_id: Cell<AttemptId>,
    in_flight: Rc<Cell<usize>>,
    is_closed: Cell<bool>,
    /// Notified when the process ends before the requests in progress do.
    ending: Notify,
    logger: Logger,
}

/// Counts a request as in flight until it is dropped.
struct InFlight(Rc<Cell<usize>>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<P: Platform> Gateway<P> {
    /// Creates a gateway that accepts requests; `forwarding_port` is the port at which its peers take
    /// forwarded ones.
    #[must_use]
    pub fn new(
        platform: Rc<P>,
        core: CoreHandle,
        pool: Pool,
        forwarding_port: u16,
        budgets: &HostBudgets,
        logger: Logger,
    ) -> Self {
        let (late_answers, abandoned) = mpsc::unbounded_channel();
        Self {
            late_answers,
            abandoned: Cell::new(Some(abandoned)),
            platform,
            core,
            pool,
            bodies: Bodies::new(budgets.body_bytes, logger.clone()),
            responses: BodyReader::new(MAX_RESPONSE_BYTES, budgets.response_bytes),
            streams: StreamRoom::new(budgets.stream_bytes),
            refusals: BodyReader::new(MAX_REFUSAL_BYTES, MAX_REFUSAL_BYTES),
            forwarding_port,
            next_attempt_id: Cell::new(1),
            in_flight: Rc::default(),
            is_closed: Cell::new(false),
            ending: Notify::new(),
            logger,
        }
    }

    /// Returns the handle of the core that places requests and keeps the retry budgets.
    #[must_use]
    pub fn core(&self) -> &CoreHandle {
        &self.core
    }

    /// Returns the number of requests in progress, streams included. Their callers may not have got
    /// the whole response when they end.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Refuses all further requests, because the process exits before they could be answered.
    pub fn close(&self) {
        self.is_closed.set(true);
    }

    /// Answers all requests without a response, because the process ends before their servers answer.
    pub fn end_requests(&self) {
        self.ending.notify_waiters();
    }

    /// Queries a runner for the version of its weights after it refused a request that expected
    /// another one.
    fn refresh_weights(&self, assignment: &Assignment) {
        let (platform, core) = (Rc::clone(&self.platform), self.core.clone());
        let (server, logger) = (assignment.server.clone(), self.logger.clone());
        spawn_local(async move {
            let requested_at = Instant::now();
            let report = match platform.report(&server).await {
                Ok(report) => report,
                Err(error) => {
                    info!(
                        logger, "exchange: Runner report could not be read.";
                        "server" => &*server.id, "error" => %error
                    );
                    return;
                }
            };
            let hash = hickoryhall_types::hash_name(&server.id);
            let weights = report.models.iter().map(|(_, version)| *version).max();
            let state = ReportedState {
                requested_at,
                incarnation: report.incarnation,
                weights,
                is_busy: report.is_busy,
                is_leaving: report.is_leaving,
            };
            core.with(|core, now| core.record_report(now, hash, &state));
        });
    }

    fn track_in_flight(&self) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(Rc::clone(&self.in_flight))
    }

    fn new_attempt_id(&self) -> AttemptId {
        let attempt_id = self.next_attempt_id.get();
        self.next_attempt_id.set(attempt_id + 1);
        attempt_id
    }

    fn error_response(
        &self,
        request_id: Option<&str>,
        failure: &LocalFailure,
    ) -> Response<ResponseBody> {
        let response = self.platform.error_response(request_id, failure);
        let mut response = response.map(ResponseBody::full);
        response.extensions_mut().insert(failure.clone());
        response
    }
}

impl<P: Platform> Handler for Gateway<P> {
    async fn handle(
        self: Rc<Self>,
        request: Request<RequestBody>,
        caller: Rc<CallerConnection>,
    ) -> Result<Response<ResponseBody>, StreamAborted> {
        Ok(self.respond(request, &caller, Instant::now(), None).await)
    }
}

impl<P: Platform> Gateway<P> {
    /// Responds to a request of a caller, or to one that a peer forwarded.
    async fn respond(
        self: Rc<Self>,
        request: Request<RequestBody>,
        caller: &Rc<CallerConnection>,
        arrived_at: Instant,
        forwarded: Option<Forwarded>,
    ) -> Response<ResponseBody> {
        let in_flight = self.track_in_flight();
        match self.intake(request, caller, arrived_at, forwarded).await {
            Ok(request) => {
                let id = request.meta.request_id.clone();
                caller.set_request_id(id.clone());
                let gateway = Rc::clone(&self);
                let exchange = Exchange::new(self, request, in_flight);
                tokio::select! {
                    biased;
                    response = exchange.run() => response,
                    () = gateway.ending.notified() => {
                        warn!(
                            gateway.logger, "exchange: Request answered before its server, as the process ends.";
                            "request" => &*id, "status" => ENDING.status.as_u16(), "reason" => ENDING.reason
                        );
                        gateway.error_response(Some(&id), &ENDING)
                    }
                }
            }
            Err(Rejection {
                request_id,
                failure,
                detail,
            }) => {
                record::log_rejection(
                    &self.logger,
                    request_id.as_deref(),
                    &failure,
                    &detail,
                    arrived_at,
                );
                let mut response = self.error_response(request_id.as_deref(), &failure);
                if intake::has_unread_body(&failure) {
                    response
                        .headers_mut()
                        .insert(CONNECTION, HeaderValue::from_static("close"));
                }
                response
            }
        }
    }
}

/// Lets the event loop run before a request is sent. The end of the caller's connection may have arrived
/// unnoticed, with the request or while it waited, if the process was held up. The request is then dropped:
/// a caller that closed a connection whose request was not read may send it again elsewhere.
async fn notice_left_callers() {
    // A task of its own is certain to wait for the event loop; the current one may be woken for other
    // reasons.
    let turn = spawn_local(yield_now());
    // It neither panics nor is cancelled.
    let _ = turn.await;
}

/// One request in progress, over all its attempts.
struct Exchange<P> {
    gateway: Rc<Gateway<P>>,
    request: PreparedRequest,
    /// Servers that failed this request or did not run it; it is not placed there again.
    excluded: Vec<ServerId>,
    outcome: RequestOutcome<BufferedResponse>,
    /// The retry that the next attempt takes from the budget, if it is one.
    retry: Option<RetryReservation>,
    /// Software version at which the stream must go on, once it has begun.
    software: Option<SoftwareHash>,
    /// Time from which waits for a server count: the arrival, or the last break of the stream.
    waits_since: Instant,
    /// What may crash the server that runs the request.
    suspect: Option<Suspect>,
    /// Attempts at servers that could not be connected to.
    unsent_attempts: u32,
    /// Whether an attempt reached a server.
    has_reached_server: bool,
    /// Peers that got the request.
    peers: Vec<Ipv4Addr>,
    /// Whether the request probes whether a refused prompt part still does.
    is_probe: bool,
    record: RequestRecord,
    _in_flight: InFlight,
}

impl<P: Platform> Exchange<P> {
    fn new(gateway: Rc<Gateway<P>>, request: PreparedRequest, in_flight: InFlight) -> Self {
        let record = RequestRecord::new(&request, gateway.logger.clone());
        let mut outcome = RequestOutcome::new(request.route.kind, request.route.attempts);
        let (mut excluded, mut software) = (Vec::new(), None);
        let (core, service) = (&gateway.core, &request.service);
        if let Some(Forwarded { request, .. }) = &request.forwarded {
            core.with(|core, now| core.record_forwarded_request(now, service));
            (0..request.possible_runs).for_each(|_| outcome.record_possible_run());
            excluded.clone_from(&request.excluded);
            software = request.software;
        } else {
            core.with(|core, now| core.record_request(now, service));
        }
        Self {
            gateway,
            waits_since: request.arrived_at,
            request,
            excluded,
            outcome,
            retry: None,
            software,
            unsent_attempts: 0,
            has_reached_server: false,
            peers: Vec::new(),
            suspect: None,
            is_probe: false,
            record,
            _in_flight: in_flight,
        }
    }

    async fn run(mut self) -> Response<ResponseBody> {
        if let Err(refusal) = self.check_suspect(Some(self.request.fingerprint)) {
            return self.respond_refused(refusal);
        }
        if let Some(failure) = self.find_software().await {
            return self.respond_failure(failure);
        }
        loop {
            let target = match self.choose_target().await {
                Ok(target) => target,
                Err(refusal) => return self.respond_refused(refusal),
            };
            notice_left_callers().await;
            if !self.send_retry() {
                drop(target);
                return self.respond_late_retry();
            }
            let sent_at = Instant::now();
            let source = target.source();
            self.set_may_have_run(true);
            let failure = match self.attempt_at(target, None).await {
                AttemptResult::Response(response) => {
                    if let Some(server) = source.server() {
                        let framing = self.record.framing();
                        self.record_whole_answer(server, sent_at, framing);
                    }
                    return self.respond(response);
                }
                AttemptResult::PeerFailure(response, ran) => {
                    self.set_may_have_run(ran != Ran::No || self.outcome.possible_runs() > 0);
                    return self.respond_peer_failure(response, ran);
                }
                AttemptResult::Failed(failure) => failure,
                AttemptResult::Stream(stream) => match self.start_stream(stream).await {
                    Ok(response) => return response,
                    Err((exchange, failure)) => {
                        self = *exchange;
                        failure
                    }
                },
            };
            match self.next_step(&source, failure) {
                NextStep::Retry => {}
                NextStep::End(ending) => return self.respond_ending(ending),
            }
        }
    }

    /// Checks whether servers crashed while they ran others with a part of its prompt, or the request
    /// itself if its fingerprint is given. A request that may have caused it runs once, at the server
    /// for its suspect.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that would crash another server.
    fn check_suspect(&mut self, fingerprint: Option<Fingerprint>) -> Result<(), PlacementRefusal> {
        if self.is_probe {
            return Ok(());
        }
        let parts = &self.request.parts;
        let decision = self
            .gateway
            .core
            .with(|core, now| core.suspect_decision(now, fingerprint, parts));
        let retry_after = match decision {
            SuspectDecision::Clear => return Ok(()),
            SuspectDecision::Isolate(suspect) | SuspectDecision::Probe(suspect) => {
                self.suspect = Some(suspect);
                self.is_probe = matches!(decision, SuspectDecision::Probe(_));
                if self.outcome.limit_to_one_run() {
                    return Ok(());
                }
                Duration::ZERO
            }
            SuspectDecision::Refuse(retry_after) => retry_after,
        };
        Err(PlacementRefusal {
            reason: RefusalReason::Suspect,
            retry_after,
        })
    }

    async fn place(&mut self) -> Result<(Box<Assignment>, AttemptGuard), PlacementRefusal> {
        self.check_suspect(None)?;
        let attempt_id = self.gateway.new_attempt_id();
        let guard = AttemptGuard::new(self.gateway.core.clone(), attempt_id);
        let request = PlacementRequest {
            attempt_id,
            service: self.request.service.clone(),
            priority: self.request.priority(),
            prompt: self.request.prompt.clone(),
            is_resumable: self.request.route.kind.may_repeat(),
            arrived_at: self.waits_since,
            target_latency: self.request.route.target_latency,
            deadline: self.request.deadline,
            excluded_servers: self.excluded.clone(),
            software: self.software,
            suspect: self.suspect,
        };
        let (reply, placement) = oneshot::channel();
        self.gateway
            .core
            .with(|core, now| core.place(now, request, reply));
        let placement = placement.await;
        let assignment = placement.expect("the core answers every placement request")?;
        // Servers may have crashed while the request waited.
        self.check_suspect(None)?;
        self.record.placed(&assignment);
        Ok((assignment, guard))
    }

    /// Records that a server or a peer failed the request or did not run it.
    fn attempt_failed(&mut self, source: &Source, outcome: &str) {
        self.record.attempt_failed(&source.id(), outcome);
        if let Some(server) = source.server() {
            self.excluded.push(server.id.clone());
        }
    }

    /// Decides what to do after an attempt without a success.
    fn next_step(
        &mut self,
        source: &Source,
        failure: AttemptFailure,
    ) -> NextStep<BufferedResponse> {
        debug!(
            self.gateway.logger, "exchange: Attempt failed.";
            "request" => &*self.request.meta.request_id, "server" => &*source.id(),
            "outcome" => failure.outcome()
        );
        self.attempt_failed(source, failure.outcome());
        let time_left = self.time_left();
        if matches!(failure, AttemptFailure::Unsent) {
            self.restore_retry();
            if source.server().is_none() && time_left == TimeLeft::Enough {
                self.set_may_have_run(self.outcome.possible_runs() > 0);
                // The number of peers is limited apart.
                return NextStep::Retry;
            }
            self.unsent_attempts += 1;
        } else {
            self.retry = None;
            self.has_reached_server |= source.server().is_some();
        }
        let (core, service) = (&self.gateway.core, &self.request.service);
        let retry = &mut self.retry;
        let next = self.outcome.on_failure(failure, time_left, || {
            *retry = RetryReservation::take(core, service);
            retry.is_some()
        });
        self.set_may_have_run(self.outcome.possible_runs() > 0);
        next
    }

    /// Records whether the request counts towards the quota of its workspace if it ends now.
    fn set_may_have_run(&mut self, may_have_run: bool) {
        if let Some(charge) = &mut self.request.quota_charge {
            charge.set_may_have_run(may_have_run);
        }
    }

    fn time_left(&self) -> TimeLeft {
        let now = Instant::now();
        let left = self.request.deadline.saturating_duration_since(now);
        if left > MIN_ATTEMPT_TIME {
            TimeLeft::Enough
        } else if left > Duration::ZERO {
            TimeLeft::TooLittle
        } else {
            TimeLeft::None
        }
    }

    fn has_time(&self) -> bool {
        self.time_left() == TimeLeft::Enough
    }

    fn may_run_again(&mut self) -> bool {
        let time_left = self.time_left();
        let may_run = self.outcome.may_run_again(time_left, || true);
        may_run && self.reserve_retry()
    }
}
