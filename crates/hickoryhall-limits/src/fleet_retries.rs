//! Fleet-wide retry budget, divided among the hosts without communication between them.
//!
//! The fleet may send `ratio` x requests + `extra_retries` retries in a window. Each host may send
//! `ratio` x the requests that it received + an equal share of `extra_retries`, both reduced by a
//! reserve. The sum over all hosts stays within the budget as long as no host underestimates the
//! number of hosts; a partitioned host uses the highest number that it has seen. A host that starts
//! again does not know what it has sent before, nor how many hosts there are: its share of
//! `extra_retries` grows over one window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fraction of the budget that hosts use; the rest covers bursts that straddle two windows.
const USED_FRACTION: f64 = 0.9;

/// Retry budget of the whole fleet for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetRetryLimit {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window in addition, independent of traffic.
    pub extra_retries: f64,
    /// Sliding window in which requests and retries are counted.
    pub window: Duration,
}

/// What a host has used of its share, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Requests in the window.
    pub requests: usize,
    /// Retries in the window.
    pub retries: usize,
    /// Retries that the share allows in the window.
    pub allowed: f64,
}

/// One host's share of the fleet's retry budget for one service.
#[derive(Clone, Debug)]
pub struct FleetRetryBudget {
    limit: FleetRetryLimit,
    /// When the host started, if it may have sent retries before.
    restarted_at: Option<Instant>,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl FleetRetryBudget {
    /// Creates a budget without recorded requests or retries. `restarted_at` is the start of a host
    /// that may have sent retries before.
    #[must_use]
    pub fn new(limit: FleetRetryLimit, restarted_at: Option<Instant>) -> Self {
        Self {
            limit,
            restarted_at,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a request, that is, its first attempt.
    pub fn record_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget of a fleet of `hosts` hosts, and returns whether it was
    /// available.
    pub fn take(&mut self, now: Instant, hosts: usize) -> bool {
        self.expire(now);
        if (self.retries.len() as f64) >= self.allowed(now, hosts) {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the remaining fraction of this host's budget, from 0 to 1; 0 if it allows no retry.
    pub fn fraction_left(&mut self, now: Instant, hosts: usize) -> f64 {
        self.expire(now);
        let allowed = self.allowed(now, hosts);
        if allowed < 1.0 {
            return 0.0;
        }
        (1.0 - self.retries.len() as f64 / allowed).max(0.0)
    }

    /// Returns what is used of this host's share.
    pub fn usage(&mut self, now: Instant, hosts: usize) -> RetryUsage {
        self.expire(now);
        RetryUsage {
            requests: self.requests.len(),
            retries: self.retries.len(),
            allowed: self.allowed(now, hosts),
        }
    }

    fn allowed(&self, now: Instant, hosts: usize) -> f64 {
        let earned = self.limit.ratio * self.requests.len() as f64;
        let share_of_extra = self.limit.extra_retries / hosts.max(1) as f64;
        (USED_FRACTION * (earned + share_of_extra * self.grown(now))).floor()
    }

    /// Returns the part of a window that has passed since the host started again, at most 1.
    fn grown(&self, now: Instant) -> f64 {
        self.restarted_at.map_or(1.0, |at| {
            let uptime = now.saturating_duration_since(at).as_secs_f64();
            (uptime / self.limit.window.as_secs_f64()).min(1.0)
        })
    }

    fn expire(&mut self, now: Instant) {
        let window = self.limit.window;
        let has_expired = |at: &Instant| now.saturating_duration_since(*at) >= window;
        while self.requests.front().is_some_and(has_expired) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(has_expired) {
            self.retries.pop_front();
        }
    }
}
