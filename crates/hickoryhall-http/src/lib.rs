//! HTTP server with blocking handlers, used by entry hosts and by the simulated servers of tests.
//!
//! One thread runs [`hickoryhall_edge`] for all connections. Each request is handled by a worker of
//! a bounded [`WorkerPool`], which reads the body, sends a complete response or streams events with
//! an [`EventWriter`], and can check through [`Caller`] whether the caller is still connected.
//!
//! ```no_run
//! use hickoryhall_http::{HttpServer, ServerLimits, respond_json};
//!
//! let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), ServerLimits::default())?;
//! server.run(|request, _caller| respond_json(request, 200, &"hello"));
//! # Ok::<(), hickoryhall_http::BindError>(())
//! ```

mod body;
mod bridge;
mod pool;
mod request;
mod respond;
mod server;
mod stream;

pub use body::{BodyError, read_body};
pub use hyper::Method;
pub use pool::{WorkerPool, WorkerUnavailable};
pub use request::{Caller, Request, header, header_count};
pub use respond::{respond_bytes, respond_json};
pub use server::{BindError, HttpServer, ServerLimits, StopHandle};
pub use stream::EventWriter;
