//! The HTTP edge: callers, operators and probes.

mod admin;
mod intake;
mod routes;

pub(crate) use intake::respond_refusal;
pub(crate) use routes::handle;
