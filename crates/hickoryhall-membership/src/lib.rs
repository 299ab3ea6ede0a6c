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
//! let local_host = HostInfo::new("a-1", "a", ([127, 0, 0, 1], 7000).into());
//! let hosts = Hosts::new(local_host, 1);
//! assert!(hosts.has_duty(now, Duty::LeaseHolder, 1));
//! ```

mod budget;
mod gossip;
mod hosts;

pub use budget::ByteBudget;
pub use gossip::{GossipUpdate, Gossiper, Outgoing};
pub use hosts::{Duty, HostInfo, Hosts};
