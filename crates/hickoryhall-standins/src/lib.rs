//! Stand-ins for the systems that surround the entry hosts: model engines, plain services, the
//! key-value store and the host list.
//!
//! Each stand-in is an HTTP server. `POST /control` injects faults; at the host list it replaces
//! the list.
//!
//! The engine and the store keep their state in a plain struct that takes the current time as a
//! parameter, so that simulations can use it with virtual time.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use hickoryhall_standins::engine::{EngineConfig, Job, Piece, SimulatedEngine};
//!
//! let start = Instant::now();
//! let mut engine = SimulatedEngine::new(EngineConfig::default());
//! let pieces = vec![Piece { key: 1, tokens: 2_000 }];
//! engine.submit(start, Job { id: 7, pieces, output_tokens: 1, priority: 0 });
//! let mut events = Vec::new();
//! engine.advance(start + Duration::from_secs(10), &mut events);
//! assert!(!events.is_empty());
//! ```

pub mod engine;
pub mod hosts;
pub mod service;
pub mod store;

mod server_thread;

pub use server_thread::{ServerThread, spawn_server};
