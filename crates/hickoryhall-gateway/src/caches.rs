//! Watches the prompt caches of runners and reports their content to the peers.
//!
//! Each runner is watched by one host, the first live one in rendezvous order. Its updates correct
//! the cache estimates of every host; without updates, the hosts continue with their estimates.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hickoryhall_routing::{Level, LevelKey};
use hickoryhall_types::{WeightsVersion, hash_name};
use slog::{Logger, debug};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::core::CoreHandle;
use crate::interface::{CacheEvents, Platform};
use crate::prompt_keys::{part_key, split_salt};
use crate::registry::{BackendServer, ServerId};

/// Wait time of one long poll for changes; runners accept no longer one.
const EVENTS_WAIT: Duration = Duration::from_millis(1_000);
/// Pause between two calls, so that changes arrive in batches.
const EVENTS_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which the set of runners to watch is determined.
const ASSIGNMENT_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two full lists of a cache, per host of the fleet, so that a large fleet sends
/// few of them.
const FULL_LIST_INTERVAL_PER_HOST: Duration = Duration::from_millis(220);

/// Changes of the cache of a watched runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheUpdate {
    /// Hash of the runner's id, as in digests.
    pub server: u64,
    /// Weights version under which the levels are cached.
    pub weights: WeightsVersion,
    /// Whether everything known before is invalid.
    pub is_reset: bool,
    /// Levels that were added to the cache.
    pub cached: Vec<Level>,
    /// Levels that were evicted.
    pub evicted: Vec<LevelKey>,
}

/// Runs one task for each runner that this host watches.
pub struct CacheWatcher<P> {
    platform: Rc<P>,
    core: CoreHandle,
    watched: RefCell<HashSet<ServerId>>,
    logger: Logger,
}

impl<P: Platform> CacheWatcher<P> {
    /// Creates a watcher without any runner.
    #[must_use]
    pub fn new(platform: Rc<P>, core: CoreHandle, logger: Logger) -> Self {
        Self {
            platform,
            core,
            watched: RefCell::default(),
            logger,
        }
    }

    /// Watches the runners assigned to this host until the task is dropped.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(ASSIGNMENT_INTERVAL).await;
            let runners = self.core.with(|core, now| core.followed(now));
            for runner in runners {
                let id = runner.server.id.clone();
                if self.watched.borrow_mut().insert(id) {
                    spawn_local(Rc::clone(&self).watch(runner.server));
                }
            }
        }
    }

    /// Watches one runner as long as it is assigned to this host.
    async fn watch(self: Rc<Self>, server: BackendServer) {
        debug!(self.logger, "caches: Watching the cache of a runner."; "server" => &*server.id);
        let hash = hash_name(&server.id);
        let mut position = Position::default();
        let mut full_list_sent_at = Instant::now();
        while self.is_watched(&server.id) {
            let events = self
                .platform
                .cache_events(&server, position.next, EVENTS_WAIT)
                .await;
            let Some(events) = events else {
                sleep(FAILURE_PAUSE).await;
                continue;
            };
            let weights = self.weights(&server.id);
            let update = position.apply(hash, weights, events);
            self.core
                .with(|core, now| core.on_cache_changes(now, update));
            let hosts = self.core.with(|core, now| core.host_count(now));
            let interval = FULL_LIST_INTERVAL_PER_HOST * u32::try_from(hosts).unwrap_or(u32::MAX);
            if full_list_sent_at.elapsed() >= interval {
                full_list_sent_at = Instant::now();
                self.core.with(|core, _| core.tell_cache(hash, weights));
            }
            sleep(EVENTS_PAUSE).await;
        }
        self.watched.borrow_mut().remove(&server.id);
    }

    fn is_watched(&self, id: &str) -> bool {
        let runners = self.core.with(|core, now| core.followed(now));
        runners.iter().any(|runner| &*runner.server.id == id)
    }

    fn weights(&self, id: &str) -> WeightsVersion {
        let runners = self.core.with(|core, now| core.runners(now));
        let runner = runners.iter().find(|runner| &*runner.server.id == id);
        runner.map_or(0, |runner| runner.weights)
    }
}

/// Position in the event history of a runner's cache.
#[derive(Debug, Default)]
struct Position {
    epoch: Option<u64>,
    next: u64,
}

impl Position {
    fn apply(&mut self, server: u64, weights: WeightsVersion, events: CacheEvents) -> CacheUpdate {
        let is_reset = self.epoch != Some(events.epoch) || events.has_gap;
        self.epoch = Some(events.epoch);
        self.next = events.next;
        let mut update = CacheUpdate {
            server,
            weights,
            is_reset,
            cached: Vec::new(),
            evicted: Vec::new(),
        };
        for event in events.events {
            let Some((partition, version)) = split_salt(&event.salt) else {
                continue;
            };
            if version != weights {
                continue;
            }
            let key = part_key(partition, &event.part);
            update.cached.retain(|level| level.key != key);
            update.evicted.retain(|&other| other != key);
            if event.tokens == 0 {
                update.evicted.push(key);
            } else {
                let tokens = event.tokens;
                update.cached.push(Level { key, tokens });
            }
        }
        update
    }
}
