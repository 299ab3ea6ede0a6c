//! Estimates the resources that a host needs at the planned size, from costs measured on the
//! production data structures.

mod budget;
mod linear_fit;
mod measure;
mod size;
mod store;

pub use budget::{RoleCost, roles};
pub use linear_fit::{LinearFit, fit};
pub use measure::{Measurements, measure};
pub use size::PlannedSize;
pub use store::{StoreCalls, store_calls};
