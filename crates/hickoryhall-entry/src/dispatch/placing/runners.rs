//! Updates of the runners' state from the platform's list, load reports and rumors.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use hickoryhall_clients::{LoadResponse, NotRun};
use hickoryhall_control::choose_version;
use hickoryhall_routing::{LoadReport, RunnerInfo};
use hickoryhall_types::{Incarnation, WeightsVersion};
use hickoryhall_wire::HostHash;

use super::Dispatch;
use crate::dispatch::{RunnerState, Server, ServerKind};

impl Dispatch {
    /// Replaces the platform's list of runners; a new runner gets requests after its first load
    /// report.
    pub fn set_servers(&mut self, servers: &[Server]) {
        let runners = servers
            .iter()
            .filter(|server| server.kind == ServerKind::Runner);
        let listed = runners
            .map(|server| (server.id.clone(), server.clone()))
            .collect();
        let previous = std::mem::replace(&mut self.servers, listed);
        for id in previous.keys().filter(|id| !self.servers.contains_key(*id)) {
            self.placement.remove(id);
        }
        for server in self.servers.values().filter(|server| server.leaving) {
            if let Some(key) = self.placement.runners().key(&server.id) {
                self.placement.mark_leaving(key);
            }
        }
    }

    /// Replaces the map from runners, by the hash of the name, to the hosts that track them.
    pub fn set_trackers(&mut self, tracker_of: HashMap<u64, HostHash>) {
        let local_host = self.config.local_host;
        self.tracked_runners
            .retain(|runner| tracker_of.get(&runner) == Some(&local_host));
        self.tracker_of = tracker_of;
    }

    /// Returns the state of the runners of a failure domain, according to their latest reports.
    #[must_use]
    pub fn runners_in(&self, domain: &str) -> Vec<RunnerState> {
        let runners = self.placement.runners().iter().map(|(_, info)| info);
        runners
            .filter(|info| info.domain.as_ref() == domain)
            .filter_map(|info| {
                let server = self.servers.get(&info.id)?.clone();
                Some(RunnerState {
                    server,
                    weights: info.report.weights,
                    is_available: !info.leaving,
                })
            })
            .collect()
    }

    /// Records a load report; returns whether it is the first to say that the runner is
    /// leaving.
    pub fn observe_load(&mut self, now: Instant, id: &str, load: &LoadResponse) -> bool {
        let Some(server) = self.servers.get(id) else {
            return false;
        };
        let report = LoadReport {
            incarnation: load.incarnation,
            weights: load.weights_version,
            waiting_tokens: load.waiting_tokens,
            prefill_tokens_per_s: load.prefill_tokens_per_s,
            cache_tokens: load.cache_tokens,
            leaving: load.leaving || server.leaving,
        };
        let known = self.placement.runners().key(id);
        let known = known.and_then(|key| self.placement.runners().get(key));
        let was_leaving = known.is_some_and(|info| info.leaving);
        let info = RunnerInfo::new(
            server.id.clone(),
            server.domain.clone(),
            server.target.clone(),
            report,
        );
        let runner = info.name_hash;
        self.placement.upsert(now, info);
        if self.tracker_of.get(&runner) == Some(&self.config.local_host) {
            self.tracked_runners.observe(now, runner, &report);
        }
        report.leaving && !was_leaving
    }

    /// Records the state that a runner reported when it refused an attempt.
    pub fn observe_refusal(&mut self, id: &str, refusal: NotRun) {
        let Some(key) = self.placement.runners().key(id) else {
            return;
        };
        if refusal.leaving {
            self.placement.mark_leaving(key);
        }
        if let Some(weights) = refusal.weights_version {
            self.placement.set_weights(key, weights);
        }
    }

    /// Records that a runner did not answer a load query, which may eject it.
    pub fn observe_unreachable(&mut self, now: Instant, id: &str) {
        if let Some(key) = self.placement.runners().key(id) {
            // A load query has no reservation; no attempt has the id 0.
            self.placement.record_failed(now, key, 0);
        }
    }

    /// Records that a runner answered a load query, which ends its ejection.
    pub fn observe_reachable(&mut self, id: &str) {
        if let Some(key) = self.placement.runners().key(id) {
            self.placement.record_answered(key);
        }
    }

    /// Records a peer's report that a runner is leaving; ignored if it is about an earlier
    /// incarnation than the known one.
    pub fn mark_leaving(&mut self, runner: u64, incarnation: Incarnation) {
        let runners = self.placement.runners();
        let matches =
            |info: &RunnerInfo| info.name_hash == runner && info.report.incarnation <= incarnation;
        let key = runners
            .iter()
            .find(|(_, info)| matches(info))
            .map(|(key, _)| key);
        if let Some(key) = key {
            self.placement.mark_leaving(key);
        }
    }

    /// Chooses the weights version for a new request among those that the model's runners serve.
    ///
    /// Returns `desired_version`, which the table sets, if no runner serves the model.
    /// `request_hash` spreads the requests over the versions in proportion to their runners.
    #[must_use]
    pub fn version_for(
        &self,
        model: &str,
        desired_version: WeightsVersion,
        request_hash: u64,
    ) -> WeightsVersion {
        let mut serving = BTreeMap::<WeightsVersion, usize>::new();
        let runners = self.placement.runners().iter().map(|(_, info)| info);
        for info in runners.filter(|info| info.accepts(model, info.report.weights)) {
            if info.report.weights != 0 {
                *serving.entry(info.report.weights).or_default() += 1;
            }
        }
        choose_version(&serving, desired_version, request_hash)
    }
}
