//! Estimates the resources that a host needs at the planned size, from costs measured on the
//! production data structures.

mod budget;
mod measure;
mod size;
mod slope;
mod store;

pub use budget::{Role, roles};
pub use measure::{Slopes, measure};
pub use size::PlannedSize;
pub use slope::{Slope, fit};
pub use store::{StoreCause, store_causes};
