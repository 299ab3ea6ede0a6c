//! Follows what the caches of runners hold, and tells the other hosts.
//!
//! One host follows a runner: the first of those that live by rendezvous hashing. Its news correct
//! the estimates of every host, which go on without them.

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

/// Time for which one call waits for changes; the longest that runners take.
const EVENTS_WAIT: Duration = Duration::from_millis(1_000);
/// Pause between two calls, in which changes gather.
const EVENTS_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);
/// Time between two looks at which runners are to be followed.
const ROUND: Duration = Duration::from_millis(300);
/// Time between two whole lists for a host of the fleet, so that a large one sends few.
const WHOLE_INTERVAL_PER_HOST: Duration = Duration::from_millis(220);

/// Changes of a followed runner's cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheChanges {
    /// Hash of the runner's id.
    pub server: u64,
    /// Version of its weights.
    pub weights: WeightsVersion,
    /// Whether everything known before is void.
    pub is_new: bool,
    /// Parts that it holds.
    pub held: Vec<Level>,
    /// Parts that it displaced.
    pub displaced: Vec<LevelKey>,
}

/// The tasks that follow runners.
pub struct CacheDuty<P> {
    platform: Rc<P>,
    core: CoreHandle,
    followed: RefCell<HashSet<ServerId>>,
    logger: Logger,
}

impl<P: Platform> CacheDuty<P> {
    /// Creates a duty that follows nothing yet.
    #[must_use]
    pub fn new(platform: Rc<P>, core: CoreHandle, logger: Logger) -> Self {
        Self {
            platform,
            core,
            followed: RefCell::default(),
            logger,
        }
    }

    /// Starts to follow runners as they fall to this host, until the task is dropped.
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

    /// Follows one runner as long as it falls to this host.
    async fn follow(self: Rc<Self>, server: BackendServer) {
        debug!(self.logger, "caches: Runner followed."; "server" => &*server.id);
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

/// Place in the history of a runner's cache.
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
