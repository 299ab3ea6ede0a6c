//! The entry host, which routes requests of callers to backend servers.
//!
//! A host is one process. Worker threads run the requests. One thread runs the actors that make
//! all routing decisions; their inputs are messages and the current time. All hosts are equal and
//! keep no persistent state.
//!
//! ```no_run
//! use hickoryhall_entry::{EntryHost, Settings};
//!
//! let settings = Settings::from_json(&std::fs::read_to_string("entry.json")?)?;
//! let host = EntryHost::start(settings)?;
//! host.shut_down(|| false);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod actors;
mod attempts;
mod context;
pub mod dispatch;
mod duties;
mod edge;
mod host;
mod peers;
mod settings;
mod shared_table;
mod table_store;

pub use host::{EntryHost, StartError};
pub use settings::{HostLimits, Settings, SettingsError, SettingsErrors};
pub use table_store::{AppliedChange, ApplyError, TableChange, TableStore};
