//! HTTP/1.1 on one thread: a server for callers and kept connections to backend servers.
//!
//! Everything runs on tokio's current-thread runtime inside a [`tokio::task::LocalSet`]. A caller
//! that hangs up drops its request's future, and a dropped attempt closes its connection to the
//! backend server, so that no work goes on for nobody.

mod body;
mod pool;
mod server;
mod sockets;

pub use body::{Aborted, AnswerBody, BodyReceiver, BodySender};
pub use pool::{ConnectError, Connection, Pool, PoolConfig, SendError};
pub use server::{Handler, ServerConfig, Stopping, serve};
pub use sockets::tune;
