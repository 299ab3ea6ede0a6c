//! HTTP server that handles requests on a bounded worker pool.

use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hickoryhall_edge::{Connections, ServerConfig, serve};
use slog::{Discard, Logger, o, warn};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep_until;

use crate::bridge::Bridge;
use crate::{Caller, Request, WorkerPool};

/// Length of the listen queue: connections that the server has not accepted yet.
const BACKLOG: i32 = 1_024;
/// Largest request head that is read. A handler may enforce a lower limit with its own response.
const MAX_HEAD_BYTES: usize = 64 << 10;

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
#[derive(Clone, Debug, Default)]
pub struct StopHandle(Arc<Stop>);

#[derive(Debug, Default)]
struct Stop {
    /// Time at which a stopping server closes the connections that are still open.
    deadline: watch::Sender<Option<Instant>>,
    cut_off: AtomicUsize,
}

impl StopHandle {
    /// Makes the server accept no further requests, and end when the callers of all requests have
    /// got their responses, at the latest after `time_limit`. A later call can only shorten the time.
    pub fn stop(&self, time_limit: Duration) {
        let new = Instant::now() + time_limit;
        self.0.deadline.send_modify(|deadline| {
            *deadline = Some(deadline.map_or(new, |earlier| earlier.min(new)));
        });
    }

    /// Returns the number of requests whose responses were not sent in full when the server ended.
    #[must_use]
    pub fn cut_off(&self) -> usize {
        self.0.cut_off.load(Ordering::SeqCst)
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
            stop: StopHandle::default(),
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

    /// Handles requests until the server is stopped and has sent its responses. `handler` runs on a worker thread and may
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
        let mut deadline = self.stop.0.deadline.subscribe();
        let (stop, stopping) = watch::channel(false);
        let connections = Rc::<Connections>::default();
        let bridge = Rc::new(Bridge {
            handler: Arc::new(handler),
            pool: WorkerPool::new("http-worker", self.limits.workers),
            limits: self.limits,
        });
        let config = Rc::new(Cell::new(ServerConfig {
            max_head_bytes: MAX_HEAD_BYTES,
            idle_timeout: self.limits.idle_timeout,
            ..ServerConfig::default()
        }));
        let serving = serve(
            listener,
            bridge,
            config,
            stopping,
            Rc::clone(&connections),
            self.logger.clone(),
        );
        LocalSet::new().block_on(&runtime, async {
            let serving = spawn_local(serving);
            // `self.stop` keeps the sender alive, so only a stop ends the wait.
            let _ = deadline.wait_for(Option::is_some).await;
            stop.send_replace(true);
            serving.abort();
            tokio::select! {
                biased;
                () = connections.drained() => {}
                () = passed(&mut deadline) => {
                    let counts = connections.counts();
                    self.stop.0.cut_off.store(counts.unanswered, Ordering::SeqCst);
                    if counts.unanswered > 0 {
                        warn!(
                            self.logger, "edge: Responses cut off by the stop.";
                            "count" => counts.unanswered, "unsent_bytes" => counts.unsent_bytes
                        );
                    }
                }
            }
        });
        Ok(())
    }
}

/// Waits until a deadline, which may become earlier during the wait, has passed.
async fn passed(deadline: &mut watch::Receiver<Option<Instant>>) {
    loop {
        let Some(time) = *deadline.borrow_and_update() else {
            return;
        };
        tokio::select! {
            () = sleep_until(time.into()) => return,
            changed = deadline.changed() => if changed.is_err() {
                return;
            },
        }
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
