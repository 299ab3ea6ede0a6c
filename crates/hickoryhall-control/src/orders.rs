//! Orders to runners, which the holder of a lease gives together with its fencing number.
//!
//! Engines that check fencing numbers refuse a late order themselves. For other engines the timing
//! of the lease prevents orders of two lease holders from overlapping: an order is sent only while
//! the lease remains valid for longer than an order can be in transit, and a new lease holder waits
//! that long before its first order.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hickoryhall_types::{FencingNumber, RunnerId, TargetId, WeightsVersion};

/// Settings of an [`OrderPlanner`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderConfig {
    /// Duration for which a lease is granted or renewed.
    pub lease_ttl: Duration,
    /// Longest time that an order can be in transit; no order is given if the lease expires sooner.
    pub max_order_transit: Duration,
    /// Time that a new lease holder waits before its first order, so that all orders of its
    /// predecessor have arrived.
    pub handover_wait: Duration,
    /// Maximum number of runners that load weights at the same time; 0 counts as 1.
    ///
    /// The planner applies it to each model of the failure domain, and `acquire_load_slot` may
    /// apply it to the whole fleet.
    pub max_concurrent_loads: usize,
    /// Time after which an order that has had no effect is given again.
    pub resend_after: Duration,
}

impl Default for OrderConfig {
    fn default() -> Self {
        Self {
            lease_ttl: Duration::from_secs(10),
            max_order_transit: Duration::from_secs(3),
            handover_wait: Duration::from_secs(3),
            max_concurrent_loads: 2,
            resend_after: Duration::from_secs(5),
        }
    }
}

/// A lease that this host holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing number that the lease came with; it accompanies every order.
    pub fencing: FencingNumber,
    /// Time just before the call that acquired the lease.
    pub acquired_at: Instant,
    /// Time until which the lease certainly holds: the time just before the call that acquired or
    /// last renewed it, plus the lease duration.
    pub valid_until: Instant,
}

/// Desired version of each model, as the table sets it.
pub type DesiredVersions = BTreeMap<TargetId, WeightsVersion>;

/// State of a runner, as known to the lease holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerStatus {
    /// Name of the runner.
    pub id: RunnerId,
    /// Model that the runner serves.
    pub model: TargetId,
    /// Weights version that the runner serves.
    pub weights: WeightsVersion,
    /// Whether the engine refuses orders with an older fencing number.
    pub checks_fencing: bool,
    /// Whether the runner is reachable and accepts work.
    pub is_available: bool,
}

/// An order to give.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Runner that receives the order.
    pub runner: RunnerId,
    /// Weights version that the runner shall load.
    pub weights: WeightsVersion,
    /// Fencing number of the lease under which the order is given.
    pub fencing: FencingNumber,
}

#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    weights: WeightsVersion,
    planned_at: Instant,
}

/// Plans the orders that the lease holder gives to the runners of one failure domain.
#[derive(Clone, Debug)]
pub struct OrderPlanner {
    config: OrderConfig,
    lease: Option<HeldLease>,
    pending: BTreeMap<RunnerId, PendingOrder>,
}

impl OrderPlanner {
    /// Creates a planner that holds no lease.
    #[must_use]
    pub fn new(config: OrderConfig) -> Self {
        Self {
            config,
            lease: None,
            pending: BTreeMap::new(),
        }
    }

    /// Records that the lease was acquired; `requested_at` is the time just before the call.
    pub fn on_acquired(&mut self, requested_at: Instant, fencing: FencingNumber) {
        let valid_until = requested_at + self.config.lease_ttl;
        self.lease = Some(HeldLease {
            fencing,
            acquired_at: requested_at,
            valid_until,
        });
        self.pending.clear();
    }

    /// Records a renewal of the lease; `requested_at` is the time just before the call.
    pub fn on_renewed(&mut self, requested_at: Instant) {
        if let Some(lease) = &mut self.lease {
            lease.valid_until = lease.valid_until.max(requested_at + self.config.lease_ttl);
        }
    }

    /// Records that the lease was lost.
    pub fn on_lost(&mut self) {
        self.lease = None;
        self.pending.clear();
    }

    /// Sets the maximum number of runners that load weights at the same time; 0 counts as 1.
    pub fn set_max_concurrent_loads(&mut self, loads: usize) {
        self.config.max_concurrent_loads = loads.max(1);
    }

    /// Returns the time from acquiring the lease to the first order.
    #[must_use]
    pub fn handover_wait(&self) -> Duration {
        self.config.handover_wait
    }

    /// Returns the lease if it certainly still holds.
    #[must_use]
    pub fn lease(&self, now: Instant) -> Option<HeldLease> {
        self.lease.filter(|lease| now < lease.valid_until)
    }

    /// Removes pending orders that have taken effect, whose runner is not in `runners`, or that
    /// must be given again, and returns the number of orders that remain pending.
    ///
    /// An order must be given again if it has had no effect for a while, for example because the
    /// engine restarted without weights.
    pub fn prune_pending(&mut self, now: Instant, runners: &[RunnerStatus]) -> usize {
        let resend_after = self.config.resend_after;
        self.pending.retain(|id, order| {
            let runner = runners.iter().find(|runner| runner.id == *id);
            // The order may have named a newer version than the planned one.
            let is_done = runner.is_none_or(|runner| runner.weights >= order.weights);
            !is_done && now.saturating_duration_since(order.planned_at) < resend_after
        });
        self.pending.len()
    }

    /// Removes a pending order that certainly did not take effect, so that it can be given again at
    /// once.
    pub fn remove_pending(&mut self, runner: &str) {
        self.pending.remove(runner);
    }

    /// Returns whether an order to a runner is pending, that is, has had no effect yet.
    #[must_use]
    pub fn is_pending(&self, runner: &str) -> bool {
        self.pending.contains_key(runner)
    }

    /// Plans the orders to give now; the returned orders count as given.
    ///
    /// `acquire_load_slot` is called before each order and returns whether the fleet-wide limit
    /// permits another load.
    pub fn plan(
        &mut self,
        now: Instant,
        desired_versions: &DesiredVersions,
        runners: &[RunnerStatus],
        mut acquire_load_slot: impl FnMut() -> bool,
    ) -> Vec<PlannedOrder> {
        let Some(lease) = self.lease(now) else {
            return Vec::new();
        };
        self.prune_pending(now, runners);
        let mut orders = Vec::new();
        for runner in runners {
            let Some(&weights) = desired_versions.get(&runner.model) else {
                continue;
            };
            let needs_no_order = !runner.is_available || runner.weights == weights;
            if needs_no_order || self.pending.contains_key(&runner.id) {
                continue;
            }
            if !self.keeps_capacity(runner, runners) || !self.may_order(now, &lease, runner) {
                continue;
            }
            if !acquire_load_slot() {
                break;
            }
            self.pending.insert(
                runner.id.clone(),
                PendingOrder {
                    weights,
                    planned_at: now,
                },
            );
            orders.push(PlannedOrder {
                runner: runner.id.clone(),
                weights,
                fencing: lease.fencing,
            });
        }
        orders
    }

    /// Returns whether the runner may load without taking too much capacity from its model.
    ///
    /// At least half of the model's available runners in the failure domain must keep serving, and
    /// at most `max_concurrent_loads` may load, except that a single one may always load.
    fn keeps_capacity(&self, runner: &RunnerStatus, runners: &[RunnerStatus]) -> bool {
        let same_model = runners.iter().filter(|other| other.model == runner.model);
        let available = same_model
            .filter(|other| other.is_available)
            .collect::<Vec<_>>();
        let loading = available
            .iter()
            .filter(|other| self.pending.contains_key(&other.id))
            .count();
        let limit = (available.len() / 2).clamp(1, self.config.max_concurrent_loads.max(1));
        loading < limit
    }

    /// Returns whether an order given now cannot overlap with one of another lease holder, either
    /// because the engine checks fencing numbers or because of the time.
    fn may_order(&self, now: Instant, lease: &HeldLease, runner: &RunnerStatus) -> bool {
        let transit = self.config.max_order_transit;
        runner.checks_fencing
            || (now >= lease.acquired_at + self.config.handover_wait
                && now + transit < lease.valid_until)
    }
}

/// Chooses the weights version for a new request while runners switch versions.
///
/// `serving` counts the runners of each version that accept work. The hash of a request decides its
/// version, in proportion to these counts. The new version is thus not overloaded while few runners
/// serve it, and the old one keeps its load until its last runner has switched.
#[must_use]
pub fn choose_version(
    serving: &BTreeMap<WeightsVersion, usize>,
    desired_version: WeightsVersion,
    request_hash: u64,
) -> WeightsVersion {
    let total = serving.values().sum::<usize>() as u64;
    if total == 0 {
        return desired_version;
    }
    let mut index = request_hash % total;
    for (&version, &count) in serving {
        if index < count as u64 {
            return version;
        }
        index -= count as u64;
    }
    desired_version
}
