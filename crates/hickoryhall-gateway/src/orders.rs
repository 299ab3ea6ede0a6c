//! Gives runners the orders that bring new weights into force, from one host at a time.
//!
//! The holder is the host that wrote the key of the order-giver under a lease of the store. It
//! orders only while the lease certainly holds, by a clock that goes on while the host is
//! suspended; a new holder first waits until the orders of the one before it have arrived. Each
//! order names the number of orders that its runner must have accepted before, so that one that
//! arrives late changes nothing.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hickoryhall_control::{OrderConfig, OrderGiver, PlannedOrder, RunnerStatus, WantedWeights};
use hickoryhall_types::{WeightsVersion, hash_name};
use rand::RngExt;
use rustix::time::{ClockId, clock_gettime};
use slog::{Logger, info, warn};
use tokio::time::{sleep, timeout};

use crate::core::CoreHandle;
use crate::interface::{
    AsOf, ConditionalPut, LeaseId, OrderOutcome, Platform, StoreChange, StoreError, StoreItem,
    StoreRevision, SwitchMode, WeightsOrder,
};
use crate::peers::Peers;
use crate::registry::BackendServer;

/// Key of the order-giver.
const KEY: &str = "hickoryhall/order-giver";
/// Time for which one watch of the key waits.
const WATCH_WAIT: Duration = Duration::from_secs(8);
/// Pause after a failure of the store, spread over hosts.
const STORE_PAUSE: Duration = Duration::from_millis(400);
/// Longest time that a host waits before it asks for a free lease, so that few ask at once.
const CLAIM_SPREAD: Duration = Duration::from_millis(300);
/// Time between two looks at what there is to order.
const ROUND: Duration = Duration::from_millis(60);
/// Time between two reports of a runner that changes its weights.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Time for a report or an order to be answered.
const CALL_WAIT: Duration = Duration::from_millis(600);
/// Time after which an order that shows no effect is given again.
const REPEAT_AFTER: Duration = Duration::from_millis(2_500);
/// Time in which the other hosts hear that a runner is about to change its weights.
const NEWS_TRAVEL: Duration = Duration::from_millis(8);
/// Runners that change their weights at the same time: a little more than load at full speed, as
/// part of the time goes into requests that finish first.
const LOADS_AT_ONCE: usize = 3;

/// Settings of the order-giver.
#[derive(Clone, Debug)]
pub struct OrderSettings {
    /// Name of this host.
    pub host: String,
    /// Time between orders of two holders.
    pub handover: Duration,
    /// Time of the lease.
    pub lease_ttl: Duration,
    /// What becomes of requests that run when the weights change.
    pub mode: SwitchMode,
}

/// The task that holds the lease and gives the orders.
pub struct OrderDuty<P> {
    settings: OrderSettings,
    platform: Rc<P>,
    core: CoreHandle,
    peers: Rc<Peers<P>>,
    clock: SuspendAwareClock,
    logger: Logger,
}

/// A clock that counts the time for which the host was suspended.
struct SuspendAwareClock {
    origin: Instant,
    boot_origin: Duration,
}

impl SuspendAwareClock {
    fn new() -> Self {
        Self {
            origin: Instant::now(),
            boot_origin: boot_time(),
        }
    }

    fn now(&self) -> Instant {
        self.origin + boot_time().saturating_sub(self.boot_origin)
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or_default(),
        u32::try_from(time.tv_nsec).unwrap_or_default(),
    )
}

/// What the store says of the key.
enum Claim {
    Free,
    /// Left by an earlier process on this host.
    Mine(StoreRevision),
    Held(StoreRevision),
}

impl<P: Platform> OrderDuty<P> {
    /// Creates the duty of a host.
    #[must_use]
    pub fn new(
        settings: OrderSettings,
        platform: Rc<P>,
        core: CoreHandle,
        peers: Rc<Peers<P>>,
        logger: Logger,
    ) -> Self {
        Self {
            settings,
            platform,
            core,
            peers,
            clock: SuspendAwareClock::new(),
            logger,
        }
    }

    /// Takes the duty whenever it is free, until the task is dropped.
    pub async fn run(&self) {
        loop {
            match self.claim().await {
                Ok(Some(lease)) => {
                    self.hold(lease).await;
                    self.core.with(|core, _| core.forget_changes());
                }
                Ok(None) => {}
                Err(error) => {
                    slog::debug!(self.logger, "orders: Duty not claimed."; "error" => %error);
                    sleep(STORE_PAUSE.mul_f64(rand::rng().random_range(0.7..1.5))).await;
                }
            }
        }
    }

    /// Waits until the duty is free and claims it; `None` where another host was faster.
    async fn claim(&self) -> Result<Option<Holding>, StoreError> {
        let AsOf { content, revision } = self.platform.range(KEY).await?;
        let expected = match self.read_claim(&content, revision) {
            Claim::Free => 0,
            Claim::Mine(revision) => revision,
            Claim::Held(revision) => {
                self.wait_until_free(revision).await?;
                0
            }
        };
        if expected == 0 {
            sleep(CLAIM_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0))).await;
        }
        let asked_at = self.clock.now();
        let lease = self.platform.grant(self.settings.lease_ttl).await?;
        let put = ConditionalPut {
            key: KEY.to_owned(),
            value: Bytes::from(self.settings.host.clone()),
            expected,
            lease,
        };
        match self.platform.put_if(&put).await {
            Ok(fencing) => Ok(Some(Holding {
                lease,
                fencing,
                asked_at,
                is_own_successor: expected != 0,
            })),
            Err(StoreError::Conflict) => {
                self.platform.end_lease(lease).await?;
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }

    fn read_claim(&self, items: &[StoreItem], revision: StoreRevision) -> Claim {
        match items.iter().find(|item| item.key == KEY) {
            None => Claim::Free,
            Some(item) if item.value == self.settings.host.as_bytes() => Claim::Mine(item.revision),
            Some(_) => Claim::Held(revision),
        }
    }

    async fn wait_until_free(&self, mut after: StoreRevision) -> Result<(), StoreError> {
        loop {
            let watched = self.platform.watch(KEY, after, WATCH_WAIT).await?;
            after = after.max(watched.revision);
            let last = watched.content.last();
            if matches!(last, Some(StoreChange::Removed { .. })) {
                return Ok(());
            }
        }
    }

    /// Renews the lease and gives orders until the lease is lost.
    async fn hold(&self, holding: Holding) {
        info!(self.logger, "orders: Duty taken."; "fencing" => holding.fencing, "own_successor" => holding.is_own_successor);
        let handover = if holding.is_own_successor {
            Duration::ZERO
        } else {
            self.settings.handover
        };
        let mut giver = OrderGiver::new(OrderConfig {
            lease_ttl: self.settings.lease_ttl,
            order_flight: CALL_WAIT,
            handover,
            loads_at_once: LOADS_AT_ONCE,
            repeat_after: REPEAT_AFTER,
        });
        giver.on_taken(holding.asked_at, holding.fencing);
        let giver = std::cell::RefCell::new(giver);
        tokio::select! {
            () = self.renew(holding.lease, &giver) => {}
            () = self.give_orders(&giver) => {}
        }
        warn!(self.logger, "orders: Duty lost."; "fencing" => holding.fencing);
    }

    async fn renew(&self, lease: LeaseId, giver: &std::cell::RefCell<OrderGiver>) {
        loop {
            sleep(self.settings.lease_ttl / 3).await;
            let asked_at = self.clock.now();
            match self.platform.renew(lease).await {
                Ok(()) => giver.borrow_mut().on_renewed(asked_at),
                Err(StoreError::NotFound) => return,
                Err(error) => {
                    slog::debug!(self.logger, "orders: Lease not renewed."; "error" => %error);
                }
            }
            if giver.borrow().lease(self.clock.now()).is_none() {
                return;
            }
        }
    }

    async fn give_orders(&self, giver: &std::cell::RefCell<OrderGiver>) {
        let mut watched = HashMap::<u64, Watched>::new();
        loop {
            sleep(ROUND).await;
            let wanted = self.wanted();
            let runners = self.core.with(|core, _| core.runners());
            self.follow_changes(&mut watched, &runners, &wanted).await;
            let runners = self.core.with(|core, _| core.runners());
            let statuses = statuses(&runners, &wanted);
            let orders = giver
                .borrow_mut()
                .plan(self.clock.now(), &wanted, &statuses, || true);
            for order in orders {
                let runner = runners.iter().find(|(server, _)| server.id == order.runner);
                if let Some((server, _)) = runner {
                    self.give(server, &order, giver, &mut watched).await;
                }
            }
        }
    }

    fn wanted(&self) -> WantedWeights {
        let wanted = self.core.with(|core, now| core.wanted(now));
        wanted.into_iter().collect()
    }

    /// Reads the reports of runners that were given an order.
    async fn follow_changes(
        &self,
        watched: &mut HashMap<u64, Watched>,
        runners: &[(BackendServer, WeightsVersion)],
        wanted: &WantedWeights,
    ) {
        let known = runners.iter().map(|(server, _)| hash_name(&server.id));
        let known = known.collect::<HashSet<_>>();
        watched.retain(|hash, _| known.contains(hash));
        for (server, _) in runners {
            let hash = hash_name(&server.id);
            let Some(change) = watched.get_mut(&hash) else {
                continue;
            };
            if Instant::now() < change.next_report {
                continue;
            }
            change.next_report = Instant::now() + REPORT_INTERVAL;
            let Some(report) = self.report(server).await else {
                continue;
            };
            let weights = report.weights(&change.model);
            let is_changing = report.is_busy || weights < change.version;
            let wanted = wanted.get(&change.model).copied().unwrap_or(0);
            let is_over = !is_changing || Instant::now() >= change.until;
            self.core.with(|core, now| {
                core.set_runner(now, hash, weights, is_changing && !is_over);
            });
            if is_over {
                watched.remove(&hash);
                info!(self.logger, "orders: Runner followed to the end."; "server" => &*server.id, "weights" => weights, "wanted" => wanted, "busy" => report.is_busy);
                self.peers.push();
            }
        }
    }

    async fn report(&self, server: &BackendServer) -> Option<crate::interface::RunnerReport> {
        timeout(CALL_WAIT, self.platform.report(server))
            .await
            .ok()?
    }

    /// Gives one order, where the runner does not have the weights already.
    async fn give(
        &self,
        server: &BackendServer,
        order: &PlannedOrder,
        giver: &std::cell::RefCell<OrderGiver>,
        watched: &mut HashMap<u64, Watched>,
    ) {
        let hash = hash_name(&server.id);
        let Some((model, known)) = server.models.first() else {
            return;
        };
        let Some(report) = self.report(server).await else {
            warn!(self.logger, "orders: Runner does not report."; "server" => &*server.id);
            return;
        };
        let weights = report.weights(model);
        if weights >= order.weights {
            self.core
                .with(|core, now| core.set_runner(now, hash, weights, false));
            return;
        }
        // The report took time in which the lease may have ended.
        let lease = giver.borrow().lease(self.clock.now() + CALL_WAIT);
        if lease.is_none() {
            return;
        }
        self.core
            .with(|core, now| core.set_runner(now, hash, weights, true));
        self.peers.push();
        // Other hosts stop sending before the runner starts to refuse.
        sleep(NEWS_TRAVEL).await;
        let wire = WeightsOrder {
            model: model.clone(),
            version: order.weights,
            mode: self.settings.mode,
            holder: self.settings.host.clone(),
            fencing: order.fencing,
            expected_orders: report.orders_accepted,
        };
        let outcome = timeout(CALL_WAIT, self.platform.order(server, &wire)).await;
        let outcome = outcome.unwrap_or(OrderOutcome::Unknown);
        info!(
            self.logger, "orders: Order given.";
            "server" => &*server.id, "model" => &**model, "weights" => order.weights,
            "before" => weights.max(*known), "fencing" => order.fencing,
            "expected" => report.orders_accepted, "outcome" => ?outcome
        );
        let now = Instant::now();
        watched.insert(
            hash,
            Watched {
                model: model.clone(),
                version: order.weights,
                next_report: now + REPORT_INTERVAL * 3,
                until: now + REPEAT_AFTER,
            },
        );
    }
}

/// A lease as it was taken.
struct Holding {
    lease: LeaseId,
    fencing: StoreRevision,
    asked_at: Instant,
    /// Whether the holder before was an earlier process on this host.
    is_own_successor: bool,
}

/// A runner that was given an order.
struct Watched {
    model: hickoryhall_types::TargetId,
    version: WeightsVersion,
    next_report: Instant,
    until: Instant,
}

impl crate::interface::RunnerReport {
    /// Returns the version of a model's weights, 0 where it has none.
    #[must_use]
    pub fn weights(&self, model: &str) -> WeightsVersion {
        let model = self.models.iter().find(|(name, _)| name.as_ref() == model);
        model.map_or(0, |(_, version)| *version)
    }
}

/// Returns the runners as the order-giver sees them; one with newer weights than wanted is settled.
fn statuses(
    runners: &[(BackendServer, WeightsVersion)],
    wanted: &WantedWeights,
) -> Vec<RunnerStatus> {
    let statuses = runners.iter().filter_map(|(server, weights)| {
        let (model, _) = server.models.first()?;
        let is_newer = wanted.get(model).is_some_and(|wanted| weights > wanted);
        Some(RunnerStatus {
            id: server.id.clone(),
            model: model.clone(),
            weights: *weights,
            checks_fencing: false,
            up: !server.is_leaving && !is_newer,
        })
    });
    statuses.collect()
}
