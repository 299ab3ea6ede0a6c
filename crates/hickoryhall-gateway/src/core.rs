//! Actor that owns the state behind a host's decisions, and the handle that tasks on the same
//! thread use to call it.

mod crashes;
mod digests;
mod handle;
mod limits;
mod quotas;
mod reach;
mod retries;
mod speeds;
mod streams;

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hickoryhall_limits::FleetRetryLimit;
use hickoryhall_routing::{Breaks, Reach, Suspects};
use hickoryhall_types::{Incarnation, TargetId, WeightsVersion, hash_name, rendezvous_score};
use metrics::{counter, gauge};
use slog::{Logger, error, info};
use stakker::CX;
use tokio::sync::oneshot;

pub use handle::CoreHandle;

use crate::fleet::Fleet;
use crate::interface::ResponseMeta;
use crate::outcome::ResponseKind;
use crate::peers::{PromptUpdate, SuspectUpdate};
use crate::registry::{BackendServer, Registry, RegistryEntry, RegistryEvent, ServerId};
use crate::scheduler::{
    AttemptEnd, AttemptId, DesiredVersionAge, HostHash, Placement, PlacementRequest, ReportedState,
    RunnerView, Scheduler, SchedulerConfig, WeightsChange,
};
use crate::table::RouteTable;
use quotas::QuotaState;
use retries::RetryState;
use streams::StreamState;
pub use streams::{StreamMessages, TakeUpReply, ToldStreams};

/// Time between two ticks while requests are queued for a server.
const WAITING_TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Time between two ticks while the queue is empty.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of suspects listed in one digest; the oldest are left out.
const MAX_SUSPECTS_PER_DIGEST: usize = 16;

/// Configuration of [`Core`].
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Hash of this host's name, as peers see it in digests.
    pub host: HostHash,
    /// Configuration of the scheduler.
    pub scheduler: SchedulerConfig,
    /// Limit on the retries of the whole fleet, applied to each service; every host uses an equal
    /// share of it.
    pub retry_limit: FleetRetryLimit,
    /// Start of this host, unless the whole fleet starts for the first time.
    pub restarted_at: Option<Instant>,
}

/// Where this host learned of a desired version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DesiredVersionSource {
    /// The operators' record in the store.
    Store,
    /// A digest of a peer.
    Peer,
}

impl DesiredVersionSource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// State and decision logic of one host: placement, retries, suspects and digests.
pub struct Core {
    config: CoreConfig,
    scheduler: Scheduler,
    registry: Registry,
    table: Option<Arc<RouteTable>>,
    retries: RetryState,
    suspects: Suspects,
    breaks: Breaks,
    reach: Reach<Ipv4Addr>,
    /// Processes of servers that named a limit which cannot be read, by the hash of the server's id.
    unreadable_limits: HashMap<u64, Incarnation>,
    /// Refused requests to list in the next digests for hosts of earlier builds, oldest first.
    suspect_updates: Vec<SuspectUpdate>,
    fleet: Fleet,
    /// Whether each runner, by the hash of its id, is changing its weights. Lists the runners that
    /// this host has announced a change for, and only while it is the lease holder.
    weight_changes: HashMap<u64, bool>,
    /// Prompts that runners prefilled for this host's group since its last group digest; `None`
    /// while another member sends the group digests.
    collected_prompts: Option<Vec<PromptUpdate>>,
    streams: StreamState,
    quotas: QuotaState,
    /// Reply channels of the attempts that wait for a placement.
    pending_replies: HashMap<AttemptId, oneshot::Sender<Placement>>,
    logger: Logger,
}

impl Core {
    fn init(_cx: CX![], config: CoreConfig, logger: Logger) -> Option<Self> {
        Some(Self::new(config, logger))
    }

    /// Creates the state of a host that has no table, no servers and no peers yet.
    #[must_use]
    pub fn new(config: CoreConfig, logger: Logger) -> Self {
        Self {
            scheduler: Scheduler::new(config.scheduler.clone()),
            reach: Reach::new(hash_name(&config.scheduler.domain)),
            streams: StreamState::new(config.restarted_at.is_none()),
            quotas: QuotaState::new(config.host, config.restarted_at),
            retries: RetryState::new(config.retry_limit, config.restarted_at),
            fleet: Fleet::new(config.restarted_at),
            config,
            registry: Registry::default(),
            table: None,
            suspects: Suspects::default(),
            breaks: Breaks::default(),
            unreadable_limits: HashMap::new(),
            suspect_updates: Vec::new(),
            weight_changes: HashMap::new(),
            collected_prompts: None,
            pending_replies: HashMap::new(),
            logger,
        }
    }

    /// Returns the route table in force, `None` until the first one arrives.
    #[must_use]
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.clone()
    }

    /// Applies a route table unless the one in force is as new or newer.
    ///
    /// Returns whether the table was applied.
    pub fn set_table(&mut self, table: RouteTable) -> bool {
        let current = self.table.as_ref().map_or(0, |table| table.revision());
        if self.table.is_some() && table.revision() <= current {
            return false;
        }
        info!(self.logger, "core: Table in force."; "revision" => table.revision(), "before" => current);
        self.report_unreadable_entries(&table);
        self.scheduler.set_table(&table);
        self.streams
            .versions
            .set_longest_timeout(table.longest_timeout());
        self.table = Some(Arc::new(table));
        true
    }

    fn report_unreadable_entries(&self, table: &RouteTable) {
        let entries = table.unreadable_entries();
        gauge!("table_entries_unreadable").set(entries.len() as f64);
        for entry in entries {
            error!(
                self.logger, "core: Entry of the table cannot be read and is left out.";
                "entry" => &entry.path, "error" => &entry.reason, "revision" => table.revision()
            );
        }
    }

    /// Records a desired version of a model and its age.
    pub fn set_desired_version(
        &mut self,
        now: Instant,
        model: TargetId,
        version: WeightsVersion,
        age: DesiredVersionAge,
        source: DesiredVersionSource,
    ) {
        let had_exact_age = self.scheduler.has_exact_age(&model, version);
        let is_newest = self
            .scheduler
            .record_desired_version(now, model.clone(), version, age);
        let has_learned_age = age.is_exact() && !had_exact_age;
        if is_newest || has_learned_age {
            let age_ms = age.lower_bound().as_millis();
            info!(self.logger, "core: New desired version of a model."; "model" => &*model, "version" => version, "age_ms" => age_ms, "is_exact" => age.is_exact(), "source" => source.as_str());
        }
    }

    /// Applies a full listing of the registry, and returns the ids of the servers whose entries were
    /// not applied because something newer is known of them.
    pub fn on_registry_list(&mut self, now: Instant, entries: Vec<RegistryEntry>) -> Vec<ServerId> {
        let outdated = entries
            .iter()
            .filter(|entry| self.registry.is_outdated(now, entry));
        let outdated = outdated.cloned().collect::<Vec<_>>();
        let events = self.registry.on_list(now, entries);
        self.apply_registry_events(events);
        self.streams.versions.on_registry_list(now);
        for RegistryEntry { server, heartbeats } in &outdated {
            info!(
                self.logger, "core: Registry entry of an older copy not applied.";
                "server" => &*server.id, "incarnation" => server.incarnation,
                "heartbeats" => heartbeats, "leaving" => server.is_leaving,
                "in_use" => self.registry.get(&server.id).is_some()
            );
        }
        outdated.into_iter().map(|entry| entry.server.id).collect()
    }

    /// Applies a new or changed registry entry.
    pub fn on_registry_entry(&mut self, entry: impl Into<RegistryEntry>) {
        let event = self.registry.on_entry(entry);
        self.apply_registry_events(event);
    }

    /// Records that a registry entry cannot be read.
    pub fn on_registry_unreadable(&mut self, now: Instant, id: &str) {
        self.registry.on_unreadable(now, id);
    }

    /// Records that the store has come back from an older copy of its contents.
    pub fn on_store_restored(&mut self, now: Instant) {
        self.registry.on_store_restored(now);
    }

    /// Returns whether registry entries may be missing because of an outage of the store.
    #[must_use]
    pub fn may_miss_registry_entries(&self, now: Instant) -> bool {
        self.registry.may_be_outage(now)
    }

    /// Handles the removal of a registry entry.
    ///
    /// The server stays in use where a store outage may have removed the entry.
    pub fn on_registry_removed(&mut self, now: Instant, id: &str) {
        let event = self.registry.on_removed(now, id);
        if event.is_none() {
            info!(self.logger, "core: Removal of a registry entry not applied; a store outage may have caused it, or the server was not in use."; "server" => id);
        }
        self.apply_registry_events(event);
    }

    /// Records whether the registry can be read from the store.
    pub fn set_registry_available(&mut self, now: Instant, is_available: bool) {
        if is_available {
            self.registry.on_store_reachable(now);
        } else {
            self.registry.on_store_unreachable();
        }
    }

    fn apply_registry_events(&mut self, events: impl IntoIterator<Item = RegistryEvent>) {
        for event in events {
            match &event {
                RegistryEvent::Upsert(server) => {
                    self.streams.versions.on_server(server);
                    info!(
                        self.logger, "core: Backend server registered or updated.";
                        "server" => &*server.id, "service" => &*server.service,
                        "address" => %server.address, "leaving" => server.is_leaving,
                        "weights" => ?server.models, "incarnation" => server.incarnation,
                        "software" => &*server.software
                    );
                }
                RegistryEvent::Removed(id) => {
                    self.unreadable_limits.remove(&hash_name(id));
                    self.streams.versions.on_server_gone(id);
                    info!(self.logger, "core: Backend server gone."; "server" => &**id);
                }
            }
            let change = self.scheduler.on_registry(event);
            self.log_weights(change);
        }
    }

    /// Logs a changed belief about a runner's weights, and counts one that became lower.
    fn log_weights(&self, change: Option<WeightsChange>) {
        let Some(change) = change else {
            return;
        };
        let source = change.source.as_str();
        let is_lower = change.weights < change.before;
        if is_lower {
            counter!("weights_corrected_total", "source" => source).increment(1);
        }
        info!(
            self.logger, "core: Weights of a runner changed.";
            "server" => &*change.server, "incarnation" => change.incarnation,
            "weights" => change.weights, "before" => change.before,
            "source" => source, "is_lower" => is_lower
        );
    }

    /// Places an attempt, at once or after it has waited in the queue, and sends the result through
    /// `reply`.
    pub fn place(
        &mut self,
        now: Instant,
        request: PlacementRequest,
        reply: oneshot::Sender<Placement>,
    ) {
        let attempt_id = request.attempt_id;
        match self.scheduler.place(now, request) {
            Some(placement) => self.send_placement(now, attempt_id, reply, placement),
            None => {
                self.pending_replies.insert(attempt_id, reply);
            }
        }
    }

    /// Refuses all waiting attempts, and from now on those that would have to wait, because the host
    /// ends.
    pub fn stop_waiting(&mut self, now: Instant) {
        for (attempt_id, placement) in self.scheduler.stop_waiting() {
            if let Some(reply) = self.pending_replies.remove(&attempt_id) {
                self.send_placement(now, attempt_id, reply, placement);
            }
        }
    }

    /// Records the first response event of an attempt, and places waiting attempts.
    pub fn record_first_event(&mut self, now: Instant, attempt_id: AttemptId) {
        self.scheduler.record_first_event(now, attempt_id);
        self.place_waiting(now);
    }

    /// Records the end of an attempt, and places waiting attempts.
    pub fn end_attempt(&mut self, now: Instant, attempt_id: AttemptId, end: AttemptEnd) {
        self.pending_replies.remove(&attempt_id);
        self.scheduler.record_end(now, attempt_id, end);
        self.place_waiting(now);
    }

    /// Records what the head of a response reports about its server, as its registry entry was when
    /// the request was sent.
    pub fn on_response_head(
        &mut self,
        now: Instant,
        server: &BackendServer,
        kind: ResponseKind,
        response_meta: &ResponseMeta,
    ) {
        let was_leaving = self.scheduler.has_said_that_it_leaves(&server.id);
        let change = self
            .scheduler
            .record_response_head(now, server, kind, response_meta);
        self.log_weights(change);
        if !was_leaving && self.scheduler.has_said_that_it_leaves(&server.id) {
            info!(self.logger, "core: Server said that it leaves."; "server" => &*server.id, "incarnation" => server.incarnation);
        }
    }

    /// Records that a server did not get a request that was sent to its address. If a later process
    /// than its own is registered there, it has ended.
    pub fn on_wrong_server(&mut self, now: Instant, server: &BackendServer) {
        if let Some(successor) = self.scheduler.record_wrong_server(now, server) {
            info!(
                self.logger, "core: Server gone, as another one has its address.";
                "server" => &*server.id, "incarnation" => server.incarnation,
                "address" => %server.address, "successor" => &*successor
            );
        }
    }

    /// Records, as the lease holder, whether a runner is changing its weights, and includes its
    /// state in the next digests.
    pub fn announce_runner(&mut self, now: Instant, server: u64, is_changing: bool) {
        self.weight_changes.insert(server, is_changing);
        self.scheduler
            .set_announced_change(now, server, is_changing);
        self.place_waiting(now);
    }

    /// Records the state that a runner reported about itself.
    pub fn record_report(&mut self, now: Instant, server: u64, report: &ReportedState) {
        let change = self.scheduler.record_report(now, server, report);
        self.log_weights(change);
        self.place_waiting(now);
    }

    /// Stops listing weight changes in digests, because this host no longer holds the lease.
    pub fn clear_weight_changes(&mut self) {
        self.weight_changes.clear();
    }

    /// Returns the newest desired version of each model.
    #[must_use]
    pub fn desired_versions(&self) -> Vec<(TargetId, WeightsVersion)> {
        let histories = self.scheduler.desired_versions();
        let newest =
            histories.filter_map(|(model, versions)| Some((model.clone(), versions.newest()?)));
        newest.collect()
    }

    /// Returns every runner with its weights and the load of all hosts on it.
    #[must_use]
    pub fn runners(&self, now: Instant) -> Vec<RunnerView> {
        self.scheduler.runners(now)
    }

    /// Returns the number of hosts in the fleet, this one included. Unreachable hosts are still
    /// counted for a while, and a host that has just started assumes the smallest deployment.
    pub fn host_count(&mut self, now: Instant) -> usize {
        self.fleet.size(now)
    }

    /// Returns this host's rank among the live hosts for a duty, which only the first few of them
    /// perform, by rendezvous hashing on the hash of the duty's name; 0 is first.
    #[must_use]
    pub fn duty_rank(&self, now: Instant, duty: u64) -> usize {
        duty_rank(&self.fleet, self.config.host, now, duty)
    }

    /// Expires registry entries, places waiting attempts, and returns the time until the next tick.
    pub fn tick(&mut self, now: Instant) -> Duration {
        let events = self.registry.expire(now);
        self.apply_registry_events(events);
        self.streams.versions.expire(now);
        self.ask_about_services(now);
        self.review_crashes(now);
        self.review_requests(now);
        self.review_speeds(now);
        self.divide_limits(now);
        self.divide_refusal_limits(now);
        let hosts = self.fleet.size(now);
        self.scheduler.update_crossing(now, hosts);
        self.place_waiting(now);
        if self.scheduler.waiting_count() > 0 {
            WAITING_TICK_INTERVAL
        } else {
            IDLE_TICK_INTERVAL
        }
    }

    fn queue_suspect_update(&mut self, update: SuspectUpdate) {
        self.suspect_updates
            .retain(|other| other.fingerprint != update.fingerprint);
        self.suspect_updates.push(update);
        if self.suspect_updates.len() > MAX_SUSPECTS_PER_DIGEST {
            self.suspect_updates.remove(0);
        }
    }

    fn place_waiting(&mut self, now: Instant) {
        if self.scheduler.waiting_count() == 0 {
            return;
        }
        for (attempt_id, placement) in self.scheduler.tick(now) {
            if let Some(reply) = self.pending_replies.remove(&attempt_id) {
                self.send_placement(now, attempt_id, reply, placement);
            }
        }
    }

    fn send_placement(
        &mut self,
        now: Instant,
        attempt_id: AttemptId,
        reply: oneshot::Sender<Placement>,
        placement: Placement,
    ) {
        if reply.send(placement).is_err() {
            self.scheduler
                .record_end(now, attempt_id, AttemptEnd::Released);
        }
    }
}

fn duty_rank(fleet: &Fleet, own: HostHash, now: Instant, duty: u64) -> usize {
    rank_among(&fleet.live(now), own, duty)
}

/// Returns the rank of a host among others for a duty, by rendezvous hashing; 0 is first.
fn rank_among(others: &[HostHash], own: HostHash, duty: u64) -> usize {
    let own = rendezvous_score(duty, own);
    let others = others.iter();
    others
        .filter(|&&host| rendezvous_score(duty, host) > own)
        .count()
}
