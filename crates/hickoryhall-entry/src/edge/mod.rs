//! The HTTP interface for callers, operators and health probes.

mod admin;
mod intake;
mod routes;

pub(crate) use intake::respond_refusal;
pub(crate) use routes::handle;
