//! Membership of hosts: failure detection by heartbeats, and gossip between hosts.
//!
//! The platform's list says which hosts exist, and heartbeats say which of them are live. Each host
//! sends a fixed number of messages per second, whatever the size of the fleet.
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
