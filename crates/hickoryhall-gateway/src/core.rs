//! Actor that owns every decision of a host, and the handle by which tasks on its thread reach it.

mod digests;
mod handle;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hickoryhall_limits::{FleetRetryBudget, FleetRetryLimit};
use hickoryhall_routing::{Fingerprint, Suspects, Verdict};
use hickoryhall_types::{TargetId, WeightsVersion, rendezvous_score};
use slog::{Logger, info};
use stakker::CX;
use tokio::sync::oneshot;

pub use handle::CoreHandle;

use crate::fleet::Fleet;
use crate::interface::Judged;
use crate::peers::{PromptNews, SuspectNews};
use crate::registry::{BackendServer, Registry, RegistryEvent};
use crate::scheduler::{
    AttemptEnd, HostHash, Need, Placement, RunnerView, Scheduler, SchedulerConfig, Ticket,
};
use crate::table::RouteTable;

/// Time between two looks at requests that wait for a server.
const WAITING_TICK: Duration = Duration::from_millis(10);
/// Time between two looks while none waits.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Suspects told to other hosts at a time.
const SUSPECTS_TOLD: usize = 16;

/// Settings of the decisions.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Hash of this host's name.
    pub me: HostHash,
    /// Settings of the scheduler.
    pub scheduler: SchedulerConfig,
    /// Retry budget of the fleet.
    pub retries: FleetRetryLimit,
}

/// Every decision of a host.
pub struct Core {
    config: CoreConfig,
    scheduler: Scheduler,
    registry: Registry,
    table: Option<Arc<RouteTable>>,
    retries: HashMap<TargetId, FleetRetryBudget>,
    suspects: Suspects,
    deaths: Vec<SuspectNews>,
    fleet: Fleet,
    changing: HashMap<u64, bool>,
    /// Prompts that this host's group has read; `None` while another host tells them.
    group_prompts: Option<Vec<PromptNews>>,
    replies: HashMap<Ticket, oneshot::Sender<Placement>>,
    logger: Logger,
}

impl Core {
    fn init(_cx: CX![], config: CoreConfig, logger: Logger) -> Option<Self> {
        Some(Self::new(config, logger))
    }

    /// Creates the decisions of a host that knows nothing yet.
    #[must_use]
    pub fn new(config: CoreConfig, logger: Logger) -> Self {
        Self {
            scheduler: Scheduler::new(config.scheduler.clone()),
            config,
            registry: Registry::default(),
            table: None,
            retries: HashMap::new(),
            suspects: Suspects::default(),
            deaths: Vec::new(),
            fleet: Fleet::default(),
            changing: HashMap::new(),
            group_prompts: None,
            replies: HashMap::new(),
            logger,
        }
    }

    /// Returns the table in force.
    #[must_use]
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.clone()
    }

    /// Takes a table where it is newer than the one in force; tells whether it was.
    pub fn set_table(&mut self, table: RouteTable) -> bool {
        let current = self.table.as_ref().map_or(0, |table| table.revision());
        if self.table.is_some() && table.revision() <= current {
            return false;
        }
        info!(self.logger, "core: Table in force."; "revision" => table.revision(), "before" => current);
        self.scheduler.set_table(&table);
        self.table = Some(Arc::new(table));
        true
    }

    /// Records the weights that a model's runners shall have.
    pub fn set_wanted(
        &mut self,
        now: Instant,
        model: TargetId,
        version: WeightsVersion,
        age: Duration,
    ) {
        let is_newest = self.scheduler.set_wanted(now, model.clone(), version, age);
        if is_newest {
            info!(self.logger, "core: New weights wanted."; "model" => &*model, "version" => version, "age_ms" => age.as_millis());
        }
    }

    /// Takes the whole registry.
    pub fn on_registry_list(&mut self, now: Instant, servers: Vec<BackendServer>) {
        let events = self.registry.on_list(now, servers);
        self.apply(events);
    }

    /// Takes an entry of the registry.
    pub fn on_registry_entry(&mut self, server: BackendServer) {
        let event = self.registry.on_entry(server);
        self.apply(event);
    }

    /// Takes the removal of an entry of the registry.
    pub fn on_registry_removed(&mut self, now: Instant, id: &str) {
        let event = self.registry.on_removed(now, id);
        if event.is_none() {
            info!(self.logger, "core: Entry lapsed while the store was away; kept for now."; "server" => id);
        }
        self.apply(event);
    }

    /// Records whether the registry can be read.
    pub fn on_registry_link(&mut self, now: Instant, is_up: bool) {
        if is_up {
            self.registry.on_store_back(now);
        } else {
            self.registry.on_store_lost();
        }
    }

    fn apply(&mut self, events: impl IntoIterator<Item = RegistryEvent>) {
        for event in events {
            match &event {
                RegistryEvent::Upsert(server) => info!(
                    self.logger, "core: Backend server.";
                    "server" => &*server.id, "service" => &*server.service,
                    "address" => %server.address, "leaving" => server.is_leaving,
                    "weights" => ?server.models, "incarnation" => server.incarnation
                ),
                RegistryEvent::Gone(id) => {
                    info!(self.logger, "core: Backend server gone."; "server" => &**id);
                }
            }
            self.scheduler.on_registry(event);
        }
    }

    /// Asks for a server; the answer comes through `reply`.
    pub fn place(&mut self, now: Instant, need: Need, reply: oneshot::Sender<Placement>) {
        let ticket = need.ticket;
        match self.scheduler.place(now, need) {
            Some(placement) => self.reply(now, ticket, reply, placement),
            None => {
                self.replies.insert(ticket, reply);
            }
        }
    }

    /// Records the first event of an attempt.
    pub fn first_event(&mut self, now: Instant, ticket: Ticket) {
        self.scheduler.first_event(now, ticket);
        self.serve_waiting(now);
    }

    /// Records the end of an attempt.
    pub fn ended(&mut self, now: Instant, ticket: Ticket, end: AttemptEnd) {
        self.replies.remove(&ticket);
        self.scheduler.ended(now, ticket, end);
        self.serve_waiting(now);
    }

    /// Takes what the head of an answer tells of its server.
    pub fn observe(&mut self, now: Instant, server: &str, judged: &Judged) {
        self.scheduler.observe(now, server, judged);
    }

    /// Records a request to a service.
    pub fn record_request(&mut self, now: Instant, service: &TargetId) {
        let limit = self.config.retries;
        let budget = self.retries.entry(service.clone());
        budget
            .or_insert_with(|| FleetRetryBudget::new(limit))
            .record_request(now);
    }

    /// Takes a retry out of this host's part of the budget of a service.
    pub fn take_retry(&mut self, now: Instant, service: &TargetId) -> bool {
        let hosts = self.fleet.size(now);
        let budget = self.retries.get_mut(service);
        budget.is_some_and(|budget| budget.take(now, hosts))
    }

    /// Takes another retry budget of the fleet; what was counted so far starts anew.
    pub fn set_retries(&mut self, limit: FleetRetryLimit) {
        if limit != self.config.retries {
            self.config.retries = limit;
            self.retries.clear();
        }
    }

    /// Decides on a request that may have ended backend servers.
    pub fn verdict(&mut self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        self.suspects.verdict(now, fingerprint)
    }

    /// Records that a server broke off while it ran a request.
    pub fn death(&mut self, now: Instant, fingerprint: Fingerprint) -> u32 {
        let deaths = self.suspects.record_death(now, fingerprint);
        self.tell_suspect(SuspectNews {
            fingerprint,
            deaths,
        });
        deaths
    }

    /// Clears a request that was answered.
    pub fn acquit(&mut self, fingerprint: Fingerprint) {
        if !self.suspects.is_empty() {
            self.suspects.acquit(fingerprint);
            self.deaths.retain(|news| news.fingerprint != fingerprint);
        }
    }

    /// Records what a runner reports, as its order-giver sees it.
    pub fn set_runner(
        &mut self,
        now: Instant,
        server: u64,
        weights: WeightsVersion,
        is_changing: bool,
    ) {
        self.changing.insert(server, is_changing);
        self.scheduler.set_runner(now, server, weights, is_changing);
        self.serve_waiting(now);
    }

    /// Records what a runner reports, as a host that gives it no orders sees it.
    pub fn set_runner_weights(
        &mut self,
        now: Instant,
        server: u64,
        weights: WeightsVersion,
        is_changing: bool,
    ) {
        self.scheduler.set_runner(now, server, weights, is_changing);
        self.serve_waiting(now);
    }

    /// Forgets which runners change, as another host gives the orders now.
    pub fn forget_changes(&mut self) {
        self.changing.clear();
    }

    /// Returns the newest version wanted of each model.
    #[must_use]
    pub fn wanted(&self) -> Vec<(TargetId, WeightsVersion)> {
        let wanted = self.scheduler.wanted();
        let newest =
            wanted.filter_map(|(model, versions)| Some((model.clone(), versions.newest()?)));
        newest.collect()
    }

    /// Returns the runners as an order-giver sees them.
    #[must_use]
    pub fn runners(&self, now: Instant) -> Vec<RunnerView> {
        self.scheduler.runners(now)
    }

    /// Returns the part of this host's retries of a service that is left, from 0 to 1.
    pub fn retries_left(&mut self, now: Instant, service: &TargetId) -> f64 {
        let hosts = self.fleet.size(now);
        let budget = self.retries.get_mut(service);
        budget.map_or(0.0, |budget| budget.part_left(now, hosts))
    }

    /// Returns the number of hosts, this one included.
    pub fn hosts(&mut self, now: Instant) -> usize {
        self.fleet.size(now)
    }

    /// Returns the place of this host for a duty among the hosts that live, 0 being the first.
    #[must_use]
    pub fn place_among_hosts(&self, now: Instant, duty: u64) -> usize {
        let own = rendezvous_score(duty, self.config.me);
        let hosts = self.fleet.live(now).into_iter();
        hosts
            .filter(|&host| rendezvous_score(duty, host) > own)
            .count()
    }

    /// Lets time pass; returns the time until the next look.
    pub fn tick(&mut self, now: Instant) -> Duration {
        let events = self.registry.expire(now);
        self.apply(events);
        self.serve_waiting(now);
        if self.scheduler.waiting() > 0 {
            WAITING_TICK
        } else {
            IDLE_TICK
        }
    }

    fn tell_suspect(&mut self, news: SuspectNews) {
        self.deaths
            .retain(|other| other.fingerprint != news.fingerprint);
        self.deaths.push(news);
        if self.deaths.len() > SUSPECTS_TOLD {
            self.deaths.remove(0);
        }
    }

    fn serve_waiting(&mut self, now: Instant) {
        if self.scheduler.waiting() == 0 {
            return;
        }
        for (ticket, placement) in self.scheduler.tick(now) {
            if let Some(reply) = self.replies.remove(&ticket) {
                self.reply(now, ticket, reply, placement);
            }
        }
    }

    fn reply(
        &mut self,
        now: Instant,
        ticket: Ticket,
        reply: oneshot::Sender<Placement>,
        placement: Placement,
    ) {
        if reply.send(placement).is_err() {
            self.scheduler.ended(now, ticket, AttemptEnd::Released);
        }
    }
}
