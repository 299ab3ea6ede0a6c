//! Library of the operators' and developers' programs: load generation, experiments, capacity
//! planning, and a fleet in one process.
//!
//! ```
//! use hickoryhall_tools::workload::{Profile, Workload};
//!
//! let mut workload = Workload::new(Profile::karoo(), 8.0, 1);
//! let first = workload.next().expect("a workload has no end");
//! assert_eq!(first.levels.len(), 3);
//! ```

pub mod caller;
pub mod capacity;
pub mod cmd;
pub mod experiment;
pub mod explain;
pub mod fleet;
pub mod gossip_simulation;
pub mod load;
pub mod operator;
pub mod prompt;
pub mod report;
pub mod workload;
