//! The entry host: callers on one side, backend servers, the platform and peers on the other.
//!
//! A host is one process. Worker threads carry requests through; one thread owns the decisions, as
//! actors that get messages and time. Hosts are equal and keep nothing.
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
mod table_store;
mod table_view;

pub use host::{EntryHost, StartError};
pub use settings::{HostLimits, Settings, SettingsError, SettingsErrors};
pub use table_store::{AcceptError, Accepted, TableChange, TableStore};
