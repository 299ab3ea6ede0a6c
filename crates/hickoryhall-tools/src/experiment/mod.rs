//! Policies compared under virtual time, on the decision structs and the engine model themselves.

mod driver;
mod policy;
mod report;

pub use driver::{Fault, Scenario, run};
pub use policy::Policy;
pub use report::{Outcome, Summary};
