//! Runs a server on its own thread.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use hickoryhall_http::{Caller, HttpServer, Request, ServerLimits, StopHandle};

/// Time for callers to read their responses after a stop.
const STOP_TIME_LIMIT: Duration = Duration::from_secs(30);

/// A running server; dropping it stops the server and joins its thread.
pub struct RunningServer {
    pub address: SocketAddr,
    stop: StopHandle,
    thread: Option<JoinHandle<()>>,
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.stop.stop(STOP_TIME_LIMIT);
        drop(self.thread.take().map(JoinHandle::join));
    }
}

/// Starts a server on a free loopback port.
pub fn start(
    limits: ServerLimits,
    handler: impl Fn(Request, Caller) + Send + Sync + 'static,
) -> RunningServer {
    let server =
        HttpServer::bind(([127, 0, 0, 1], 0).into(), limits).expect("loopback address binds");
    let (address, stop) = (server.address(), server.stop_handle());
    let thread = std::thread::spawn(move || server.run(handler).expect("event loop starts"));
    RunningServer {
        address,
        stop,
        thread: Some(thread),
    }
}
