//! What a host costs at the planned size, from slopes measured on the real structs.

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
