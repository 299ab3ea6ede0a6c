//! Updates that the scheduler exchanges with servers and peers.

use std::time::Instant;

use hickoryhall_routing::{Ejection, PrefixChain};
use hickoryhall_types::{Incarnation, TargetId, hash_name};

use super::server::ServerState;
use super::statements::Statements;
use super::weights::{AnnouncedState, ReportedState, WeightsChange};
use super::{HostLoad, LoadSource, RunnerView, Scheduler};
use crate::interface::ResponseMeta;
use crate::outcome::ResponseKind;
use crate::peers::{PromptUpdate, ServerUpdate};
use crate::registry::{BackendServer, ServerId};

impl Scheduler {
    /// Records what the head of a response reports about the server that it comes from, as the
    /// server's registry entry was when the request was sent; ignores what another server may have
    /// sent.
    ///
    /// Returns the change of the belief about the server's weights, if there is one.
    pub fn record_response_head(
        &mut self,
        now: Instant,
        server: &BackendServer,
        kind: ResponseKind,
        response_meta: &ResponseMeta,
    ) -> Option<WeightsChange> {
        let Some(key) = self.by_id.get(&server.id) else {
            self.record_words_of_removed(now, server, kind, response_meta);
            return None;
        };
        let state = self.servers.get_mut(*key)?;
        if !state.is_current(Some(server.incarnation)) {
            return None;
        }
        // Whatever the response proves of a request, only the server at the address can ask for a pause.
        if let Some(pause) = response_meta.pause {
            state.statements.pause(now, pause);
        }
        if !kind.is_from_server() {
            return None;
        }
        if kind == ResponseKind::NotRun && response_meta.pause.is_none() {
            self.refusal_limits.record_refusal(now, state.name_hash);
        }
        if let Some(load) = response_meta.load {
            state.set_reported_load(now, load);
        }
        if response_meta.is_leaving {
            state.statements.is_leaving = true;
        }
        state.record_response_weights(response_meta.weights?)
    }

    /// Records what the head of a response says about new work for a server whose entry is gone: the entry
    /// may come back.
    fn record_words_of_removed(
        &mut self,
        now: Instant,
        server: &BackendServer,
        kind: ResponseKind,
        response_meta: &ResponseMeta,
    ) {
        let hash = hash_name(&server.id);
        let mut statements = self.removed_statements.get(hash, server.incarnation);
        if let Some(pause) = response_meta.pause {
            statements.pause(now, pause);
        }
        statements.is_leaving |= kind.is_from_server() && response_meta.is_leaving;
        self.removed_statements.insert(hash, statements);
    }

    /// Records the state that a runner, given by the hash of its id, reported about itself.
    ///
    /// Returns the change of the belief about its weights, if there is one.
    pub fn record_report(
        &mut self,
        now: Instant,
        server: u64,
        report: &ReportedState,
    ) -> Option<WeightsChange> {
        self.state_mut(server)?.record_report(now, report)
    }

    /// Records the state of a runner that the lease holder announced.
    ///
    /// Returns the change of the belief about its weights, if there is one.
    pub fn record_announcement(
        &mut self,
        now: Instant,
        server: u64,
        announced: &AnnouncedState,
    ) -> Option<WeightsChange> {
        self.state_mut(server)?.record_announcement(now, announced)
    }

    /// Records, as the lease holder, whether a runner is changing its weights.
    pub fn set_announced_change(&mut self, now: Instant, server: u64, is_changing: bool) {
        if let Some(state) = self.state_mut(server) {
            state.set_announced_change(now, is_changing);
        }
    }

    /// Records that a server said that it leaves, as a peer heard. The server may not be registered
    /// here yet.
    pub fn record_leaving(&mut self, update: &ServerUpdate) {
        if let Some(state) = self.state_mut(update.server) {
            state.record_leaving(update);
        } else if let Some(incarnation) = update.incarnation {
            let statements = Statements {
                is_leaving: true,
                ..self.removed_statements.get(update.server, incarnation)
            };
            self.removed_statements.insert(update.server, statements);
        }
    }

    /// Records that a server did not get a request that was sent to its address. If a server that started
    /// later is registered there, no more requests go to the first one, and its id is returned; if
    /// another one is, the first one is ejected.
    pub fn record_wrong_server(
        &mut self,
        now: Instant,
        server: &BackendServer,
    ) -> Option<ServerId> {
        let key = *self.by_id.get(&server.id)?;
        let state = &self.servers[key];
        if !state.is_current(Some(server.incarnation)) {
            return None;
        }
        let others = self
            .servers
            .values()
            .filter(|other| other.server.address == server.address && other.server.id != server.id);
        let newest = others.max_by_key(|other| other.server.incarnation)?;
        let (successor, started) = (newest.server.id.clone(), newest.server.incarnation);
        let state = self.servers.get_mut(key)?;
        if started > server.incarnation {
            state.statements.is_leaving = true;
            return Some(successor);
        }
        state.ejection.eject(now);
        None
    }

    /// Returns the id of a server by its hash; `None` if it is not registered.
    #[must_use]
    pub fn server_name(&self, server: u64) -> Option<ServerId> {
        let state = self.by_hash.get(&server).map(|&key| &self.servers[key]);
        state.map(|state| state.server.id.clone())
    }

    /// Returns whether a server is shutting down, by its entry or its responses.
    #[must_use]
    pub fn is_leaving(&self, id: &str) -> bool {
        let state = self.by_id.get(id).map(|&key| &self.servers[key]);
        state.is_some_and(ServerState::is_leaving)
    }

    /// Returns whether a server said that it is shutting down.
    #[must_use]
    pub fn has_said_that_it_leaves(&self, id: &str) -> bool {
        let state = self.by_id.get(id).map(|&key| &self.servers[key]);
        state.is_some_and(|state| state.statements.is_leaving)
    }

    /// Ends the ejections of the servers of a service, which this host could not tell from its own cut.
    pub fn end_ejections(&mut self, service: &str) {
        for &key in self.by_service.get(service).into_iter().flatten() {
            self.servers[key].ejection = Ejection::default();
        }
        self.unreachable_domains.clear();
    }

    /// Returns the servers of a service that are not shutting down, in an order that is the same on every
    /// host.
    pub fn staying_servers(&self, service: &str) -> impl Iterator<Item = &BackendServer> {
        let keys = self.by_service.get(service).into_iter().flatten();
        let states = keys.map(|&key| &self.servers[key]);
        states
            .filter(|state| !state.is_leaving())
            .map(|state| &state.server)
    }

    /// Returns the names of the services that have servers.
    pub fn services(&self) -> impl Iterator<Item = &TargetId> {
        let services = self.by_service.iter();
        services
            .filter(|(_, keys)| !keys.is_empty())
            .map(|(service, _)| service)
    }

    /// Returns the service of a server, given by the hash of its id.
    #[must_use]
    pub fn service_of(&self, server: u64) -> Option<&TargetId> {
        let key = self.by_hash.get(&server)?;
        Some(&self.servers[*key].server.service)
    }

    /// Returns the names of the services whose servers have models.
    pub fn model_services(&self) -> impl Iterator<Item = &TargetId> {
        self.runner_capacities.keys()
    }

    /// Returns the number of requests that wait here or are in progress at servers.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.waiting.len() + self.active.len()
    }

    fn state_mut(&mut self, server: u64) -> Option<&mut ServerState> {
        let key = *self.by_hash.get(&server)?;
        self.servers.get_mut(key)
    }

    /// Records the load of other hosts at a server, unless it is that of another process.
    pub fn set_peer_load(
        &mut self,
        now: Instant,
        source: LoadSource,
        server: u64,
        incarnation: Option<Incarnation>,
        load: HostLoad,
    ) {
        if let Some(state) = self.state_mut(server)
            && state.is_current(incarnation)
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

    /// Returns this host's load on each server.
    pub fn own_loads(&self) -> impl Iterator<Item = ServerUpdate> {
        self.servers
            .values()
            .map(|state| state.to_update(state.own_load()))
    }

    /// Returns the load of this host's group on each server.
    pub fn group_loads(&self, now: Instant) -> impl Iterator<Item = ServerUpdate> {
        self.servers
            .values()
            .map(move |state| state.to_update(state.group_load(now)))
    }

    /// Returns the servers of model services with the load of all hosts.
    #[must_use]
    pub fn runners(&self, now: Instant) -> Vec<RunnerView> {
        let runners = self
            .servers
            .values()
            .filter(|state| state.runner_capacity.is_some());
        let views = runners.map(|state| RunnerView {
            server: BackendServer {
                is_leaving: state.is_leaving(),
                ..state.server.clone()
            },
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
        let service = self.by_hash.get(&update.server);
        let service = service.map(|&key| self.servers[key].service_hash);
        let work_factor = service.map_or(1.0, |service| self.service_work_factor(service));
        self.record_demand(now, &update.levels, work_factor);
        let Some(state) = self.state_mut(update.server) else {
            return;
        };
        if state.weights() == update.weights && state.is_current(update.incarnation) {
            let chain = PrefixChain::from_levels(update.levels.clone());
            state.update_cache_budgets(now);
            state.expected_cache.insert(now, &chain);
            state.current_cache.insert(now, &chain);
        }
    }
}
