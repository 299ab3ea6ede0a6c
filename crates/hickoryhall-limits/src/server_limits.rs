//! Limits that servers name for the requests of all hosts together.
//!
//! A server in need names the number of requests a second that it takes. Hosts keep to it without
//! coordination: all rank themselves for the server by the same rule, and only the first few send to
//! it, each an equal part of the limit at even intervals. With a limit of `l`, there are at most `l`
//! such hosts, or one, so that in `t` seconds the server gets at most `l x t + l` requests, and one
//! more for each host that others hold for gone.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Hash of a server's id.
pub type ServerHash = u64;
/// Number of a server's process.
pub type ProcessNumber = u64;

/// Lowest rate at which a server gets requests, whatever limit it names: it needs them to say that it
/// takes more again.
const MIN_RATE_PER_S: f64 = 0.25;
/// Time after the end of a limit for which peers are told of it.
const NEWS_TTL: Duration = Duration::from_secs(5);
/// Time without a statement after which a server is forgotten.
const STATEMENT_TTL: Duration = Duration::from_secs(600);
/// Difference in age from which a peer's statement is newer. Ages grow on their way by less.
const AGE_TOLERANCE: Duration = Duration::from_millis(500);
/// Digests, of which one lists the limits that are not new.
const ROTATION: u64 = 8;
/// Factor by which a limit may change before it is news.
const MAX_QUIET_CHANGE: f64 = 1.25;
const MAX_SERVERS: usize = 1_024;
/// Maximum number of servers in one digest.
const MAX_NEWS: usize = 16;

/// What a server said about its limit, as a host tells it to its peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitStatement {
    /// Server that named it.
    pub server: ServerHash,
    /// Process of the server, to which the limit belongs.
    pub process: ProcessNumber,
    /// Requests a second from all hosts together; `None` if the server names no limit any more.
    pub limit_per_s: Option<f64>,
    /// Time since the request was sent whose answer named it.
    pub age: Duration,
}

/// Whether a host may send a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitDecision {
    /// The server names no limit, or this host's part of it has room.
    Allowed,
    /// This host may send the next request at that time.
    From(Instant),
    /// Other hosts use up the limit.
    NotHere,
}

#[derive(Clone, Copy, Debug)]
struct Server {
    process: ProcessNumber,
    limit_per_s: Option<f64>,
    /// Time at which the request was sent whose answer named the limit.
    stated_at: Instant,
    /// Last time at which the limit changed for this host.
    changed_at: Instant,
    /// This host's part of the limit, in requests a second; `None` if it has none.
    rate_per_s: Option<f64>,
    /// Time from which this host may send the next request.
    next_at: Instant,
}

/// Limits that servers name, and this host's part of each.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    servers: HashMap<ServerHash, Server>,
    digests: u64,
}

impl ServerLimits {
    /// Returns whether no server names a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the number of servers that name a limit or did so lately.
    #[must_use]
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns the servers that name a limit or did so lately.
    pub fn servers(&self) -> impl Iterator<Item = ServerHash> {
        self.servers.keys().copied()
    }

    /// Records what an answer says about the limit of a process; `sent_at` is the time at which the
    /// request was sent. Answers to earlier requests than the last one that counted change nothing.
    ///
    /// Returns whether the limit changed by much.
    pub fn record(
        &mut self,
        now: Instant,
        server: ServerHash,
        process: ProcessNumber,
        limit_per_s: Option<f64>,
        sent_at: Instant,
    ) -> bool {
        self.apply(now, server, process, limit_per_s, sent_at, Duration::ZERO)
    }

    /// Records what a peer knows; returns whether the limit changed by much.
    pub fn merge(&mut self, now: Instant, statement: &LimitStatement) -> bool {
        let stated_at = now.checked_sub(statement.age);
        let Some(stated_at) = stated_at.filter(|_| statement.age < STATEMENT_TTL) else {
            return false;
        };
        if !statement.limit_per_s.is_none_or(is_valid) {
            return false;
        }
        let (server, process) = (statement.server, statement.process);
        let limit = statement.limit_per_s;
        self.apply(now, server, process, limit, stated_at, AGE_TOLERANCE)
    }

    fn apply(
        &mut self,
        now: Instant,
        server: ServerHash,
        process: ProcessNumber,
        limit_per_s: Option<f64>,
        stated_at: Instant,
        tolerance: Duration,
    ) -> bool {
        if let Some(known) = self.servers.get_mut(&server) {
            let is_same_process = known.process == process;
            if stated_at < known.stated_at
                || (is_same_process && stated_at < known.stated_at + tolerance)
            {
                return false;
            }
            let is_changed = !is_same_process || is_much_different(known.limit_per_s, limit_per_s);
            known.stated_at = stated_at;
            known.process = process;
            known.limit_per_s = limit_per_s;
            if is_changed {
                known.changed_at = now;
            }
            return is_changed;
        }
        if limit_per_s.is_none() {
            return false;
        }
        let entry = Server {
            process,
            limit_per_s,
            stated_at,
            changed_at: now,
            rate_per_s: None,
            next_at: now,
        };
        self.servers.insert(server, entry);
        if self.servers.len() > MAX_SERVERS {
            let oldest = self.servers.iter().min_by_key(|(_, known)| known.stated_at);
            if let Some(oldest) = oldest.map(|(&server, _)| server) {
                self.servers.remove(&oldest);
            }
        }
        true
    }

    /// Forgets servers that have named nothing for long.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.servers.retain(|_, known| {
            let age = now.saturating_duration_since(known.stated_at);
            let changed = now.saturating_duration_since(known.changed_at);
            age < STATEMENT_TTL && (known.limit_per_s.is_some() || changed < NEWS_TTL)
        });
    }

    /// Returns the servers that name a limit, with the limits.
    pub(crate) fn stated(&self) -> impl Iterator<Item = (ServerHash, f64)> {
        let servers = self.servers.iter();
        servers.filter_map(|(&server, known)| Some((server, known.limit_per_s?)))
    }

    /// Returns the limit that a process names.
    pub(crate) fn limit(&self, server: ServerHash, process: ProcessNumber) -> Option<f64> {
        let known = self.servers.get(&server);
        known.filter(|known| known.process == process)?.limit_per_s
    }

    /// Divides the limits among the hosts. `rank` returns this host's rank among the live hosts for a
    /// server, 0 for the first; `hosts` is the number of live hosts, this one included.
    pub fn divide(&mut self, now: Instant, hosts: usize, rank: impl Fn(ServerHash) -> usize) {
        self.expire(now);
        for (&server, known) in &mut self.servers {
            let Some(limit_per_s) = known.limit_per_s else {
                known.rate_per_s = None;
                continue;
            };
            let holders = holder_count(limit_per_s, hosts);
            let rate = limit_per_s.max(MIN_RATE_PER_S) / holders as f64;
            known.rate_per_s = (rank(server) < holders).then_some(rate);
        }
    }

    /// Returns whether this host may send a request to a process now.
    #[must_use]
    pub fn decide(
        &self,
        now: Instant,
        server: ServerHash,
        process: ProcessNumber,
    ) -> LimitDecision {
        let Some(known) = self.servers.get(&server) else {
            return LimitDecision::Allowed;
        };
        if known.process != process || known.limit_per_s.is_none() {
            return LimitDecision::Allowed;
        }
        match known.rate_per_s {
            None => LimitDecision::NotHere,
            Some(_) if now >= known.next_at => LimitDecision::Allowed,
            Some(_) => LimitDecision::From(known.next_at),
        }
    }

    /// Counts a request that is sent to a process.
    pub fn take(&mut self, now: Instant, server: ServerHash, process: ProcessNumber) {
        if let Some(known) = self.servers.get_mut(&server)
            && known.process == process
            && let Some(rate_per_s) = known.rate_per_s
        {
            let interval = Duration::from_secs_f64(1.0 / rate_per_s);
            known.next_at = known.next_at.max(now) + interval;
        }
    }

    /// Returns what peers have to learn with the next digest.
    pub fn news(&mut self, now: Instant) -> Vec<LimitStatement> {
        if self.servers.is_empty() {
            return Vec::new();
        }
        self.digests += 1;
        let is_rotation = self.digests.is_multiple_of(ROTATION);
        let is_new = |known: &Server| now.saturating_duration_since(known.changed_at) < NEWS_TTL;
        let listed = self.servers.iter();
        let listed = listed.filter(|(_, known)| is_rotation || is_new(known));
        let mut listed = listed.collect::<Vec<_>>();
        listed.sort_by_key(|&(&server, known)| (!is_new(known), server));
        if is_rotation && listed.len() > MAX_NEWS {
            let turn = (self.digests / ROTATION) as usize;
            let start = turn * MAX_NEWS % listed.len();
            listed.rotate_left(start);
        }
        let listed = listed.into_iter().take(MAX_NEWS);
        let statements = listed.map(|(&server, known)| LimitStatement {
            server,
            process: known.process,
            limit_per_s: known.limit_per_s,
            age: now.saturating_duration_since(known.stated_at),
        });
        statements.collect()
    }
}

/// Returns whether a limit differs so much from another one that peers have to learn of it at once. A
/// server may name another limit in each answer.
fn is_much_different(one: Option<f64>, other: Option<f64>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => {
            let (lower, higher) = (one.min(other), one.max(other));
            higher > lower.max(MIN_RATE_PER_S) * MAX_QUIET_CHANGE
        }
        (None, None) => false,
        _ => true,
    }
}

/// Returns whether a number can be a limit.
#[must_use]
pub fn is_valid(limit_per_s: f64) -> bool {
    limit_per_s.is_finite() && limit_per_s >= 0.0
}

/// Returns the number of hosts that share a limit. Each sends about one request a second or more.
fn holder_count(limit_per_s: f64, hosts: usize) -> usize {
    (limit_per_s as usize).clamp(1, hosts.max(1))
}
