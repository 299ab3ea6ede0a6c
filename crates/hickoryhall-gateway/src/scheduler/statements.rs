//! What servers say about new work for this host.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use hickoryhall_types::Incarnation;

/// Maximum number of removed servers whose statements are kept; the oldest are dropped.
const MAX_REMOVED: usize = 8_192;
/// Longest pause that is observed; a longer one is more likely a mistake of the server.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// What one process of a server said about new work; it holds until the process ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Statements {
    pub incarnation: Incarnation,
    /// Whether the process is shutting down, whatever its registry entry says.
    pub is_leaving: bool,
    /// Time until which the process wants no requests from this host.
    pub paused_until: Option<Instant>,
}

impl Statements {
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    /// Records that the process wants no requests from this host for a while.
    pub fn pause(&mut self, now: Instant, duration: Duration) {
        self.paused_until = self.paused_until.max(Some(now + duration.min(MAX_PAUSE)));
    }

    /// Returns the end of a pause in progress.
    pub fn pause_end(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|&until| now < until)
    }
}

/// Statements of servers that are not registered, by the hash of their ids. An entry that expires
/// and comes back is about the same process.
#[derive(Debug, Default)]
pub(super) struct RemovedStatements {
    by_hash: HashMap<u64, Statements>,
    /// Hashes in the order in which they were added.
    order: VecDeque<u64>,
}

impl RemovedStatements {
    /// Keeps the statements of a process, unless a later process of the server has made some.
    pub fn insert(&mut self, server: u64, statements: Statements) {
        let known = self.by_hash.get(&server);
        if statements == Statements::new(statements.incarnation)
            || known.is_some_and(|known| known.incarnation > statements.incarnation)
        {
            return;
        }
        if self.by_hash.insert(server, statements).is_none() {
            self.order.push_back(server);
        }
        if self.order.len() > MAX_REMOVED
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_hash.remove(&oldest);
        }
    }

    /// Returns the statements of a process of a server.
    pub fn get(&self, server: u64, incarnation: Incarnation) -> Statements {
        let kept = self.by_hash.get(&server).copied();
        let kept = kept.filter(|kept| kept.incarnation == incarnation);
        kept.unwrap_or_else(|| Statements::new(incarnation))
    }
}
