//! Calls of the platform's store at the planned size, by cause.

use super::PlannedSize;

/// Time that one watch waits.
const WATCH_S: f64 = 10.0;
/// Time between two renewals of an order-giver's lease.
const RENEW_S: f64 = 10.0 / 3.0;
/// Chunks that a whole table is read in, its head included.
const TABLE_READS: f64 = 17.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Calls for one cause.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreCause {
    /// Cause.
    pub name: &'static str,
    /// Writes a second in a quiet hour.
    pub writes_per_s: f64,
    /// Reads a second in a quiet hour, a waiting watch as one for each time it is asked.
    pub reads_per_s: f64,
    /// Writes a second at the worst: a failure domain starts, or the store is back.
    pub worst_writes_per_s: f64,
    /// Reads a second at the worst.
    pub worst_reads_per_s: f64,
}

/// Returns the calls by cause.
#[must_use]
pub fn store_causes(size: &PlannedSize) -> Vec<StoreCause> {
    let changes = size.changes_per_day / SECONDS_PER_DAY;
    let starts = (size.restarts_per_day + size.failures_per_day) / SECONDS_PER_DAY;
    let watchers = 2.0 * size.domains;
    let claims = size.requests_per_s * size.claimed_part;
    vec![
        StoreCause {
            name: "watches of the table",
            writes_per_s: 0.0,
            reads_per_s: watchers / WATCH_S,
            // Back from an outage, each watcher asks at once and reads the table.
            worst_writes_per_s: 0.0,
            worst_reads_per_s: watchers * (1.0 + TABLE_READS),
        },
        StoreCause {
            name: "changes of the table",
            // A chunk and the head; the accepting host reads the table first.
            writes_per_s: changes * 2.0,
            reads_per_s: changes * (TABLE_READS + watchers * TABLE_READS),
            worst_writes_per_s: changes * 2.0 * 10.0,
            worst_reads_per_s: changes * 10.0 * (TABLE_READS + watchers * TABLE_READS),
        },
        StoreCause {
            name: "starting hosts",
            writes_per_s: 0.0,
            reads_per_s: starts * (1.0 + TABLE_READS),
            // A domain's hosts start within a second, before any peer can give them the table.
            worst_writes_per_s: 0.0,
            worst_reads_per_s: size.domain_hosts() * (1.0 + TABLE_READS),
        },
        StoreCause {
            name: "leases of order-givers",
            writes_per_s: size.domains / RENEW_S,
            reads_per_s: 0.0,
            worst_writes_per_s: size.domains * 2.0,
            worst_reads_per_s: size.domains,
        },
        StoreCause {
            name: "claims, 1 request in 100",
            // One write to create, one to record the end.
            writes_per_s: claims * 2.0,
            reads_per_s: claims * 0.01,
            worst_writes_per_s: claims * 4.0,
            worst_reads_per_s: claims,
        },
    ]
}
