//! Whether a failed attempt may be tried again.

use std::time::{Duration, Instant};

use hickoryhall_types::Ran;

/// Attempts of one request at most, the first one included, where the last one may have run.
const MAX_ATTEMPTS: u32 = 3;
/// Attempts of one request at most where the last one certainly did not run.
const MAX_ATTEMPTS_NOT_RUN: u32 = 6;
/// Wait before the first retry; it doubles with each further one.
const BASE_WAIT: Duration = Duration::from_millis(20);

/// How an attempt ended that gave no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOutcome {
    /// Whether the backend server ran the request.
    pub ran: Ran,
    /// When the attempt ended.
    pub at: Instant,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after this wait.
    Retry(Duration),
    /// Give the caller its refusal at once.
    GiveUp,
}

/// Rules for retries of one request.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Moment after which no answer is of use.
    pub deadline: Instant,
}

impl RetryPolicy {
    /// Decides on attempt number `attempts`, counted from 1; `within_budget` is asked last.
    ///
    /// A request that is not repeatable is retried only when it certainly did not run.
    pub fn decide(
        &self,
        attempts: u32,
        outcome: AttemptOutcome,
        within_budget: impl FnOnce() -> bool,
    ) -> RetryDecision {
        let may_run_again = self.repeatable || outcome.ran == Ran::No;
        let wait = BASE_WAIT * 2_u32.saturating_pow(attempts.saturating_sub(1).min(16));
        let limit = if outcome.ran == Ran::No {
            MAX_ATTEMPTS_NOT_RUN
        } else {
            MAX_ATTEMPTS
        };
        let in_time = outcome.at + wait < self.deadline;
        if may_run_again && attempts < limit && in_time && within_budget() {
            RetryDecision::Retry(wait)
        } else {
            RetryDecision::GiveUp
        }
    }
}
