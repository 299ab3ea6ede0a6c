//! Gives runners the orders that bring new weights into force, from one host at a time.
//!
//! The holder is the host that wrote the key of the order-giver under a lease of the store. It
//! orders only while the lease certainly holds, by a clock that goes on while the host is
//! suspended; a new holder first waits until the orders of the one before it have arrived. Each
//! order names the number of orders that its runner must have accepted before, so that one that
//! arrives late changes nothing.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use hickoryhall_control::{OrderConfig, OrderGiver, PlannedOrder, RunnerStatus, WantedWeights};
use hickoryhall_types::{FencingNumber, TargetId, WeightsVersion, hash_name};
use rand::RngExt;
use rustix::time::{ClockId, clock_gettime};
use slog::{Logger, info, warn};
use tokio::time::{sleep, timeout};

use crate::core::CoreHandle;
use crate::interface::{
    AsOf, ConditionalPut, LeaseId, OrderOutcome, Platform, RunnerReport, StoreChange, StoreError,
    StoreItem, StoreRevision, SwitchMode, WeightsOrder,
};
use crate::peers::Peers;
use crate::registry::{BackendServer, ServerId};
use crate::scheduler::RunnerView;

/// Key of the order-giver.
const KEY: &str = "hickoryhall/order-giver";
/// Time for which one watch of the key waits.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// Hosts that stand ready to take the duty: enough for several to fail at once.
const STAND_BY: usize = 4;
/// Time between two looks of another host at whether it has to stand ready.
const STAND_BY_CHECK: Duration = Duration::from_millis(700);
/// Pause after a failure of the store, spread over hosts.
const STORE_PAUSE: Duration = Duration::from_millis(400);
/// Longest time that a host waits before it asks for a free lease, so that few ask at once.
const CLAIM_SPREAD: Duration = Duration::from_millis(300);
/// Time between two looks at what there is to order.
const ROUND: Duration = Duration::from_millis(60);
/// Time between two reports of a runner that changes its weights.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time for a report or an order to be answered.
const CALL_WAIT: Duration = Duration::from_millis(600);
/// Time for an order to be answered, which a runner does at once.
const ORDER_WAIT: Duration = Duration::from_millis(300);
/// Time after which an order that shows no effect is given again.
const REPEAT_AFTER: Duration = Duration::from_millis(4_500);
/// Time in which the other hosts hear that a runner is about to change its weights, and this one
/// what they have there.
const NEWS_TRAVEL: Duration = Duration::from_millis(130);
/// Longest time for which a runner is emptied before its order: that of the longest answers that
/// cannot go on elsewhere.
const EMPTYING_LIMIT: Duration = Duration::from_millis(1_300);
/// Time from an order to the first report, a little less than loading takes.
const FIRST_REPORT: Duration = Duration::from_millis(450);
/// Part of the retries that must be left for streams to be moved rather than waited for.
const TRUNCATE_BUDGET: f64 = 0.25;
/// Part of the runners that change their weights at the same time: more than load at full speed, as
/// part of the time goes into emptying them.
const PART_AT_ONCE: f64 = 0.45;
/// The same while the runners are busy: as many as load at full speed.
const PART_AT_ONCE_BUSY: f64 = 0.22;
/// Mean work ahead at the runners from which they count as busy, in milliseconds.
const BUSY_MS: f64 = 60.0;

/// Settings of the order-giver.
#[derive(Clone, Debug)]
pub struct OrderSettings {
    /// Name of this host.
    pub host: String,
    /// Time between orders of two holders.
    pub handover: Duration,
    /// Time of the lease.
    pub lease_ttl: Duration,
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
            if !self.stands_by() {
                sleep(STAND_BY_CHECK).await;
                continue;
            }
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

    /// Tells whether this host is one of those that stand ready, among the hosts that live.
    fn stands_by(&self) -> bool {
        let duty = hash_name(KEY);
        self.core
            .with(|core, now| core.place_among_hosts(now, duty) < STAND_BY)
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
            loads_at_once: 1,
            repeat_after: REPEAT_AFTER,
        });
        giver.on_taken(holding.asked_at, holding.fencing);
        let giver = RefCell::new(giver);
        tokio::select! {
            () = self.renew(holding.lease, &giver) => {}
            () = self.give_orders(&giver) => {}
        }
        warn!(self.logger, "orders: Duty lost."; "fencing" => holding.fencing);
    }

    async fn renew(&self, lease: LeaseId, giver: &RefCell<OrderGiver>) {
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

    async fn give_orders(&self, giver: &RefCell<OrderGiver>) {
        let mut changes = HashMap::<ServerId, Change>::new();
        loop {
            sleep(ROUND).await;
            let wanted = self.wanted();
            let runners = self.core.with(|core, now| core.runners(now));
            // All at once, since each step may wait for its runner.
            let steps = runners.iter().filter_map(|runner| {
                let change = changes.remove(&runner.server.id)?;
                Some(async move { (runner, self.advance(runner, change, giver).await) })
            });
            let steps = steps.collect::<Vec<_>>();
            changes.clear();
            for (runner, change) in join_all(steps).await {
                if let Some(change) = change {
                    changes.insert(runner.server.id.clone(), change);
                }
            }

            let runners = self.core.with(|core, now| core.runners(now));
            giver
                .borrow_mut()
                .set_loads_at_once(loads_at_once(&runners));
            let planned = giver.borrow_mut().plan(
                self.clock.now(),
                &wanted,
                &statuses(&runners, &wanted),
                || true,
            );
            for order in planned {
                let runner = runners
                    .iter()
                    .find(|runner| runner.server.id == order.runner);
                if let Some(change) = runner.and_then(|runner| self.prepare(runner, &order)) {
                    changes.insert(order.runner, change);
                }
            }
        }
    }

    fn wanted(&self) -> WantedWeights {
        let wanted = self.core.with(|core, _| core.wanted());
        wanted.into_iter().collect()
    }

    /// Stops new work at a runner that is about to change its weights.
    fn prepare(&self, runner: &RunnerView, order: &PlannedOrder) -> Option<Change> {
        let (model, _) = runner.server.models.first()?;
        self.note(runner, runner.weights, true);
        Some(Change {
            model: model.clone(),
            version: order.weights,
            fencing: order.fencing,
            since: Instant::now(),
            stage: Stage::Emptying,
        })
    }

    /// Takes the next step of a change; `None` where it is over.
    async fn advance(
        &self,
        runner: &RunnerView,
        change: Change,
        giver: &RefCell<OrderGiver>,
    ) -> Option<Change> {
        match change.stage {
            Stage::Emptying if !change.is_emptied(runner) => Some(change),
            Stage::Emptying => self.give(runner, change, giver).await,
            Stage::Ordered { next_report, .. } if Instant::now() < next_report => Some(change),
            Stage::Ordered { is_accepted, .. } => {
                self.follow(runner, change, is_accepted, giver).await
            }
        }
    }

    /// Gives an order, where the runner does not have the weights already.
    async fn give(
        &self,
        runner: &RunnerView,
        change: Change,
        giver: &RefCell<OrderGiver>,
    ) -> Option<Change> {
        let server = &runner.server;
        let Some(report) = self.report(server).await else {
            warn!(self.logger, "orders: Runner does not report."; "server" => &*server.id);
            self.note(runner, runner.weights, false);
            giver.borrow_mut().forget(&server.id);
            return None;
        };
        let weights = report.weights(&change.model);
        if weights >= change.version {
            self.note(runner, weights, false);
            return None;
        }
        // The report took time in which the lease may have ended.
        let lease = giver.borrow().lease(self.clock.now() + CALL_WAIT);
        let lease = lease.filter(|lease| lease.fencing == change.fencing);
        if lease.is_none() {
            self.note(runner, weights, false);
            return None;
        }
        let mode = self.mode(runner);
        let order = WeightsOrder {
            model: change.model.clone(),
            version: change.version,
            mode,
            holder: self.settings.host.clone(),
            fencing: change.fencing,
            expected_orders: report.orders_accepted,
        };
        let outcome = timeout(ORDER_WAIT, self.platform.order(server, &order)).await;
        let outcome = outcome.unwrap_or(OrderOutcome::Unknown);
        info!(
            self.logger, "orders: Order given.";
            "server" => &*server.id, "model" => &*order.model, "weights" => order.version,
            "before" => weights, "mode" => ?mode, "fencing" => order.fencing,
            "expected" => order.expected_orders, "outcome" => ?outcome,
            "emptied_ms" => change.since.elapsed().as_millis(),
            "requests" => runner.load.requests, "bound" => runner.load.bound
        );
        let is_accepted = matches!(
            outcome,
            OrderOutcome::Accepted | OrderOutcome::Holds | OrderOutcome::Busy
        );
        let wait = if is_accepted {
            FIRST_REPORT
        } else {
            REPORT_INTERVAL
        };
        Some(Change {
            stage: Stage::Ordered {
                next_report: Instant::now() + wait,
                is_accepted,
            },
            ..change
        })
    }

    /// Chooses what becomes of the requests that run: streams go on at other runners where the
    /// retry budget allows that, and nothing runs that could not.
    fn mode(&self, runner: &RunnerView) -> SwitchMode {
        let service = &runner.server.service;
        let left = self.core.with(|core, now| core.retries_left(now, service));
        if runner.load.bound == 0 && left >= TRUNCATE_BUDGET {
            SwitchMode::Truncate
        } else {
            SwitchMode::Wait
        }
    }

    /// Reads the report of a runner that was given an order.
    async fn follow(
        &self,
        runner: &RunnerView,
        change: Change,
        is_accepted: bool,
        giver: &RefCell<OrderGiver>,
    ) -> Option<Change> {
        let report = self.report(&runner.server).await;
        let weights = report
            .as_ref()
            .map_or(runner.weights, |report| report.weights(&change.model));
        let is_busy = report.is_none_or(|report| report.is_busy);
        let is_done = weights >= change.version && !is_busy;
        let is_overdue = change.since.elapsed() >= REPEAT_AFTER;
        if !is_done && !is_overdue {
            // An order without an answer that was not taken in is given again: the number of orders
            // in it keeps the first one from taking effect later.
            let stage = if is_accepted || is_busy {
                Stage::Ordered {
                    next_report: Instant::now() + REPORT_INTERVAL,
                    is_accepted,
                }
            } else {
                Stage::Emptying
            };
            return Some(Change { stage, ..change });
        }
        info!(
            self.logger, "orders: Runner followed to the end.";
            "server" => &*runner.server.id, "weights" => weights, "wanted" => change.version,
            "busy" => is_busy, "took_ms" => change.since.elapsed().as_millis()
        );
        self.note(runner, weights, false);
        if !is_done {
            giver.borrow_mut().forget(&runner.server.id);
        }
        None
    }

    async fn report(&self, server: &BackendServer) -> Option<RunnerReport> {
        timeout(CALL_WAIT, self.platform.report(server))
            .await
            .ok()?
    }

    /// Tells this host and the others about a runner.
    fn note(&self, runner: &RunnerView, weights: WeightsVersion, is_changing: bool) {
        let hash = hash_name(&runner.server.id);
        self.core
            .with(|core, now| core.set_runner(now, hash, weights, is_changing));
        self.peers.push();
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

/// A runner on its way to new weights.
#[derive(Clone)]
struct Change {
    model: TargetId,
    version: WeightsVersion,
    fencing: FencingNumber,
    since: Instant,
    stage: Stage,
}

#[derive(Clone, Copy)]
enum Stage {
    /// It gets no new work, and what cannot go on elsewhere comes to its end.
    Emptying,
    /// It was given the order.
    Ordered {
        next_report: Instant,
        /// Whether the runner said that it took the order.
        is_accepted: bool,
    },
}

impl Change {
    fn is_emptied(&self, runner: &RunnerView) -> bool {
        let age = self.since.elapsed();
        let is_empty = runner.load.bound == 0 && age >= NEWS_TRAVEL;
        is_empty || age >= EMPTYING_LIMIT
    }
}

impl RunnerReport {
    /// Returns the version of a model's weights, 0 where it has none.
    #[must_use]
    pub fn weights(&self, model: &str) -> WeightsVersion {
        let model = self.models.iter().find(|(name, _)| name.as_ref() == model);
        model.map_or(0, |(_, version)| *version)
    }
}

/// Returns how many runners may change at the same time, by what the others have to do.
fn loads_at_once(runners: &[RunnerView]) -> usize {
    let up = runners.iter().filter(|runner| !runner.is_away);
    let (count, pending_ms) = up.fold((0.0, 0.0), |(count, pending_ms), runner| {
        (count + 1.0, pending_ms + f64::from(runner.load.pending_ms))
    });
    let part = if pending_ms > BUSY_MS * count {
        PART_AT_ONCE_BUSY
    } else {
        PART_AT_ONCE
    };
    (count * part).round() as usize
}

/// Returns the runners in the order of their changes: those with the oldest weights first, and of
/// these the ones with the fewest requests, so that streams of the others find runners that have
/// changed already.
fn statuses(runners: &[RunnerView], wanted: &WantedWeights) -> Vec<RunnerStatus> {
    let mut runners = runners.iter().collect::<Vec<_>>();
    runners.sort_by_key(|runner| {
        let id = runner.server.id.clone();
        (runner.weights, runner.load.requests, id)
    });
    let statuses = runners.into_iter().filter_map(|runner| {
        let (model, _) = runner.server.models.first()?;
        let is_newer = wanted
            .get(model)
            .is_some_and(|wanted| runner.weights > *wanted);
        Some(RunnerStatus {
            id: runner.server.id.clone(),
            model: model.clone(),
            weights: runner.weights,
            checks_fencing: false,
            up: !runner.server.is_leaving && !runner.is_away && !is_newer,
        })
    });
    statuses.collect()
}
