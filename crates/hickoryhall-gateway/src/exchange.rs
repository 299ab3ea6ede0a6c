//! Handles a caller's request from its head to the last byte of the response.
//!
//! How a request fails depends on whether it may have run. While nothing has been sent, or where
//! the server itself says that it did not run the request, the caller is told that the request was
//! not run. Once it may have run, only a repeatable request is sent again, within the retry budget;
//! every other request fails with `ran` unknown.

mod attempt;
mod intake;
mod record;
mod relay;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hickoryhall_edge::{Handler, Pool, ResponseBody, StreamAborted};
use hickoryhall_routing::SuspectDecision;
use hickoryhall_types::Ran;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use slog::{Logger, debug, info};
use tokio::sync::oneshot;

use crate::core::CoreHandle;
use crate::interface::{LocalFailure, Platform};
use crate::registry::ServerId;
use crate::scheduler::{Assignment, AttemptId, PlacementRefusal, PlacementRequest, ReportedState};

use attempt::{AttemptFailure, AttemptGuard, AttemptResult, BufferedResponse};
use intake::{PreparedRequest, Rejection};
use record::RequestRecord;

/// Number of attempts that fail before anything is sent, after which a request is given up.
const MAX_UNSENT_ATTEMPTS: u32 = 3;
/// Time that must remain before the deadline for another attempt to be worthwhile.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);
/// `Retry-After` of a request that was not run: about the time after which a server that refused
/// a request accepts new work again.
const RETRY_AFTER_REFUSED: Duration = Duration::from_millis(200);
/// `Retry-After` of a request suspected of crashing servers: longer than its caller waits.
const RETRY_AFTER_SUSPECT: Duration = Duration::from_secs(30);

/// Handles callers' requests: places each on a backend server, forwards it and passes the response
/// back.
pub struct Gateway<P> {
    platform: Rc<P>,
    core: CoreHandle,
    pool: Pool,
    next_attempt_id: Cell<AttemptId>,
    in_flight: Rc<Cell<usize>>,
    is_closed: Cell<bool>,
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
    /// Creates a gateway that accepts requests.
    #[must_use]
    pub fn new(platform: Rc<P>, core: CoreHandle, pool: Pool, logger: Logger) -> Self {
        Self {
            platform,
            core,
            pool,
            next_attempt_id: Cell::new(1),
            in_flight: Rc::default(),
            is_closed: Cell::new(false),
            logger,
        }
    }

    /// Returns the handle of the core that places requests and keeps the retry budgets.
    #[must_use]
    pub fn core(&self) -> &CoreHandle {
        &self.core
    }

    /// Returns the number of requests in progress, streams included.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Refuses all further requests, because the process exits before they could be answered.
    pub fn close(&self) {
        self.is_closed.set(true);
    }

    /// Queries a runner for the version of its weights after it refused a request that expected
    /// another one.
    fn refresh_weights(&self, assignment: &Assignment) {
        let (platform, core) = (Rc::clone(&self.platform), self.core.clone());
        let (server, logger) = (assignment.server.clone(), self.logger.clone());
        tokio::task::spawn_local(async move {
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
        self.platform
            .error_response(request_id, failure)
            .map(ResponseBody::full)
    }
}

impl<P: Platform> Handler for Gateway<P> {
    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        _caller: SocketAddr,
    ) -> Result<Response<ResponseBody>, StreamAborted> {
        let in_flight = self.track_in_flight();
        let arrived_at = Instant::now();
        match self.intake(request, arrived_at).await {
            Ok(request) => Ok(Exchange::new(self, request, in_flight).run().await),
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
                Ok(self.error_response(request_id.as_deref(), &failure))
            }
        }
    }
}

/// One request in progress, over all its attempts.
struct Exchange<P> {
    gateway: Rc<Gateway<P>>,
    request: PreparedRequest,
    /// Servers that failed this request or did not run it; it is not placed there again.
    excluded: Vec<ServerId>,
    /// Attempts that may have run the request.
    possible_runs: u32,
    /// Attempts that failed before anything was sent.
    unsent_attempts: u32,
    /// Whether a server broke the request off before, so that it may crash servers.
    is_suspect: bool,
    /// Last failure response of a server, returned to the caller if no later attempt succeeds.
    failure_response: Option<BufferedResponse>,
    record: RequestRecord,
    _in_flight: InFlight,
}

/// What to do after an attempt without a success.
enum NextStep {
    /// Place the request again.
    Retry,
    /// Return a failure of this host.
    Fail(LocalFailure),
    /// Return the failure response of a server.
    Respond(BufferedResponse),
}

impl<P: Platform> Exchange<P> {
    fn new(gateway: Rc<Gateway<P>>, request: PreparedRequest, in_flight: InFlight) -> Self {
        let record = RequestRecord::new(&request, gateway.logger.clone());
        gateway
            .core
            .with(|core, now| core.record_request(now, &request.service));
        Self {
            gateway,
            request,
            excluded: Vec::new(),
            possible_runs: 0,
            unsent_attempts: 0,
            is_suspect: false,
            failure_response: None,
            record,
            _in_flight: in_flight,
        }
    }

    async fn run(mut self) -> Response<ResponseBody> {
        if let Some(failure) = self.refuse_suspect() {
            return self.respond_failure(failure);
        }
        loop {
            let (assignment, guard) = match self.place().await {
                Ok(placed) => placed,
                Err(refusal) => return self.respond_refused(refusal),
            };
            let failure = match self.attempt(&assignment, guard, None).await {
                AttemptResult::Response(response) => return self.respond(response),
                AttemptResult::Failed(failure) => failure,
                AttemptResult::Stream(stream) => match self.start_stream(stream).await {
                    Ok(response) => return response,
                    Err((exchange, failure)) => {
                        self = *exchange;
                        failure
                    }
                },
            };
            match self.next_step(&assignment, failure) {
                NextStep::Retry => {}
                NextStep::Fail(failure) => return self.respond_failure(failure),
                NextStep::Respond(response) => return self.respond(response),
            }
        }
    }

    /// Returns the refusal of a request that several servers broke off, as it may crash them. One
    /// that a single server broke off is placed apart from other such requests.
    fn refuse_suspect(&mut self) -> Option<LocalFailure> {
        let fingerprint = self.request.fingerprint;
        let decision = self
            .gateway
            .core
            .with(|core, now| core.suspect_decision(now, fingerprint));
        self.is_suspect = decision == SuspectDecision::Isolate;
        matches!(decision, SuspectDecision::Refuse(_)).then(|| LocalFailure {
            status: StatusCode::SERVICE_UNAVAILABLE,
            ran: Ran::No,
            retry_after: Some(RETRY_AFTER_SUSPECT),
            reason: "suspect",
        })
    }

    async fn place(&mut self) -> Result<(Box<Assignment>, AttemptGuard), PlacementRefusal> {
        let attempt_id = self.gateway.new_attempt_id();
        let guard = AttemptGuard::new(self.gateway.core.clone(), attempt_id);
        let request = PlacementRequest {
            attempt_id,
            service: self.request.service.clone(),
            priority: self.request.priority(),
            prompt: self.request.prompt.clone(),
            is_resumable: self.request.route.kind.may_repeat(),
            arrived_at: self.request.arrived_at,
            target_latency: self.request.route.target_latency,
            deadline: self.request.deadline,
            excluded_servers: self.excluded.clone(),
            is_suspect: self.is_suspect,
        };
        let (reply, placement) = oneshot::channel();
        self.gateway
            .core
            .with(|core, now| core.place(now, request, reply));
        let placement = placement.await;
        let assignment = placement.expect("the core answers every placement request")?;
        self.record.placed(&assignment);
        Ok((assignment, guard))
    }

    /// Records that a server failed the request or did not run it.
    fn attempt_failed(&mut self, server: &ServerId, outcome: &str) {
        self.record.attempt_failed(server, outcome);
        self.excluded.push(server.clone());
    }

    /// Decides what to do after an attempt without a success.
    fn next_step(&mut self, assignment: &Assignment, failure: AttemptFailure) -> NextStep {
        let server = assignment.server.id.clone();
        debug!(
            self.gateway.logger, "exchange: Attempt failed.";
            "request" => &*self.request.meta.request_id, "server" => &*server,
            "outcome" => failure.outcome()
        );
        self.attempt_failed(&server, failure.outcome());
        match failure {
            AttemptFailure::Unsent => {
                self.unsent_attempts += 1;
                if self.unsent_attempts < MAX_UNSENT_ATTEMPTS && self.has_time() {
                    return NextStep::Retry;
                }
                self.end_without_response("unreachable")
            }
            AttemptFailure::NotRun => {
                if self.has_time() && self.take_retry() {
                    return NextStep::Retry;
                }
                self.end_without_response("refused_by_server")
            }
            AttemptFailure::ServerFailure(response) => {
                self.possible_runs += 1;
                if self.may_run_again() {
                    self.failure_response = Some(response);
                    return NextStep::Retry;
                }
                NextStep::Respond(response)
            }
            AttemptFailure::Broken => self.next_step_after_possible_run("broken_off"),
            AttemptFailure::TimedOut => self.next_step_after_possible_run("timed_out"),
        }
    }

    /// Decides what to do after an attempt that may have run the request.
    fn next_step_after_possible_run(&mut self, reason: &'static str) -> NextStep {
        self.possible_runs += 1;
        if self.may_run_again() {
            return NextStep::Retry;
        }
        self.end_without_response(reason)
    }

    fn has_time(&self) -> bool {
        self.request
            .deadline
            .saturating_duration_since(Instant::now())
            > MIN_ATTEMPT_TIME
    }

    fn may_run_again(&mut self) -> bool {
        let route = &self.request.route;
        let is_allowed = route.kind.may_repeat() && self.possible_runs < route.attempts;
        is_allowed && self.has_time() && self.take_retry()
    }

    fn take_retry(&mut self) -> bool {
        let service = &self.request.service;
        self.gateway
            .core
            .with(|core, now| core.take_retry(now, service))
    }

    /// Ends a request without a success: with the last failure response of a server where there is
    /// one, else with a failure that says whether the request ran, as far as this host knows.
    fn end_without_response(&mut self, reason: &'static str) -> NextStep {
        if let Some(response) = self.failure_response.take() {
            return NextStep::Respond(response);
        }
        if self.possible_runs == 0 {
            return NextStep::Fail(LocalFailure {
                status: StatusCode::SERVICE_UNAVAILABLE,
                ran: Ran::No,
                retry_after: Some(RETRY_AFTER_REFUSED),
                reason,
            });
        }
        let is_late = Instant::now() >= self.request.deadline;
        NextStep::Fail(LocalFailure {
            status: if is_late {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::BAD_GATEWAY
            },
            ran: Ran::Unknown,
            retry_after: None,
            reason,
        })
    }

    fn respond_refused(mut self, refusal: PlacementRefusal) -> Response<ResponseBody> {
        if let Some(response) = self.failure_response.take() {
            return self.respond(response);
        }
        let failure = if self.possible_runs == 0 {
            LocalFailure {
                status: StatusCode::SERVICE_UNAVAILABLE,
                ran: Ran::No,
                retry_after: Some(refusal.retry_after),
                reason: refusal.reason.as_str(),
            }
        } else {
            LocalFailure {
                status: StatusCode::BAD_GATEWAY,
                ran: Ran::Unknown,
                retry_after: None,
                reason: refusal.reason.as_str(),
            }
        };
        self.respond_failure(failure)
    }

    fn respond_failure(mut self, failure: LocalFailure) -> Response<ResponseBody> {
        self.record.failed(&failure);
        self.gateway
            .error_response(Some(&self.request.meta.request_id), &failure)
    }

    fn respond(mut self, response: BufferedResponse) -> Response<ResponseBody> {
        if response.is_success {
            let fingerprint = self.request.fingerprint;
            self.gateway
                .core
                .with(|core, _| core.clear_suspect(fingerprint));
        }
        self.record.answered(response.status);
        response.into_response()
    }
}

impl BufferedResponse {
    fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::full(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
