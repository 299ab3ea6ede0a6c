//! Retry policy: decides whether a failed attempt is retried, and after which wait.

use std::time::{Duration, Instant};

use hickoryhall_types::Ran;

/// Maximum number of attempts, including the first, when the last attempt may have run.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum number of attempts when the last attempt certainly did not run.
const MAX_ATTEMPTS_NOT_RUN: u32 = 6;
/// Wait before the first retry; doubles with each further retry.
const BASE_WAIT: Duration = Duration::from_millis(20);

/// Outcome of an attempt that returned no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOutcome {
    /// Whether the backend server ran the request.
    pub ran: Ran,
    /// When the attempt ended.
    pub ended_at: Instant,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after this wait.
    Retry(Duration),
    /// Return an error to the caller at once.
    GiveUp,
}

/// Retry rules of one request.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Whether the request may safely run more than once.
    pub repeatable: bool,
    /// Time after which an answer is of no use to the caller.
    pub deadline: Instant,
}

impl RetryPolicy {
    /// Decides whether to retry after attempt number `attempts`, counted from 1.
    ///
    /// A request that is not repeatable is retried only if it certainly did not run.
    /// `within_budget` is called last, so that a retry ruled out for another reason uses none of
    /// the budget.
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
        let in_time = outcome.ended_at + wait < self.deadline;
        if may_run_again && attempts < limit && in_time && within_budget() {
            RetryDecision::Retry(wait)
        } else {
            RetryDecision::GiveUp
        }
    }
}
