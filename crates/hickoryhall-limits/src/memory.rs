//! Accounts for the memory of request bodies, and divides a host's memory into budgets.

use std::collections::hash_map::Entry;
use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;
use std::time::Instant;

/// Size below which a body may use the reserve for small ones, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// Memory that a host uses without any request, in bytes: 7 MiB when idle, and the rest for large
/// tables, the store's records and what the allocator does not return.
const BASE_BYTES: usize = 16 << 20;
/// Largest fraction of the memory that [`BASE_BYTES`] may take, so that something is left to divide.
const MAX_BASE_FRACTION: f64 = 0.5;
/// Fraction of the memory beyond the base for request bodies.
const BODIES_FRACTION: f64 = 5.0 / 18.0;
/// Fraction for large responses; of 88 MiB it is 32 MiB.
const RESPONSES_FRACTION: f64 = 8.0 / 18.0;
/// Largest budget for large responses, in bytes.
const MAX_RESPONSES_BYTES: usize = 32 << 20;
/// Fraction for the chunks of streams that wait for slow callers.
const STREAMS_FRACTION: f64 = 1.0 / 18.0;
/// Fraction for connections.
const CONNECTIONS_FRACTION: f64 = 4.0 / 18.0;
/// Charge for a connection, in bytes: its read buffer of up to 16 KiB, and its state.
pub const CONNECTION_BYTES: usize = 24 << 10;
/// Least number of connections of callers, however small the machine is.
const MIN_CALLERS: usize = 16;
/// Fraction of the budget that is kept for small bodies.
const SMALL_RESERVE_FRACTION: f64 = 0.2;
/// Largest reserve for small bodies, in bytes.
const MAX_SMALL_RESERVE_BYTES: usize = 4 << 20;
/// Fraction of the budget that one address may hold while others need memory.
const ADDRESS_FRACTION: f64 = 0.5;
/// Descriptors for the store, the sockets between hosts, listeners and files.
const OTHER_DESCRIPTORS: usize = 40;
/// Connections for readiness checks.
const READINESS_CONNECTIONS: usize = 16;
/// Connections for the metrics page.
const METRICS_CONNECTIONS: usize = 8;
/// Connections on which peers fetch the records of the store.
const RECORDS_CONNECTIONS: usize = 8;

/// How a host's memory and descriptors are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostBudgets {
    /// Memory for request bodies, in bytes.
    pub body_bytes: usize,
    /// Memory for large responses, in bytes.
    pub response_bytes: usize,
    /// Memory for the chunks of streams that wait for slow callers, in bytes.
    pub stream_bytes: usize,
    /// Maximum number of connections of callers.
    pub callers: usize,
    /// Maximum number of connections on which peers forward requests.
    pub forwarding: usize,
    /// Maximum number of connections for readiness checks.
    pub readiness: usize,
    /// Maximum number of connections for the metrics page.
    pub metrics: usize,
    /// Maximum number of connections on which peers fetch records.
    pub records: usize,
}

impl HostBudgets {
    /// Divides the memory and the descriptors of a machine.
    #[must_use]
    pub fn new(memory_bytes: usize, descriptors: usize) -> Self {
        let base = BASE_BYTES.min(fraction(memory_bytes, MAX_BASE_FRACTION));
        let usable = memory_bytes.saturating_sub(base);
        let by_memory = fraction(usable, CONNECTIONS_FRACTION) / CONNECTION_BYTES;
        let reserved =
            OTHER_DESCRIPTORS + READINESS_CONNECTIONS + METRICS_CONNECTIONS + RECORDS_CONNECTIONS;
        // A request needs a connection to a server beside that of its caller.
        let by_descriptors = descriptors.saturating_sub(reserved) / 2;
        let connections = by_memory.min(by_descriptors);
        let forwarding = (connections / 4).max(1);
        Self {
            body_bytes: fraction(usable, BODIES_FRACTION),
            response_bytes: fraction(usable, RESPONSES_FRACTION).min(MAX_RESPONSES_BYTES),
            stream_bytes: fraction(usable, STREAMS_FRACTION),
            callers: connections.saturating_sub(forwarding).max(MIN_CALLERS),
            forwarding,
            readiness: READINESS_CONNECTIONS,
            metrics: METRICS_CONNECTIONS,
            records: RECORDS_CONNECTIONS,
        }
    }
}

fn fraction(bytes: usize, fraction: f64) -> usize {
    (bytes as f64 * fraction) as usize
}

/// Identifies a request body in a [`MemoryAccount`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u64);

/// Answer to a charge.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChargeOutcome {
    /// Whether the bytes are charged. If not, the body was removed from the account.
    pub is_granted: bool,
    /// Incomplete bodies that were removed from the account to make room; they must be dropped.
    pub dropped: Vec<BodyId>,
}

#[derive(Debug)]
struct Body {
    address: IpAddr,
    bytes: usize,
    is_small: bool,
    /// Time of the last progress; `None` once the body is complete.
    progress_at: Option<Instant>,
}

/// Memory of the request bodies of all callers.
///
/// A body is charged as its bytes arrive and holds its charge until it is closed. While the budget
/// is exhausted, the incomplete body that has gone longest without progress makes room.
///
/// ```
/// use std::net::{IpAddr, Ipv4Addr};
/// use std::time::Instant;
/// use hickoryhall_limits::{ChargeOutcome, MemoryAccount};
///
/// let mut account = MemoryAccount::new(1_000);
/// let (now, address) = (Instant::now(), IpAddr::V4(Ipv4Addr::LOCALHOST));
/// let first = account.open(now, address, Some(900));
/// account.charge(now, first, 700);
/// let second = account.open(now, address, Some(900));
/// let outcome = account.charge(now, second, 700);
/// assert_eq!(outcome, ChargeOutcome { is_granted: true, dropped: vec![first] });
/// ```
#[derive(Debug)]
pub struct MemoryAccount {
    budget_bytes: usize,
    used_bytes: usize,
    next_id: u64,
    bodies: HashMap<BodyId, Body>,
    /// Incomplete bodies by the time of their last progress.
    incomplete: BTreeSet<(Instant, BodyId)>,
    used_by_address: HashMap<IpAddr, usize>,
}

impl MemoryAccount {
    /// Creates an account for `budget_bytes` of bodies.
    #[must_use]
    pub fn new(budget_bytes: usize) -> Self {
        Self {
            budget_bytes,
            used_bytes: 0,
            next_id: 0,
            bodies: HashMap::new(),
            incomplete: BTreeSet::new(),
            used_by_address: HashMap::new(),
        }
    }

    /// Sets the budget for further charges; what is charged stays.
    pub fn set_budget(&mut self, budget_bytes: usize) {
        self.budget_bytes = budget_bytes;
    }

    /// Returns the bytes that are charged.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Adds a body of a caller at `address`, whose declared length is `None` if it is chunked.
    pub fn open(&mut self, now: Instant, address: IpAddr, declared: Option<usize>) -> BodyId {
        let id = BodyId(self.next_id);
        self.next_id += 1;
        let body = Body {
            address,
            bytes: 0,
            is_small: declared.is_some_and(|bytes| bytes < SMALL_BODY_BYTES),
            progress_at: Some(now),
        };
        self.bodies.insert(id, body);
        self.incomplete.insert((now, id));
        id
    }

    /// Records that bytes of a body arrived that need no further charge.
    pub fn record_progress(&mut self, now: Instant, id: BodyId) {
        if let Some(progress_at) = self
            .bodies
            .get_mut(&id)
            .and_then(|body| body.progress_at.as_mut())
        {
            self.incomplete.remove(&(*progress_at, id));
            self.incomplete.insert((now, id));
            *progress_at = now;
        }
    }

    /// Charges further bytes to a body that is being read, which counts as progress. A body that is not
    /// in the account is refused.
    ///
    /// A body that is alone is granted whatever it needs: without other load, every legal body is
    /// served on the smallest machine.
    pub fn charge(&mut self, now: Instant, id: BodyId, bytes: usize) -> ChargeOutcome {
        self.record_progress(now, id);
        let Some(body) = self.bodies.get(&id) else {
            return ChargeOutcome::default();
        };
        let address = body.address;
        let Some(dropped) = self.find_room(id, body, bytes) else {
            self.close(id);
            return ChargeOutcome::default();
        };
        dropped.iter().for_each(|&dropped| self.close(dropped));
        if let Some(body) = self.bodies.get_mut(&id) {
            body.bytes += bytes;
        }
        self.used_bytes += bytes;
        *self.used_by_address.entry(address).or_default() += bytes;
        ChargeOutcome {
            is_granted: true,
            dropped,
        }
    }

    /// Returns the bodies to drop so that `bytes` more fit, or `None` if they cannot fit.
    fn find_room(&self, id: BodyId, body: &Body, bytes: usize) -> Option<Vec<BodyId>> {
        let reserve = fraction(self.budget_bytes, SMALL_RESERVE_FRACTION);
        let reserve = reserve.min(MAX_SMALL_RESERVE_BYTES);
        let budget = if body.is_small {
            self.budget_bytes
        } else {
            self.budget_bytes - reserve
        };
        let is_alone = self.used_bytes == body.bytes;
        let missing = (self.used_bytes + bytes).saturating_sub(budget);
        if missing == 0 || is_alone {
            return Some(Vec::new());
        }
        let others = |other: &Body| other.address != body.address;
        let may_drop: &dyn Fn(&Body) -> bool = if self.is_over_share(body, bytes) {
            &|other| !others(other)
        } else {
            &|_| true
        };
        // Callers over their share make room for the others first.
        let over_share = |other: &Body| others(other) && self.is_over_share(other, 0);
        let mut freed = 0;
        let mut dropped = Vec::new();
        for is_first_pass in [true, false] {
            for &(_, candidate) in &self.incomplete {
                if freed >= missing {
                    return Some(dropped);
                }
                let other = &self.bodies[&candidate];
                if candidate != id
                    && other.bytes > 0
                    && over_share(other) == is_first_pass
                    && may_drop(other)
                {
                    freed += other.bytes;
                    dropped.push(candidate);
                }
            }
        }
        (freed >= missing).then_some(dropped)
    }

    /// Returns whether the address of a body holds more than its share, with `bytes` more. One body
    /// alone is never over the share of its address.
    fn is_over_share(&self, body: &Body, bytes: usize) -> bool {
        let used = self.used_by_address.get(&body.address);
        let used = used.copied().unwrap_or_default();
        used > body.bytes && used + bytes > fraction(self.budget_bytes, ADDRESS_FRACTION)
    }

    /// Records that a body was read in full; it is no longer dropped, and stays charged.
    pub fn complete(&mut self, id: BodyId) {
        let body = self.bodies.get_mut(&id);
        if let Some(progress_at) = body.and_then(|body| body.progress_at.take()) {
            self.incomplete.remove(&(progress_at, id));
        }
    }

    /// Removes a body and frees its charge; does nothing if it is not in the account.
    pub fn close(&mut self, id: BodyId) {
        let Some(body) = self.bodies.remove(&id) else {
            return;
        };
        if let Some(progress_at) = body.progress_at {
            self.incomplete.remove(&(progress_at, id));
        }
        self.used_bytes -= body.bytes;
        if let Entry::Occupied(mut used) = self.used_by_address.entry(body.address) {
            *used.get_mut() -= body.bytes;
            if *used.get() == 0 {
                used.remove();
            }
        }
    }
}
