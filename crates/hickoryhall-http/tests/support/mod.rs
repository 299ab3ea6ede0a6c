//! A server on a thread of its own.

use std::net::SocketAddr;
use std::thread::JoinHandle;

use hickoryhall_http::{Caller, HttpServer, Request, ServerLimits, StopHandle};

pub struct Running {
    pub address: SocketAddr,
    stop: StopHandle,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stop.stop();
        drop(self.thread.take().map(JoinHandle::join));
    }
}

/// Starts a server, which stops when it is dropped.
pub fn start(
    limits: ServerLimits,
    handler: impl Fn(Request, Caller) + Send + Sync + 'static,
) -> Running {
    let server = HttpServer::bind(([127, 0, 0, 1], 0).into(), limits).expect("a free port");
    let (address, stop) = (server.address(), server.stop_handle());
    let thread = std::thread::spawn(move || server.run(handler).expect("an event loop"));
    Running {
        address,
        stop,
        thread: Some(thread),
    }
}
