//! Starts a host with all its tasks, runs it and stops it gracefully.

mod pages;
mod server_configs;

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hickoryhall_edge::{Connections, Pool, PoolConfig, serve};
use hickoryhall_limits::CONNECTION_BYTES;
use hickoryhall_telemetry::{MetricsError, MetricsPage};
use hickoryhall_types::hash_name;
use metrics::gauge;
use slog::{Logger, error, info, o, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::core::{Core, CoreConfig, CoreHandle};
use crate::exchange::{ForwardedHandler, Gateway};
use crate::feeds::{FeedKind, Feeds};
use crate::interface::Platform;
use crate::orders::{OrderTask, OrderTaskConfig};
use crate::peers::{Directory, LocalHost, Peers, PeersConfig};
use crate::scheduler::SchedulerConfig;
use crate::settings::{Settings, SettingsError};
use crate::store_client::StoreClient;
use crate::stream_record::StreamRecorder;
use crate::version_record::VersionRecorder;
use pages::{MetricsHandler, Readiness};
use server_configs::{ServerConfigs, with_limit};

/// Time for which a stopping host still accepts requests: the load balancer stops sending
/// connections only after two failed readiness checks, one second apart.
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(2_600);
/// Time before the process is killed at which a stopping host exits by itself.
const STOP_MARGIN: Duration = Duration::from_millis(350);
/// Time before that in which all requests are answered that have no response yet.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(400);
/// Time that the last weight changes of a stopping lease holder, and giving the lease back, may take.
const LAST_ORDERS_TIME: Duration = Duration::from_millis(2_400);
/// Maximum number of request ids in the log line of the requests that a stop cuts off.
const MAX_LOGGED_REQUESTS: usize = 16;
/// Interval at which expired idle connections are closed, and connection limits and gauges updated.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest lease of the lease holder that gives orders: it must outlast a few lost renewals.
const MIN_ORDER_LEASE: Duration = Duration::from_millis(1_800);

/// The host could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address could not be bound.
    #[error("cannot listen for {what} on {address}: {source}")]
    Address {
        /// Purpose of the address, such as `callers` or `peers`.
        what: &'static str,
        /// The address that could not be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Signal handlers could not be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(io::Error),
    /// Metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The settings file is unreadable, malformed or holds an invalid value.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Runs a host until it receives `SIGTERM` or `SIGINT`; must be called inside a
/// [`tokio::task::LocalSet`].
///
/// # Errors
///
/// Returns an error if an address cannot be bound or metrics cannot be set up.
pub async fn run<P: Platform>(
    signals: Signals,
    settings_path: PathBuf,
    settings: Settings,
    platform: P,
    logger: Logger,
) -> Result<(), StartError> {
    let host = Host::start(&settings, platform, &logger).await?;
    info!(
        logger, "host: Host started.";
        "failure_domain" => &settings.failure_domain, "callers" => %settings.callers,
        "readiness" => %settings.readiness, "peer_port" => settings.peer_port,
        "version" => env!("CARGO_PKG_VERSION"),
        "first_start" => settings.is_first_start
    );
    host.run_until_stopped(signals, &settings_path, settings.bounds.grace_period())
        .await;
    Ok(())
}

/// Signals that a host handles: `SIGTERM` and `SIGINT` stop it, `SIGHUP` reloads the settings.
///
/// Signals that arrive before [`run`] wait for it.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers; a process must do this before anything else, because it is
    /// killed by signals without a handler.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system refuses a handler.
    ///
    /// # Panics
    ///
    /// Panics if it is called outside a tokio runtime.
    pub fn install() -> Result<Self, StartError> {
        let install = |kind| signal(kind).map_err(StartError::Signals);
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
        })
    }
}

/// A host whose tasks are running.
struct Host<P> {
    gateway: Rc<Gateway<P>>,
    connections: Rc<Connections>,
    configs: ServerConfigs,
    /// Accept connections of callers and of peers until they are aborted.
    acceptors: [JoinHandle<()>; 2],
    /// Whether this host holds the lease for orders.
    holds_lease: watch::Receiver<bool>,
    stop: watch::Sender<bool>,
    logger: Logger,
}

impl<P: Platform> Host<P> {
    async fn start(settings: &Settings, platform: P, logger: &Logger) -> Result<Self, StartError> {
        let metrics = MetricsPage::install()?;
        let budgets = settings.limits.budgets();
        let platform = Rc::new(platform);
        let part = |name: &'static str| logger.new(o!("part" => name));
        let core = CoreHandle::start(core_config(settings), part("core"));
        let store = Rc::new(StoreClient::new(Rc::clone(&platform), part("store")));
        let feeds = Feeds::new(
            Rc::clone(&platform),
            Rc::clone(&store),
            core.clone(),
            part("feeds"),
        );
        let feeds = Rc::new(feeds);
        let callers = listen("callers", settings.callers).await?;
        let readiness = listen("readiness", settings.readiness).await?;
        let (peers, records_listener) = bind_peers(settings, &core, &feeds, part("peers")).await?;
        let forwarding_port = settings.forwarding_port();
        let forwarding = SocketAddr::from((settings.ip, forwarding_port));
        let forwarding = listen("forwarded requests", forwarding).await?;
        let pool = Pool::new(PoolConfig::default());
        let gateway = Gateway::new(
            Rc::clone(&platform),
            core.clone(),
            pool.clone(),
            forwarding_port,
            &budgets,
            part("exchange"),
        );
        let gateway = Rc::new(gateway);
        let (stop, stopping) = watch::channel(false);
        let configs = ServerConfigs::new(&budgets);
        let connections = Rc::<Connections>::default();
        spawn_core(&core, &configs, &pool, &gateway, &connections);
        let prober = Rc::clone(&gateway);
        spawn_local(async move { prober.probe_services().await });
        let reader = Rc::clone(&gateway);
        spawn_local(async move { reader.read_late_answers().await });
        spawn_feeds(&feeds);
        spawn_recorders(&store, &core, part);
        spawn_peers(&peers, records_listener, budgets.records);
        let directory = Directory::new(
            Rc::clone(&peers),
            Rc::clone(&store),
            core.clone(),
            part("directory"),
        );
        spawn_local(async move { directory.run().await });
        let orders = OrderTask::new(
            order_task_config(settings),
            platform,
            store,
            core.clone(),
            peers,
            stopping.clone(),
            part("orders"),
        );
        let holds_lease = orders.holds_lease();
        spawn_local(async move { orders.run().await });
        let edge = part("edge");
        let ready = Readiness {
            core,
            stopping: stopping.clone(),
        };
        spawn_local(serve(
            readiness,
            Rc::new(ready),
            with_limit(budgets.readiness),
            stopping.clone(),
            Rc::clone(&connections),
            edge.clone(),
        ));
        if let Some(port) = settings.metrics_port {
            let listener = listen("metrics", SocketAddr::from((settings.ip, port))).await?;
            let page = Rc::new(MetricsHandler(metrics));
            spawn_local(serve(
                listener,
                page,
                with_limit(budgets.metrics),
                stopping.clone(),
                Rc::clone(&connections),
                edge.clone(),
            ));
        }
        let forwarding = spawn_local(serve(
            forwarding,
            Rc::new(ForwardedHandler(Rc::clone(&gateway))),
            Rc::clone(&configs.forwarding),
            stopping.clone(),
            Rc::clone(&connections),
            edge.clone(),
        ));
        let callers = spawn_local(serve(
            callers,
            Rc::clone(&gateway),
            Rc::clone(&configs.callers),
            stopping,
            Rc::clone(&connections),
            edge,
        ));
        Ok(Self {
            gateway,
            connections,
            configs,
            acceptors: [callers, forwarding],
            holds_lease,
            stop,
            logger: part("host"),
        })
    }

    /// Handles signals until one of them stops the host, then drains it.
    async fn run_until_stopped(self, mut signals: Signals, settings_path: &Path, grace: Duration) {
        loop {
            tokio::select! {
                _ = signals.terminate.recv() => break,
                _ = signals.interrupt.recv() => break,
                _ = signals.hangup.recv() => self.reload(settings_path),
            }
        }
        self.drain(grace).await;
    }

    /// Reads the settings again and applies the retry limit, and the limits of the machine except the
    /// memory for responses. Changes of other settings need a restart, so they are only checked.
    fn reload(&self, path: &Path) {
        match Settings::read(path) {
            Ok(settings) => {
                self.gateway.core().with(|core, _| {
                    core.set_retry_limit(settings.bounds.retry_limit());
                });
                let budgets = settings.limits.budgets();
                self.gateway.set_body_budget(budgets.body_bytes);
                self.configs.set_budgets(&budgets);
                info!(self.logger, "host: Settings read again."; "path" => %path.display());
            }
            Err(error) => {
                error!(
                    self.logger,
                    "host: Settings file cannot be used. The previous settings remain in force.";
                    "error" => %error
                );
            }
        }
    }

    /// Waits until the callers of all requests that were read have got their responses.
    async fn drain_connections(&self) {
        self.connections.drained().await;
        // Only refusals are left to send. New connections could go on forever, so they end here; the
        // system resets those that have not been accepted, so that their requests count as unread.
        self.acceptors.iter().for_each(JoinHandle::abort);
        self.connections.drained().await;
    }

    /// Answers what is left in the little time before the end: requests that wait for a server first,
    /// then those whose servers have not answered. Returns whether all callers got their responses.
    async fn answer_all(
        &self,
        time_left: Duration,
        mut drained: Pin<&mut impl Future<Output = ()>>,
    ) -> bool {
        self.gateway.core().with(Core::stop_waiting);
        if timeout(time_left / 2, drained.as_mut()).await.is_ok() {
            return true;
        }
        self.gateway.end_requests();
        timeout(time_left / 2, drained).await.is_ok()
    }

    /// Accepts requests until the load balancer has noticed the stop, and waits until the callers of
    /// all requests have got their responses.
    async fn drain(&self, grace: Duration) {
        let started = Instant::now();
        let counts = self.connections.counts();
        info!(
            self.logger, "host: Host stops."; "in_flight" => self.gateway.in_flight(),
            "connections" => counts.open, "unanswered" => counts.unanswered,
            "unsent_bytes" => counts.unsent_bytes
        );
        // Sending fails only without receivers; the tasks that hold them outlive this function.
        let _ = self.stop.send(true);
        let max_drain_time = max_drain_time(grace);
        sleep(STOP_ACCEPT_TIME.min(max_drain_time)).await;
        self.gateway.close();
        let mut drained = pin!(self.drain_connections());
        let time_left = |limit: Duration| limit.saturating_sub(started.elapsed());
        let time_to_wait = time_left(max_drain_time.saturating_sub(LAST_ANSWERS_TIME));
        let is_drained = match timeout(time_to_wait, drained.as_mut()).await {
            Ok(()) => true,
            Err(_) => {
                self.answer_all(max_drain_time.saturating_sub(started.elapsed()), drained)
                    .await
            }
        };
        let mut holds_lease = self.holds_lease.clone();
        let given_back = holds_lease.wait_for(|holds_lease| !holds_lease);
        if timeout(time_left(max_drain_time), given_back)
            .await
            .is_err()
        {
            warn!(
                self.logger,
                "host: The lease for orders is not given back before the end."
            );
        }
        let counts = self.connections.counts();
        if !is_drained && counts.unanswered > 0 {
            let requests = self.connections.unanswered_ids(MAX_LOGGED_REQUESTS);
            warn!(
                self.logger, "host: Requests cut off by the stop."; "count" => counts.unanswered,
                "unsent_bytes" => counts.unsent_bytes, "requests" => requests.join(" ")
            );
        }
        info!(
            self.logger, "host: Host stopped."; "after_ms" => started.elapsed().as_millis(),
            "connections" => counts.open, "unclosed" => counts.closing,
            "closed_unsent" => self.connections.closed_unsent()
        );
    }
}

/// Returns the time after the stop signal at which a process exits at the latest.
fn max_drain_time(grace: Duration) -> Duration {
    grace.saturating_sub(STOP_MARGIN)
}

fn core_config(settings: &Settings) -> CoreConfig {
    let host = hash_name(&settings.host);
    let mut scheduler = SchedulerConfig::new(host, settings.failure_domain.as_str().into());
    scheduler.old_weights_limit = settings.bounds.old_weights_limit();
    scheduler.old_weights_end = settings.bounds.old_weights_end();
    scheduler.crossing = settings.crossing.map(|crossing| crossing.prices());
    CoreConfig {
        host,
        scheduler,
        retry_limit: settings.bounds.retry_limit(),
        restarted_at: (!settings.is_first_start).then(Instant::now),
    }
}

fn order_task_config(settings: &Settings) -> OrderTaskConfig {
    OrderTaskConfig {
        host: format!("{}@{}", settings.host, settings.ip),
        handover: settings.bounds.handover(),
        lease_ttl: MIN_ORDER_LEASE.max(settings.bounds.min_lease()),
        stop_time: max_drain_time(settings.bounds.grace_period()).saturating_sub(LAST_ORDERS_TIME),
    }
}

async fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| StartError::Address {
        what,
        address,
        source,
    })
}

async fn bind_peers<P: Platform>(
    settings: &Settings,
    core: &CoreHandle,
    feeds: &Rc<Feeds<P>>,
    logger: Logger,
) -> Result<(Rc<Peers<P>>, TcpListener), StartError> {
    let config = PeersConfig {
        local_host: LocalHost {
            ip: settings.ip,
            host: hash_name(&settings.host),
            domain: hash_name(&settings.failure_domain),
        },
        port: settings.peer_port,
        seeds: settings.seed_ips(),
    };
    let bound = Peers::bind(config, core.clone(), Rc::clone(feeds), logger).await;
    bound.map_err(|source| StartError::Address {
        what: "peers",
        address: SocketAddr::from((settings.ip, settings.peer_port)),
        source,
    })
}

fn spawn_core<P: Platform>(
    core: &CoreHandle,
    configs: &ServerConfigs,
    pool: &Pool,
    gateway: &Rc<Gateway<P>>,
    connections: &Rc<Connections>,
) {
    let actor = core.clone();
    spawn_local(async move { actor.run().await });
    let (core, configs) = (core.clone(), configs.clone());
    let (pool, gateway) = (pool.clone(), Rc::clone(gateway));
    let connections = Rc::clone(connections);
    spawn_local(async move {
        loop {
            sleep(SWEEP_INTERVAL).await;
            pool.expire();
            if let Some(table) = core.with(|core, _| core.table()) {
                configs.set_table_limits(table.limits());
                gauge!("table_revision").set(table.revision() as f64);
            }
            core.with(|core, _| core.set_speed_metrics());
            gauge!("requests_in_flight").set(gateway.in_flight() as f64);
            gateway.report_memory();
            server_configs::report(&connections, CONNECTION_BYTES);
        }
    });
}

fn spawn_feeds<P: Platform>(feeds: &Rc<Feeds<P>>) {
    for kind in [FeedKind::Operator, FeedKind::Registry] {
        let feeds = Rc::clone(feeds);
        spawn_local(async move { feeds.follow(kind).await });
    }
    let confirming = Rc::clone(feeds);
    spawn_local(async move { confirming.confirm_registry().await });
    let feeds = Rc::clone(feeds);
    spawn_local(async move { feeds.watch_for_stalls().await });
}

/// Starts the tasks that keep in the store what a host has to know of streams that began before it.
fn spawn_recorders<P: Platform>(
    store: &Rc<StoreClient<P>>,
    core: &CoreHandle,
    part: impl Fn(&'static str) -> Logger,
) {
    let versions = VersionRecorder::new(Rc::clone(store), core.clone(), part("versions"));
    spawn_local(async move { versions.run().await });
    let streams = StreamRecorder::new(Rc::clone(store), core.clone(), part("streams"));
    let streams = Rc::new(streams);
    let saving = Rc::clone(&streams);
    spawn_local(async move { saving.save().await });
    let saving = Rc::clone(&streams);
    spawn_local(async move { saving.save_in_background().await });
    spawn_local(async move { streams.load().await });
}

fn spawn_peers<P: Platform>(peers: &Rc<Peers<P>>, listener: TcpListener, max_records: usize) {
    let sender = Rc::clone(peers);
    spawn_local(async move { sender.send_digests().await });
    let teller = Rc::clone(peers);
    spawn_local(async move { teller.tell_streams().await });
    let asker = Rc::clone(peers);
    spawn_local(async move { asker.ask_about_streams().await });
    let group_digest_sender = Rc::clone(peers);
    spawn_local(async move { group_digest_sender.send_group_digests().await });
    let receiver = Rc::clone(peers);
    spawn_local(async move { receiver.receive_digests().await });
    let fetcher = Rc::clone(peers);
    spawn_local(async move { fetcher.fetch_records().await });
    let server = Rc::clone(peers);
    spawn_local(async move { server.serve_records(listener, max_records).await });
}
