//! A server whose requests run on a bounded pool of workers.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tiny_http::{Request, Server};

use crate::{Caller, Callers, Saturated, WorkerPool, respond_json};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Limits of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Requests in progress.
    pub workers: usize,
    /// Time that a connection may be open without a complete request head.
    pub idle_connection: Duration,
    /// Time that a body may take to arrive.
    pub body_read: Duration,
    /// Time that one write to a caller may take.
    pub write: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            workers: 2_048,
            idle_connection: Duration::from_secs(30),
            body_read: Duration::from_secs(10),
            write: Duration::from_secs(10),
        }
    }
}

/// A server that could not be started.
#[derive(Debug, thiserror::Error)]
pub enum BindError {
    /// The address cannot be listened on.
    #[error("listening on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// `tiny_http` refused the listener.
    #[error("starting the server on {address}: {message}")]
    Start {
        /// The address.
        address: SocketAddr,
        /// Cause.
        message: String,
    },
}

/// An HTTP server.
pub struct HttpServer {
    server: Arc<Server>,
    address: SocketAddr,
    pool: WorkerPool,
    callers: Callers,
    stopped: Arc<AtomicBool>,
}

/// Stops a server from another thread.
#[derive(Clone)]
pub struct StopHandle {
    server: Arc<Server>,
    stopped: Arc<AtomicBool>,
}

impl StopHandle {
    /// Makes the server take no further request; those in progress go on.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.server.unblock();
    }
}

impl HttpServer {
    /// Binds an address; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// Returns an error where the address cannot be listened on.
    pub fn bind(address: SocketAddr, limits: ServerLimits) -> Result<Self, BindError> {
        let listener =
            listen(address, limits).map_err(|source| BindError::Listen { address, source })?;
        let address = listener
            .local_addr()
            .map_err(|source| BindError::Listen { address, source })?;
        let server = Server::from_listener(listener, None).map_err(|error| BindError::Start {
            address,
            message: error.to_string(),
        })?;
        Ok(Self {
            server: Arc::new(server),
            address,
            pool: WorkerPool::new("http-worker", limits.workers),
            callers: Callers::watch(address, limits),
            stopped: Arc::new(AtomicBool::new(false)),
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle that stops the server.
    #[must_use]
    pub fn stop_handle(&self) -> StopHandle {
        StopHandle {
            server: Arc::clone(&self.server),
            stopped: Arc::clone(&self.stopped),
        }
    }

    /// Returns the watch over callers.
    #[must_use]
    pub fn callers(&self) -> &Callers {
        &self.callers
    }

    /// Serves requests until the server is stopped.
    pub fn run(&self, handler: impl Fn(Request, Caller) + Send + Sync + 'static) {
        let handler = Arc::new(handler);
        while !self.stopped.load(Ordering::SeqCst) {
            let Ok(request) = self.server.recv() else {
                continue;
            };
            self.dispatch(request, &handler);
        }
        self.callers.stop();
    }

    fn dispatch(
        &self,
        request: Request,
        handler: &Arc<impl Fn(Request, Caller) + Send + Sync + 'static>,
    ) {
        let caller = self.callers.begin(request.remote_addr().copied());
        let handler = Arc::clone(handler);
        // The request must be answered even when no worker takes it.
        let (give, take) = crossbeam_channel::bounded(1);
        let job = move || {
            if let Ok((request, caller)) = take.recv() {
                handler(request, caller);
            }
        };
        match self.pool.run(job) {
            Ok(()) => drop(give.send((request, caller))),
            Err(saturated) => refuse(request, &saturated),
        }
    }
}

fn refuse(request: Request, saturated: &Saturated) {
    let body = serde_json::json!({
        "code": "overloaded",
        "step": "read",
        "peer": "",
        "ran": "no",
        "message": saturated.to_string(),
        "retry_after_ms": 1_000,
    });
    respond_json(request, 503, &body);
}

fn listen(address: SocketAddr, limits: ServerLimits) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    // Accepted connections inherit both options.
    SockRef::from(&socket).set_write_timeout(Some(limits.write))?;
    SockRef::from(&socket).set_tcp_nodelay(true)?;
    Ok(socket.into())
}
