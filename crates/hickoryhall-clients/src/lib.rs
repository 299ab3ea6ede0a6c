//! Blocking HTTP clients for the store, runners, plain services and the host list.
//!
//! Every error states the step, the called server and whether the call may have taken effect.
//!
//! ```no_run
//! use hickoryhall_clients::{PutCondition, StoreClient};
//!
//! let store = StoreClient::new("127.0.0.1:9000".parse()?);
//! let revision = store.put("table/head", "{}", PutCondition::Absent, None)?;
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod agent;
mod error;
mod hosts;
mod runner;
mod service;
mod store;
mod stream;

pub use error::{ClientError, ClientErrorKind, NotRun};
pub use hosts::{HostListClient, HostListEntry, HostListEntryKind};
pub use runner::{LoadResponse, Message, Order, OrderBody, PromptRequest, RunnerClient};
pub use service::{ServiceCall, ServiceClient, ServiceResponse};
pub use store::{
    LeaseId, PutCondition, StoreClient, StoreRevision, StoredValue, WatchResponse, WatchedKey,
};
pub use stream::{RunnerStream, StreamError, StreamEvent, StreamValidator, Token};
