//! What must hold over the whole fleet: claims, orders with fencing, and table revisions.
//!
//! Each is a state machine without I/O; the caller carries its steps out and feeds results back.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use hickoryhall_control::{ClaimFlow, ClaimStep};
//!
//! let (flow, step) = ClaimFlow::start(Instant::now(), "attempt-1");
//! assert!(matches!(step, ClaimStep::Create(_)));
//! # drop(flow);
//! ```

mod claim;
mod orders;
mod revisions;

pub use claim::{
    Claim, ClaimEnd, ClaimFlow, ClaimState, ClaimStep, ReadResult, RecordedAnswer, SendResult,
    WriteResult, claim_key,
};
pub use orders::{
    HeldLease, OrderConfig, OrderGiver, PlannedOrder, RunnerStatus, WantedWeights, choose_version,
};
pub use revisions::{Adoption, DeltaError, RowDelta, TableState};
