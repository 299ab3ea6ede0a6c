//! The thread that owns the decisions, and the actors on it.

mod cluster;
mod outbox;
mod router;
mod runtime;

pub(crate) use cluster::{ClusterStatus, Duties, FetchJob};
use outbox::Outbox;
pub(crate) use router::RunnerCounts;
pub(crate) use runtime::{Core, CoreHandle, CoreMsg, CoreParts, stopped};
