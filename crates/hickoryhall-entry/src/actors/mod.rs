//! Actors that make the host's decisions, and the thread that they run on.

mod cluster;
mod outbox;
mod router;
mod runtime;

pub(crate) use cluster::{ClusterStatus, Duties, FetchJob};
use outbox::Outbox;
pub(crate) use router::RunnerCounts;
pub(crate) use runtime::{Core, CoreHandle, CoreMsg, CoreParts, stopped_refusal};
