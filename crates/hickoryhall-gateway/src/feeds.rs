//! Reads the operators' records and the registry of backend servers from the store and keeps both
//! up to date.
//!
//! In a large fleet only some hosts read the registry; see [`relay`].

mod confirm;
mod link;
pub mod records;
pub mod relay;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::RngExt;
use slog::{Logger, debug, info, warn};
use tokio::time::sleep;

use crate::clock::SuspendAwareClock;
use crate::core::{CoreHandle, DesiredVersionSource};
use crate::interface::{OperatorRecord, Platform, StoreChange, StoreEra, StoreError, StoreItem};
use crate::peers::{StoreRecords, StoreSnapshot};
use crate::registry::RegistryEntry;
use crate::scheduler::DesiredVersionAge;
use crate::stalls::{BEAT_INTERVAL, StallMonitor};
use crate::store_client::{StoreClient, WithPosition};
use crate::store_position::StorePosition;
use link::LinkState;
use records::{OperatorRecords, RegistryRecords};
use relay::{RegistryRelay, RegistryRole, RelayLog, RelayMonitor};

/// Longest time for which one watch waits for changes: a connection on which an answer was lost
/// returns nothing further, and what changed is known only through the next watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// The same time at the followers of a large fleet, where each call of every host is charged for:
/// they hear of newer weights in the digests of hosts that ask more often.
const FOLLOWER_WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// The same time at a host that passes changes of the registry on: others rely on the store's
/// answers that it gets.
const READER_WATCH_TIMEOUT: Duration = Duration::from_millis(800);
/// The same time after a failed call: the answer shows that the store is back, and its era.
const RETURN_WATCH_TIMEOUT: Duration = Duration::from_millis(1);
/// Pause after changes of the registry at a host that passes them on.
const READER_PAUSE: Duration = Duration::from_millis(300);
/// Interval at which a host checks whether its records are still kept up to date by others.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after changes of the registry, per host of the fleet. More changes collect meanwhile and
/// arrive together: all hosts call the store at each change, and each call is charged for.
const REGISTRY_PAUSE_PER_HOST: Duration = Duration::from_millis(40);
/// Shortest and longest pause after changes of the registry; a server that leaves may get work for
/// at most two seconds.
const REGISTRY_PAUSE_RANGE: std::ops::RangeInclusive<Duration> =
    Duration::from_millis(400)..=Duration::from_millis(1_200);
/// Shortest pause soon after an outage, when servers register again in time or count as gone.
const REGISTRY_PAUSE_AFTER_OUTAGE: Duration = Duration::from_millis(100);
/// Longest delay before all records are read again in a newer era, per host of the fleet: all hosts
/// learn of it at the same time, and the registry of a large fleet takes several calls to read.
const OPERATOR_RELIST_PER_HOST: Duration = Duration::from_millis(1);
const REGISTRY_RELIST_PER_HOST: Duration = Duration::from_millis(5);
/// Longest such delay in a fleet of any size.
const MAX_RELIST_DELAY: Duration = Duration::from_millis(2_500);
/// Identifies a set of records in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedKind {
    /// Records that operators write: the table and desired versions of weights.
    Operator,
    /// Registry that backend servers write themselves into.
    Registry,
}

impl FeedKind {
    fn name(self) -> &'static str {
        match self {
            Self::Operator => "operator",
            Self::Registry => "registry",
        }
    }
}

/// Holds the records that this host has read, keeps them up to date and applies them to the core.
pub struct Feeds<P> {
    platform: Rc<P>,
    store: Rc<StoreClient<P>>,
    core: CoreHandle,
    operator: RefCell<OperatorRecords>,
    registry: RefCell<RegistryRecords>,
    role: Cell<RegistryRole>,
    relay_log: RefCell<RelayLog>,
    relay_monitor: RefCell<RelayMonitor>,
    clock: SuspendAwareClock,
    stalls: Cell<StallMonitor>,
    logger: Logger,
}

impl<P: Platform> Feeds<P> {
    /// Creates feeds without any records.
    #[must_use]
    pub fn new(
        platform: Rc<P>,
        store: Rc<StoreClient<P>>,
        core: CoreHandle,
        logger: Logger,
    ) -> Self {
        let clock = SuspendAwareClock::new();
        Self {
            stalls: Cell::new(StallMonitor::new(clock.now())),
            clock,
            platform,
            store,
            core,
            operator: RefCell::default(),
            registry: RefCell::default(),
            role: Cell::default(),
            relay_log: RefCell::default(),
            relay_monitor: RefCell::default(),
            logger,
        }
    }

    /// Watches for stalls of the process until the task is dropped.
    pub async fn watch_for_stalls(&self) {
        loop {
            let mut stalls = self.stalls.get();
            stalls.on_beat(self.clock.now());
            self.stalls.set(stalls);
            sleep(BEAT_INTERVAL).await;
        }
    }

    /// Returns all records, for peers that cannot read the store.
    #[must_use]
    pub fn snapshot(&self) -> StoreSnapshot {
        StoreSnapshot {
            operator: self.operator.borrow().snapshot(),
            registry: self.registry.borrow().snapshot(),
        }
    }

    /// Applies the records of a peer that are newer than this host's. Operators' records are
    /// compared by their own versions, because a peer may have newer ones than the store after it
    /// came back from an older copy.
    pub fn apply_snapshot(&self, snapshot: StoreSnapshot) {
        let (operator, registry) = (snapshot.operator, snapshot.registry);
        self.observe_peer_era(operator.position.era.max(registry.position.era));
        self.apply_list(FeedKind::Operator, operator);
        if registry.position > self.position(FeedKind::Registry) {
            self.apply_list(FeedKind::Registry, registry);
        }
    }

    /// Returns the newest era of the store that this host knows, for its peers.
    #[must_use]
    pub fn store_era(&self) -> StoreEra {
        self.store.era()
    }

    /// Records the era that a peer has observed; a newer one makes this host read all records again.
    pub fn observe_peer_era(&self, era: StoreEra) {
        self.store.observe_peer_era(era);
    }

    /// Sets how this host gets changes of the registry.
    pub fn set_registry_role(&self, role: RegistryRole) {
        let before = self.role.replace(role);
        if before != role {
            info!(self.logger, "feeds: Role for the registry changed."; "role" => ?role, "before" => ?before);
        }
    }

    /// Returns the changes of the registry that this host passes on in its next digest.
    pub fn registry_relay(&self, now: Instant) -> Option<RegistryRelay> {
        let is_reader = self.role.get() == RegistryRole::Reader;
        let read_age = self.core.with(|core, _| core.registry_age());
        is_reader.then(|| self.relay_log.borrow_mut().relay(now, read_age))?
    }

    /// Applies the changes of the registry that a reader of this host's group passes on.
    pub fn on_registry_relay(&self, now: Instant, relay: &RegistryRelay) {
        self.observe_peer_era(relay.era);
        let known = self.registry.borrow().position();
        if known.is_unread() {
            return;
        }
        let changes = self.relay_monitor.borrow_mut().on_relay(now, known, relay);
        if relay.era != known.era {
            return;
        }
        let Some(changes) = changes else {
            info!(
                self.logger, "feeds: Changes of the registry are missing in a relay. The store is read.";
                "known" => known.revision, "after" => relay.after, "era" => known.era
            );
            return;
        };
        if self.is_relayed(now) {
            self.core
                .with(|core, now| core.set_registry_available(now, true));
        }
        let new = changes.iter().cloned();
        self.relay_log
            .borrow_mut()
            .record_changes(now, known.revision, relay.until, new);
        for change in changes {
            let age = DesiredVersionAge::AtLeast(Duration::ZERO);
            self.apply_change(FeedKind::Registry, change, age);
        }
        self.advance(FeedKind::Registry, relay.position());
        // A relay may have waited while the process stood still.
        let age = relay.read_age;
        let age = age.filter(|_| !self.stalls.get().may_be_late(self.clock.now()));
        if let Some(age) = age {
            self.core
                .with(|core, now| core.record_registry_read(now, age));
        }
    }

    /// Returns whether other hosts keep this host's registry up to date.
    fn is_relayed(&self, now: Instant) -> bool {
        self.role.get() == RegistryRole::Follower && self.relay_monitor.borrow().is_current(now)
    }

    /// Waits while other hosts keep this host's records up to date.
    async fn wait_while_relayed(&self, kind: FeedKind) {
        while kind == FeedKind::Registry && self.is_relayed(Instant::now()) {
            sleep(RELAY_CHECK_INTERVAL).await;
        }
    }

    /// Reads and watches one set of records until the task is dropped. In a newer era of the store
    /// all records are read again.
    pub async fn follow(&self, kind: FeedKind) {
        let mut link = LinkState::new(kind, self.logger.clone());
        loop {
            let sent_at = self.clock.now();
            let listed = self.store.range(prefix::<P>(kind)).await;
            if matches!(listed, Err(StoreError::EraChanged)) {
                continue;
            }
            let Some(WithPosition { content, position }) =
                self.track_result(&mut link, listed).await
            else {
                continue;
            };
            let items = content;
            self.apply_list(kind, StoreRecords { position, items });
            if kind == FeedKind::Registry {
                self.record_registry_read(sent_at);
            }
            tokio::select! {
                biased;
                () = self.store.wait_for_newer_era(position.era) => {}
                () = self.watch(&mut link, position) => {}
            }
            if self.store.era() > position.era {
                sleep(self.relist_delay(kind)).await;
            }
        }
    }

    /// Returns the delay before all records are read again in a newer era.
    fn relist_delay(&self, kind: FeedKind) -> Duration {
        let hosts = self.core.with(crate::core::Core::host_count);
        let per_host = match kind {
            FeedKind::Operator => OPERATOR_RELIST_PER_HOST,
            FeedKind::Registry => REGISTRY_RELIST_PER_HOST,
        };
        let longest = per_host * u32::try_from(hosts).unwrap_or(u32::MAX);
        longest
            .min(MAX_RELIST_DELAY)
            .mul_f64(rand::rng().random_range(0.0..1.0))
    }

    /// Applies the changes after a position until the store no longer has the history since then.
    async fn watch(&self, link: &mut LinkState, mut after: StorePosition) {
        let prefix = prefix::<P>(link.kind);
        loop {
            self.wait_while_relayed(link.kind).await;
            after = after.max(self.position(link.kind));
            let role = self.role.get();
            let is_reader = link.kind == FeedKind::Registry && role == RegistryRole::Reader;
            let wait = match (link.kind, role) {
                _ if !link.is_up() => RETURN_WATCH_TIMEOUT,
                (FeedKind::Registry, RegistryRole::Reader) => READER_WATCH_TIMEOUT,
                (FeedKind::Operator, RegistryRole::Follower) => FOLLOWER_WATCH_TIMEOUT,
                _ => WATCH_TIMEOUT,
            };
            let sent_at = self.clock.now();
            let watched = self.store.watch(prefix, after, wait).await;
            if let Err(StoreError::EraChanged) = watched {
                return;
            }
            if let Err(StoreError::Compacted) = watched {
                info!(
                    self.logger, "feeds: Store compacted its history. All records are read again.";
                    "source" => link.kind.name(), "after" => after.revision
                );
                return;
            }
            // Changes that are read after an outage or a stall may be as old as that.
            let is_late = self.stalls.get().may_be_late(self.clock.now());
            let age = if link.is_up() && !is_late {
                DesiredVersionAge::Exact(Duration::ZERO)
            } else {
                DesiredVersionAge::AtLeast(Duration::ZERO)
            };
            let Some(changes) = self.track_result(link, watched).await else {
                continue;
            };
            let is_changed = !changes.content.is_empty();
            after = self.apply_watched(link.kind, after, changes, age);
            if link.kind == FeedKind::Registry {
                self.record_registry_read(sent_at);
            }
            if is_changed && is_reader {
                sleep(READER_PAUSE).await;
            } else if is_changed && link.kind == FeedKind::Registry {
                sleep(self.registry_pause()).await;
            }
        }
    }

    /// Applies the changes after a position; returns the position up to which all are known. `age` is
    /// that of a desired version in them.
    fn apply_watched(
        &self,
        kind: FeedKind,
        after: StorePosition,
        changes: WithPosition<Vec<StoreChange>>,
        age: DesiredVersionAge,
    ) -> StorePosition {
        let until = after.max(changes.position);
        if kind == FeedKind::Registry {
            let mut log = self.relay_log.borrow_mut();
            let content = changes.content.iter().cloned();
            log.record_changes(Instant::now(), after.revision, until.revision, content);
        }
        for change in changes.content {
            self.apply_change(kind, change, age);
        }
        self.advance(kind, until);
        until
    }

    /// Returns the pause after changes of the registry, by the number of live hosts.
    fn registry_pause(&self) -> Duration {
        let (hosts, may_miss_entries) = self
            .core
            .with(|core, now| (core.host_count(now), core.may_miss_registry_entries(now)));
        let pause = REGISTRY_PAUSE_PER_HOST * u32::try_from(hosts).unwrap_or(u32::MAX);
        let shortest = if may_miss_entries {
            REGISTRY_PAUSE_AFTER_OUTAGE
        } else {
            *REGISTRY_PAUSE_RANGE.start()
        };
        pause.clamp(shortest, *REGISTRY_PAUSE_RANGE.end())
    }

    fn position(&self, kind: FeedKind) -> StorePosition {
        match kind {
            FeedKind::Operator => self.operator.borrow().position(),
            FeedKind::Registry => self.registry.borrow().position(),
        }
    }

    fn advance(&self, kind: FeedKind, position: StorePosition) {
        match kind {
            FeedKind::Operator => self.operator.borrow_mut().advance(position),
            FeedKind::Registry => self.registry.borrow_mut().advance(position),
        }
    }

    /// Records whether a call to the store succeeded and returns its value; after a failure, pauses
    /// and returns `None`.
    async fn track_result<T>(
        &self,
        link: &mut LinkState,
        result: Result<T, StoreError>,
    ) -> Option<T> {
        let is_up = result.is_ok();
        if link.kind == FeedKind::Registry {
            self.relay_log
                .borrow_mut()
                .record_answer(Instant::now(), is_up);
        }
        if link.kind == FeedKind::Registry && !(is_up && link.is_up()) {
            self.core
                .with(|core, now| core.set_registry_available(now, is_up));
        }
        match result {
            Ok(value) => {
                link.on_success();
                Some(value)
            }
            Err(error) => {
                let pause = link.on_failure(&error);
                sleep(pause).await;
                None
            }
        }
    }

    /// Applies all records of one kind, as of a position of the store.
    fn apply_list(&self, kind: FeedKind, records: StoreRecords) {
        let before = self.position(kind);
        if records.position.era > before.era && !before.is_unread() {
            info!(
                self.logger, "feeds: Records of a newer era of the store read.";
                "source" => kind.name(), "records" => records.items.len(),
                "era" => records.position.era, "revision" => records.position.revision,
                "era_before" => before.era, "revision_before" => before.revision
            );
        }
        match kind {
            FeedKind::Operator => {
                let age = DesiredVersionAge::AtLeast(Duration::ZERO);
                for item in &records.items {
                    self.apply_operator_record(item, age);
                }
                self.advance(kind, records.position);
            }
            FeedKind::Registry => {
                let is_restored = !before.is_unread() && records.position.era > before.era;
                let entries = records.items.iter();
                let entries = entries.filter_map(|item| self.parse_entry(item)).collect();
                if is_restored {
                    self.core.with(crate::core::Core::on_store_restored);
                    // What readers said of the older era does not keep this host up to date.
                    *self.relay_monitor.borrow_mut() = RelayMonitor::default();
                }
                let outdated = self
                    .core
                    .with(|core, now| core.on_registry_list(now, entries));
                self.relay_log
                    .borrow_mut()
                    .record_list(Instant::now(), records.position);
                let outdated = outdated.into_iter().collect::<BTreeSet<_>>();
                self.registry.borrow_mut().replace(records, |item| {
                    outdated.contains(self.platform.server_id(&item.key))
                });
            }
        }
    }

    /// Applies one change; `age` is that of a desired version in it.
    fn apply_change(&self, kind: FeedKind, change: StoreChange, age: DesiredVersionAge) {
        match (kind, &change) {
            (FeedKind::Operator, StoreChange::Put(item)) => self.apply_operator_record(item, age),
            // The table or desired version of a removed record remains in force.
            (FeedKind::Operator, StoreChange::Removed { .. }) => {}
            (FeedKind::Registry, _) if !self.registry.borrow_mut().apply(change.clone()) => {
                debug!(
                    self.logger, "feeds: Change of the registry not applied, as a newer one is known.";
                    "key" => change.key(), "revision" => change.revision()
                );
            }
            (FeedKind::Registry, StoreChange::Put(item)) => {
                if let Some(entry) = self.parse_entry(item) {
                    self.core.with(|core, _| core.on_registry_entry(entry));
                }
            }
            (FeedKind::Registry, StoreChange::Removed { key, .. }) => {
                let id = self.platform.server_id(key);
                self.core
                    .with(|core, now| core.on_registry_removed(now, id));
            }
        }
    }

    /// Applies a record of the operators, unless a newer one is in force; `age` is that of a desired
    /// version.
    fn apply_operator_record(&self, item: &StoreItem, age: DesiredVersionAge) {
        if item.key.is_empty() {
            warn!(
                self.logger,
                "feeds: Item of the store without a readable key skipped."
            );
            return;
        }
        let version = match self.platform.operator_record(item) {
            Ok(Some(OperatorRecord::Table(table))) => {
                let revision = table.revision();
                self.core.with(|core, _| core.set_table(*table));
                revision
            }
            Ok(Some(OperatorRecord::DesiredVersion { model, version })) => {
                self.core.with(|core, now| {
                    let source = DesiredVersionSource::Store;
                    core.set_desired_version(now, model, version, age, source);
                });
                version
            }
            Ok(None) => return,
            Err(error) => {
                warn!(
                    self.logger, "feeds: Operator record skipped.";
                    "error" => %error, "revision" => item.revision
                );
                return;
            }
        };
        self.operator.borrow_mut().record(version, item);
    }

    /// Reads a registry entry; logs one that cannot be read and returns `None`.
    fn parse_entry(&self, item: &StoreItem) -> Option<RegistryEntry> {
        match self.platform.registry_entry(item) {
            Ok(entry) => Some(entry),
            Err(error) => {
                warn!(
                    self.logger, "feeds: Registry entry skipped.";
                    "error" => %error, "revision" => item.revision
                );
                let id = self.platform.server_id(&item.key);
                self.core
                    .with(|core, now| core.on_registry_unreadable(now, id));
                None
            }
        }
    }
}

fn prefix<P: Platform>(kind: FeedKind) -> &'static str {
    match kind {
        FeedKind::Operator => P::OPERATOR_PREFIX,
        FeedKind::Registry => P::REGISTRY_PREFIX,
    }
}
