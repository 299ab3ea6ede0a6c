//! Communication with peers: datagrams for small messages, TCP connections for tables.

mod datagrams;
mod tables;

pub(crate) use datagrams::receive_datagrams;
pub(crate) use tables::{TableServer, fetch_table, run_fetches};
