//! Starts and stops an entry host and owns its threads.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, bounded};
use hickoryhall_http::{BindError, HttpServer, ServerLimits, StopHandle};
use hickoryhall_telemetry::{MetricsError, MetricsPage, SpanLog, root_logger};
use hickoryhall_wire::{Keyring, Peer};
use slog::{Logger, info, o, warn};

use crate::actors::{Core, CoreMsg, CoreParts, Duties, FetchJob, RunnerCounts};
use crate::context::{Context, Lifecycle};
use crate::duties::{run_orders, run_poller, run_watcher};
use crate::edge;
use crate::peers::{TableServer, receive_datagrams, run_fetches};
use crate::settings::Settings;
use crate::shared_table::SharedTable;

/// Number of table fetches that may be queued.
const MAX_QUEUED_FETCHES: usize = 8;
/// Interval at which a shutdown checks whether requests are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time that a stopping host answers probes and refuses requests.
///
/// This lets the load balancer see that the host is no longer ready.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(500);
/// Longest time that callers may take to read their responses after the last request has ended.
const MAX_SEND_TIME: Duration = Duration::from_secs(30);

/// Error from starting a host.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The HTTP address cannot be bound.
    #[error(transparent)]
    Http(#[from] BindError),
    /// The UDP or TCP address for peers cannot be bound.
    #[error("cannot bind the peer address {address}: {source}")]
    Peer {
        /// Address that could not be bound.
        address: SocketAddr,
        /// Error from the operating system.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
    /// The metrics recorder cannot be installed.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// A running entry host; dropping it ends its threads and cuts requests off.
pub struct EntryHost {
    context: Arc<Context>,
    core: Core,
    http_address: SocketAddr,
    peer_address: SocketAddr,
    http_stop: StopHandle,
    http_thread: Option<JoinHandle<()>>,
    threads: Vec<JoinHandle<()>>,
    logger: Logger,
}

/// Sockets for peers, both bound to the same address.
struct PeerSockets {
    socket: UdpSocket,
    listener: TcpListener,
    address: SocketAddr,
}

impl EntryHost {
    /// Starts a host, which is ready for requests once it has a table.
    ///
    /// # Errors
    ///
    /// Returns an error where an address cannot be bound, the metrics recorder cannot be
    /// installed or a thread cannot be started.
    pub fn start(mut settings: Settings) -> Result<Self, StartError> {
        let logger = root_logger(settings.log_format, &settings.host);
        let metrics = MetricsPage::install()?;
        let sockets = bind_peer_sockets(settings.peer_address)?;
        settings.peer_address = sockets.address;
        let limits = ServerLimits {
            workers: settings.limits.workers,
            ..ServerLimits::default()
        };
        let server = HttpServer::bind(settings.http_address, limits)?
            .with_logger(logger.new(o!("part" => "edge")));
        let (http_address, http_stop) = (server.address(), server.stop_handle());
        // The time since the Unix epoch gives a restarted host a higher incarnation.
        let incarnation = wall_clock_ms();
        let keyring = Keyring::new(&settings.peer_secrets);
        let table = SharedTable::default();
        let duties = Arc::new(Duties::default());
        let lifecycle = Arc::new(Lifecycle::default());
        let (fetch_jobs, jobs) = bounded(MAX_QUEUED_FETCHES);
        let parts = CoreParts {
            incarnation,
            socket: sockets.socket.try_clone().map_err(StartError::Thread)?,
            keyring: keyring.clone(),
            table: table.clone(),
            duties: Arc::clone(&duties),
            fetch_jobs,
            lifecycle: Arc::clone(&lifecycle),
            logger: logger.clone(),
        };
        let core = Core::start(&settings, parts).map_err(StartError::Thread)?;
        let context = Arc::new(Context::new(
            settings,
            incarnation,
            core.handle(),
            table,
            metrics,
            lifecycle,
            SpanLog::default(),
        ));
        let mut host = Self {
            context,
            core,
            http_address,
            peer_address: sockets.address,
            http_stop,
            http_thread: None,
            threads: Vec::new(),
            logger,
        };
        host.start_http_thread(server)?;
        host.start_peer_threads(sockets, keyring, jobs)?;
        host.start_platform_threads(duties)?;
        info!(host.logger, "host: Host started."; "http" => %http_address, "peer" => %host.peer_address);
        Ok(host)
    }

    /// Returns the bound HTTP address for callers and operators.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns the bound address for peers, over UDP and TCP.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the revision of the table in use on this host, 0 before the first one.
    #[must_use]
    pub fn table_revision(&self) -> u64 {
        self.context.table.revision()
    }

    /// Returns whether the host accepts requests: it has a table and is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.context.is_ready()
    }

    /// Returns the number of runners whose load this host has received.
    #[must_use]
    pub fn runners_with_load(&self) -> usize {
        self.runner_counts().known
    }

    /// Returns the number of runners that this host sends new requests to.
    #[must_use]
    pub fn serving_runners(&self) -> usize {
        self.runner_counts().serving
    }

    fn runner_counts(&self) -> RunnerCounts {
        let counts = self
            .context
            .core
            .ask(|reply| CoreMsg::RunnerCounts { reply });
        counts.unwrap_or_default()
    }

    /// Returns the number of requests in flight on this host.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.context.lifecycle.in_flight()
    }

    /// Shuts the host down and returns the number of requests that were cut off.
    ///
    /// New requests are refused. The host ends when every request in flight has ended, but not
    /// before `MIN_DRAIN_TIME`, and the callers have read the responses or `MAX_SEND_TIME` has
    /// passed; it ends at once when `abort` returns true.
    pub fn shut_down(mut self, abort: impl Fn() -> bool) -> usize {
        info!(self.logger, "host: Host stops."; "in_flight" => self.in_flight());
        self.context.lifecycle.stop();
        self.context.core.send(CoreMsg::Leave);
        let mut waited = Duration::ZERO;
        while !abort() && (self.in_flight() > 0 || waited < MIN_DRAIN_TIME) {
            thread::sleep(DRAIN_POLL_INTERVAL);
            waited += DRAIN_POLL_INTERVAL;
        }
        let in_flight = self.in_flight();
        if in_flight == 0 {
            self.http_stop.stop(MAX_SEND_TIME);
            while self.is_sending() && !abort() {
                thread::sleep(DRAIN_POLL_INTERVAL);
            }
        }
        self.end();
        let cut_off = in_flight.max(self.http_stop.cut_off());
        if cut_off > 0 {
            warn!(self.logger, "host: Requests cut off."; "count" => cut_off);
        }
        cut_off
    }

    fn is_sending(&self) -> bool {
        let thread = self.http_thread.as_ref();
        thread.is_some_and(|thread| !thread.is_finished())
    }

    fn end(&mut self) {
        self.context.lifecycle.end();
        self.http_stop.stop(Duration::ZERO);
        // The accept loop for peers checks for the end only after a connection, so make one.
        drop(std::net::TcpStream::connect_timeout(
            &self.peer_address,
            Duration::from_secs(1),
        ));
        self.context.core.send(CoreMsg::Stop);
        for thread in self
            .http_thread
            .take()
            .into_iter()
            .chain(self.threads.drain(..))
        {
            // The panic hook has already printed a panic of the thread.
            let _ = thread.join();
        }
    }

    fn start_http_thread(&mut self, server: HttpServer) -> Result<(), StartError> {
        let context = Arc::clone(&self.context);
        let logger = self.part_logger("edge");
        let thread = thread::Builder::new().name("edge".to_owned());
        let thread = thread.spawn(move || {
            let handler = move |request, caller| edge::handle(&context, request, caller);
            if let Err(error) = server.run(handler) {
                warn!(logger, "host: HTTP server failed."; "error" => %error);
            }
        });
        self.http_thread = Some(thread.map_err(StartError::Thread)?);
        Ok(())
    }

    fn start_peer_threads(
        &mut self,
        sockets: PeerSockets,
        keyring: Keyring,
        jobs: Receiver<FetchJob>,
    ) -> Result<(), StartError> {
        let local_peer = Peer {
            host: self.context.settings.host_info().hash,
            incarnation: self.context.incarnation,
        };
        let (context, keys) = (Arc::clone(&self.context), keyring.clone());
        let logger = self.part_logger("peers");
        let socket = sockets.socket;
        self.spawn("peer-datagrams", move || {
            let (core, lifecycle) = (&context.core, &context.lifecycle);
            if let Err(error) = receive_datagrams(&socket, &keys, local_peer.host, core, lifecycle)
            {
                warn!(logger, "host: Receiving peer datagrams failed."; "error" => %error);
            }
        })?;
        let server = TableServer {
            listener: sockets.listener,
            keyring: keyring.clone(),
            local_peer,
            core: self.core.handle(),
            lifecycle: Arc::clone(&self.context.lifecycle),
        };
        self.spawn("peer-tables", move || server.run())?;
        let context = Arc::clone(&self.context);
        let logger = self.part_logger("tables");
        self.spawn("table-fetch", move || {
            run_fetches(
                &jobs,
                local_peer,
                &keyring,
                &context.table,
                &context.core,
                &logger,
            );
        })
    }

    fn start_platform_threads(&self, duties: Arc<Duties>) -> Result<(), StartError> {
        let (context, logger) = (Arc::clone(&self.context), self.part_logger("platform"));
        let shared = Arc::clone(&duties);
        spawn_detached("poller", move || run_poller(&context, &shared, &logger))?;
        let (context, logger) = (Arc::clone(&self.context), self.part_logger("watcher"));
        let shared = Arc::clone(&duties);
        spawn_detached("watcher", move || run_watcher(&context, &shared, &logger))?;
        let (context, logger) = (Arc::clone(&self.context), self.part_logger("orders"));
        spawn_detached("orders", move || run_orders(&context, &duties, &logger))
    }

    fn part_logger(&self, part: &'static str) -> Logger {
        self.logger.new(o!("part" => part))
    }

    fn spawn(&mut self, name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), StartError> {
        let thread = thread::Builder::new().name(name.to_owned()).spawn(run);
        self.threads.push(thread.map_err(StartError::Thread)?);
        Ok(())
    }
}

impl Drop for EntryHost {
    fn drop(&mut self) {
        self.end();
    }
}

/// Starts a thread that is not joined, since a call to the platform may outlast the host's end.
fn spawn_detached(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), StartError> {
    let thread = thread::Builder::new().name(name.to_owned()).spawn(run);
    thread.map(drop).map_err(StartError::Thread)
}

/// Binds both sockets; for port 0, the UDP socket uses the port that the TCP listener was given.
fn bind_peer_sockets(address: SocketAddr) -> Result<PeerSockets, StartError> {
    let error = |source| StartError::Peer { address, source };
    let listener = TcpListener::bind(address).map_err(error)?;
    let address = listener.local_addr().map_err(error)?;
    let socket = UdpSocket::bind(address).map_err(error)?;
    Ok(PeerSockets {
        socket,
        listener,
        address,
    })
}

fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
