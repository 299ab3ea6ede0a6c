//! A running entry host: its threads, its start and its stop.

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
use crate::table_view::TableView;

/// Fetches of tables that may wait.
const FETCH_QUEUE: usize = 8;
/// Time between two looks at the requests in flight during a shutdown.
const DRAIN_CHECK: Duration = Duration::from_millis(20);
/// Time for which a stopping host still answers probes and refuses, so that the balancer sees it.
const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// A host that could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address for callers cannot be used.
    #[error(transparent)]
    Http(#[from] BindError),
    /// The address of the inner protocol cannot be used.
    #[error("inner protocol at {address}: {source}")]
    Peer {
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("starting a thread: {0}")]
    Thread(io::Error),
    /// Metrics cannot be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// A running entry host.
pub struct EntryHost {
    context: Arc<Context>,
    core: Core,
    http_address: SocketAddr,
    peer_address: SocketAddr,
    http_stop: StopHandle,
    threads: Vec<JoinHandle<()>>,
    logger: Logger,
}

struct Links {
    socket: UdpSocket,
    listener: TcpListener,
    address: SocketAddr,
}

impl EntryHost {
    /// Starts a host; it is ready as soon as it has a table.
    ///
    /// # Errors
    ///
    /// Returns an error where an address cannot be used or a thread cannot be started.
    pub fn start(mut settings: Settings) -> Result<Self, StartError> {
        let logger = root_logger(settings.log_format, &settings.host);
        let metrics = MetricsPage::install()?;
        let links = bind_links(settings.peer_address)?;
        settings.peer_address = links.address;
        let limits = ServerLimits {
            workers: settings.limits.workers,
            ..ServerLimits::default()
        };
        let server = HttpServer::bind(settings.http_address, limits)?
            .with_logger(logger.new(o!("part" => "edge")));
        let (http_address, http_stop) = (server.address(), server.stop_handle());
        let incarnation = wall_clock_ms();
        let keyring = Keyring::new(&settings.peer_secrets);
        let table = TableView::default();
        let duties = Arc::new(Duties::default());
        let lifecycle = Arc::new(Lifecycle::default());
        let (fetches, jobs) = bounded(FETCH_QUEUE);
        let parts = CoreParts {
            incarnation,
            socket: links.socket.try_clone().map_err(StartError::Thread)?,
            keyring: keyring.clone(),
            table: table.clone(),
            duties: Arc::clone(&duties),
            fetches,
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
            peer_address: links.address,
            http_stop,
            threads: Vec::new(),
            logger,
        };
        host.start_edge(server)?;
        host.start_links(links, keyring, jobs)?;
        host.start_duties(duties)?;
        info!(host.logger, "host: Host started."; "http" => %http_address, "peer" => %host.peer_address);
        Ok(host)
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns the address of the inner protocol.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the table revision in force here, 0 for none.
    #[must_use]
    pub fn table_revision(&self) -> u64 {
        self.context.table.revision()
    }

    /// Tells whether the host takes requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.context.is_ready()
    }

    /// Returns the number of runners whose load this host has seen.
    #[must_use]
    pub fn known_runners(&self) -> usize {
        self.runner_counts().known
    }

    /// Returns the number of runners that this host gives new work to.
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

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.context.lifecycle.in_flight()
    }

    /// Stops taking requests, waits until every request in flight has ended or `cut` says to end
    /// at once, and ends the host; returns the number of requests that were cut off.
    pub fn shut_down(mut self, cut: impl Fn() -> bool) -> usize {
        info!(self.logger, "host: Host stops."; "in_flight" => self.in_flight());
        self.context.lifecycle.stop();
        self.context.core.send(CoreMsg::Leave);
        let mut waited = Duration::ZERO;
        while !cut() && (self.in_flight() > 0 || waited < DRAIN_GRACE) {
            thread::sleep(DRAIN_CHECK);
            waited += DRAIN_CHECK;
        }
        let cut_off = self.in_flight();
        if cut_off > 0 {
            warn!(self.logger, "host: Requests cut off."; "count" => cut_off);
        }
        self.end();
        cut_off
    }

    fn end(&mut self) {
        self.context.lifecycle.end();
        self.http_stop.stop();
        // The thread that accepts peers sees the end with its next connection.
        drop(std::net::TcpStream::connect_timeout(
            &self.peer_address,
            Duration::from_secs(1),
        ));
        self.context.core.send(CoreMsg::Stop);
        for thread in self.threads.drain(..) {
            // A panic of the thread has been printed already.
            let _ = thread.join();
        }
    }

    fn start_edge(&mut self, server: HttpServer) -> Result<(), StartError> {
        let context = Arc::clone(&self.context);
        let logger = self.part("edge");
        self.spawn("edge", move || {
            let handler = move |request, caller| edge::handle(&context, request, caller);
            if let Err(error) = server.run(handler) {
                warn!(logger, "host: Callers are not served."; "error" => %error);
            }
        })
    }

    fn start_links(
        &mut self,
        links: Links,
        keyring: Keyring,
        jobs: Receiver<FetchJob>,
    ) -> Result<(), StartError> {
        let me = Peer {
            host: self.context.settings.host_info().hash,
            incarnation: self.context.incarnation,
        };
        let (context, keys) = (Arc::clone(&self.context), keyring.clone());
        let logger = self.part("peers");
        let socket = links.socket;
        self.spawn("peer-datagrams", move || {
            let (core, lifecycle) = (&context.core, &context.lifecycle);
            if let Err(error) = receive_datagrams(&socket, &keys, me.host, core, lifecycle) {
                warn!(logger, "host: Datagrams are not received."; "error" => %error);
            }
        })?;
        let server = TableServer {
            listener: links.listener,
            keyring: keyring.clone(),
            me,
            core: self.core.handle(),
            lifecycle: Arc::clone(&self.context.lifecycle),
        };
        self.spawn("peer-tables", move || server.run())?;
        let context = Arc::clone(&self.context);
        let logger = self.part("tables");
        self.spawn("table-fetch", move || {
            run_fetches(&jobs, me, &keyring, &context.table, &context.core, &logger);
        })
    }

    fn start_duties(&self, duties: Arc<Duties>) -> Result<(), StartError> {
        let (context, logger) = (Arc::clone(&self.context), self.part("platform"));
        let held = Arc::clone(&duties);
        spawn_detached("poller", move || run_poller(&context, &held, &logger))?;
        let (context, logger) = (Arc::clone(&self.context), self.part("watcher"));
        let held = Arc::clone(&duties);
        spawn_detached("watcher", move || run_watcher(&context, &held, &logger))?;
        let (context, logger) = (Arc::clone(&self.context), self.part("orders"));
        spawn_detached("orders", move || run_orders(&context, &duties, &logger))
    }

    fn part(&self, part: &'static str) -> Logger {
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

/// Starts a thread that may wait on the platform for a while after the host has ended.
fn spawn_detached(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), StartError> {
    let thread = thread::Builder::new().name(name.to_owned()).spawn(run);
    thread.map(drop).map_err(StartError::Thread)
}

fn bind_links(address: SocketAddr) -> Result<Links, StartError> {
    let error = |source| StartError::Peer { address, source };
    let listener = TcpListener::bind(address).map_err(error)?;
    let address = listener.local_addr().map_err(error)?;
    let socket = UdpSocket::bind(address).map_err(error)?;
    Ok(Links {
        socket,
        listener,
        address,
    })
}

fn wall_clock_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
