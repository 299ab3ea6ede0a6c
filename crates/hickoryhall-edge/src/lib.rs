//! HTTP/1.1 on one thread: a server for callers, and pooled connections to backend servers.
//!
//! Everything runs on tokio's current-thread runtime inside a [`tokio::task::LocalSet`]. When a
//! caller disconnects, the future of its request is dropped. A dropped attempt closes its
//! connection to the backend server, so that the server does not go on working for a caller that
//! has left.

mod body;
mod caller_stream;
mod connections;
mod headers;
mod leftover;
mod pool;
mod read;
mod segments;
mod server;
mod server_stream;
mod sockets;

pub use body::{BodyReceiver, BodySender, RequestBody, ResponseBody, StreamAborted, StreamRoom};
pub use connections::{CallerConnection, ConnectionCounts, Connections, LimitCounts};
pub use headers::end_to_end_headers;
pub use pool::{
    AbandonedResponse, ConnectError, Connection, Pool, PoolConfig, RequestHash, SendError,
    SendErrorCause,
};
pub use read::{BodyReader, ReadBodyError};
pub use segments::SegmentedBody;
pub use server::{Handler, ServerConfig, ShutdownSignal, serve};
pub use sockets::set_socket_options;
