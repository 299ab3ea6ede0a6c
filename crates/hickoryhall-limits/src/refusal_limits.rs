//! Servers that fall over when they have to turn away too many requests for want of room.
//!
//! Such a server names the number of requests a second that it can turn away. Hosts see each other's
//! requests late, so that together they easily send more than it has room for. They divide its slots
//! instead, by the rule that divides the limits that servers name: each host of a few has a part and
//! never exceeds it, except for requests that it sends on the chance that a slot of another host is free, while
//! many are. Only these, and those that find their slot taken by one of them, can be turned away; hosts
//! divide their number, too, and send nothing for a while after a refusal.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::server_limits::{LimitStatement, ProcessNumber, ServerHash, ServerLimits};

/// Part of the requests that a server can turn away which hosts risk.
const RISKED_PART: f64 = 0.5;
/// Part of a server's slots that are free, as far as a host knows, for it to send more than its part.
const FREE_PART: f64 = 0.25;
/// Time for which a host sends nothing to a server with a refusal limit that turned one of its requests away.
const REFUSED_TIME: Duration = Duration::from_millis(500);

/// Whether a host may send a request to a server with a refusal limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomDecision {
    /// The server has no refusal limit, or has a slot for this host.
    Free,
    /// The server may have a slot that another host does not use.
    Risky,
    /// The request might be turned away.
    Full,
}

/// A host's part of a server.
#[derive(Clone, Copy, Debug)]
struct Part {
    /// Requests that this host may have in progress.
    slots: u32,
    /// Requests a second that this host may see turned away.
    risk_per_s: f64,
    /// Requests that it may send now on a chance.
    risk: f64,
    refilled_at: Instant,
    /// Time until which this host sends nothing.
    refused_until: Option<Instant>,
}

/// Refusal limits that servers name, and this host's part of each.
#[derive(Clone, Debug, Default)]
pub struct RefusalLimits {
    /// Requests a second that each server can turn away, as it says.
    statements: ServerLimits,
    parts: HashMap<ServerHash, Part>,
}

impl RefusalLimits {
    /// Returns whether no server names a refusal limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Returns the servers that name a refusal limit or did so lately.
    pub fn servers(&self) -> impl Iterator<Item = ServerHash> {
        self.statements.servers()
    }

    /// Records what an answer says of its server; see [`ServerLimits::record`].
    pub fn record(
        &mut self,
        now: Instant,
        server: ServerHash,
        process: ProcessNumber,
        refusals_per_s: Option<f64>,
        sent_at: Instant,
    ) -> bool {
        self.statements
            .record(now, server, process, refusals_per_s, sent_at)
    }

    /// Records what a peer knows; returns whether it changed by much.
    pub fn merge(&mut self, now: Instant, statement: &LimitStatement) -> bool {
        self.statements.merge(now, statement)
    }

    /// Returns what peers have to learn with the next digest.
    pub fn news(&mut self, now: Instant) -> Vec<LimitStatement> {
        self.statements.news(now)
    }

    /// Divides the servers among the hosts. `rank` returns this host's rank among the live hosts for a
    /// server, 0 for the first, `slots` the number of a server's slots, `None` for an unknown one; `hosts`
    /// is the number of live hosts, this one included.
    pub fn divide(
        &mut self,
        now: Instant,
        hosts: usize,
        rank: impl Fn(ServerHash) -> usize,
        slots: impl Fn(ServerHash) -> Option<u32>,
    ) {
        self.statements.expire(now);
        let stated = self.statements.stated();
        let parts = stated.filter_map(|(server, refusals_per_s)| {
            let known = self.parts.get(&server);
            let mut part = part(now, hosts, rank(server), slots(server)?, refusals_per_s);
            if let Some(known) = known {
                part.risk = known.risk.min(part.max_risk());
                part.refilled_at = known.refilled_at;
                part.refused_until = known.refused_until;
            }
            Some((server, part))
        });
        self.parts = parts.collect();
    }

    /// Returns whether this host may send a request to a process: `own` of its requests are in progress
    /// there, and `all` of all hosts as far as it knows; the server has `slots`.
    #[must_use]
    pub fn decide(
        &self,
        now: Instant,
        server: ServerHash,
        process: ProcessNumber,
        (own, all, slots): (u32, u32, u32),
    ) -> RoomDecision {
        let is_limited = self.statements.limit(server, process).is_some();
        let Some(part) = self.parts.get(&server).filter(|_| is_limited) else {
            return RoomDecision::Free;
        };
        let free = f64::from(slots.saturating_sub(all));
        if part.refused_until.is_some_and(|until| now < until) {
            RoomDecision::Full
        } else if own < part.slots {
            RoomDecision::Free
        } else if free >= (f64::from(slots) * FREE_PART).max(1.0) && part.risk_at(now) >= 1.0 {
            RoomDecision::Risky
        } else {
            RoomDecision::Full
        }
    }

    /// Records that a server turned a request of this host away for want of room.
    pub fn record_refusal(&mut self, now: Instant, server: ServerHash) {
        if let Some(part) = self.parts.get_mut(&server) {
            part.refused_until = Some(now + REFUSED_TIME);
        }
    }

    /// Counts a risky request that is sent to a server.
    pub fn take_risk(&mut self, now: Instant, server: ServerHash) {
        if let Some(part) = self.parts.get_mut(&server) {
            part.risk = part.risk_at(now) - 1.0;
            part.refilled_at = now;
        }
    }

    /// Takes back the count of a risky request that the server had room for.
    pub fn return_risk(&mut self, now: Instant, server: ServerHash) {
        if let Some(part) = self.parts.get_mut(&server) {
            part.risk = (part.risk_at(now) + 1.0).min(part.max_risk());
            part.refilled_at = now;
        }
    }
}

impl Part {
    /// Returns the most requests that this host may have sent on a chance at the same time.
    fn max_risk(&self) -> f64 {
        if self.risk_per_s > 0.0 {
            self.risk_per_s.max(1.0)
        } else {
            0.0
        }
    }

    fn risk_at(&self, now: Instant) -> f64 {
        let passed: Duration = now.saturating_duration_since(self.refilled_at);
        (self.risk + passed.as_secs_f64() * self.risk_per_s).min(self.max_risk())
    }
}

/// Returns the part of a server that the host with a rank has. The first hosts share the slots evenly,
/// and others, by the end of the order, what may be turned away.
fn part(now: Instant, hosts: usize, rank: usize, slots: u32, refusals_per_s: f64) -> Part {
    let hosts = hosts.max(1);
    let holders = (slots as usize).clamp(1, hosts);
    let share = u32::try_from(slots as usize / holders).unwrap_or(u32::MAX);
    let has_extra = rank < slots as usize % holders;
    let risked_per_s = refusals_per_s * RISKED_PART;
    let risk_holders = (risked_per_s as usize).min(hosts);
    // Hosts without slots come first here.
    let risk_rank = hosts.saturating_sub(1).saturating_sub(rank);
    let has_risk = rank < hosts && risk_rank < risk_holders;
    let risk_per_s = if has_risk {
        risked_per_s / risk_holders as f64
    } else {
        0.0
    };
    let mut part = Part {
        slots: if rank < holders {
            share + u32::from(has_extra)
        } else {
            0
        },
        risk_per_s,
        risk: 0.0,
        refilled_at: now,
        refused_until: None,
    };
    part.risk = part.max_risk();
    part
}
