//! Limits on the requests of all hosts together: those that servers name, and quotas of workspaces.

use std::collections::HashMap;
use std::time::Instant;

use hickoryhall_limits::QuotaDecision;
use hickoryhall_types::{Incarnation, TargetId, hash_name};
use metrics::counter;
use slog::{info, warn};

use super::{Core, rank_among};
use crate::interface::StatedLimit;
use crate::registry::BackendServer;
use crate::scheduler::HostHash;
use crate::table::Workspace;

impl Core {
    /// Charges the units of a request to the quota of its workspace; `draw` is the hash of the request.
    pub fn charge_quota(
        &mut self,
        now: Instant,
        workspace: &Workspace,
        units: f64,
        draw: u64,
    ) -> QuotaDecision {
        let hash = hash_name(&workspace.id);
        let quotas = self.quotas.fleet(now, self.table.as_deref());
        let decision = quotas.charge(now, hash, units, draw);
        self.quotas
            .record(now, &self.logger, workspace, units, decision);
        decision
    }

    /// Gives back the units of a request that has not run.
    pub fn give_back_quota(&mut self, now: Instant, workspace: &Workspace, units: f64) {
        let hash = hash_name(&workspace.id);
        let quotas = self.quotas.fleet(now, self.table.as_deref());
        quotas.give_back(now, hash, units);
        let label = workspace.id.to_string();
        counter!("quota_units_returned_total", "workspace" => label).increment(units as u64);
    }

    /// Records what a response says about the limit of its server, as the registry entry was when the
    /// request was sent.
    pub fn on_stated_limit(
        &mut self,
        now: Instant,
        server: &BackendServer,
        limit: StatedLimit,
        sent_at: Instant,
    ) {
        let (hash, process) = (hash_name(&server.id), server.incarnation);
        let Some(limit_per_s) = self.readable_limit(server, limit) else {
            return;
        };
        let limits = self.scheduler.limits_mut();
        if limits.record(now, hash, process, limit_per_s, sent_at) {
            self.limit_changed(now, &server.id, process, limit_per_s, "response");
        }
    }

    /// Returns the number that a server names, if any; `None` for a value that is no number, which is logged
    /// once for each process and changes nothing.
    #[allow(
        clippy::option_option,
        reason = "a server may name no limit, or one that cannot be read"
    )]
    fn readable_limit(
        &mut self,
        server: &BackendServer,
        limit: StatedLimit,
    ) -> Option<Option<f64>> {
        match limit {
            StatedLimit::None => Some(None),
            StatedLimit::PerSecond(limit_per_s) => Some(Some(limit_per_s)),
            StatedLimit::Unreadable => {
                let (hash, process) = (hash_name(&server.id), server.incarnation);
                if self.unreadable_limits.insert(hash, process) != Some(process) {
                    warn!(self.logger, "core: Limit of a server cannot be read."; "server" => &*server.id, "incarnation" => process);
                }
                None
            }
        }
    }

    /// Records what a response says about the requests that its server can turn away.
    pub fn on_refusal_limit(
        &mut self,
        now: Instant,
        server: &BackendServer,
        limit: StatedLimit,
        sent_at: Instant,
    ) {
        let (hash, process) = (hash_name(&server.id), server.incarnation);
        let Some(limit_per_s) = self.readable_limit(server, limit) else {
            return;
        };
        let refusal_limits = self.scheduler.refusal_limits_mut();
        if refusal_limits.record(now, hash, process, limit_per_s, sent_at) {
            self.refusal_limit_changed(now, &server.id, process, limit_per_s, "response");
        }
    }

    /// Logs a changed limit of requests that a server can turn away, and divides the servers
    /// among the hosts again.
    pub(super) fn refusal_limit_changed(
        &mut self,
        now: Instant,
        server: &str,
        process: Incarnation,
        limit: Option<f64>,
        source: &'static str,
    ) {
        counter!("refusal_limits_changed_total", "source" => source).increment(1);
        info!(
            self.logger, "core: Refusal limit of a server changed.";
            "server" => server, "incarnation" => process, "refusals_per_s" => limit,
            "source" => source
        );
        self.divide_refusal_limits(now);
    }

    /// Divides the slots of servers with refusal limits among the live hosts.
    pub(super) fn divide_refusal_limits(&mut self, now: Instant) {
        if self.scheduler.refusal_limits_mut().is_empty() {
            return;
        }
        let hosts = self.fleet.live(now).len() + 1;
        let servers = self.scheduler.refusal_limits_mut().servers().collect();
        let ranks = self.ranks(now, servers);
        self.scheduler.divide_refusal_limits(now, hosts, &ranks);
    }

    /// Logs a changed limit, and divides the limits among the hosts again.
    pub(super) fn limit_changed(
        &mut self,
        now: Instant,
        server: &str,
        process: Incarnation,
        limit_per_s: Option<f64>,
        source: &'static str,
    ) {
        counter!("server_limits_changed_total", "source" => source).increment(1);
        info!(
            self.logger, "core: Limit of a server changed.";
            "server" => server, "incarnation" => process, "limit_per_s" => limit_per_s,
            "source" => source
        );
        self.divide_limits(now);
    }

    /// Divides the limits that servers name among the live hosts.
    pub(super) fn divide_limits(&mut self, now: Instant) {
        if self.scheduler.limits_mut().is_empty() {
            return;
        }
        let hosts = self.fleet.live(now).len() + 1;
        let servers = self.scheduler.limits_mut().servers().collect();
        let ranks = self.ranks(now, servers);
        self.scheduler.limits_mut().divide(now, hosts, |server| {
            ranks.get(&server).copied().unwrap_or(usize::MAX)
        });
    }

    /// Returns this host's rank for each of some servers, among the live hosts that reach the service;
    /// there is none for a server that this host does not reach or know.
    fn ranks(&self, now: Instant, servers: Vec<u64>) -> HashMap<u64, usize> {
        let mut able_hosts = HashMap::<TargetId, Vec<HostHash>>::new();
        let ranks = servers.into_iter().filter_map(|server| {
            let service = self.scheduler.service_of(server)?;
            if self.is_cut_off(service) {
                return None;
            }
            let able = able_hosts
                .entry(service.clone())
                .or_insert_with(|| self.hosts_that_reach(now, [service]));
            Some((server, rank_among(able, self.config.host, server)))
        });
        ranks.collect()
    }
}
