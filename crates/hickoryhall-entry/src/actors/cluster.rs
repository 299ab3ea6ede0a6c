//! Actor that owns the membership view and the table in force.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use hickoryhall_control::{Adoption, RowDelta, TableState};
use hickoryhall_membership::{Duty, GossipUpdate, Gossiper, HostInfo, Hosts, Outgoing};
use hickoryhall_routing::{Fingerprint, SuspectDecision};
use hickoryhall_table::{Table, TableHead};
use hickoryhall_types::Revision;
use hickoryhall_wire::{Body, HostHash, Peer, Rumor};
use metrics::{counter, gauge};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, info, warn};
use stakker::{Actor, CX, Fwd, call};

use super::Outbox;
use super::router::Router;
use crate::dispatch::{Server, ServerKind};
use crate::shared_table::{CurrentTable, SharedTable};

/// Mean time between two gossip rounds.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two quick gossip rounds, which send something only while rumors are fresh.
const QUICK_GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// Fraction by which the time to the next round varies, so that hosts do not synchronize.
const GOSSIP_JITTER: f64 = 0.2;
/// Number of hosts of each failure domain that watch the table in the store.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Duties that are assigned to this host now; shared with the threads that perform them.
#[derive(Debug, Default)]
pub(crate) struct Duties {
    watcher: AtomicBool,
    lease_holder: AtomicBool,
    tracked: Mutex<Arc<HashSet<u64>>>,
}

impl Duties {
    /// Returns whether this host watches the table in the store.
    pub fn is_watcher(&self) -> bool {
        self.watcher.load(Ordering::Relaxed)
    }

    /// Returns the hashes of the names of the runners that this host tracks.
    pub fn tracked(&self) -> Arc<HashSet<u64>> {
        Arc::clone(&self.tracked.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn set_tracked(&self, tracked: HashSet<u64>) {
        *self.tracked.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(tracked);
    }

    /// Returns whether this host is the one that should hold the lease for orders.
    pub fn is_lease_holder(&self) -> bool {
        self.lease_holder.load(Ordering::Relaxed)
    }
}

/// Request to fetch a newer table from a peer; `known_revision` is this host's revision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FetchJob {
    pub address: SocketAddr,
    pub host: HostHash,
    pub known_revision: Revision,
}

/// The host's view of the table and of the other hosts.
///
/// `others` also holds hosts that are not live; `older_offers` counts the tables from the store
/// that were older than the one in force.
#[derive(Clone, Debug)]
pub(crate) struct ClusterStatus {
    pub revision: Revision,
    pub older_offers: u64,
    pub live: Vec<HostInfo>,
    pub others: Vec<HostInfo>,
}

/// Dependencies of a [`Cluster`].
pub(crate) struct ClusterParts {
    pub hosts: Hosts,
    /// Seed of the random numbers that choose gossip peers and vary the gossip interval.
    pub seed: u64,
    pub table: SharedTable,
    pub duties: Arc<Duties>,
    pub outbox: Rc<RefCell<Outbox>>,
    pub router: Actor<Router>,
    pub fetch_jobs: Fwd<FetchJob>,
    pub logger: Logger,
}

/// Actor that owns membership, table revisions and the assignment of duties.
pub(crate) struct Cluster {
    hosts: Hosts,
    gossiper: Gossiper,
    rng: ChaCha8Rng,
    state: TableState,
    table: SharedTable,
    duties: Arc<Duties>,
    servers: Arc<Vec<Server>>,
    outbox: Rc<RefCell<Outbox>>,
    router: Actor<Router>,
    fetch_jobs: Fwd<FetchJob>,
    logger: Logger,
}

impl Cluster {
    /// Creates the actor and starts its gossip timers.
    pub fn init(cx: CX![], parts: ClusterParts) -> Option<Self> {
        call!([cx], gossip_round());
        call!([cx], quick_gossip_round());
        let mut rng = ChaCha8Rng::seed_from_u64(parts.seed);
        Some(Self {
            gossiper: Gossiper::new(ChaCha8Rng::from_rng(&mut rng)),
            rng,
            hosts: parts.hosts,
            state: TableState::default(),
            table: parts.table,
            duties: parts.duties,
            servers: Arc::default(),
            outbox: parts.outbox,
            router: parts.router,
            fetch_jobs: parts.fetch_jobs,
            logger: parts.logger,
        })
    }

    /// Runs a gossip round, reassigns duties and schedules the next round.
    pub fn gossip_round(&mut self, cx: CX![]) {
        let now = cx.now();
        let messages = self.gossiper.round(now, &self.hosts);
        self.send_all(now, messages);
        self.assign_duties(now);
        let jitter = 1.0 + self.rng.random_range(-GOSSIP_JITTER..GOSSIP_JITTER);
        stakker::after!(GOSSIP_INTERVAL.mul_f64(jitter), [cx], gossip_round());
    }

    /// Sends fresh rumors, if there are any, and schedules the next quick round.
    pub fn quick_gossip_round(&mut self, cx: CX![]) {
        let now = cx.now();
        let messages = self.gossiper.quick_round(now, &self.hosts);
        self.send_all(now, messages);
        stakker::after!(QUICK_GOSSIP_INTERVAL, [cx], quick_gossip_round());
    }

    /// Merges the platform's host list into the membership view.
    pub fn set_hosts(&mut self, cx: CX![], list: Vec<HostInfo>) {
        let now = cx.now();
        self.hosts.merge_list(now, &list);
        let addresses = self
            .hosts
            .others()
            .map(|info| (info.hash, info.address))
            .collect();
        self.outbox.borrow_mut().set_addresses(addresses);
        self.assign_duties(now);
    }

    /// Replaces the list of backend servers, whose runners are assigned to trackers.
    pub fn set_servers(&mut self, cx: CX![], servers: Arc<Vec<Server>>) {
        self.servers = servers;
        self.assign_duties(cx.now());
    }

    /// Handles a gossip or revision message from a peer.
    pub fn receive(&mut self, cx: CX![], sender: Peer, body: Body) {
        let now = cx.now();
        let update = match body {
            Body::Gossip(gossip) => {
                self.gossiper
                    .receive(now, &mut self.hosts, sender.host, &gossip)
            }
            Body::PushRevision { revision } => GossipUpdate {
                newer_revision: (revision > self.state.revision()).then_some(revision),
                ..GossipUpdate::default()
            },
            _ => GossipUpdate::default(),
        };
        if update.newer_revision.is_some() {
            self.fetch_from(sender.host);
        }
        if update.sender_is_behind {
            let revision = self.state.revision();
            let push = Body::PushRevision { revision };
            self.outbox.borrow_mut().send(now, sender.host, push, false);
        }
        for rumor in update.rumors {
            self.spread_rumor(cx, rumor);
        }
    }

    /// Spreads a rumor to peers and passes it to this host's router; a known rumor is ignored.
    pub fn spread_rumor(&mut self, cx: CX![], rumor: Rumor) {
        let now = cx.now();
        let messages = self.gossiper.spread_rumor(now, &self.hosts, rumor);
        // A new rumor gives messages whenever there is a peer to send them to.
        if messages.is_empty() && self.hosts.others().next().is_some() {
            return;
        }
        if let Rumor::HostLeaving { peer } = rumor {
            self.hosts.mark_leaving(peer);
            self.assign_duties(now);
        }
        call!([self.router], on_rumor(rumor));
        self.send_all(now, messages);
    }

    /// Forwards a query for a suspect decision to the router.
    ///
    /// The query passes through this actor so that it is ordered behind the rumors that were
    /// exchanged before: deaths reported by peers are counted in the decision, and deaths seen here
    /// are sent to peers before the caller gets its answer.
    pub fn decide_suspect(
        &mut self,
        _cx: CX![],
        fingerprint: Fingerprint,
        reply: Sender<SuspectDecision>,
    ) {
        call!([self.router], decide_suspect(fingerprint, reply));
    }

    /// Announces to peers that this host is shutting down.
    pub fn leave(&mut self, cx: CX![]) {
        let now = cx.now();
        let messages = self.gossiper.announce_leaving(now, &self.hosts);
        self.send_all(now, messages);
    }

    /// Adopts a full table from the store, unless it is known or older.
    pub fn adopt(&mut self, cx: CX![], head: TableHead, table: Table) {
        let offered = head.revision;
        match self.state.adopt(head, table) {
            Adoption::Adopted => self.publish_table(cx.now()),
            Adoption::Known => {}
            Adoption::Older => self.record_older_offer(offered),
        }
    }

    /// Adopts a table delta from a peer.
    pub fn adopt_delta(&mut self, cx: CX![], head: TableHead, delta: RowDelta) {
        match self.state.adopt_delta(head, &delta) {
            Ok(Adoption::Adopted) => self.publish_table(cx.now()),
            Ok(_) => {}
            Err(error) => {
                warn!(self.logger, "cluster: Table changes from a peer rejected."; "error" => %error);
                counter!("table_deltas_refused_total").increment(1);
            }
        }
    }

    /// Replies with the changes since the revision `known_revision` of a peer.
    pub fn delta_since(
        &mut self,
        _cx: CX![],
        known_revision: Revision,
        reply: Sender<(TableHead, RowDelta)>,
    ) {
        let answer = (
            self.state.head().clone(),
            self.state.delta_since(known_revision),
        );
        // The asking thread may have given up; its peer asks again.
        let _ = reply.send(answer);
    }

    /// Replies with the host's view of the fleet.
    pub fn status(&mut self, cx: CX![], reply: Sender<ClusterStatus>) {
        let status = ClusterStatus {
            revision: self.state.revision(),
            older_offers: self.state.older_offers(),
            live: self.hosts.live(cx.now()).cloned().collect(),
            others: self.hosts.others().cloned().collect(),
        };
        // The asking thread may have given up; the operator asks again.
        let _ = reply.send(status);
    }

    /// Puts the adopted table in force and announces its revision to peers.
    fn publish_table(&mut self, now: Instant) {
        let revision = self.state.revision();
        let table = CurrentTable::new(self.state.head().clone(), Arc::clone(self.state.table()));
        self.table.set(table);
        gauge!("table_revision").set(revision as f64);
        info!(self.logger, "cluster: Table in force."; "revision" => revision);
        let messages = self.gossiper.adopt_revision(&self.hosts, revision);
        self.send_all(now, messages);
    }

    fn record_older_offer(&mut self, offered: Revision) {
        counter!("table_older_offers_total").increment(1);
        let revision = self.state.revision();
        warn!(self.logger, "cluster: Store offers an older table. The one in force is kept.";
            "offered" => offered, "revision" => revision);
    }

    fn fetch_from(&mut self, host: HostHash) {
        if let Some(info) = self.hosts.get(host) {
            let known_revision = self.state.revision();
            self.fetch_jobs.fwd(FetchJob {
                address: info.address,
                host,
                known_revision,
            });
        }
    }

    fn send_all(&mut self, now: Instant, messages: Vec<Outgoing>) {
        let mut outbox = self.outbox.borrow_mut();
        for Outgoing { to, body } in messages {
            outbox.send(now, to.hash, body, false);
        }
    }

    /// Recomputes this host's duties, the trackers of all runners and the hosts of this failure
    /// domain's buckets from the live hosts.
    fn assign_duties(&mut self, now: Instant) {
        let hosts = &self.hosts;
        let is_watcher = hosts.has_duty(now, Duty::TableWatcher, WATCHERS_PER_DOMAIN);
        self.duties.watcher.store(is_watcher, Ordering::Relaxed);
        self.duties
            .lease_holder
            .store(hosts.has_duty(now, Duty::LeaseHolder, 1), Ordering::Relaxed);
        let runners = self
            .servers
            .iter()
            .filter(|server| server.kind == ServerKind::Runner);
        let tracker_of = runners
            .filter_map(|server| {
                let runner = hickoryhall_types::hash_name(&server.id);
                let trackers = hosts.duty_holders(now, &server.domain, Duty::Tracker(runner), 1);
                Some((runner, *trackers.first()?))
            })
            .collect::<HashMap<_, _>>();
        let local_host = hosts.local_host().hash;
        let tracked = tracker_of.iter().filter(|&(_, &host)| host == local_host);
        self.duties
            .set_tracked(tracked.map(|(&runner, _)| runner).collect());
        call!([self.router], set_trackers(tracker_of));
        let domain = hosts.local_host().domain.clone();
        let in_domain = hosts.live(now).filter(|info| info.domain == domain);
        let bucket_hosts = in_domain
            .map(|info| info.hash)
            .chain([hosts.local_host().hash])
            .collect();
        call!([self.router], set_bucket_hosts(bucket_hosts));
        gauge!("live_hosts").set(hosts.live(now).count() as f64 + 1.0);
    }
}
