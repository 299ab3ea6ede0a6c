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

    fn service(&mut self, service: &TargetId) -> &mut ServiceRetries {
        let Self {
            limit,
            restarted_at,
            services,
        } = self;
        services
            .entry(service.clone())
            .or_insert_with(|| ServiceRetries {
                budget: FleetRetryBudget::new(*limit, *restarted_at),
                is_used_up: false,
            })
    }
}

impl Core {
    /// Counts a request to a service, which adds to the retry budget of that service.
    pub fn record_request(&mut self, now: Instant, service: &TargetId) {
        self.retries.service(service).budget.record_request(now);
    }

    /// Prepares the retry budget of a service for a request that another host has counted.
    pub fn record_forwarded_request(&mut self, service: &TargetId) {
        self.retries.service(service);
    }

    /// Takes one retry from this host's share of a service's budget.
    ///
    /// Returns whether the budget allowed it.
    pub fn take_retry(&mut self, now: Instant, service: &TargetId) -> bool {
        let hosts = self.fleet.size(now);
        let Some(state) = self.retries.services.get_mut(service) else {
            return false;
        };
        let is_taken = state.budget.take(now, hosts);
        let outcome = if is_taken { "taken" } else { "refused" };
        counter!("retries_total", "service" => service.to_string(), "outcome" => outcome)
            .increment(1);
        self.record_retry_decision(now, service, hosts, is_taken);
        is_taken
    }

    /// Logs that the share of a service's budget is used up, or that it allows retries again.
    fn record_retry_decision(
        &mut self,
        now: Instant,
        service: &TargetId,
        hosts: usize,
        is_allowed: bool,
    ) {
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
            "service" => &**service, "requests" => usage.requests, "retries" => usage.retries,
            "allowed" => usage.allowed, "hosts" => hosts, "ms_since_restart" => uptime
        );
    }

    /// Changes the fleet's retry limit; a changed limit resets all counts.
    pub fn set_retry_limit(&mut self, limit: FleetRetryLimit) {
        if limit != self.retries.limit {
            self.retries.limit = limit;
            self.retries.services.clear();
        }
    }

    /// Returns the unused fraction of this host's share of a service's retry budget, from 0 to 1.
    pub fn retry_budget_left(&mut self, now: Instant, service: &TargetId) -> f64 {
        let hosts = self.fleet.size(now);
        let state = self.retries.services.get_mut(service);
        state.map_or(0.0, |state| state.budget.fraction_left(now, hosts))
    }
}
