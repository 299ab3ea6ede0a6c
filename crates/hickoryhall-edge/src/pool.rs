//! Kept connections to backend servers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use crate::tune;

/// Settings of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// Time for a new connection.
    pub connect: Duration,
    /// Time for which a connection is kept idle where its peer states none.
    pub idle: Duration,
    /// Idle connections kept to one address.
    pub idle_per_address: usize,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(300),
            idle: Duration::from_secs(4),
            idle_per_address: 64,
        }
    }
}

/// A connection could not be opened; nothing was sent on it.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// It took too long.
    #[error("connecting to {0} took too long")]
    Timeout(SocketAddr),
    /// It was refused or reset.
    #[error("connecting to {address}: {source}")]
    Io {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// The HTTP library refused it.
    #[error("connecting to {address}: {source}")]
    Http {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: hyper::Error,
    },
}

/// An attempt failed before the head of its answer.
#[derive(Debug, thiserror::Error)]
#[error("sending to {address}: {source}")]
pub struct SendError {
    /// Address.
    pub address: SocketAddr,
    /// Whether no byte of the request has left this host.
    pub is_unsent: bool,
    /// Cause.
    pub source: hyper::Error,
}

struct Idle {
    connection: Connection,
    until: Instant,
}

/// Connections to backend servers, kept between requests.
#[derive(Clone, Default)]
pub struct Pool {
    config: PoolConfig,
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>,
}

/// A connection for one request at a time; dropping it closes it.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    is_reused: bool,
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
        }
    }

    /// Returns a kept connection, or opens one.
    ///
    /// # Errors
    ///
    /// Returns an error where no connection can be opened.
    pub async fn connection(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        match self.take_idle(address) {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error where it is refused or takes too long.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        let stream = timeout(self.config.connect, TcpStream::connect(address))
            .await
            .map_err(|_| ConnectError::Timeout(address))?
            .map_err(|source| ConnectError::Io { address, source })?;
        tune(&stream).map_err(|source| ConnectError::Io { address, source })?;
        let (sender, driver) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|source| ConnectError::Http { address, source })?;
        // The request on the connection meets the driver's error itself.
        let driver = spawn_local(async move { drop(driver.await) }).abort_handle();
        Ok(Connection {
            address,
            sender,
            driver,
            is_reused: false,
        })
    }

    /// Keeps a connection whose answer is complete, for as long as its peer says it stays open.
    pub fn keep(&self, mut connection: Connection, stated: Option<Duration>) {
        // Half of the stated time, so that the peer's close hardly ever crosses a request.
        let idle = stated.map_or(self.config.idle, |stated| {
            stated.min(self.config.idle * 2) / 2
        });
        connection.is_reused = true;
        let mut all = self.idle.borrow_mut();
        let kept = all.entry(connection.address).or_default();
        if kept.len() < self.config.idle_per_address {
            let until = Instant::now() + idle;
            kept.push(Idle { connection, until });
        }
    }

    /// Closes idle connections that are overdue or ended by their peers.
    pub fn expire(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| idle.until > now && !idle.connection.sender.is_closed());
            !kept.is_empty()
        });
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut all = self.idle.borrow_mut();
        let kept = all.get_mut(&address)?;
        while let Some(idle) = kept.pop() {
            if idle.until > now && idle.connection.sender.is_ready() {
                return Some(idle.connection);
            }
        }
        None
    }
}

impl Connection {
    /// Returns the peer's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells whether the connection has carried a request before.
    #[must_use]
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns an error where the connection ends before, and whether anything was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| SendError {
            address: self.address,
            is_unsent: error.take_message().is_some(),
            source: error.into_error(),
        })
    }
}
