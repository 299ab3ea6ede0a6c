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
const ROUND: Duration = Duration::from_millis(300);
/// Interval between two full lists of a cache, per host of the fleet, so that a large fleet sends
/// few of them.
const WHOLE_INTERVAL_PER_HOST: Duration = Duration::from_millis(220);

/// Changes of the cache of a watched runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheChanges {
    /// Hash of the runner's id, as in digests.
    pub server: u64,
    /// Weights version under which the levels are cached.
    pub weights: WeightsVersion,
    /// Whether everything known before is invalid.
    pub is_new: bool,
    /// Levels that were added to the cache.
    pub held: Vec<Level>,
    /// Levels that were evicted.
    pub displaced: Vec<LevelKey>,
}

/// Runs one task for each runner that this host watches.
pub struct CacheDuty<P> {
    platform: Rc<P>,
    core: CoreHandle,
    followed: RefCell<HashSet<ServerId>>,
    logger: Logger,
}

impl<P: Platform> CacheDuty<P> {
    /// Creates a watcher without any runner.
    #[must_use]
    pub fn new(platform: Rc<P>, core: CoreHandle, logger: Logger) -> Self {
        Self {
            platform,
            core,
            followed: RefCell::default(),
            logger,
        }
    }

    /// Watches the runners assigned to this host until the task is dropped.
    pub async fn run(self: Rc<Self>) {
        loop {
            sleep(ROUND).await;
            let runners = self.core.with(|core, now| core.followed(now));
            for runner in runners {
                let id = runner.server.id.clone();
                if self.followed.borrow_mut().insert(id) {
                    spawn_local(Rc::clone(&self).follow(runner.server));
                }
            }
        }
    }

    /// Watches one runner as long as it is assigned to this host.
    async fn follow(self: Rc<Self>, server: BackendServer) {
        debug!(self.logger, "caches: Watching the cache of a runner."; "server" => &*server.id);
        let hash = hash_name(&server.id);
        let mut place = Place::default();
        let mut told_at = Instant::now();
        while self.is_followed(&server.id) {
            let events = self
                .platform
                .cache_events(&server, place.next, EVENTS_WAIT)
                .await;
            let Some(events) = events else {
                sleep(FAILURE_PAUSE).await;
                continue;
            };
            let weights = self.weights(&server.id);
            let changes = place.take(hash, weights, events);
            self.core
                .with(|core, now| core.on_cache_changes(now, changes));
            let hosts = self.core.with(|core, now| core.hosts(now));
            let interval = WHOLE_INTERVAL_PER_HOST * u32::try_from(hosts).unwrap_or(u32::MAX);
            if told_at.elapsed() >= interval {
                told_at = Instant::now();
                self.core.with(|core, _| core.tell_cache(hash, weights));
            }
            sleep(EVENTS_PAUSE).await;
        }
        self.followed.borrow_mut().remove(&server.id);
    }

    fn is_followed(&self, id: &str) -> bool {
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
struct Place {
    epoch: Option<u64>,
    next: u64,
}

impl Place {
    fn take(&mut self, server: u64, weights: WeightsVersion, events: CacheEvents) -> CacheChanges {
        let is_new = self.epoch != Some(events.epoch) || events.has_gap;
        self.epoch = Some(events.epoch);
        self.next = events.next;
        let mut changes = CacheChanges {
            server,
            weights,
            is_new,
            held: Vec::new(),
            displaced: Vec::new(),
        };
        for event in events.events {
            let Some((wall, version)) = split_salt(&event.salt) else {
                continue;
            };
            if version != weights {
                continue;
            }
            let key = part_key(wall, &event.part);
            changes.held.retain(|level| level.key != key);
            changes.displaced.retain(|&other| other != key);
            if event.tokens == 0 {
                changes.displaced.push(key);
            } else {
                let tokens = event.tokens;
                changes.held.push(Level { key, tokens });
            }
        }
        changes
    }
}
