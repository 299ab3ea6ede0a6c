//! Stand-in for the platform's key-value store.

mod model;
mod server;

pub use model::{LeaseId, PutCondition, SimulatedStore, StoreError, StoreRevision, Value};
pub use server::{StoreFaults, StoreServer};
