//! Reads the operators' records and the registry of backend servers from the store and keeps both
//! up to date.
//!
//! In a large fleet only some hosts read the registry; see [`relay`].

pub mod records;
pub mod relay;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::RngExt;
use slog::{Logger, info, warn};
use tokio::time::sleep;

use crate::core::{CoreHandle, DesiredVersionSource};
use crate::interface::{OperatorRecord, Platform, StoreChange, StoreEra, StoreError, StoreItem};
use crate::peers::{StoreRecords, StoreSnapshot};
use crate::store_client::{StoreClient, WithPosition};
use crate::store_position::StorePosition;
use records::{OperatorRecords, RegistryRecords};
use relay::{RegistryRelay, RegistryRole, RelayLog, RelayMonitor};

/// Longest time for which one watch waits for changes; keep-alive probes detect dead connections
/// sooner.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// The same time at a host that passes changes of the registry on: others rely on the store's
/// answers that it gets.
const READER_WATCH_TIMEOUT: Duration = Duration::from_millis(800);
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
/// Longest delay before all records are read again in a newer era, per host of the fleet and in
/// total.
const RELIST_DELAY_PER_HOST: Duration = Duration::from_millis(2);
const MAX_RELIST_DELAY: Duration = Duration::from_secs(1);
/// Pause after the first failed call to the store.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two calls while the store fails: changes must be in force within two
/// seconds after it is available again.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);

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
        Self {
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
        is_reader.then(|| self.relay_log.borrow_mut().relay(now))?
    }

    /// Applies the changes of the registry that a reader of this host's group passes on.
    pub fn on_registry_relay(&self, now: Instant, relay: &RegistryRelay) {
        self.observe_peer_era(relay.era);
        let known = self.registry.borrow().position();
        if known.is_unread() || relay.era < known.era {
            return;
        }
        let changes = self.relay_monitor.borrow_mut().on_relay(now, known, relay);
        let Some(changes) = changes else {
            info!(
                self.logger, "feeds: Changes of the registry are missing in a relay. The store is read.";
                "known" => known.revision, "after" => relay.after,
                "era" => known.era, "relay_era" => relay.era
            );
            return;
        };
        if self.is_relayed(now) {
            self.core
                .with(|core, now| core.set_registry_available(now, true));
        }
        for change in changes {
            self.apply_change(FeedKind::Registry, change);
        }
        self.advance(FeedKind::Registry, relay.position());
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
            tokio::select! {
                biased;
                () = self.store.wait_for_newer_era(position.era) => {
                    sleep(self.relist_delay()).await;
                }
                () = self.watch(&mut link, position) => {}
            }
        }
    }

    /// Returns the delay before all records are read again: the hosts of a large fleet learn of a
    /// newer era at the same time.
    fn relist_delay(&self) -> Duration {
        let hosts = self.core.with(crate::core::Core::host_count);
        let longest = RELIST_DELAY_PER_HOST * u32::try_from(hosts).unwrap_or(u32::MAX);
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
            let is_reader =
                link.kind == FeedKind::Registry && self.role.get() == RegistryRole::Reader;
            let wait = if is_reader {
                READER_WATCH_TIMEOUT
            } else {
                WATCH_TIMEOUT
            };
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
            let Some(changes) = self.track_result(link, watched).await else {
                continue;
            };
            let is_changed = !changes.content.is_empty();
            after = after.max(changes.position);
            if link.kind == FeedKind::Registry {
                let mut log = self.relay_log.borrow_mut();
                let content = changes.content.iter().cloned();
                log.record_changes(Instant::now(), after.revision, content);
            }
            for change in changes.content {
                self.apply_change(link.kind, change);
            }
            self.advance(link.kind, after);
            if is_changed && is_reader {
                sleep(READER_PAUSE).await;
            } else if is_changed && link.kind == FeedKind::Registry {
                sleep(self.registry_pause()).await;
            }
        }
    }

    /// Returns the pause after changes of the registry, by the number of live hosts.
    fn registry_pause(&self) -> Duration {
        let hosts = self.core.with(crate::core::Core::host_count);
        let pause = REGISTRY_PAUSE_PER_HOST * u32::try_from(hosts).unwrap_or(u32::MAX);
        pause.clamp(*REGISTRY_PAUSE_RANGE.start(), *REGISTRY_PAUSE_RANGE.end())
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
        if before.era != records.position.era && !before.is_unread() {
            info!(
                self.logger, "feeds: Records of another era of the store read.";
                "source" => kind.name(), "records" => records.items.len(),
                "era" => records.position.era, "revision" => records.position.revision,
                "era_before" => before.era, "revision_before" => before.revision
            );
        }
        match kind {
            FeedKind::Operator => {
                for item in &records.items {
                    self.apply_operator_record(item);
                }
                self.advance(kind, records.position);
            }
            FeedKind::Registry => {
                let servers = records
                    .items
                    .iter()
                    .filter_map(|item| self.parse_server(item));
                let servers = servers.collect();
                self.core
                    .with(|core, now| core.on_registry_list(now, servers));
                self.relay_log
                    .borrow_mut()
                    .record_list(Instant::now(), records.position);
                self.registry.borrow_mut().replace(records);
            }
        }
    }

    fn apply_change(&self, kind: FeedKind, change: StoreChange) {
        match (kind, &change) {
            (FeedKind::Operator, StoreChange::Put(item)) => self.apply_operator_record(item),
            // The table or desired version of a removed record remains in force.
            (FeedKind::Operator, StoreChange::Removed { .. }) => {}
            (FeedKind::Registry, StoreChange::Put(item)) => {
                if let Some(server) = self.parse_server(item) {
                    self.core.with(|core, _| core.on_registry_entry(server));
                }
                self.registry.borrow_mut().apply(change);
            }
            (FeedKind::Registry, StoreChange::Removed { key, .. }) => {
                let id = self.platform.server_id(key);
                self.core
                    .with(|core, now| core.on_registry_removed(now, id));
                self.registry.borrow_mut().apply(change);
            }
        }
    }

    /// Applies a record of the operators, unless a newer one is in force.
    fn apply_operator_record(&self, item: &StoreItem) {
        let version = match self.platform.operator_record(item) {
            Ok(Some(OperatorRecord::Table(table))) => {
                let revision = table.revision();
                self.core.with(|core, _| core.set_table(*table));
                revision
            }
            Ok(Some(OperatorRecord::DesiredVersion { model, version })) => {
                self.core.with(|core, now| {
                    let source = DesiredVersionSource::Store;
                    core.set_desired_version(now, model, version, Duration::ZERO, source);
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

    /// Reads a registry entry; logs one that cannot be used and returns `None`.
    fn parse_server(&self, item: &StoreItem) -> Option<crate::registry::BackendServer> {
        match self.platform.registry_entry(item) {
            Ok(server) => Some(server),
            Err(error) => {
                warn!(
                    self.logger, "feeds: Registry entry skipped.";
                    "error" => %error, "revision" => item.revision
                );
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

/// Tracks whether a set of records can be read from the store and logs each change.
struct LinkState {
    kind: FeedKind,
    /// Failed calls since the last one that succeeded.
    failures: u32,
    logger: Logger,
}

impl LinkState {
    fn new(kind: FeedKind, logger: Logger) -> Self {
        Self {
            kind,
            failures: 0,
            logger,
        }
    }

    fn is_up(&self) -> bool {
        self.failures == 0
    }

    fn on_success(&mut self) {
        if self.failures > 0 {
            info!(
                self.logger, "feeds: Store answers again.";
                "source" => self.kind.name(), "failures" => self.failures
            );
            self.failures = 0;
        }
    }

    /// Returns the pause before the next call, with jitter so that hosts do not call all at once.
    fn on_failure(&mut self, error: &StoreError) -> Duration {
        if self.failures == 0 {
            warn!(
                self.logger, "feeds: Store lost.";
                "source" => self.kind.name(), "error" => %error
            );
        }
        self.failures += 1;
        let pause = FIRST_RETRY_PAUSE * 2_u32.saturating_pow(self.failures.min(8) - 1);
        pause
            .min(MAX_RETRY_PAUSE)
            .mul_f64(rand::rng().random_range(0.7..1.3))
    }
}
