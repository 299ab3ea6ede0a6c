//! Blocking handlers behind the HTTP edge, for entry hosts and stand-ins.
//!
//! One thread runs [`hickoryhall_edge`] for all connections; each request is handed to a worker of
//! a bounded [`WorkerPool`], which reads the body, answers in one piece or as an [`EventWriter`],
//! and can tell through its [`Caller`] whether anybody still waits.
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
pub use pool::{Saturated, WorkerPool};
pub use request::{Caller, Request, header, header_count};
pub use respond::{respond_bytes, respond_json};
pub use server::{BindError, HttpServer, ServerLimits, StopHandle};
pub use stream::EventWriter;
