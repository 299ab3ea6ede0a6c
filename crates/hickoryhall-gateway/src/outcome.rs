//! Decides what a backend server's response proves, whether a request is sent again after a failed
//! attempt, and what its caller may be told in the end.
//!
//! A caller sends a request again after a status that promises that it did not run. Such a status
//! therefore leaves this host only while no attempt may have run the request.

use std::time::Duration;

use hickoryhall_types::Ran;
use hyper::StatusCode;

use crate::interface::{LocalFailure, ResponseId, ResponseMeta};
use crate::table::RouteKind;

/// Number of attempts that fail before anything is sent, after which a request is given up.
const MAX_UNSENT_ATTEMPTS: u32 = 3;
/// Largest status that a response can have (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;
/// Number of servers that may have run a request, from which it goes to no other one if it may have
/// crashed them.
const MAX_RUNS_OF_SUSPECT: u32 = 2;
/// `Retry-After` of a request that was not run: about the time after which a server that refused
/// a request accepts new work again.
pub(crate) const RETRY_AFTER_REFUSED: Duration = Duration::from_millis(200);

/// What a backend server's response proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The request succeeded.
    Success,
    /// The server ran the request and failed.
    Failure,
    /// The server did not run the request.
    NotRun,
    /// Another server has the address, or the runner has another version of its weights than the
    /// expected one; the request did not run.
    WrongServer,
    /// The response says that a request did not run, but not which one.
    Unproven,
    /// The response belongs to another request, or does not come from a backend server.
    Invalid,
}

impl ResponseKind {
    /// Classifies a response by its head. `is_kept` tells whether its connection had carried another
    /// request before.
    ///
    /// A response without an id belongs to the request only if it is the first one on its
    /// connection: on a kept connection it may be a late response to an earlier request.
    #[must_use]
    pub fn of(status: StatusCode, meta: &ResponseMeta, is_kept: bool) -> Self {
        // A seal shows that a server ran the request, so that 421 is that server's failure.
        let is_wrong_server = status == StatusCode::MISDIRECTED_REQUEST && !meta.is_sealed;
        let says_not_run = meta.says_not_run || is_wrong_server;
        if meta.id == ResponseId::Other || !is_final(status) {
            Self::Invalid
        } else if says_not_run && meta.id == ResponseId::Missing && is_kept {
            Self::Unproven
        } else if meta.says_not_run {
            Self::NotRun
        } else if is_wrong_server {
            Self::WrongServer
        } else if meta.id == ResponseId::Missing || !meta.is_sealed || meta.is_encoded {
            Self::Invalid
        } else if status.is_success() {
            Self::Success
        } else {
            Self::Failure
        }
    }

    /// Returns whether the response certainly comes from the server that the request was sent to,
    /// so that what it says of a server is about that one.
    #[must_use]
    pub fn is_from_server(self) -> bool {
        matches!(self, Self::Success | Self::Failure | Self::NotRun)
    }
}

/// Returns whether a status can be that of an answer; the HTTP library reads any three digits from 100
/// on.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    !status.is_informational() && status.as_u16() <= MAX_STATUS
}

/// Returns whether a status promises that the request did not run and never will.
#[must_use]
pub fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Why an attempt failed; `R` is a complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptFailure<R> {
    /// The server ran the request and returned a failure.
    ServerFailure {
        /// Status of the failure.
        status: StatusCode,
        /// The whole response.
        response: R,
    },
    /// The server says that it did not run the request.
    NotRun,
    /// A response says that a request did not run, but not which one; the request may have run.
    Unproven,
    /// Nothing was sent to the server.
    Unsent,
    /// The server broke off; the request may have run.
    Broken,
    /// What the server sent is no response to the request, which may have run.
    Invalid,
    /// No response arrived in time; the request may have run.
    TimedOut,
}

impl<R> AttemptFailure<R> {
    /// Returns the outcome as named in logs and metrics.
    #[must_use]
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::ServerFailure { .. } => "failed",
            Self::NotRun => "not_run",
            Self::Unproven => "unproven",
            Self::Unsent => "unsent",
            Self::Broken => "broken",
            Self::Invalid => "invalid",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns whether the attempt may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::NotRun | Self::Unsent)
    }

    /// Returns the reason that a caller is told if no later attempt succeeds.
    fn reason(&self) -> &'static str {
        match self {
            Self::ServerFailure { .. } => "failed_by_server",
            Self::NotRun => "refused_by_server",
            Self::Unproven => "unproven_refusal",
            Self::Unsent => "unreachable",
            Self::Broken => "broken_off",
            Self::Invalid => "invalid_response",
            Self::TimedOut => "timed_out",
        }
    }
}

/// What the caller of a request without a success is told.
#[derive(Clone, Debug)]
pub enum Ending<R> {
    /// The failure response of a server, unchanged.
    Relay(R),
    /// A failure of this host.
    Fail(LocalFailure),
}

/// What to do after an attempt without a success.
#[derive(Clone, Debug)]
pub enum NextStep<R> {
    /// Place the request again.
    Retry,
    /// Respond to the caller.
    End(Ending<R>),
}

/// Time that a request has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeLeft {
    /// Enough for another attempt.
    Enough,
    /// Too little for another attempt.
    TooLittle,
    /// The deadline has passed.
    None,
}

/// What is known of the attempts of one request, and what follows from it.
#[derive(Debug)]
pub struct RequestOutcome<R> {
    may_repeat: bool,
    /// Maximum number of attempts that may run the request.
    max_runs: u32,
    possible_runs: u32,
    unsent_attempts: u32,
    /// Last failure response of a server that its caller may get.
    failure_response: Option<R>,
}

impl<R> RequestOutcome<R> {
    /// Creates the outcome of a request before its first attempt; `max_runs` is the maximum number
    /// of servers that may run it.
    #[must_use]
    pub fn new(kind: RouteKind, max_runs: u32) -> Self {
        Self {
            may_repeat: kind.may_repeat(),
            max_runs,
            possible_runs: 0,
            unsent_attempts: 0,
            failure_response: None,
        }
    }

    /// Returns whether the next attempt is the last one that may run the request.
    #[must_use]
    pub fn is_last_run(&self) -> bool {
        !self.may_repeat || self.possible_runs + 1 >= self.max_runs
    }

    /// Lets at most one more attempt run the request, and none if two may have run it; returns whether
    /// another one may.
    pub fn limit_to_one_run(&mut self) -> bool {
        self.max_runs = self.max_runs.min(self.possible_runs + 1);
        self.possible_runs < MAX_RUNS_OF_SUSPECT
    }

    /// Returns the number of attempts that may have run the request.
    #[must_use]
    pub fn possible_runs(&self) -> u32 {
        self.possible_runs
    }

    /// Counts an attempt that may have run the request.
    pub fn record_possible_run(&mut self) {
        self.possible_runs += 1;
    }

    /// Takes back the count of an attempt that goes on after all.
    pub fn continue_run(&mut self) {
        self.possible_runs -= 1;
    }

    /// Decides whether the request is sent again although it may have run. `take_retry` takes one
    /// retry from the budget and returns whether there was one.
    pub fn may_run_again(&self, time_left: TimeLeft, take_retry: impl FnOnce() -> bool) -> bool {
        let is_allowed = self.may_repeat && self.possible_runs < self.max_runs;
        is_allowed && time_left == TimeLeft::Enough && take_retry()
    }

    /// Decides what to do after a failed attempt; for `take_retry` see
    /// [`may_run_again`](Self::may_run_again).
    pub fn on_failure(
        &mut self,
        failure: AttemptFailure<R>,
        time_left: TimeLeft,
        take_retry: impl FnOnce() -> bool,
    ) -> NextStep<R> {
        let reason = failure.reason();
        if failure.may_have_run() {
            self.possible_runs += 1;
        }
        let is_retried = match failure {
            // No retry is taken: nothing arrived anywhere.
            AttemptFailure::Unsent => {
                self.unsent_attempts += 1;
                self.unsent_attempts < MAX_UNSENT_ATTEMPTS && time_left == TimeLeft::Enough
            }
            AttemptFailure::NotRun => time_left == TimeLeft::Enough && take_retry(),
            AttemptFailure::ServerFailure { status, response } => {
                if !is_promise(status) {
                    self.failure_response = Some(response);
                }
                self.may_run_again(time_left, take_retry)
            }
            AttemptFailure::Unproven
            | AttemptFailure::Broken
            | AttemptFailure::Invalid
            | AttemptFailure::TimedOut => self.may_run_again(time_left, take_retry),
        };
        if is_retried {
            return NextStep::Retry;
        }
        NextStep::End(self.end(time_left, RETRY_AFTER_REFUSED, reason))
    }

    /// Ends the request with a failure that a peer generated, which is passed on unless a server's own
    /// failure may be, or the failure promises more than this host knows.
    pub fn on_peer_failure(
        &mut self,
        response: R,
        status: StatusCode,
        ran: Ran,
        time_left: TimeLeft,
    ) -> Ending<R> {
        if ran != Ran::No {
            self.possible_runs += 1;
        }
        let is_untrue = is_promise(status) && self.possible_runs > 0;
        if is_untrue || self.failure_response.is_some() {
            return self.end(time_left, RETRY_AFTER_REFUSED, "failed_at_peer");
        }
        Ending::Relay(response)
    }

    /// Ends the request without a success: with the last failure response of a server that the
    /// caller may get, else with a failure that promises that the request did not run only if no
    /// attempt may have run it. `retry_after` goes with that promise only.
    pub fn end(
        &mut self,
        time_left: TimeLeft,
        retry_after: Duration,
        reason: &'static str,
    ) -> Ending<R> {
        if let Some(response) = self.failure_response.take() {
            return Ending::Relay(response);
        }
        if self.possible_runs == 0 {
            return Ending::Fail(LocalFailure {
                status: StatusCode::SERVICE_UNAVAILABLE,
                ran: Ran::No,
                retry_after: Some(retry_after),
                reason,
            });
        }
        let status = match time_left {
            TimeLeft::None => StatusCode::GATEWAY_TIMEOUT,
            TimeLeft::Enough | TimeLeft::TooLittle => StatusCode::BAD_GATEWAY,
        };
        Ending::Fail(LocalFailure {
            status,
            ran: Ran::Unknown,
            retry_after: None,
            reason,
        })
    }
}
