//! Fleet-wide retry budget, divided among the hosts without communication between them.
//!
//! The fleet may send `ratio` x requests + `extra_retries` retries in a window. Each host has credit
//! for its retries: requests and time add to it, each retry takes one from it, and a host that starts
//! again has none. What a host forgets when it is killed is credit, never a retry that it has sent, so
//! that the sum over the fleet holds whichever hosts are killed, replaced or partitioned, and wherever
//! callers go then.
//!
//! The retries of a window are covered by the credit that the hosts have when it begins and by what is
//! added in it. A request adds a part of `ratio`; the rest of `ratio` is the credit that a host may keep
//! for each request of its last window. Time adds a part of `extra_retries` in a window; the rest is the
//! credit that the fleet may keep without requests.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fraction of the budget that hosts use; the rest covers the time between a retry's deduction and its
/// arrival.
const USED_FRACTION: f64 = 0.9;
/// Fraction of `ratio` that a request adds to the credit.
const EARNED_FRACTION: f64 = 0.6;
/// Fraction of `extra_retries` that is added to the credit in a window.
const REFILLED_FRACTION: f64 = 0.25;

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

/// State of a host's share, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Requests in the last window.
    pub requests: usize,
    /// Retries that the host may send now, those that are reserved included.
    pub credit: f64,
    /// Retries that wait to be sent.
    pub reserved: u32,
    /// Largest credit.
    pub max_credit: f64,
}

/// One host's share of the fleet's retry budget for one service.
///
/// A retry that may have to wait is reserved first, and deducted when it is sent: it counts in the
/// window in which it arrives.
#[derive(Clone, Debug)]
pub struct FleetRetryBudget {
    limit: FleetRetryLimit,
    /// Requests of the last window.
    requests: VecDeque<Instant>,
    credit: f64,
    reserved: u32,
    advanced_at: Instant,
}

impl FleetRetryBudget {
    /// Creates the budget of a service whose first request arrives. `restarted_at` is the start of a
    /// host that may have sent retries before; it has no credit until a window later.
    #[must_use]
    pub fn new(limit: FleetRetryLimit, now: Instant, restarted_at: Option<Instant>) -> Self {
        let is_new =
            restarted_at.is_some_and(|at| now.saturating_duration_since(at) < limit.window);
        Self {
            limit,
            requests: VecDeque::new(),
            // The largest credit cuts it.
            credit: if is_new { 0.0 } else { f64::MAX },
            reserved: 0,
            advanced_at: now,
        }
    }

    /// Changes the limit; the credit is cut to what the new one allows.
    pub fn set_limit(&mut self, limit: FleetRetryLimit) {
        self.limit = limit;
    }

    /// Records a request, that is, its first attempt.
    pub fn record_request(&mut self, now: Instant, hosts: Option<usize>) {
        self.advance(now, hosts);
        self.requests.push_back(now);
        self.credit += USED_FRACTION * EARNED_FRACTION * self.limit.ratio;
    }

    /// Reserves one retry, and returns whether it was available. `hosts` is the number of hosts in the
    /// fleet; a host that does not know it has no share of the retries that are independent of traffic.
    pub fn reserve(&mut self, now: Instant, hosts: Option<usize>) -> bool {
        self.advance(now, hosts);
        let is_available = self.credit - f64::from(self.reserved) >= 1.0;
        if is_available {
            self.reserved += 1;
        }
        is_available
    }

    /// Deducts a reserved retry that is sent now. Returns whether it may be sent: the requests that it
    /// rests on may be too long ago.
    pub fn spend(&mut self, now: Instant, hosts: Option<usize>) -> bool {
        self.advance(now, hosts);
        self.reserved = self.reserved.saturating_sub(1);
        let is_available = self.credit >= 1.0;
        if is_available {
            self.credit -= 1.0;
        }
        is_available
    }

    /// Gives back a reserved retry that is not sent.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Reserves again a retry that was deducted and has not arrived anywhere.
    pub fn restore(&mut self) {
        self.credit += 1.0;
        self.reserved += 1;
    }

    /// Returns the remaining fraction of this host's budget, from 0 to 1; 0 if it allows no retry.
    pub fn fraction_left(&mut self, now: Instant, hosts: Option<usize>) -> f64 {
        self.advance(now, hosts);
        let max_credit = self.max_credit(hosts);
        if max_credit < 1.0 {
            return 0.0;
        }
        ((self.credit - f64::from(self.reserved)) / max_credit).clamp(0.0, 1.0)
    }

    /// Returns the state of this host's share.
    pub fn usage(&mut self, now: Instant, hosts: Option<usize>) -> RetryUsage {
        self.advance(now, hosts);
        RetryUsage {
            requests: self.requests.len(),
            credit: self.credit,
            reserved: self.reserved,
            max_credit: self.max_credit(hosts),
        }
    }

    /// Returns the largest credit.
    fn max_credit(&self, hosts: Option<usize>) -> f64 {
        let kept = (1.0 - EARNED_FRACTION) * self.limit.ratio * self.requests.len() as f64;
        USED_FRACTION * (kept + (1.0 - REFILLED_FRACTION) * self.share_of_extra(hosts))
    }

    fn share_of_extra(&self, hosts: Option<usize>) -> f64 {
        hosts.map_or(0.0, |hosts| self.limit.extra_retries / hosts.max(1) as f64)
    }

    /// Adds the credit of the time since the last call, and forgets earlier requests.
    fn advance(&mut self, now: Instant, hosts: Option<usize>) {
        let elapsed = now.saturating_duration_since(self.advanced_at);
        self.advanced_at += elapsed;
        let window = self.limit.window;
        let has_expired = |at: &Instant| now.saturating_duration_since(*at) >= window;
        while self.requests.front().is_some_and(has_expired) {
            self.requests.pop_front();
        }
        let refilled = USED_FRACTION * REFILLED_FRACTION * self.share_of_extra(hosts);
        self.credit += refilled * elapsed.as_secs_f64() / window.as_secs_f64();
        self.credit = self.credit.min(self.max_credit(hosts));
    }
}
