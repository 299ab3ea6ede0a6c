//! Reads the operators' records and the registry of backend servers from the store and keeps both
//! up to date.
//!
//! In a large fleet only some hosts read the registry; see [`relay`].

pub mod relay;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::RngExt;
use slog::{Logger, info, warn};
use tokio::time::sleep;

use crate::core::{CoreHandle, DesiredVersionSource};
use crate::interface::{
    OperatorRecord, Platform, StoreChange, StoreError, StoreItem, StoreRevision, WithRevision,
};
use crate::peers::{StoreRecords, StoreSnapshot};
use crate::scheduler::DesiredVersionAge;
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

/// Unparsed records by key, as of a store revision; the revision is 0 until any were read.
#[derive(Debug, Default)]
struct CachedRecords {
    revision: StoreRevision,
    items: BTreeMap<String, StoreItem>,
}

impl From<&CachedRecords> for StoreRecords {
    fn from(cached: &CachedRecords) -> Self {
        Self {
            revision: cached.revision,
            items: cached.items.values().cloned().collect(),
        }
    }
}

impl From<StoreRecords> for CachedRecords {
    fn from(records: StoreRecords) -> Self {
        let items = records.items.into_iter();
        Self {
            revision: records.revision,
            items: items.map(|item| (item.key.clone(), item)).collect(),
        }
    }
}

/// Holds the records that this host has read, keeps them up to date and applies them to the core.
pub struct Feeds<P> {
    platform: Rc<P>,
    core: CoreHandle,
    operator: RefCell<CachedRecords>,
    registry: RefCell<CachedRecords>,
    role: Cell<RegistryRole>,
    relay_log: RefCell<RelayLog>,
    relay_monitor: RefCell<RelayMonitor>,
    logger: Logger,
}

impl<P: Platform> Feeds<P> {
    /// Creates feeds without any records.
    #[must_use]
    pub fn new(platform: Rc<P>, core: CoreHandle, logger: Logger) -> Self {
        Self {
            platform,
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
            operator: StoreRecords::from(&*self.operator.borrow()),
            registry: StoreRecords::from(&*self.registry.borrow()),
        }
    }

    /// Applies the records of a peer that are newer than this host's.
    pub fn apply_snapshot(&self, snapshot: StoreSnapshot) {
        self.apply_newer(FeedKind::Operator, snapshot.operator);
        self.apply_newer(FeedKind::Registry, snapshot.registry);
    }

    fn apply_newer(&self, kind: FeedKind, records: StoreRecords) {
        if records.revision > self.cached(kind).borrow().revision {
            self.apply_list(kind, records);
        }
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
        let known = self.registry.borrow().revision;
        if known == 0 {
            return;
        }
        let changes = self.relay_monitor.borrow_mut().on_relay(now, known, relay);
        let Some(changes) = changes else {
            info!(
                self.logger, "feeds: Changes of the registry are missing in a relay. The store is read.";
                "known" => known, "after" => relay.after
            );
            return;
        };
        if self.is_relayed(now) {
            self.core
                .with(|core, now| core.set_registry_available(now, true));
        }
        for change in changes {
            let age = DesiredVersionAge::AtLeast(Duration::ZERO);
            self.apply_change(FeedKind::Registry, change, age);
        }
        self.advance_revision(FeedKind::Registry, relay.until);
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

    /// Reads and watches one set of records until the task is dropped.
    pub async fn follow(&self, kind: FeedKind) {
        let mut link = LinkState::new(kind, self.logger.clone());
        loop {
            let listed = self.platform.range(prefix::<P>(kind)).await;
            let Some(WithRevision { content, revision }) =
                self.track_result(&mut link, listed).await
            else {
                continue;
            };
            let items = content;
            self.apply_list(kind, StoreRecords { revision, items });
            self.watch(&mut link, revision).await;
        }
    }

    /// Applies the changes after a revision until the store no longer has the history since then.
    async fn watch(&self, link: &mut LinkState, mut after: StoreRevision) {
        let prefix = prefix::<P>(link.kind);
        loop {
            self.wait_while_relayed(link.kind).await;
            after = after.max(self.cached(link.kind).borrow().revision);
            let is_reader =
                link.kind == FeedKind::Registry && self.role.get() == RegistryRole::Reader;
            let wait = if is_reader {
                READER_WATCH_TIMEOUT
            } else {
                WATCH_TIMEOUT
            };
            let watched = self.platform.watch(prefix, after, wait).await;
            if let Err(StoreError::Compacted) = watched {
                info!(
                    self.logger, "feeds: Store compacted its history. All records are read again.";
                    "source" => link.kind.name(), "after" => after
                );
                return;
            }
            // Changes that are read after an outage may be as old as the outage.
            let age = if link.is_up() {
                DesiredVersionAge::Exact(Duration::ZERO)
            } else {
                DesiredVersionAge::AtLeast(Duration::ZERO)
            };
            let Some(changes) = self.track_result(link, watched).await else {
                continue;
            };
            let is_changed = !changes.content.is_empty();
            after = after.max(changes.revision);
            if link.kind == FeedKind::Registry {
                let mut log = self.relay_log.borrow_mut();
                log.record_changes(Instant::now(), after, changes.content.iter().cloned());
            }
            for change in changes.content {
                self.apply_change(link.kind, change, age);
            }
            self.advance_revision(link.kind, after);
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

    fn advance_revision(&self, kind: FeedKind, revision: StoreRevision) {
        let mut cached = self.cached(kind).borrow_mut();
        cached.revision = cached.revision.max(revision);
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

    /// Replaces all records of one kind.
    fn apply_list(&self, kind: FeedKind, records: StoreRecords) {
        match kind {
            FeedKind::Operator => {
                let age = DesiredVersionAge::AtLeast(Duration::ZERO);
                for item in &records.items {
                    self.apply_operator_record(item, age);
                }
            }
            FeedKind::Registry => {
                let servers = records
                    .items
                    .iter()
                    .filter_map(|item| self.parse_server(item));
                let servers = servers.collect();
                self.core
                    .with(|core, now| core.on_registry_list(now, servers));
                self.relay_log.borrow_mut().record_list(records.revision);
            }
        }
        *self.cached(kind).borrow_mut() = CachedRecords::from(records);
    }

    /// Applies one change; `age` is that of a desired version in it.
    fn apply_change(&self, kind: FeedKind, change: StoreChange, age: DesiredVersionAge) {
        match (kind, &change) {
            (FeedKind::Operator, StoreChange::Put(item)) => self.apply_operator_record(item, age),
            // The table or desired version of a removed record remains in force.
            (FeedKind::Operator, StoreChange::Removed { .. }) => {}
            (FeedKind::Registry, StoreChange::Put(item)) => {
                if let Some(server) = self.parse_server(item) {
                    self.core.with(|core, _| core.on_registry_entry(server));
                }
            }
            (FeedKind::Registry, StoreChange::Removed { key, .. }) => {
                let id = self.platform.server_id(key);
                self.core
                    .with(|core, now| core.on_registry_removed(now, id));
            }
        }
        let mut cached = self.cached(kind).borrow_mut();
        match change {
            StoreChange::Put(item) => drop(cached.items.insert(item.key.clone(), item)),
            StoreChange::Removed { key, .. } => drop(cached.items.remove(&key)),
        }
    }

    /// Applies a record of the operators; `age` is that of a desired version.
    fn apply_operator_record(&self, item: &StoreItem, age: DesiredVersionAge) {
        match self.platform.operator_record(item) {
            Ok(Some(OperatorRecord::Table(table))) => {
                self.core.with(|core, _| core.set_table(*table));
            }
            Ok(Some(OperatorRecord::DesiredVersion { model, version })) => {
                self.core.with(|core, now| {
                    let source = DesiredVersionSource::Store;
                    core.set_desired_version(now, model, version, age, source);
                });
            }
            Ok(None) => {}
            Err(error) => {
                warn!(
                    self.logger, "feeds: Operator record skipped.";
                    "error" => %error, "revision" => item.revision
                );
            }
        }
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

    fn cached(&self, kind: FeedKind) -> &RefCell<CachedRecords> {
        match kind {
            FeedKind::Operator => &self.operator,
            FeedKind::Registry => &self.registry,
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
