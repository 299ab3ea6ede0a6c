//! Policies compared under virtual time, on the decision structs and the engine model themselves.

mod driver;
mod policy;
pub mod render;
mod report;
pub mod suite;

pub use driver::{Fault, Scenario, run};
pub use policy::Policy;
pub use report::{Outcome, Summary};
