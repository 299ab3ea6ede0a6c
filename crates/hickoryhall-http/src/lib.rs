//! The HTTP edge that entry hosts and stand-ins share, over `tiny_http`.
//!
//! `tiny_http` starts a thread for each connection and sets no timeouts, so this package adds what
//! a server needs to outlive bad callers: a bounded [`WorkerPool`], an [`EventWriter`] that sends
//! each event as it is made, and [`Callers`], which notices callers that hang up, send too slowly
//! or hold idle connections.
//!
//! ```no_run
//! use hickoryhall_http::{HttpServer, ServerLimits, respond_json};
//!
//! let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), ServerLimits::default())?;
//! server.run(|request, _caller| respond_json(request, 200, &"hello"));
//! # Ok::<(), hickoryhall_http::BindError>(())
//! ```

mod body;
mod callers;
mod pool;
mod respond;
mod server;
mod stream;

pub use body::{BodyError, header, header_count, read_body};
pub use callers::{Caller, Callers};
pub use pool::{Saturated, WorkerPool};
pub use respond::{respond_bytes, respond_json};
pub use server::{BindError, HttpServer, ServerLimits, StopHandle};
pub use stream::EventWriter;
pub use tiny_http::{Method, Request};
