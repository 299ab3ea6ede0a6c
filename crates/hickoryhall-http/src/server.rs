//! HTTP server that handles requests on a bounded worker pool.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hickoryhall_edge::{ServerConfig, serve};
use slog::{Discard, Logger, o};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

use crate::bridge::Bridge;
use crate::{Caller, Request, WorkerPool};

/// Length of the listen queue: connections that the server has not accepted yet.
const BACKLOG: i32 = 1_024;
/// Largest request head that is read. A handler may enforce a lower limit with its own response.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Time for responses that are already being sent to leave after the server was stopped.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Limits of an [`HttpServer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Largest number of requests that are handled at the same time.
    pub workers: usize,
    /// Longest time that a connection may be open without a complete request head.
    pub idle_timeout: Duration,
    /// Longest time that a request body may take to arrive.
    pub body_timeout: Duration,
    /// Longest time that one write of an [`EventWriter`](crate::EventWriter) may wait for the
    /// caller to read.
    pub write_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            workers: 2_048,
            idle_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
        }
    }
}

/// Error for an address that a server could not listen on.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}: {source}")]
pub struct BindError {
    /// Address that was requested.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub source: io::Error,
}

/// HTTP server that is bound to an address and handles requests once [`HttpServer::run`] is called.
pub struct HttpServer {
    listener: TcpListener,
    address: SocketAddr,
    limits: ServerLimits,
    stop: StopHandle,
    logger: Logger,
}

/// Stops a server from another thread.
#[derive(Clone, Debug)]
pub struct StopHandle(Arc<watch::Sender<bool>>);

impl StopHandle {
    /// Makes the server accept no further requests. Responses that workers have already given are
    /// still sent, for a short time.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

impl HttpServer {
    /// Binds a server to an address; with port 0 the operating system picks a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot listen on the address.
    pub fn bind(address: SocketAddr, limits: ServerLimits) -> Result<Self, BindError> {
        let error = |source| BindError { address, source };
        let listener = listen(address).map_err(error)?;
        let address = listener.local_addr().map_err(error)?;
        Ok(Self {
            listener,
            address,
            limits,
            stop: StopHandle(Arc::new(watch::Sender::new(false))),
            logger: Logger::root(Discard, o!()),
        })
    }

    /// Sets the logger for connection errors; by default nothing is logged.
    #[must_use]
    pub fn with_logger(mut self, logger: Logger) -> Self {
        self.logger = logger;
        self
    }

    /// Returns the address that the server listens on, with the actual port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle that stops the server.
    #[must_use]
    pub fn stop_handle(&self) -> StopHandle {
        self.stop.clone()
    }

    /// Handles requests until the server is stopped. `handler` runs on a worker thread and may
    /// block.
    ///
    /// # Errors
    ///
    /// Returns an error if the event loop cannot be created or the listener cannot be registered
    /// with it.
    pub fn run(self, handler: impl Fn(Request, Caller) + Send + Sync + 'static) -> io::Result<()> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let _entered = runtime.enter();
        let listener = tokio::net::TcpListener::from_std(self.listener)?;
        let mut stopping = self.stop.0.subscribe();
        let bridge = Rc::new(Bridge {
            handler: Arc::new(handler),
            pool: WorkerPool::new("http-worker", self.limits.workers),
            limits: self.limits,
        });
        let config = Rc::new(Cell::new(ServerConfig {
            max_head_bytes: MAX_HEAD_BYTES,
            idle_timeout: self.limits.idle_timeout,
        }));
        let serving = serve(
            listener,
            bridge,
            config,
            stopping.clone(),
            Rc::default(),
            self.logger,
        );
        let connections = LocalSet::new();
        connections.block_on(&runtime, async {
            let serving = spawn_local(serving);
            // `self.stop` keeps the sender alive, so only a stop ends the wait.
            let _ = stopping.wait_for(|stopped| *stopped).await;
            serving.abort();
        });
        // Responses that are unsent after the time limit belong to callers that do not read.
        let _ = runtime.block_on(async { timeout(FLUSH_TIMEOUT, connections).await });
        Ok(())
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
