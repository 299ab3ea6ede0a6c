//! Updates that the scheduler exchanges with servers and peers.

use std::time::Instant;

use hickoryhall_routing::PrefixChain;
use hickoryhall_types::WeightsVersion;

use super::{HostLoad, LoadSource, RunnerView, Scheduler};
use crate::interface::ResponseMeta;
use crate::peers::PromptUpdate;

impl Scheduler {
    /// Records the load and weights version that a response head reports for a server.
    pub fn record_response_head(&mut self, now: Instant, id: &str, response_meta: &ResponseMeta) {
        let Some(state) = self
            .by_id
            .get(id)
            .and_then(|&key| self.servers.get_mut(key))
        else {
            return;
        };
        if let Some(load) = response_meta.load {
            state.set_reported_load(now, load);
        }
        if let Some(weights) = response_meta.weights {
            state.set_weights(weights);
        }
    }

    /// Records the weights version of a runner, and whether it is changing its weights.
    pub fn record_runner_update(
        &mut self,
        now: Instant,
        server: u64,
        weights: WeightsVersion,
        is_changing: bool,
    ) {
        let Some(state) = self
            .by_hash
            .get(&server)
            .and_then(|&key| self.servers.get_mut(key))
        else {
            return;
        };
        state.set_weights(weights);
        if is_changing {
            state.begin_weight_change(now);
        } else {
            state.end_weight_change();
        }
    }

    /// Records the load of other hosts at a server.
    pub fn set_peer_load(&mut self, now: Instant, source: LoadSource, server: u64, load: HostLoad) {
        if let Some(state) = self
            .by_hash
            .get(&server)
            .and_then(|&key| self.servers.get_mut(key))
        {
            state.set_peer_load(now, source, load);
        }
    }

    /// Clears the load from `source` at every server that its latest update does not name.
    pub fn retain_peer_loads(&mut self, source: LoadSource, named: &[u64]) {
        for state in self.servers.values_mut() {
            if !named.contains(&state.name_hash) {
                state.clear_peer_load(source);
            }
        }
    }

    /// Returns the id hash, this host's load and the weights version of each server.
    pub fn own_loads(&self) -> impl Iterator<Item = (u64, HostLoad, WeightsVersion)> {
        self.servers
            .values()
            .map(|state| (state.name_hash, state.own_load(), state.weights()))
    }

    /// Returns the id hash, the load of this host's group and the weights version of each server.
    pub fn group_loads(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (u64, HostLoad, WeightsVersion)> {
        self.servers
            .values()
            .map(move |state| (state.name_hash, state.group_load(now), state.weights()))
    }

    /// Returns the servers of model services with the load of all hosts.
    #[must_use]
    pub fn runners(&self, now: Instant) -> Vec<RunnerView> {
        let runners = self
            .servers
            .values()
            .filter(|state| state.runner_capacity.is_some());
        let views = runners.map(|state| RunnerView {
            server: state.server.clone(),
            weights: state.weights(),
            load: state.load(now),
            is_ejected: state.ejection.is_ejected(now),
        });
        views.collect()
    }

    /// Takes the updates about prompts that runners prefilled, or were told to save to a prompt
    /// cache store, since the last call.
    pub fn take_prompt_updates(&mut self) -> Vec<PromptUpdate> {
        std::mem::take(&mut self.prompt_updates)
    }

    /// Records a prompt of another host that a runner prefilled, or saves to a prompt cache store.
    pub fn on_peer_prompt(&mut self, now: Instant, update: &PromptUpdate) {
        let store = self
            .cache_stores
            .iter_mut()
            .find(|store| store.name_hash() == update.server);
        if let Some(store) = store {
            store.record_peer_save(now, update.levels.clone());
            return;
        }
        self.record_demand(now, &update.levels);
        let key = self.by_hash.get(&update.server);
        let Some(state) = key.and_then(|&key| self.servers.get_mut(key)) else {
            return;
        };
        if state.weights() == update.weights {
            let chain = PrefixChain::from_levels(update.levels.clone());
            state.update_cache_budgets(now);
            state.expected_cache.insert(now, &chain);
            state.current_cache.insert(now, &chain);
        }
    }
}
