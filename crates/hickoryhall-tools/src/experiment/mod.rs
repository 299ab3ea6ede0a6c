//! Simulation that compares placement policies in virtual time, with the production placement code
//! and the simulated engine of the stand-ins.

mod driver;
mod policy;
pub mod render;
mod report;
pub mod suite;

pub use driver::{Fault, Scenario, run};
pub use policy::Policy;
pub use report::{Outcome, Summary};
