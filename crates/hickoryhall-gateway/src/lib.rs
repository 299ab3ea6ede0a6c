//! The routing host: it takes callers' requests, chooses a backend server for each, recovers what
//! can be recovered, and brings operators' intent into effect.
//!
//! Decisions are plain structs under a given clock ([`scheduler`], [`registry`], [`table`]); an
//! actor owns them ([`core`]); tasks on the same thread carry requests ([`exchange`]), follow the
//! store ([`feeds`]), talk to other hosts ([`peers`]) and give orders to runners ([`orders`]).
//! What is spoken outside comes from an implementation of [`interface::Platform`].

pub mod core;
pub mod events;
pub mod exchange;
pub mod feeds;
pub mod fleet;
pub mod host;
pub mod interface;
pub mod orders;
pub mod peers;
pub mod registry;
pub mod scheduler;
pub mod settings;
pub mod table;
