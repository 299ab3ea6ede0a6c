//! Admission limits: fleet-wide rate and concurrency limits, fair sharing between workspaces, and
//! retry budgets.
//!
//! ```
//! use std::time::Instant;
//! use hickoryhall_limits::TokenBucket;
//!
//! let now = Instant::now();
//! let mut bucket = TokenBucket::new(now, 10.0, 2.0);
//! assert!(bucket.take(now, 2.0));
//! assert!(!bucket.take(now, 1.0));
//! ```

mod bucket;
mod concurrency;
mod fair_queue;
mod fleet;
mod fleet_retries;
mod memory;
mod quota;
mod refusal_limits;
mod retry_budget;
mod server_limits;
mod shares;
mod urgent_room;

pub use bucket::TokenBucket;
pub use concurrency::ConcurrencyLimiter;
pub use fair_queue::{FairQueue, Queued, Shed};
pub use fleet::{
    DomainBuckets, FleetShape, HostLimit, LimitKey, RequesterId, TakeOutcome, UnitGrant,
    UnitRequest,
};
pub use fleet_retries::{FleetRetryBudget, FleetRetryLimit, RetryUsage};
pub use memory::{
    BodyId, CONNECTION_BYTES, ChargeOutcome, HostBudgets, MemoryAccount, SMALL_BODY_BYTES,
};
pub use quota::{
    FleetQuotas, MAX_REPORTED_WORKSPACES, QuotaDecision, QuotaLimit, QuotaReport, QuotaStatement,
    ReportScope,
};
pub use refusal_limits::{RefusalLimits, RoomDecision};
pub use retry_budget::RetryBudget;
pub use server_limits::{
    LimitDecision, LimitStatement, ProcessNumber, ServerHash, ServerLimits, is_valid,
};
pub use shares::WorkspaceUsage;
pub use urgent_room::{Urgency, UrgentRoom};
