//! Estimates the calls of the platform's store at the planned size, by cause.

use super::PlannedSize;

/// Time until a watch without a change returns, in seconds.
const WATCH_TIMEOUT_S: f64 = 10.0;
/// Time between two renewals of a lease for giving orders, in seconds.
const LEASE_RENEWAL_S: f64 = 10.0 / 3.0;
/// Reads that load a whole table: its head and its chunks.
const READS_PER_TABLE: f64 = 17.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Rates of the store calls that have one cause.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreCalls {
    /// Name of the cause in the printed table.
    pub name: &'static str,
    /// Writes per second in normal operation.
    pub writes_per_s: f64,
    /// Reads per second in normal operation; each call of a watch counts as one.
    pub reads_per_s: f64,
    /// Writes per second in the worst case: a failure domain starts, or the store recovers from
    /// an outage.
    pub worst_writes_per_s: f64,
    /// Reads per second in the worst case.
    pub worst_reads_per_s: f64,
}

/// Returns the rates of the store calls by cause.
#[must_use]
pub fn store_calls(size: &PlannedSize) -> Vec<StoreCalls> {
    let changes = size.changes_per_day / SECONDS_PER_DAY;
    let starts = (size.restarts_per_day + size.failures_per_day) / SECONDS_PER_DAY;
    let watchers = 2.0 * size.domains;
    let claims = size.requests_per_s * size.claimed_fraction;
    vec![
        StoreCalls {
            name: "watches of the table",
            writes_per_s: 0.0,
            reads_per_s: watchers / WATCH_TIMEOUT_S,
            // After an outage of the store every watcher calls it at once and reads the table.
            worst_writes_per_s: 0.0,
            worst_reads_per_s: watchers * (1.0 + READS_PER_TABLE),
        },
        StoreCalls {
            name: "changes of the table",
            // Each change writes one chunk and the head; the host that accepts the change reads the
            // table first.
            writes_per_s: changes * 2.0,
            reads_per_s: changes * (READS_PER_TABLE + watchers * READS_PER_TABLE),
            worst_writes_per_s: changes * 2.0 * 10.0,
            worst_reads_per_s: changes * 10.0 * (READS_PER_TABLE + watchers * READS_PER_TABLE),
        },
        StoreCalls {
            name: "starting hosts",
            writes_per_s: 0.0,
            reads_per_s: starts * (1.0 + READS_PER_TABLE),
            // All hosts of a failure domain start within a second, before any peer has a table to
            // send them.
            worst_writes_per_s: 0.0,
            worst_reads_per_s: size.hosts_per_domain() * (1.0 + READS_PER_TABLE),
        },
        StoreCalls {
            name: "leases of order-givers",
            writes_per_s: size.domains / LEASE_RENEWAL_S,
            reads_per_s: 0.0,
            worst_writes_per_s: size.domains * 2.0,
            worst_reads_per_s: size.domains,
        },
        StoreCalls {
            name: "claims, 1 request in 100",
            // One write creates the claim, another one records its result.
            writes_per_s: claims * 2.0,
            reads_per_s: claims * 0.01,
            worst_writes_per_s: claims * 4.0,
            worst_reads_per_s: claims,
        },
    ]
}
