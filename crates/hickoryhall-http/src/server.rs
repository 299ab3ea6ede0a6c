//! A server whose requests run on a bounded pool of workers.

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

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Bytes of a request's head that are read at most; what a request may use of them is for the
/// handler to say, with an answer of its own.
const HEAD_BYTES: usize = 64 << 10;
/// Time that answers of workers may take to leave after the server was stopped.
const FLUSH: Duration = Duration::from_millis(200);

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
#[error("listening on {address}: {source}")]
pub struct BindError {
    /// The address.
    pub address: SocketAddr,
    /// Cause.
    pub source: io::Error,
}

/// An HTTP server.
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
    /// Makes the server take no further request; answers that workers gave still leave.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

impl HttpServer {
    /// Binds an address; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// Returns an error where the address cannot be listened on.
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

    /// Logs what goes wrong with connections.
    #[must_use]
    pub fn with_logger(mut self, logger: Logger) -> Self {
        self.logger = logger;
        self
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle that stops the server.
    #[must_use]
    pub fn stop_handle(&self) -> StopHandle {
        self.stop.clone()
    }

    /// Serves requests until the server is stopped.
    ///
    /// # Errors
    ///
    /// Returns an error where the system refuses what an event loop needs.
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
            head_bytes: HEAD_BYTES,
            idle: self.limits.idle_connection,
        }));
        let serving = serve(listener, bridge, config, stopping.clone(), self.logger);
        let connections = LocalSet::new();
        connections.block_on(&runtime, async {
            let serving = spawn_local(serving);
            // The server owns a handle itself, so the wait ends by a stop only.
            let _ = stopping.wait_for(|stopped| *stopped).await;
            serving.abort();
        });
        // What has not left by then belongs to callers that do not read.
        let _ = runtime.block_on(async { timeout(FLUSH, connections).await });
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
