//! The HTTP interface for callers, operators and health probes.

mod admin;
mod requests;
mod routes;

pub(crate) use requests::respond_refusal;
pub(crate) use routes::handle;
