//! Orders to the runners of this failure domain, while this host has the duty and holds the lease.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use hickoryhall_clients::{LeaseId, Order, OrderBody, PutCondition, StoreClient};
use hickoryhall_control::{OrderConfig, OrderGiver, PlannedOrder, RunnerStatus, WantedWeights};
use hickoryhall_types::TargetId;
use metrics::counter;
use slog::{Logger, info, warn};

use crate::actors::{CoreMsg, Duties};
use crate::context::Context;
use crate::dispatch::RunnerState;

/// Time between two rounds of orders.
const ROUND: Duration = Duration::from_millis(500);

/// Runner that may be sent orders.
struct Runner {
    status: RunnerStatus,
    address: std::net::SocketAddr,
}

/// Sends orders to runners until the host has stopped.
pub(crate) fn run_orders(context: &Arc<Context>, duties: &Duties, logger: &Logger) {
    let config = OrderConfig::default();
    let mut keeper = LeaseKeeper::new(context, config);
    while !context.lifecycle.is_over() {
        let started = Instant::now();
        if duties.is_order_giver() && context.is_ready() {
            keeper.keep(logger);
            if keeper.giver.lease(Instant::now()).is_some() {
                give_orders(context, &mut keeper, logger);
            }
        } else {
            keeper.let_go();
        }
        thread::sleep(ROUND.saturating_sub(started.elapsed()));
    }
    keeper.let_go();
}

/// Acquires and renews the lease for the orders of a failure domain.
///
/// Also holds the slots for weight loads and plans the orders.
struct LeaseKeeper {
    store: StoreClient,
    key: String,
    holder: String,
    config: OrderConfig,
    giver: OrderGiver,
    lease: Option<LeaseId>,
    renewed_at: Instant,
    slots: Vec<String>,
}

impl LeaseKeeper {
    fn new(context: &Context, config: OrderConfig) -> Self {
        Self {
            store: context.store.clone(),
            key: format!("lease/orders/{}", context.settings.failure_domain),
            holder: format!("{}/{}", context.settings.host, context.incarnation),
            config,
            giver: OrderGiver::new(config),
            lease: None,
            renewed_at: Instant::now(),
            slots: Vec::new(),
        }
    }

    /// Renews the lease, or acquires it if it is not held.
    fn keep(&mut self, logger: &Logger) {
        match self.lease {
            Some(lease) if self.giver.lease(Instant::now()).is_some() => self.renew(lease, logger),
            _ => self.take(logger),
        }
    }

    fn take(&mut self, logger: &Logger) {
        self.let_go();
        let asked_at = Instant::now();
        let Ok(lease) = self.store.grant(self.config.lease_ttl) else {
            return;
        };
        let put = self
            .store
            .put(&self.key, &self.holder, PutCondition::Absent, Some(lease));
        let fencing = match put {
            Ok(revision) => revision,
            // If the response was lost, the key shows whether the write took effect: its value
            // names this incarnation, and only this thread writes it.
            Err(error) if error.is_in_doubt() => match self.store.get(&self.key) {
                Ok(Some(found)) if found.value == self.holder => found.revision,
                _ => return,
            },
            Err(_) => return,
        };
        info!(logger, "orders: Lease acquired."; "fencing" => fencing);
        self.lease = Some(lease);
        self.renewed_at = asked_at;
        self.giver.on_taken(asked_at, fencing);
    }

    fn renew(&mut self, lease: LeaseId, logger: &Logger) {
        let asked_at = Instant::now();
        if asked_at < self.renewed_at + self.config.lease_ttl / 3 {
            return;
        }
        match self.store.renew(lease) {
            Ok(()) => {
                self.renewed_at = asked_at;
                self.giver.on_renewed(asked_at);
            }
            Err(error) => warn!(logger, "orders: Lease renewal failed."; "error" => %error),
        }
    }

    fn plan(&mut self, wanted: &WantedWeights, runners: &[RunnerStatus]) -> Vec<PlannedOrder> {
        // The planner requests slots from `self` while it plans, so it is moved out meanwhile.
        let mut giver = std::mem::replace(&mut self.giver, OrderGiver::new(self.config));
        let orders = giver.plan(Instant::now(), wanted, runners, || self.take_slot());
        self.giver = giver;
        orders
    }

    /// Acquires one of the fleet's slots for weight loads; returns whether one was free.
    ///
    /// The slot is attached to the lease, so that it is released if this host dies.
    fn take_slot(&mut self) -> bool {
        let Some(lease) = self.lease else {
            return false;
        };
        let slots = (0..self.config.loads_at_once).map(|slot| format!("lease/loads/{slot}"));
        for key in slots
            .filter(|key| !self.slots.contains(key))
            .collect::<Vec<_>>()
        {
            if self
                .store
                .put(&key, &self.holder, PutCondition::Absent, Some(lease))
                .is_ok()
            {
                self.slots.push(key);
                return true;
            }
        }
        false
    }

    /// Releases slots until only `needed` are held.
    fn release_slots(&mut self, needed: usize) {
        while self.slots.len() > needed {
            let Some(key) = self.slots.last() else { return };
            // A slot that cannot be released now is released in the next round.
            if self.store.delete(key).is_err() {
                return;
            }
            self.slots.pop();
        }
    }

    /// Stops using the lease without revoking it; the next holder waits until it has expired.
    fn let_go(&mut self) {
        self.lease = None;
        self.slots.clear();
        self.giver.on_lost();
    }
}

/// Plans the orders for the runners of this failure domain and sends them.
fn give_orders(context: &Arc<Context>, keeper: &mut LeaseKeeper, logger: &Logger) {
    let states = context.core.ask(|reply| CoreMsg::DomainRunners { reply });
    let runners = states
        .unwrap_or_default()
        .into_iter()
        .map(|state| look_at(context, state, keeper))
        .collect::<Vec<_>>();
    let table = context.table.get();
    let wanted_of =
        |model: &TargetId| u64::from(table.table.wanted_weights(&format!("model:{model}")));
    let models = runners.iter().map(|runner| runner.status.model.clone());
    let wanted = models
        .map(|model| (model.clone(), wanted_of(&model)))
        .collect::<WantedWeights>();
    let statuses = runners
        .iter()
        .map(|runner| runner.status.clone())
        .collect::<Vec<_>>();
    let remaining = keeper.giver.settle(Instant::now(), &statuses);
    keeper.release_slots(remaining);
    for order in keeper.plan(&wanted, &statuses) {
        let runner = runners
            .iter()
            .find(|runner| runner.status.id == order.runner);
        if let Some(runner) = runner {
            give(context, runner, &order, logger);
        }
    }
}

/// Returns the current state of a runner.
///
/// A runner with a pending order is queried now; for others, the latest regular load report is
/// recent enough.
fn look_at(context: &Context, state: RunnerState, keeper: &LeaseKeeper) -> Runner {
    let RunnerState {
        server,
        mut weights,
        mut takes_work,
    } = state;
    if keeper.giver.awaits(&server.id) {
        let load = context.runners.load(server.address).ok();
        weights = load.as_ref().map_or(0, |load| load.weights_version);
        takes_work = load.as_ref().is_some_and(|load| !load.leaving);
        context.core.send(CoreMsg::Load {
            server: server.clone(),
            load,
        });
    }
    let model = server.target.to_string();
    Runner {
        address: server.address,
        status: RunnerStatus {
            id: server.id,
            model: server.target,
            weights,
            checks_fencing: !context.settings.unfenced_models.contains(&model),
            up: takes_work,
        },
    }
}

/// Sends an order to a runner.
fn give(context: &Context, runner: &Runner, order: &PlannedOrder, logger: &Logger) {
    let body = OrderBody {
        fencing: order.fencing,
        order: Order::LoadWeights {
            weights_version: order.weights,
        },
    };
    let result = context.runners.order(runner.address, &body);
    counter!("orders_total", "ok" => result.is_ok().to_string()).increment(1);
    match result {
        Ok(()) => {
            info!(logger, "orders: Order sent."; "runner" => %order.runner, "weights" => order.weights);
        }
        Err(error) => {
            warn!(logger, "orders: Order failed."; "runner" => %order.runner, "error" => %error);
        }
    }
}
