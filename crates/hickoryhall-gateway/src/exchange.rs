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

use hickoryhall_edge::{Aborted, AnswerBody, Handler, Pool};
use hickoryhall_routing::Verdict;
use hickoryhall_types::Ran;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use slog::{Logger, debug, info};
use tokio::sync::oneshot;

use crate::core::CoreHandle;
use crate::interface::{OwnFailure, Platform};
use crate::registry::ServerId;
use crate::scheduler::{Assignment, Denied, Need, Ticket};

use attempt::{Attempted, SavedAnswer, TicketGuard, Unanswered};
use intake::{Job, Rejected};
use record::Record;

/// Failed attempts without anything sent to a server after which a request is given up.
const UNSENT_TRIES: u32 = 3;
/// Time that must remain before the deadline for another attempt to be worthwhile.
const USEFUL_TIME: Duration = Duration::from_millis(30);
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
    next_ticket: Cell<Ticket>,
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
            next_ticket: Cell::new(1),
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
    fn refresh(&self, assignment: &Assignment) {
        let (platform, core) = (Rc::clone(&self.platform), self.core.clone());
        let (server, logger) = (assignment.server.clone(), self.logger.clone());
        tokio::task::spawn_local(async move {
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
            core.with(|core, now| {
                core.set_runner_weights(now, hash, weights.unwrap_or(0), report.is_busy);
            });
        });
    }

    fn enter(&self) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(Rc::clone(&self.in_flight))
    }

    fn ticket(&self) -> Ticket {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        ticket
    }

    fn own_failure(&self, request_id: Option<&str>, failure: &OwnFailure) -> Response<AnswerBody> {
        self.platform
            .own_failure(request_id, failure)
            .map(AnswerBody::full)
    }
}

impl<P: Platform> Handler for Gateway<P> {
    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        _caller: SocketAddr,
    ) -> Result<Response<AnswerBody>, Aborted> {
        let in_flight = self.enter();
        let arrived = Instant::now();
        match self.intake(request, arrived).await {
            Ok(job) => Ok(Exchange::new(self, job, in_flight).run().await),
            Err(Rejected {
                request_id,
                failure,
                detail,
            }) => {
                record::rejected(
                    &self.logger,
                    request_id.as_deref(),
                    &failure,
                    &detail,
                    arrived,
                );
                Ok(self.own_failure(request_id.as_deref(), &failure))
            }
        }
    }
}

/// One request in progress, over all its attempts.
struct Exchange<P> {
    gateway: Rc<Gateway<P>>,
    job: Job,
    excluded: Vec<ServerId>,
    /// Attempts that may have run the request.
    runs: u32,
    /// Attempts that failed before anything was sent.
    unsent: u32,
    /// Last failure response of a server, returned to the caller if no later attempt succeeds.
    failed: Option<SavedAnswer>,
    record: Record,
    _in_flight: InFlight,
}

/// What to do after an attempt without a success.
enum Next {
    /// Place the request again.
    Again,
    /// Return a failure of this host.
    End(OwnFailure),
    /// Return the failure response of a server.
    Pass(SavedAnswer),
}

impl<P: Platform> Exchange<P> {
    fn new(gateway: Rc<Gateway<P>>, job: Job, in_flight: InFlight) -> Self {
        let record = Record::new(&job, gateway.logger.clone());
        gateway
            .core
            .with(|core, now| core.record_request(now, &job.service));
        Self {
            gateway,
            job,
            excluded: Vec::new(),
            runs: 0,
            unsent: 0,
            failed: None,
            record,
            _in_flight: in_flight,
        }
    }

    async fn run(mut self) -> Response<AnswerBody> {
        if let Some(failure) = self.suspect() {
            return self.fail(failure);
        }
        loop {
            let (assignment, ticket) = match self.place().await {
                Ok(placed) => placed,
                Err(denied) => return self.denied(denied),
            };
            let unanswered = match self.attempt(&assignment, ticket, None).await {
                Attempted::Answer(answer) => return self.answer(answer),
                Attempted::Without(unanswered) => unanswered,
                Attempted::Stream(stream) => match self.start_stream(stream).await {
                    Ok(response) => return response,
                    Err((exchange, unanswered)) => {
                        self = *exchange;
                        unanswered
                    }
                },
            };
            match self.after(&assignment, unanswered) {
                Next::Again => {}
                Next::End(failure) => return self.fail(failure),
                Next::Pass(answer) => return self.answer(answer),
            }
        }
    }

    /// Returns the refusal of a request that several servers broke off, as it may crash them.
    fn suspect(&mut self) -> Option<OwnFailure> {
        let fingerprint = self.job.fingerprint;
        let verdict = self
            .gateway
            .core
            .with(|core, now| core.verdict(now, fingerprint));
        matches!(verdict, Verdict::Refuse(_)).then(|| OwnFailure {
            status: StatusCode::SERVICE_UNAVAILABLE,
            ran: Ran::No,
            retry_after: Some(RETRY_AFTER_SUSPECT),
            reason: "suspect",
        })
    }

    async fn place(&mut self) -> Result<(Box<Assignment>, TicketGuard), Denied> {
        let ticket = self.gateway.ticket();
        let guard = TicketGuard::new(self.gateway.core.clone(), ticket);
        let need = Need {
            ticket,
            service: self.job.service.clone(),
            rank: self.job.rank(),
            prompt: self.job.prompt.clone(),
            is_resumable: self.job.route.kind.may_repeat(),
            arrived: self.job.arrived,
            target: self.job.route.target_latency,
            deadline: self.job.deadline,
            exclude: self.excluded.clone(),
        };
        let (reply, placement) = oneshot::channel();
        self.gateway
            .core
            .with(|core, now| core.place(now, need, reply));
        let placement = placement.await;
        let assignment = placement.expect("the actor answers every request that it holds")?;
        self.record.placed(&assignment);
        Ok((assignment, guard))
    }

    /// Decides what to do after an attempt without a success.
    fn after(&mut self, assignment: &Assignment, unanswered: Unanswered) -> Next {
        let server = assignment.server.id.clone();
        debug!(
            self.gateway.logger, "exchange: Attempt failed.";
            "request" => &*self.job.ask.request_id, "server" => &*server,
            "outcome" => unanswered.name()
        );
        self.record.attempted(&server, unanswered.name());
        self.excluded.push(server);
        match unanswered {
            Unanswered::Unsent => {
                self.unsent += 1;
                if self.unsent < UNSENT_TRIES && self.has_time() {
                    return Next::Again;
                }
                self.end_unanswered("unreachable")
            }
            Unanswered::NotRun => {
                if self.has_time() && self.take_retry() {
                    return Next::Again;
                }
                self.end_unanswered("refused_by_server")
            }
            Unanswered::Failed(answer) => {
                self.runs += 1;
                if self.may_run_again() {
                    self.failed = Some(answer);
                    return Next::Again;
                }
                Next::Pass(answer)
            }
            Unanswered::Broken => self.after_unknown("broken_off"),
            Unanswered::TimedOut => self.after_unknown("timed_out"),
        }
    }

    /// Decides what to do after an attempt that may have run the request.
    fn after_unknown(&mut self, reason: &'static str) -> Next {
        self.runs += 1;
        if self.may_run_again() {
            return Next::Again;
        }
        self.end_unanswered(reason)
    }

    fn has_time(&self) -> bool {
        self.job.deadline.saturating_duration_since(Instant::now()) > USEFUL_TIME
    }

    fn may_run_again(&mut self) -> bool {
        let route = &self.job.route;
        let is_allowed = route.kind.may_repeat() && self.runs < route.attempts;
        is_allowed && self.has_time() && self.take_retry()
    }

    fn take_retry(&mut self) -> bool {
        let service = &self.job.service;
        self.gateway
            .core
            .with(|core, now| core.take_retry(now, service))
    }

    /// Ends a request that no server answered with a success. The failure says whether the request
    /// ran, as far as this host knows.
    fn end_unanswered(&mut self, reason: &'static str) -> Next {
        if let Some(failed) = self.failed.take() {
            return Next::Pass(failed);
        }
        if self.runs == 0 {
            return Next::End(OwnFailure {
                status: StatusCode::SERVICE_UNAVAILABLE,
                ran: Ran::No,
                retry_after: Some(RETRY_AFTER_REFUSED),
                reason,
            });
        }
        let is_late = Instant::now() >= self.job.deadline;
        Next::End(OwnFailure {
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

    fn denied(mut self, denied: Denied) -> Response<AnswerBody> {
        if let Some(failed) = self.failed.take() {
            return self.answer(failed);
        }
        let failure = if self.runs == 0 {
            OwnFailure {
                status: StatusCode::SERVICE_UNAVAILABLE,
                ran: Ran::No,
                retry_after: Some(denied.retry_after),
                reason: denied.reason.as_str(),
            }
        } else {
            OwnFailure {
                status: StatusCode::BAD_GATEWAY,
                ran: Ran::Unknown,
                retry_after: None,
                reason: denied.reason.as_str(),
            }
        };
        self.fail(failure)
    }

    fn fail(mut self, failure: OwnFailure) -> Response<AnswerBody> {
        self.record.failed(&failure);
        self.gateway
            .own_failure(Some(&self.job.ask.request_id), &failure)
    }

    fn answer(mut self, answer: SavedAnswer) -> Response<AnswerBody> {
        if answer.is_success {
            let fingerprint = self.job.fingerprint;
            self.gateway.core.with(|core, _| core.acquit(fingerprint));
        }
        self.record.answered(answer.status);
        answer.into_response()
    }
}

impl SavedAnswer {
    fn into_response(self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::full(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
