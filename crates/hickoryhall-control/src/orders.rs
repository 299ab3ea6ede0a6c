//! Orders to runners, given under a lease with a fencing number.
//!
//! Engines that check fencing numbers refuse a late order by themselves. For the others the lease's
//! time must be enough: an order goes out only while the lease has more time left than an order may
//! be on its way, and a new holder waits that long before its first order.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hickoryhall_types::{FencingNumber, RunnerId, TargetId, WeightsVersion};

/// Settings of order-giving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderConfig {
    /// Time that a lease is granted for.
    pub lease_ttl: Duration,
    /// Time that an order may be on its way: none is given when the lease ends sooner.
    pub order_flight: Duration,
    /// Time that a new holder waits, so that orders of the one before it have arrived.
    pub handover: Duration,
    /// Runners of the whole fleet that load weights at the same time at most.
    pub loads_at_once: usize,
    /// Time after which an order that shows no effect is given again.
    pub repeat_after: Duration,
}

impl Default for OrderConfig {
    fn default() -> Self {
        Self {
            lease_ttl: Duration::from_secs(10),
            order_flight: Duration::from_secs(3),
            handover: Duration::from_secs(3),
            loads_at_once: 2,
            repeat_after: Duration::from_secs(5),
        }
    }
}

/// The lease that a host holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing number.
    pub fencing: FencingNumber,
    /// Moment before the call that took the lease.
    pub taken_at: Instant,
    /// Moment until which the lease certainly holds: the last renewal's start plus its time.
    pub valid_until: Instant,
}

/// Weights version that the table wants for each model.
pub type WantedWeights = BTreeMap<TargetId, WeightsVersion>;

/// A runner as the order-giver sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerStatus {
    /// Name.
    pub id: RunnerId,
    /// Model.
    pub model: TargetId,
    /// Weights version served.
    pub weights: WeightsVersion,
    /// Whether the engine refuses old fencing numbers.
    pub checks_fencing: bool,
    /// Whether it answers now.
    pub up: bool,
}

/// An order to give.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Runner.
    pub runner: RunnerId,
    /// Weights version to load.
    pub weights: WeightsVersion,
    /// Fencing number.
    pub fencing: FencingNumber,
}

#[derive(Clone, Copy, Debug)]
struct Given {
    weights: WeightsVersion,
    at: Instant,
}

/// Plans the orders of one failure domain.
#[derive(Clone, Debug)]
pub struct OrderGiver {
    config: OrderConfig,
    lease: Option<HeldLease>,
    given: BTreeMap<RunnerId, Given>,
}

impl OrderGiver {
    /// Creates a giver without a lease.
    #[must_use]
    pub fn new(config: OrderConfig) -> Self {
        Self {
            config,
            lease: None,
            given: BTreeMap::new(),
        }
    }

    /// Records that the lease was taken; `asked_at` is the moment before the call.
    pub fn on_taken(&mut self, asked_at: Instant, fencing: FencingNumber) {
        let valid_until = asked_at + self.config.lease_ttl;
        self.lease = Some(HeldLease {
            fencing,
            taken_at: asked_at,
            valid_until,
        });
        self.given.clear();
    }

    /// Records a renewal; `asked_at` is the moment before the call.
    pub fn on_renewed(&mut self, asked_at: Instant) {
        if let Some(lease) = &mut self.lease {
            lease.valid_until = lease.valid_until.max(asked_at + self.config.lease_ttl);
        }
    }

    /// Records that the lease is lost.
    pub fn on_lost(&mut self) {
        self.lease = None;
        self.given.clear();
    }

    /// Sets how many runners may change their weights at the same time.
    pub fn set_loads_at_once(&mut self, loads: usize) {
        self.config.loads_at_once = loads.max(1);
    }

    /// Returns the lease, if it certainly still holds.
    #[must_use]
    pub fn lease(&self, now: Instant) -> Option<HeldLease> {
        self.lease.filter(|lease| now < lease.valid_until)
    }

    /// Forgets orders that have taken effect or are due again, and returns the number of those
    /// that remain.
    ///
    /// An order is due again where it shows no effect, as when an engine came back empty.
    pub fn settle(&mut self, now: Instant, runners: &[RunnerStatus]) -> usize {
        let repeat_after = self.config.repeat_after;
        self.given.retain(|id, given| {
            let runner = runners.iter().find(|runner| runner.id == *id);
            let has_effect = runner.is_none_or(|runner| runner.weights == given.weights);
            !has_effect && now.saturating_duration_since(given.at) < repeat_after
        });
        self.given.len()
    }

    /// Forgets an order that certainly did not take effect, so that it may be given again at once.
    pub fn forget(&mut self, runner: &str) {
        self.given.remove(runner);
    }

    /// Tells whether an order to a runner has shown no effect yet.
    #[must_use]
    pub fn awaits(&self, runner: &str) -> bool {
        self.given.contains_key(runner)
    }

    /// Plans the orders to give now; those returned are taken as given.
    ///
    /// `take_slot` is asked before each one for a place among the loads of the whole fleet.
    pub fn plan(
        &mut self,
        now: Instant,
        wanted: &WantedWeights,
        runners: &[RunnerStatus],
        mut take_slot: impl FnMut() -> bool,
    ) -> Vec<PlannedOrder> {
        let Some(lease) = self.lease(now) else {
            return Vec::new();
        };
        self.settle(now, runners);
        let mut orders = Vec::new();
        for runner in runners {
            let Some(&weights) = wanted.get(&runner.model) else {
                continue;
            };
            let is_settled = !runner.up || runner.weights == weights;
            if is_settled || self.given.contains_key(&runner.id) {
                continue;
            }
            if !self.keeps_capacity(runner, runners) || !self.may_order(now, &lease, runner) {
                continue;
            }
            if !take_slot() {
                break;
            }
            self.given
                .insert(runner.id.clone(), Given { weights, at: now });
            orders.push(PlannedOrder {
                runner: runner.id.clone(),
                weights,
                fencing: lease.fencing,
            });
        }
        orders
    }

    /// Tells whether half of a model's runners in the domain still serve while this one loads.
    fn keeps_capacity(&self, runner: &RunnerStatus, runners: &[RunnerStatus]) -> bool {
        let same_model = runners.iter().filter(|other| other.model == runner.model);
        let up = same_model.filter(|other| other.up).collect::<Vec<_>>();
        let loading = up
            .iter()
            .filter(|other| self.given.contains_key(&other.id))
            .count();
        let limit = (up.len() / 2).clamp(1, self.config.loads_at_once);
        loading < limit
    }

    /// Tells whether an order given now cannot meet one of another lease holder unfenced.
    fn may_order(&self, now: Instant, lease: &HeldLease, runner: &RunnerStatus) -> bool {
        let flight = self.config.order_flight;
        runner.checks_fencing
            || (now >= lease.taken_at + self.config.handover && now + flight < lease.valid_until)
    }
}

/// Chooses the weights version of a new request while runners change over.
///
/// `serving` counts the runners of each version that take work. Requests split between versions in
/// proportion to the runners, by their hash, so that the version being rolled out is not swamped
/// and the one being replaced keeps its load until its runners are gone.
#[must_use]
pub fn choose_version(
    serving: &BTreeMap<WeightsVersion, usize>,
    wanted: WeightsVersion,
    request_hash: u64,
) -> WeightsVersion {
    let total = serving.values().sum::<usize>() as u64;
    if total == 0 {
        return wanted;
    }
    let mut place = request_hash % total;
    for (&version, &count) in serving {
        if place < count as u64 {
            return version;
        }
        place -= count as u64;
    }
    wanted
}
