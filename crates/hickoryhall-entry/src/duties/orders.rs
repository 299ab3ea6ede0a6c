//! Orders to the runners of this failure domain, while this host has the duty and holds the lease.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use hickoryhall_clients::{ClientErrorKind, LeaseId, Order, OrderBody, PutCondition, StoreClient};
use hickoryhall_control::{DesiredVersions, OrderConfig, OrderPlanner, PlannedOrder, RunnerStatus};
use hickoryhall_types::TargetId;
use metrics::counter;
use slog::{Logger, info, warn};

use crate::actors::{CoreMsg, Duties};
use crate::context::Context;
use crate::dispatch::RunnerState;

/// Time between two rounds of orders.
const ORDER_INTERVAL: Duration = Duration::from_millis(500);

/// Runner that may be sent orders.
struct Runner {
    status: RunnerStatus,
    address: std::net::SocketAddr,
}

/// Sends orders to runners until the host has stopped.
pub(crate) fn run_orders(context: &Arc<Context>, duties: &Duties, logger: &Logger) {
    let config = OrderConfig::default();
    let mut lease_holder = LeaseHolder::new(context, config);
    while !context.lifecycle.has_ended() {
        let started = Instant::now();
        if duties.is_lease_holder() && context.is_ready() {
            lease_holder.maintain(logger);
            if lease_holder.planner.lease(Instant::now()).is_some() {
                send_orders(context, &mut lease_holder, logger);
            }
        } else {
            lease_holder.abandon();
        }
        thread::sleep(ORDER_INTERVAL.saturating_sub(started.elapsed()));
    }
    lease_holder.abandon();
}

/// Acquires and renews the lease for the orders of a failure domain.
///
/// Also holds the slots for weight loads and plans the orders.
struct LeaseHolder {
    store: StoreClient,
    /// Key in the store that the holder of the lease owns.
    key: String,
    /// Value written to the keys: name and incarnation of this host.
    holder_id: String,
    config: OrderConfig,
    planner: OrderPlanner,
    lease: Option<LeaseId>,
    /// Time just before the call that acquired or last renewed the lease.
    renewed_at: Instant,
    /// Keys in the store of the slots that this host holds.
    load_slots: Vec<String>,
}

impl LeaseHolder {
    fn new(context: &Context, config: OrderConfig) -> Self {
        Self {
            store: context.store.clone(),
            key: format!("lease/orders/{}", context.settings.failure_domain),
            holder_id: format!("{}/{}", context.settings.host, context.incarnation),
            config,
            planner: OrderPlanner::new(config),
            lease: None,
            renewed_at: Instant::now(),
            load_slots: Vec::new(),
        }
    }

    /// Renews the lease, or acquires it if it is not held.
    fn maintain(&mut self, logger: &Logger) {
        match self.lease {
            Some(lease) if self.planner.lease(Instant::now()).is_some() => {
                self.renew(lease, logger);
            }
            _ => self.acquire(logger),
        }
    }

    /// Tries to acquire the lease; without success, the next round tries again.
    fn acquire(&mut self, logger: &Logger) {
        self.abandon();
        let requested_at = Instant::now();
        let lease = match self.store.grant_lease(self.config.lease_ttl) {
            Ok(lease) => lease,
            Err(error) => {
                warn!(logger, "orders: Failed to get a lease from the store."; "error" => %error);
                return;
            }
        };
        let put = self.store.put(
            &self.key,
            &self.holder_id,
            PutCondition::Absent,
            Some(lease),
        );
        // The store's revision of the write grows with each acquisition, so it is the fencing
        // number.
        let fencing = match put {
            Ok(revision) => revision,
            // If the response was lost, the key shows whether the write took effect: its value
            // names this incarnation, and only this thread writes it.
            Err(error) if error.is_in_doubt() => match self.store.get(&self.key) {
                Ok(Some(found)) if found.value == self.holder_id => found.revision,
                Ok(_) => return,
                Err(error) => {
                    warn!(
                        logger, "orders: Failed to read back whether the lease was acquired.";
                        "error" => %error
                    );
                    return;
                }
            },
            // Another host holds the lease.
            Err(error) if matches!(error.kind, ClientErrorKind::Conflict(_)) => return,
            Err(error) => {
                warn!(logger, "orders: Failed to acquire the lease."; "error" => %error);
                return;
            }
        };
        info!(logger, "orders: Lease acquired."; "fencing" => fencing);
        self.lease = Some(lease);
        self.renewed_at = requested_at;
        self.planner.on_acquired(requested_at, fencing);
    }

    /// Renews the lease if a third of its duration has passed since the last renewal.
    fn renew(&mut self, lease: LeaseId, logger: &Logger) {
        let requested_at = Instant::now();
        if requested_at < self.renewed_at + self.config.lease_ttl / 3 {
            return;
        }
        match self.store.renew_lease(lease) {
            Ok(()) => {
                self.renewed_at = requested_at;
                self.planner.on_renewed(requested_at);
            }
            Err(error) => warn!(logger, "orders: Failed to renew the lease."; "error" => %error),
        }
    }

    fn plan(
        &mut self,
        desired_versions: &DesiredVersions,
        runners: &[RunnerStatus],
    ) -> Vec<PlannedOrder> {
        // The planner requests slots from `self` while it plans, so it is moved out meanwhile.
        let mut planner = std::mem::replace(&mut self.planner, OrderPlanner::new(self.config));
        let orders = planner.plan(Instant::now(), desired_versions, runners, || {
            self.acquire_load_slot()
        });
        self.planner = planner;
        orders
    }

    /// Acquires one of the fleet's slots for weight loads; returns whether one was free.
    ///
    /// The slot is attached to the lease, so that it is released if this host dies.
    fn acquire_load_slot(&mut self) -> bool {
        let Some(lease) = self.lease else {
            return false;
        };
        let slots = (0..self.config.max_concurrent_loads).map(|slot| format!("lease/loads/{slot}"));
        for key in slots
            .filter(|key| !self.load_slots.contains(key))
            .collect::<Vec<_>>()
        {
            if self
                .store
                .put(&key, &self.holder_id, PutCondition::Absent, Some(lease))
                .is_ok()
            {
                self.load_slots.push(key);
                return true;
            }
        }
        false
    }

    /// Releases slots until only `needed` are held.
    fn release_load_slots(&mut self, needed: usize) {
        while self.load_slots.len() > needed {
            let Some(key) = self.load_slots.last() else {
                return;
            };
            // A slot that cannot be released now is released in the next round.
            if self.store.delete(key).is_err() {
                return;
            }
            self.load_slots.pop();
        }
    }

    /// Stops using the lease without revoking it; the next holder waits until it has expired.
    fn abandon(&mut self) {
        self.lease = None;
        self.load_slots.clear();
        self.planner.on_lost();
    }
}

/// Plans the orders for the runners of this failure domain and sends them.
fn send_orders(context: &Arc<Context>, lease_holder: &mut LeaseHolder, logger: &Logger) {
    let states = context.core.ask(|reply| CoreMsg::DomainRunners { reply });
    let runners = states
        .unwrap_or_default()
        .into_iter()
        .map(|state| query_runner(context, state, lease_holder))
        .collect::<Vec<_>>();
    let table = context.table.get();
    let desired_version_of = |model: &TargetId| {
        u64::from(
            table
                .table
                .desired_weights_version(&format!("model:{model}")),
        )
    };
    let models = runners.iter().map(|runner| runner.status.model.clone());
    let desired_versions = models
        .map(|model| (model.clone(), desired_version_of(&model)))
        .collect::<DesiredVersions>();
    let statuses = runners
        .iter()
        .map(|runner| runner.status.clone())
        .collect::<Vec<_>>();
    let pending = lease_holder
        .planner
        .prune_pending(Instant::now(), &statuses);
    lease_holder.release_load_slots(pending);
    for order in lease_holder.plan(&desired_versions, &statuses) {
        let runner = runners
            .iter()
            .find(|runner| runner.status.id == order.runner);
        if let Some(runner) = runner {
            send_order(context, runner, &order, logger);
        }
    }
}

/// Returns the current state of a runner.
///
/// A runner with a pending order is queried now and counts as unavailable if it does not answer;
/// for others, the latest regular load report is recent enough.
fn query_runner(context: &Context, state: RunnerState, lease_holder: &LeaseHolder) -> Runner {
    let RunnerState {
        server,
        mut weights,
        mut is_available,
    } = state;
    if lease_holder.planner.is_pending(&server.id) {
        let load = context.runners.load(server.address).ok();
        weights = load.as_ref().map_or(0, |load| load.weights_version);
        is_available = load.as_ref().is_some_and(|load| !load.leaving);
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
            is_available,
        },
    }
}

/// Sends an order to a runner.
fn send_order(context: &Context, runner: &Runner, order: &PlannedOrder, logger: &Logger) {
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
            info!(logger, "orders: Order sent to runner."; "runner" => %order.runner, "weights" => order.weights);
        }
        Err(error) => {
            warn!(logger, "orders: Order failed.";
                "runner" => %order.runner, "weights" => order.weights, "error" => %error);
        }
    }
}
