//! Stand-in for the platform's key-value store.

mod model;
mod server;

pub use model::{LeaseId, PutCondition, StoreError, StoreModel, StoreRevision, Value};
pub use server::{StoreFaults, StoreServer};
