//! Pool of persistent connections to backend servers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::http::response;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use crate::leftover::{Leftover, drive};
use crate::server_stream::{RequestProgress, ServerStream};
use crate::{SegmentedBody, set_socket_options};

/// Maximum size of a response head, in bytes; also of what is read at a time.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of refused requests that are remembered of a connection, which carries no others then.
const MAX_REFUSALS: usize = 64;
/// Maximum number of informational (1xx) heads before a response.
const MAX_INFORMATIONAL_HEADS: usize = 16;

/// Hash of a request's id.
pub type RequestHash = u64;

/// Settings of a [`Pool`].
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Time for which an idle connection is kept if the server states none.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections to one address.
    pub max_idle_per_address: usize,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            idle_timeout: Duration::from_secs(4),
            max_idle_per_address: 64,
        }
    }
}

/// Error of opening a connection; no part of a request was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The connection was not established in time.
    #[error("timed out connecting to {0}")]
    Timeout(SocketAddr),
    /// The operating system reported an error, for example that the connection was refused.
    #[error("failed to connect to {address}: {source}")]
    Io {
        /// Address of the backend server.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The HTTP library failed to set up the connection.
    #[error("failed to connect to {address}: {source}")]
    Http {
        /// Address of the backend server.
        address: SocketAddr,
        /// Error of the HTTP library.
        source: hyper::Error,
    },
}

impl ConnectError {
    /// Returns whether nothing listens at the address.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        match self {
            Self::Io { source, .. } => source.kind() == io::ErrorKind::ConnectionRefused,
            Self::Timeout(_) | Self::Http { .. } => false,
        }
    }
}

/// Error of a request that failed before its response head arrived.
#[derive(Debug, thiserror::Error)]
#[error("failed to send a request to {address}: {source}")]
pub struct SendError {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Whether no byte of the request was sent.
    pub is_unsent: bool,
    /// Bytes of an incomplete response head that arrived.
    pub head_bytes: usize,
    /// Reason for the failure.
    pub source: SendErrorCause,
}

impl SendError {
    /// Returns whether the server sent something else than a response.
    #[must_use]
    pub fn is_invalid_response(&self) -> bool {
        match &self.source {
            SendErrorCause::Http(error) => error.is_parse(),
            SendErrorCause::TooManyInformational => true,
        }
    }
}

/// Reason for a [`SendError`].
#[derive(Debug, thiserror::Error)]
pub enum SendErrorCause {
    /// Error of the HTTP library.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The server sent informational heads only.
    #[error("more than {MAX_INFORMATIONAL_HEADS} informational heads")]
    TooManyInformational,
}

struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

/// Pool that keeps connections to backend servers open between requests.
#[derive(Clone, Default)]
pub struct Pool {
    config: PoolConfig,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    opened: Rc<Cell<u64>>,
}

/// Connection that carries one request at a time; dropping it closes it.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<SegmentedBody>,
    driver: AbortHandle,
    /// Requests what the driver has read behind the last response.
    leftover: Option<oneshot::Sender<oneshot::Sender<Leftover>>>,
    /// Bytes that the driver had read, but not used, when it failed.
    unread_bytes: Rc<Cell<usize>>,
    /// Progress of the last request.
    progress: Rc<RequestProgress>,
    /// Number of connections that the pool opened before.
    number: u64,
    /// Requests that the server refused on this connection.
    refused: Vec<RequestHash>,
    is_reused: bool,
}

/// Connection whose response nobody waits for any more.
pub struct AbandonedResponse {
    leftover: oneshot::Receiver<Leftover>,
    is_reused: bool,
    /// Ends the driver when dropped.
    connection: Connection,
}

impl Connection {
    /// Returns whether the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Closes the connection now, whoever still reads a response of it.
    pub fn close(&self) {
        self.driver.abort();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(config: PoolConfig) -> Self {
        Self {
            config,
            idle: Rc::default(),
            opened: Rc::default(),
        }
    }

    /// Returns an idle connection to an address, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no idle connection and opening one fails.
    pub async fn acquire(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        match self.take_idle(address, None) {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    /// Returns an idle connection to an address on which a request was not refused, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such connection and opening one fails.
    pub async fn acquire_for(
        &self,
        address: SocketAddr,
        request: RequestHash,
    ) -> Result<Connection, ConnectError> {
        match self.take_idle(address, Some(request)) {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    /// Opens a new connection to an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is refused or times out.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        let stream = timeout(self.config.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| ConnectError::Timeout(address))?
            .map_err(|source| ConnectError::Io { address, source })?;
        set_socket_options(&stream).map_err(|source| ConnectError::Io { address, source })?;
        let progress = Rc::<RequestProgress>::default();
        let stream = ServerStream::new(stream, Rc::clone(&progress));
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|source| ConnectError::Http { address, source })?;
        let number = self.opened.get();
        self.opened.set(number + 1);
        let (leftover, requested) = oneshot::channel();
        let unread_bytes = Rc::<Cell<usize>>::default();
        let driver = drive(driver, requested, Rc::clone(&unread_bytes));
        let driver = spawn_local(driver).abort_handle();
        Ok(Connection {
            address,
            sender,
            driver,
            leftover: Some(leftover),
            unread_bytes,
            progress,
            number,
            refused: Vec::new(),
            is_reused: false,
        })
    }

    /// Returns a connection to the pool after its response is complete.
    ///
    /// `stated_keep_alive` is the time for which the server says that it keeps the connection open.
    pub fn release(&self, mut connection: Connection, stated_keep_alive: Option<Duration>) {
        // Half of the stated time, so that the server rarely closes the connection while a request
        // is in transit.
        let idle = stated_keep_alive.map_or(self.config.idle_timeout, |stated_keep_alive| {
            stated_keep_alive.min(self.config.idle_timeout * 2) / 2
        });
        if connection.refused.len() >= MAX_REFUSALS {
            return;
        }
        connection.is_reused = true;
        let mut idle_by_address = self.idle.borrow_mut();
        let connections = idle_by_address.entry(connection.address).or_default();
        if connections.len() < self.config.max_idle_per_address {
            let expires_at = Instant::now() + idle;
            connections.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Closes idle connections that have expired or were closed by their servers.
    pub fn expire(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Takes the idle connection that was used last, unless `request` was refused on it.
    fn take_idle(&self, address: SocketAddr, request: Option<RequestHash>) -> Option<Connection> {
        let now = Instant::now();
        let mut idle_by_address = self.idle.borrow_mut();
        let connections = idle_by_address.get_mut(&address)?;
        for index in (0..connections.len()).rev() {
            let idle = &connections[index];
            if idle.expires_at <= now || !idle.connection.sender.is_ready() {
                connections.remove(index);
            } else if !request.is_some_and(|request| idle.connection.has_refused(request)) {
                return Some(connections.remove(index).connection);
            }
        }
        None
    }
}

impl AbandonedResponse {
    /// Returns whether the connection had carried a request before.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Closes the sending direction and reads the head of the response. Returns `None` if none arrives
    /// within `limit`.
    pub async fn head(self, limit: Duration) -> Option<response::Parts> {
        let Self {
            leftover,
            connection: _connection,
            ..
        } = self;
        let head = async {
            let mut leftover = leftover.await.ok()?;
            leftover.close_sending().await;
            leftover.next_head().await
        };
        timeout(limit, head).await.ok()?
    }
}

impl Connection {
    /// Returns the address of the backend server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of connections that the pool had opened before this one, for the log.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns whether the connection has carried a request before.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Records that the server refused a request on this connection.
    pub fn record_refusal(&mut self, request: RequestHash) {
        self.refused.push(request);
    }

    /// Returns whether the server has refused a request on this connection, and may refuse it once more
    /// with the same bytes.
    #[must_use]
    pub fn has_refused(&self, request: RequestHash) -> bool {
        self.refused.contains(&request)
    }

    /// Gives up the response that is awaited, but not what it may say: the server learns at once that
    /// nobody waits, and the head can still be read. Must be called before the driver runs again after the
    /// request was dropped.
    #[must_use]
    pub fn abandon(mut self) -> Option<AbandonedResponse> {
        let (reply, leftover) = oneshot::channel();
        self.leftover.take()?.send(reply).ok()?;
        Some(AbandonedResponse {
            leftover,
            is_reused: self.is_reused,
            connection: self,
        })
    }

    /// Reads the head of the response that follows the last one, whose body has been read, and closes the
    /// connection. Returns `None` if none arrives within `limit`.
    pub async fn next_head(mut self, limit: Duration) -> Option<response::Parts> {
        let (reply, leftover) = oneshot::channel();
        self.leftover.take()?.send(reply).ok()?;
        let next = async { leftover.await.ok()?.next_head().await };
        timeout(limit, next).await.ok()?
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends before the response head arrives, or if the server
    /// sends something else; the error tells whether anything was sent.
    pub async fn send(
        &mut self,
        mut request: Request<SegmentedBody>,
    ) -> Result<Response<Incoming>, SendError> {
        let too_many = Arc::new(Notify::new());
        limit_informational(&mut request, &too_many);
        self.progress.begin(request.body().length());
        request.body_mut().track(Rc::clone(&self.progress));
        let sent = tokio::select! {
            biased;
            sent = self.sender.try_send_request(request) => sent,
            () = too_many.notified() => {
                return Err(SendError {
                    address: self.address,
                    is_unsent: false,
                    head_bytes: 0,
                    source: SendErrorCause::TooManyInformational,
                });
            }
        };
        sent.map_err(|mut error| SendError {
            address: self.address,
            is_unsent: error.take_message().is_some(),
            head_bytes: self.unread_bytes.get(),
            source: error.into_error().into(),
        })
    }
}

/// Notifies `too_many` when more informational heads precede the response than allowed.
fn limit_informational(request: &mut Request<SegmentedBody>, too_many: &Arc<Notify>) {
    let (too_many, heads) = (Arc::clone(too_many), AtomicUsize::new(0));
    hyper::ext::on_informational(request, move |_| {
        if heads.fetch_add(1, Ordering::Relaxed) == MAX_INFORMATIONAL_HEADS {
            too_many.notify_one();
        }
    });
}
