//! Part of a retry budget that all hosts share without asking one another.
//!
//! The fleet may send `ratio` x requests + `extra` retries in a window. Each host takes `ratio` of
//! the requests that came to it, and its equal part of `extra`, both cut by a reserve. The sum over
//! all hosts stays within the budget as long as no host counts fewer hosts than there are, and a
//! host that is cut off goes by the most that it has seen.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the budget that hosts use; the rest covers windows that cut a burst apart.
const USED_PART: f64 = 0.9;

/// The fleet's budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetRetryLimit {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beside.
    pub extra: f64,
    /// Window in which both count.
    pub window: Duration,
}

/// One host's part of the fleet's retry budget for one service.
#[derive(Clone, Debug)]
pub struct FleetRetryBudget {
    limit: FleetRetryLimit,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl FleetRetryBudget {
    /// Creates a budget without any traffic yet.
    #[must_use]
    pub fn new(limit: FleetRetryLimit) -> Self {
        Self {
            limit,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a first attempt.
    pub fn record_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes a retry out of the budget of a fleet of `hosts`; returns whether it was there.
    pub fn take(&mut self, now: Instant, hosts: usize) -> bool {
        self.expire(now);
        if (self.retries.len() as f64) >= self.allowed(hosts) {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the part of the budget that is left, from 0 to 1.
    pub fn part_left(&mut self, now: Instant, hosts: usize) -> f64 {
        self.expire(now);
        let allowed = self.allowed(hosts);
        if allowed < 1.0 {
            return 0.0;
        }
        (1.0 - self.retries.len() as f64 / allowed).max(0.0)
    }

    fn allowed(&self, hosts: usize) -> f64 {
        let earned = self.limit.ratio * self.requests.len() as f64;
        let part = self.limit.extra / hosts.max(1) as f64;
        (USED_PART * (earned + part)).floor()
    }

    fn expire(&mut self, now: Instant) {
        let window = self.limit.window;
        let is_over = |at: &Instant| now.saturating_duration_since(*at) >= window;
        while self.requests.front().is_some_and(is_over) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(is_over) {
            self.retries.pop_front();
        }
    }
}
