//! Gives runners the orders that bring new weights into force, from one host at a time.
//!
//! The holder is the host that wrote the key of the order-giver under a lease of the store. It
//! orders only while the lease certainly holds, by a clock that goes on while the host is
//! suspended; a new holder first waits until the orders of the one before it have arrived. Each
//! order names the number of orders that its runner must have accepted before, so that one that
//! arrives late changes nothing.

mod changes;
mod clock;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hickoryhall_control::{OrderConfig, OrderGiver};
use hickoryhall_types::hash_name;
use rand::RngExt;
use slog::{Logger, info, warn};
use tokio::time::sleep;

use clock::SuspendAwareClock;

use crate::core::CoreHandle;
use crate::interface::{
    AsOf, ConditionalPut, LeaseId, Platform, StoreChange, StoreError, StoreItem, StoreRevision,
};
use crate::peers::Peers;

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
/// Time for a report or an order to be answered.
const CALL_WAIT: Duration = Duration::from_millis(600);
/// Time after which an order that shows no effect is given again.
const REPEAT_AFTER: Duration = Duration::from_millis(4_500);

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
        info!(self.logger, "orders: Duty taken."; "fencing" => holding.fencing);
        let mut giver = OrderGiver::new(OrderConfig {
            lease_ttl: self.settings.lease_ttl,
            order_flight: CALL_WAIT,
            // Also where an earlier process on this host held the key: it may have taken it only just
            // before, or a claim of this process without an answer may have been carried out.
            handover: self.settings.handover,
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
}

/// A lease as it was taken.
struct Holding {
    lease: LeaseId,
    fencing: StoreRevision,
    asked_at: Instant,
}
