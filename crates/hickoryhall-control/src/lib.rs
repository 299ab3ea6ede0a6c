//! Coordination across the fleet: claims, fenced orders to runners, and table revisions.
//!
//! Each part is a state machine without I/O: the code that uses it performs the steps that it
//! returns and passes the results back in.
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
mod load_times;
mod orders;
mod revisions;

pub use claim::{
    Claim, ClaimEnd, ClaimFlow, ClaimState, ClaimStep, ReadResult, RecordedResponse, SendResult,
    WriteResult, claim_key,
};
pub use load_times::LoadTimes;
pub use orders::{
    DesiredVersions, HeldLease, OrderConfig, OrderPlanner, PlannedOrder, RunnerStatus,
    choose_version,
};
pub use revisions::{Adoption, DeltaError, RowDelta, TableState};
