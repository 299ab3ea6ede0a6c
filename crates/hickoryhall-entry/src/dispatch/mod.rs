//! Placement of requests on backend servers, without I/O.
//!
//! [`Dispatch`] handles requests, quotes, load reports and ends of attempts, and returns
//! [`Effect`]s: an answer for the request's thread, or a message for a peer. The router actor
//! passes in the time and carries the effects out.

mod admission;
mod messages;
mod placing;
mod servers;
mod services;
mod trackers;

pub use admission::{Admission, AdmissionRequest, Permit, limit_key};
pub use messages::{
    AttemptEnd, AttemptId, DispatchConfig, Effect, Placed, PlacedServer, PlacementRequest,
};
pub use placing::Dispatch;
pub use servers::{RunnerState, Server, ServerKind};
pub use services::ServicePool;
pub use trackers::{TrackedQuote, TrackedRunners, levels_to_wire};
