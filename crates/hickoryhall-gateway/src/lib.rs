//! The routing host: accepts callers' requests, places each on a backend server, retries or resumes
//! them after failures where that is safe, and applies the changes that operators make.
//!
//! Decisions are made by plain structs that get the time as a parameter ([`scheduler`],
//! [`registry`], [`table`]); an actor owns them ([`core`]). Tasks on the same thread forward
//! requests ([`exchange`]), watch the store ([`feeds`]), communicate with peers ([`peers`]) and
//! give orders to runners ([`orders`]). An implementation of [`interface::Platform`] defines the
//! protocols that are spoken with callers, backend servers and the store.

mod clock;
pub mod core;
pub mod events;
pub mod exchange;
pub mod feeds;
pub mod fleet;
pub mod forwarding;
pub mod framing;
pub mod host;
pub mod interface;
pub mod orders;
pub mod outcome;
pub mod peers;
pub mod registry;
pub mod scheduler;
pub mod settings;
pub mod stalls;
pub mod store_client;
pub mod store_position;
pub mod stream_record;
pub mod stream_versions;
pub mod table;
pub mod table_check;
pub mod version_record;
