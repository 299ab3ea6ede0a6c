//! Which hosts are live, and how news reaches them.
//!
//! The platform's list says who exists, heartbeats say who is alive, and both reach a host by a
//! fixed number of messages a second, whatever the size of the fleet.
//!
//! ```
//! use hickoryhall_membership::{Duty, HostInfo, Hosts};
//! use std::time::Instant;
//!
//! let now = Instant::now();
//! let me = HostInfo::new("a-1", "a", ([127, 0, 0, 1], 7000).into());
//! let hosts = Hosts::new(me, 1);
//! assert!(hosts.holds(now, Duty::OrderGiver, 1));
//! ```

mod budget;
mod gossip;
mod hosts;

pub use budget::ByteBudget;
pub use gossip::{Gossiper, News, Outgoing};
pub use hosts::{Duty, HostInfo, Hosts};
