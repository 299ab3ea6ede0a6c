//! Orders runners to load new weights, from one host at a time.
//!
//! The lease holder is the host that wrote the lease key under a lease of the store. It gives
//! orders only while the lease is certainly valid, by a clock that keeps counting while the host is
//! suspended; a new lease holder first waits until all orders of its predecessor have arrived. Each
//! order names the number of orders that the runner must have accepted before it, so that a late
//! order has no effect. A host that stops gives the lease back, so that its successor need not wait
//! for the expiry.

mod clock;
mod weight_changes;

pub use weight_changes::switch_mode;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hickoryhall_control::{LoadTimes, OrderConfig, OrderPlanner};
use hickoryhall_types::hash_name;
use rand::RngExt;
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::time::sleep;

use clock::SuspendAwareClock;

use crate::core::CoreHandle;
use crate::interface::{
    ConditionalPut, LeaseId, Platform, StoreChange, StoreError, StoreItem, StoreRevision,
    WithRevision,
};
use crate::peers::Peers;

/// Key in the store whose writer is the lease holder.
const LEASE_KEY: &str = "hickoryhall/order-giver";
/// Longest time that one watch of the key waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of hosts that compete for the lease: enough for several to fail at once.
const MAX_CANDIDATES: usize = 4;
/// Time between two checks of whether this host has become one of those that compete.
const CANDIDATE_CHECK_INTERVAL: Duration = Duration::from_millis(700);
/// Base delay after a failure of the store; each host randomizes it, so that hosts do not retry at
/// the same time.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Longest random delay before a host asks for a free lease, so that few hosts ask at once.
const MAX_ACQUIRE_DELAY: Duration = Duration::from_millis(300);
/// Timeout of a report request, and the time reserved for an order within the validity of the
/// lease.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Time after which an order without visible effect is repeated.
const REPEAT_AFTER: Duration = Duration::from_millis(4_500);
/// Time after which a weight change is given up although its runner reports that it is at work.
const MAX_CHANGE_TIME: Duration = Duration::from_secs(20);

/// Configuration of [`OrderTask`].
#[derive(Clone, Debug)]
pub struct OrderTaskConfig {
    /// Name that this host writes as the value of the lease key and into its orders.
    pub host: String,
    /// Time that a new lease holder waits before its first order.
    pub handover: Duration,
    /// Time from the last renewal to the expiry of the lease.
    pub lease_ttl: Duration,
}

/// Task that competes for the lease, and gives orders to runners while this host holds it.
pub struct OrderTask<P> {
    config: OrderTaskConfig,
    platform: Rc<P>,
    core: CoreHandle,
    peers: Rc<Peers<P>>,
    clock: SuspendAwareClock,
    /// Kept while another host holds the lease.
    load_times: RefCell<LoadTimes>,
    /// Whether the host stops.
    stopping: watch::Receiver<bool>,
    logger: Logger,
}

/// State of the lease key in the store.
enum LeaseKeyState {
    /// The key does not exist.
    Free,
    /// The key was written by an earlier process on this host, at this revision.
    Own(StoreRevision),
    /// Another host is the lease holder, as of this revision of the store.
    Held(StoreRevision),
}

impl<P: Platform> OrderTask<P> {
    /// Creates the task of a host; [`OrderTask::run`] drives it.
    #[must_use]
    pub fn new(
        config: OrderTaskConfig,
        platform: Rc<P>,
        core: CoreHandle,
        peers: Rc<Peers<P>>,
        stopping: watch::Receiver<bool>,
        logger: Logger,
    ) -> Self {
        Self {
            config,
            platform,
            core,
            peers,
            clock: SuspendAwareClock::new(),
            load_times: RefCell::default(),
            stopping,
            logger,
        }
    }

    /// Competes for the lease and gives orders while holding it, until the host stops.
    pub async fn run(&self) {
        while !self.is_stopping() {
            if !self.is_candidate() {
                sleep(CANDIDATE_CHECK_INTERVAL).await;
                continue;
            }
            match self.acquire().await {
                Ok(Some(lease)) => {
                    self.hold(lease).await;
                    self.core.with(|core, _| core.clear_weight_changes());
                }
                Ok(None) => {}
                Err(error) => {
                    slog::debug!(self.logger, "orders: Failed to acquire the lease."; "error" => %error);
                    sleep(STORE_RETRY_DELAY.mul_f64(rand::rng().random_range(0.7..1.5))).await;
                }
            }
        }
    }

    fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Waits until the host stops.
    async fn stopped(&self) {
        let mut stopping = self.stopping.clone();
        // Without a sender, the host has ended already.
        let _ = stopping.wait_for(|is_stopping| *is_stopping).await;
    }

    /// Returns whether this host is among the live hosts that compete for the lease.
    fn is_candidate(&self) -> bool {
        let duty = hash_name(LEASE_KEY);
        self.core
            .with(|core, now| core.duty_rank(now, duty) < MAX_CANDIDATES)
    }

    /// Waits until the lease key is free and acquires the lease; `None` if another host was faster.
    async fn acquire(&self) -> Result<Option<AcquiredLease>, StoreError> {
        let WithRevision { content, revision } = self.platform.range(LEASE_KEY).await?;
        let expected_revision = match self.lease_key_state(&content, revision) {
            LeaseKeyState::Free => 0,
            LeaseKeyState::Own(revision) => revision,
            LeaseKeyState::Held(revision) => {
                tokio::select! {
                    freed = self.wait_until_free(revision) => freed?,
                    () = self.stopped() => return Ok(None),
                }
                0
            }
        };
        if expected_revision == 0 {
            sleep(MAX_ACQUIRE_DELAY.mul_f64(rand::rng().random_range(0.0..1.0))).await;
        }
        let requested_at = self.clock.now();
        let lease = self.platform.grant(self.config.lease_ttl).await?;
        let put = ConditionalPut {
            key: LEASE_KEY.to_owned(),
            value: Bytes::from(self.config.host.clone()),
            expected_revision,
            lease,
        };
        match self.platform.put_if(&put).await {
            Ok(fencing) => Ok(Some(AcquiredLease {
                lease,
                fencing,
                requested_at,
            })),
            Err(StoreError::Conflict) => {
                self.platform.end_lease(lease).await?;
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }

    fn lease_key_state(&self, items: &[StoreItem], revision: StoreRevision) -> LeaseKeyState {
        match items.iter().find(|item| item.key == LEASE_KEY) {
            None => LeaseKeyState::Free,
            Some(item) if item.value == self.config.host.as_bytes() => {
                LeaseKeyState::Own(item.revision)
            }
            Some(_) => LeaseKeyState::Held(revision),
        }
    }

    /// Waits for a change after the given revision that removes the lease key.
    async fn wait_until_free(&self, mut after: StoreRevision) -> Result<(), StoreError> {
        loop {
            let watched = self.platform.watch(LEASE_KEY, after, WATCH_TIMEOUT).await?;
            after = after.max(watched.revision);
            let last = watched.content.last();
            if matches!(last, Some(StoreChange::Removed { .. })) {
                return Ok(());
            }
        }
    }

    /// Renews the lease and gives orders until the lease is lost, or given back because the host
    /// stops.
    async fn hold(&self, acquired: AcquiredLease) {
        info!(self.logger, "orders: Lease acquired."; "fencing" => acquired.fencing);
        let mut planner = OrderPlanner::new(OrderConfig {
            lease_ttl: self.config.lease_ttl,
            max_order_transit: CALL_TIMEOUT,
            // Also applies if an earlier process on this host held the key: it may have acquired
            // the lease only just before, or an unanswered write of this process may have
            // succeeded.
            handover_wait: self.config.handover,
            max_concurrent_loads: 1,
            resend_after: MAX_CHANGE_TIME,
        });
        planner.on_acquired(acquired.requested_at, acquired.fencing);
        let planner = RefCell::new(planner);
        tokio::select! {
            () = self.renew(acquired.lease, &planner) => {
                warn!(self.logger, "orders: Lease lost."; "fencing" => acquired.fencing);
            }
            () = self.issue_orders(&planner) => {
                let ended = self.platform.end_lease(acquired.lease).await;
                info!(self.logger, "orders: Lease given back, the host stops."; "fencing" => acquired.fencing, "outcome" => ?ended);
            }
        }
    }

    /// Renews the lease until it is lost.
    async fn renew(&self, lease: LeaseId, planner: &RefCell<OrderPlanner>) {
        loop {
            sleep(self.config.lease_ttl / 3).await;
            let requested_at = self.clock.now();
            match self.platform.renew(lease).await {
                Ok(()) => planner.borrow_mut().on_renewed(requested_at),
                Err(StoreError::NotFound) => return,
                Err(error) => {
                    slog::debug!(self.logger, "orders: Failed to renew the lease."; "error" => %error);
                }
            }
            if planner.borrow().lease(self.clock.now()).is_none() {
                return;
            }
        }
    }
}

/// Lease of the store under which this host wrote the lease key.
struct AcquiredLease {
    lease: LeaseId,
    /// Revision of the written key, which fences off the orders of earlier lease holders.
    fencing: StoreRevision,
    /// Time just before the lease was requested, from which its validity counts.
    requested_at: Instant,
}
