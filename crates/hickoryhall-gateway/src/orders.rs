//! Orders runners to load new weights, from one host at a time.
//!
//! The lease holder is the host that wrote the lease key under a lease of the store. It gives
//! orders only while the lease is certainly valid, by a clock that keeps counting while the host is
//! suspended; a new lease holder first waits until all orders of its predecessor have arrived. Each
//! order names the number of orders that the runner must have accepted before it, so that a late
//! order has no effect. A host that stops gives the lease back, so that its successor need not wait
//! for the expiry; while runners have older weights, it first gives orders for as long as its process may
//! live, since its successor may not give any for a while. A store that comes back from an older copy has forgotten the lease and may give
//! its id and the key's revision out again: the holder gives no further order, and the wait of the
//! next one covers the lease that the store forgot.

mod weight_changes;

pub use weight_changes::switch_mode;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hickoryhall_control::{LoadTimes, OrderConfig, OrderPlanner};
use hickoryhall_types::{FencingNumber, hash_name};
use rand::RngExt;
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::SuspendAwareClock;
use crate::core::CoreHandle;
use crate::interface::{
    ConditionalPut, Platform, StoreChange, StoreError, StoreItem, StoreRevision,
};
use crate::peers::Peers;
use crate::store_client::{StoreClient, StoreLease, WithPosition};
use crate::store_position::StorePosition;

/// Key in the store whose writer is the lease holder.
const LEASE_KEY: &str = "hickoryhall/order-giver";
/// Longest time that one watch of the key waits for a change; where an answer was lost, as long
/// passes until a free key is seen.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of hosts that compete for the lease: enough for several to fail at once.
const MAX_CANDIDATES: usize = 4;
/// Time between two checks of whether this host has become one of those that compete.
const CANDIDATE_CHECK_INTERVAL: Duration = Duration::from_millis(700);
/// Time for which the holder reaches no runner before it gives the lease back: a shorter cut costs less than
/// the handover.
const MIN_CUT_TIME: Duration = Duration::from_millis(1_500);
/// Interval at which the holder checks whether it reaches runners.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
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
    /// Time after the stop signal within which the holder still begins weight changes.
    pub stop_time: Duration,
}

/// Task that competes for the lease, and gives orders to runners while this host holds it.
pub struct OrderTask<P> {
    config: OrderTaskConfig,
    platform: Rc<P>,
    store: Rc<StoreClient<P>>,
    core: CoreHandle,
    peers: Rc<Peers<P>>,
    clock: SuspendAwareClock,
    /// Kept while another host holds the lease.
    load_times: RefCell<LoadTimes>,
    /// Whether the host stops.
    stopping: watch::Receiver<bool>,
    /// Whether the host holds the lease.
    holds_lease: watch::Sender<bool>,
    logger: Logger,
}

/// State of the lease key in the store.
enum LeaseKeyState {
    /// The key does not exist.
    Free,
    /// The key was written by an earlier process on this host, at this revision.
    Own(StoreRevision),
    /// Another host is the lease holder, as of this position of the store.
    Held(StorePosition),
}

impl<P: Platform> OrderTask<P> {
    /// Creates the task of a host; [`OrderTask::run`] drives it.
    #[must_use]
    pub fn new(
        config: OrderTaskConfig,
        platform: Rc<P>,
        store: Rc<StoreClient<P>>,
        core: CoreHandle,
        peers: Rc<Peers<P>>,
        stopping: watch::Receiver<bool>,
        logger: Logger,
    ) -> Self {
        Self {
            config,
            platform,
            store,
            core,
            peers,
            clock: SuspendAwareClock::new(),
            load_times: RefCell::default(),
            stopping,
            holds_lease: watch::channel(false).0,
            logger,
        }
    }

    /// Returns a receiver that tells whether the host holds the lease.
    #[must_use]
    pub fn holds_lease(&self) -> watch::Receiver<bool> {
        self.holds_lease.subscribe()
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
                    self.holds_lease.send_replace(true);
                    self.hold(lease).await;
                    self.holds_lease.send_replace(false);
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
        let rank = self
            .core
            .with(|core, now| core.duty_rank_at_runners(now, duty));
        rank.is_some_and(|rank| rank < MAX_CANDIDATES)
    }

    /// Waits until this host has been cut off from runners for a while, so that its orders reach none.
    async fn cut_off(&self) {
        let cut_off_for = || {
            self.core
                .with(|core, now| core.cut_off_from_runners_for(now))
        };
        while cut_off_for() < MIN_CUT_TIME {
            sleep(CUT_CHECK_INTERVAL).await;
        }
    }

    /// Waits until the lease key is free and acquires the lease; `None` if another host was faster.
    async fn acquire(&self) -> Result<Option<AcquiredLease>, StoreError> {
        let WithPosition { content, position } = self.store.range(LEASE_KEY).await?;
        let expected_revision = match self.lease_key_state(&content, position) {
            LeaseKeyState::Free => 0,
            LeaseKeyState::Own(revision) => revision,
            LeaseKeyState::Held(position) => {
                tokio::select! {
                    freed = self.wait_until_free(position) => freed?,
                    () = self.stopped() => return Ok(None),
                    () = self.cut_off() => return Ok(None),
                }
                0
            }
        };
        if expected_revision == 0 {
            sleep(MAX_ACQUIRE_DELAY.mul_f64(rand::rng().random_range(0.0..1.0))).await;
        }
        let requested_at = self.clock.now();
        let handover_wait = self.config.handover + self.forgotten_lease();
        let lease = self.store.grant(self.config.lease_ttl).await?;
        let put = ConditionalPut {
            key: LEASE_KEY.to_owned(),
            value: Bytes::from(self.config.host.clone()),
            expected_revision,
            lease: lease.id,
        };
        match self.store.put_if(&put, position.era).await {
            Ok(key) => Ok(Some(AcquiredLease {
                lease,
                key,
                requested_at,
                handover_wait,
            })),
            // The lease lapses by itself; ending it could end another one after a restore.
            Err(StoreError::Conflict) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Returns how much longer a lease may run, by its holder's clock, that the store forgot when it
    /// came back from an older copy: the last one was renewed before this host saw the new era.
    fn forgotten_lease(&self) -> Duration {
        if self.store.era() == 0 {
            return Duration::ZERO;
        }
        self.config.lease_ttl.saturating_sub(self.store.era_age())
    }

    fn lease_key_state(&self, items: &[StoreItem], position: StorePosition) -> LeaseKeyState {
        match items.iter().find(|item| item.key == LEASE_KEY) {
            None => LeaseKeyState::Free,
            Some(item) if item.value == self.config.host.as_bytes() => {
                LeaseKeyState::Own(item.revision)
            }
            Some(_) => LeaseKeyState::Held(position),
        }
    }

    /// Waits for a change after the given position that removes the lease key.
    async fn wait_until_free(&self, mut after: StorePosition) -> Result<(), StoreError> {
        loop {
            let watched = self.store.watch(LEASE_KEY, after, WATCH_TIMEOUT).await?;
            after = after.max(watched.position);
            let last = watched.content.last();
            if matches!(last, Some(StoreChange::Removed { .. })) {
                return Ok(());
            }
        }
    }

    /// Renews the lease and gives orders until the lease is lost, or given back because the host
    /// stops.
    async fn hold(&self, acquired: AcquiredLease) {
        info!(
            self.logger, "orders: Lease acquired.";
            "fencing" => acquired.fencing(), "era" => acquired.key.era,
            "wait_ms" => acquired.handover_wait.as_millis()
        );
        let mut planner = OrderPlanner::new(OrderConfig {
            lease_ttl: self.config.lease_ttl,
            max_order_transit: CALL_TIMEOUT,
            // Also applies if an earlier process on this host held the key: it may have acquired
            // the lease only just before, or an unanswered write of this process may have
            // succeeded.
            handover_wait: acquired.handover_wait,
            max_concurrent_loads: 1,
            resend_after: MAX_CHANGE_TIME,
        });
        planner.on_acquired(acquired.requested_at, acquired.fencing());
        let planner = RefCell::new(planner);
        // Orders come last: none is given in a poll that finds the lease lost.
        let reason = tokio::select! {
            biased;
            () = self.store.wait_for_newer_era(acquired.key.era) => "store restored",
            () = self.watch_key(acquired.key) => "key changed",
            () = self.renew(acquired.lease, &planner) => "not renewed",
            () = self.cut_off() => {
                let ended = self.store.end_lease(acquired.lease).await;
                info!(self.logger, "orders: Lease given back, the host is cut off from runners."; "fencing" => acquired.fencing(), "outcome" => ?ended);
                return;
            }
            () = self.issue_orders(&planner) => {
                let ended = self.store.end_lease(acquired.lease).await;
                info!(self.logger, "orders: Lease given back, the host stops."; "fencing" => acquired.fencing(), "outcome" => ?ended);
                return;
            }
        };
        warn!(self.logger, "orders: Lease lost."; "fencing" => acquired.fencing(), "reason" => reason);
    }

    /// Renews the lease until it is lost.
    async fn renew(&self, lease: StoreLease, planner: &RefCell<OrderPlanner>) {
        loop {
            sleep(self.config.lease_ttl / 3).await;
            let requested_at = self.clock.now();
            match self.store.renew(lease).await {
                Ok(()) => planner.borrow_mut().on_renewed(requested_at),
                Err(StoreError::NotFound | StoreError::EraChanged) => return,
                Err(error) => {
                    slog::debug!(self.logger, "orders: Failed to renew the lease."; "error" => %error);
                }
            }
            if planner.borrow().lease(self.clock.now()).is_none() {
                return;
            }
        }
    }

    /// Waits until the lease key is no longer as this host wrote it. Renewals do not show this: the
    /// key may be overwritten under another lease, by a late write whose expected revision was
    /// given out again.
    async fn watch_key(&self, written: StorePosition) {
        let mut after = written;
        loop {
            match self.store.watch(LEASE_KEY, after, WATCH_TIMEOUT).await {
                Ok(watched) => {
                    if watched
                        .content
                        .iter()
                        .any(|change| change.key() == LEASE_KEY)
                    {
                        return;
                    }
                    after = after.max(watched.position);
                }
                Err(StoreError::Compacted) => match self.store.range(LEASE_KEY).await {
                    Ok(read) if is_key_at(&read, written) => after = read.position,
                    Ok(_) => return,
                    Err(error) => self.pause_after(&error).await,
                },
                Err(StoreError::EraChanged) => return,
                Err(error) => self.pause_after(&error).await,
            }
        }
    }

    async fn pause_after(&self, error: &StoreError) {
        slog::debug!(self.logger, "orders: Call to the store failed."; "error" => %error);
        sleep(STORE_RETRY_DELAY.mul_f64(rand::rng().random_range(0.7..1.5))).await;
    }
}

/// Returns whether the lease key is as it was written at a position.
fn is_key_at(read: &WithPosition<Vec<StoreItem>>, written: StorePosition) -> bool {
    let key = read.content.iter().find(|item| item.key == LEASE_KEY);
    read.position.era == written.era && key.is_some_and(|item| item.revision == written.revision)
}

/// Lease of the store under which this host wrote the lease key.
struct AcquiredLease {
    lease: StoreLease,
    /// Position of the written key, which fences off the orders of earlier lease holders.
    key: StorePosition,
    /// Time just before the lease was requested, from which its validity counts.
    requested_at: Instant,
    /// Time from then on until the first order.
    handover_wait: Duration,
}

impl AcquiredLease {
    fn fencing(&self) -> FencingNumber {
        self.key.fencing_number()
    }
}
