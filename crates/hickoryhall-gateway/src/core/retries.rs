//! Retry budgets of services, of which each host uses a share.

use std::collections::HashMap;
use std::time::Instant;

use hickoryhall_limits::{FleetRetryBudget, FleetRetryLimit};
use hickoryhall_types::TargetId;
use metrics::counter;
use slog::info;

use super::Core;

/// This host's shares of the retry budgets.
pub(super) struct RetryState {
    limit: FleetRetryLimit,
    /// Start of this host, if it may have sent retries before.
    restarted_at: Option<Instant>,
    services: HashMap<TargetId, ServiceRetries>,
}

/// The share of one service's budget.
struct ServiceRetries {
    budget: FleetRetryBudget,
    /// Whether the last retry was refused.
    is_used_up: bool,
}

impl RetryState {
    pub fn new(limit: FleetRetryLimit, restarted_at: Option<Instant>) -> Self {
        Self {
            limit,
            restarted_at,
            services: HashMap::new(),
        }
    }

    fn service(&mut self, now: Instant, service: &TargetId) -> &mut ServiceRetries {
        let Self {
            limit,
            restarted_at,
            services,
        } = self;
        services
            .entry(service.clone())
            .or_insert_with(|| ServiceRetries {
                budget: FleetRetryBudget::new(*limit, now, *restarted_at),
                is_used_up: false,
            })
    }
}

impl Core {
    /// Counts a request to a service, which adds to the retry budget of that service.
    pub fn record_request(&mut self, now: Instant, service: &TargetId) {
        let hosts = self.fleet.size_for_shares(now);
        let state = self.retries.service(now, service);
        state.budget.record_request(now, hosts);
    }

    /// Prepares the retry budget of a service for a request that another host has counted.
    pub fn record_forwarded_request(&mut self, now: Instant, service: &TargetId) {
        self.retries.service(now, service);
    }

    /// Reserves one retry of this host's share of a service's budget, until it is spent or released.
    ///
    /// Returns whether the budget allowed it.
    pub fn reserve_retry(&mut self, now: Instant, service: &TargetId) -> bool {
        let hosts = self.fleet.size_for_shares(now);
        let Some(state) = self.retries.services.get_mut(service) else {
            return false;
        };
        let is_reserved = state.budget.reserve(now, hosts);
        let outcome = if is_reserved { "reserved" } else { "refused" };
        self.count_retry(now, service, outcome, is_reserved);
        is_reserved
    }

    /// Deducts a reserved retry that is sent now. Returns whether it may be sent.
    pub fn spend_retry(&mut self, now: Instant, service: &TargetId) -> bool {
        let hosts = self.fleet.size_for_shares(now);
        let Some(state) = self.retries.services.get_mut(service) else {
            return false;
        };
        let is_spent = state.budget.spend(now, hosts);
        let outcome = if is_spent { "sent" } else { "late" };
        self.count_retry(now, service, outcome, is_spent);
        is_spent
    }

    /// Gives back a reserved retry that is not sent.
    pub fn release_retry(&mut self, service: &TargetId) {
        if let Some(state) = self.retries.services.get_mut(service) {
            state.budget.release();
        }
    }

    /// Reserves again a retry that did not arrive at any server.
    pub fn restore_retry(&mut self, service: &TargetId) {
        if let Some(state) = self.retries.services.get_mut(service) {
            state.budget.restore();
        }
    }

    /// Counts a decision about a retry; logs that the share of a service's budget is used up, or that it
    /// allows retries again.
    fn count_retry(
        &mut self,
        now: Instant,
        service: &TargetId,
        outcome: &'static str,
        is_allowed: bool,
    ) {
        counter!("retries_total", "service" => service.to_string(), "outcome" => outcome)
            .increment(1);
        let hosts = self.fleet.size_for_shares(now);
        let restarted_at = self.retries.restarted_at;
        let Some(state) = self.retries.services.get_mut(service) else {
            return;
        };
        if state.is_used_up != is_allowed {
            return;
        }
        state.is_used_up = !is_allowed;
        let usage = state.budget.usage(now, hosts);
        let uptime = restarted_at.map(|at| now.saturating_duration_since(at).as_millis());
        info!(
            self.logger, "core: Retries of a service are {}.", if is_allowed { "allowed again" } else { "used up" };
            "service" => &**service, "requests" => usage.requests, "credit" => usage.credit,
            "max_credit" => usage.max_credit, "reserved" => usage.reserved, "hosts" => hosts,
            "ms_since_restart" => uptime
        );
    }

    /// Changes the fleet's retry limit.
    pub fn set_retry_limit(&mut self, limit: FleetRetryLimit) {
        self.retries.limit = limit;
        for state in self.retries.services.values_mut() {
            state.budget.set_limit(limit);
        }
    }

    /// Returns the unused fraction of this host's share of a service's retry budget, from 0 to 1.
    pub fn retry_budget_left(&mut self, now: Instant, service: &TargetId) -> f64 {
        let hosts = self.fleet.size_for_shares(now);
        let state = self.retries.services.get_mut(service);
        state.map_or(0.0, |state| state.budget.fraction_left(now, hosts))
    }

    /// Returns the size of the fleet by which its budgets are divided, if it is known.
    pub fn fleet_size_for_shares(&mut self, now: Instant) -> Option<usize> {
        self.fleet.size_for_shares(now)
    }

    /// Returns whether this host still has to learn how many hosts there are.
    #[must_use]
    pub fn needs_fleet_size(&self, now: Instant) -> bool {
        self.fleet.needs_size(now)
    }

    /// Records the number of hosts that the store's list of hosts states.
    pub fn on_listed_fleet_size(&mut self, now: Instant, hosts: usize) {
        info!(self.logger, "core: Size of the fleet read from the store."; "hosts" => hosts);
        self.fleet.set_listed_size(now, hosts);
    }
}
