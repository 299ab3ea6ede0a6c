//! A fleet in one process: entry hosts, and stand-ins for the platform and the backend servers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hickoryhall_clients::StoreClient;
use hickoryhall_entry::{
    ApplyError, EntryHost, HostLimits, Settings, StartError, TableChange, TableStore,
};
use hickoryhall_http::BindError;
use hickoryhall_limits::FleetShape;
use hickoryhall_standins::engine::{EngineConfig, EngineServer};
use hickoryhall_standins::hosts::{HostListEntry, HostListEntryKind, HostListServer};
use hickoryhall_standins::service::ServiceServer;
use hickoryhall_standins::store::StoreServer;
use hickoryhall_table::{Row, Table};
use hickoryhall_telemetry::LogFormat;

use crate::operator::OperatorClient;

/// Name of the model that every runner of a fleet serves.
pub const MODEL: &str = "planner";
/// Name of the plain service, whose calls must not be repeated according to the initial table.
pub const SERVICE: &str = "booking";
/// Key that the hosts accept from operators.
pub const OPERATOR_KEY: &str = "operator-key";
/// Secret that the hosts share to authenticate messages between them.
const PEER_SECRET: &str = "a secret of this process";
/// Time between two checks of a condition that [`Fleet::wait_until`] waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Size and behaviour of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of failure domains.
    pub domains: u32,
    /// Number of entry hosts in each failure domain.
    pub hosts_per_domain: u32,
    /// Number of runners in each failure domain.
    pub runners_per_domain: u32,
    /// Number of servers of the plain service in each failure domain.
    pub services_per_domain: u32,
    /// Number of workspaces in the initial table.
    pub workspaces: u32,
    /// Rates and limits of every runner's engine.
    pub engine: EngineConfig,
    /// Time until readers of the platform's host list see a change.
    pub host_list_lag: Duration,
    /// Whether runners refuse orders with an old fencing number. If not, the hosts' settings
    /// list the model as unfenced.
    pub check_fencing: bool,
    /// Limits in the settings of every host.
    pub limits: HostLimits,
    /// Format of the hosts' log lines.
    pub log_format: LogFormat,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            domains: 3,
            hosts_per_domain: 2,
            runners_per_domain: 3,
            services_per_domain: 1,
            workspaces: 8,
            engine: EngineConfig::default(),
            host_list_lag: Duration::ZERO,
            check_fencing: true,
            limits: HostLimits {
                control_bytes_per_s: 60_000,
                ..HostLimits::default()
            },
            log_format: LogFormat::Off,
        }
    }
}

/// Error of starting or changing a fleet, or of waiting for a state of it.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A stand-in cannot listen on its address.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// An entry host cannot start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// The platform's store did not accept the initial table.
    #[error(transparent)]
    Table(#[from] ApplyError),
    /// A condition, described by the text, did not hold in time.
    #[error("condition not met in time: {0}")]
    TimedOut(&'static str),
}

/// A running fleet.
///
/// Fields are dropped in the order of their declaration, so that the hosts stop first.
pub struct Fleet {
    /// Entry hosts by index; `None` for a host that is stopped.
    pub hosts: Vec<Option<EntryHost>>,
    /// Stand-ins for the runners.
    pub runners: Vec<EngineServer>,
    /// Stand-ins for the servers of the plain service.
    pub services: Vec<ServiceServer>,
    /// Stand-in for the platform's store.
    pub store: StoreServer,
    /// Stand-in for the platform's host list.
    pub host_list: HostListServer,
    config: FleetConfig,
}

impl Fleet {
    /// Starts a fleet and waits until every host is ready and knows the load of every runner.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in or a host cannot start, the store does not accept the initial
    /// table, or the hosts are not ready within 10 seconds.
    pub fn start(config: FleetConfig) -> Result<Self, FleetError> {
        let store = StoreServer::start(any_port())?;
        let host_list = HostListServer::start(any_port(), config.host_list_lag)?;
        let mut runners = Vec::new();
        let mut services = Vec::new();
        for index in 0..config.domains * config.runners_per_domain {
            let name = runner_name(index);
            let fenced = config.check_fencing;
            runners.push(EngineServer::start(
                any_port(),
                &name,
                MODEL,
                fenced,
                config.engine,
            )?);
        }
        for index in 0..config.domains * config.services_per_domain {
            services.push(ServiceServer::start(any_port(), &service_name(index))?);
        }
        store_initial_table(store.address(), config.workspaces)?;
        let mut fleet = Self {
            hosts: Vec::new(),
            runners,
            services,
            store,
            host_list,
            config,
        };
        for index in 0..fleet.config.domains * fleet.config.hosts_per_domain {
            let host = EntryHost::start(fleet.settings(index))?;
            fleet.hosts.push(Some(host));
        }
        fleet.publish_host_list(&[]);
        fleet.wait_until(
            "all hosts are ready",
            Duration::from_secs(10),
            Self::are_hosts_ready,
        )?;
        fleet.wait_until(
            "every host knows the load of every runner",
            Duration::from_secs(10),
            Self::are_runners_known,
        )?;
        Ok(fleet)
    }

    /// Returns the address of a host for callers.
    ///
    /// # Panics
    ///
    /// Panics if the host is stopped.
    #[must_use]
    pub fn address(&self, host: usize) -> SocketAddr {
        self.hosts[host]
            .as_ref()
            .expect("a running host")
            .http_address()
    }

    /// Returns the addresses of the running hosts for callers.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.hosts
            .iter()
            .flatten()
            .map(EntryHost::http_address)
            .collect()
    }

    /// Returns a client of the operators' API of a host.
    #[must_use]
    pub fn operator(&self, host: usize) -> OperatorClient {
        OperatorClient::new(self.address(host), OPERATOR_KEY)
    }

    /// Returns the incarnations of the runners, which change with each restart of a runner.
    #[must_use]
    pub fn incarnations(&self) -> Vec<u64> {
        self.runners.iter().map(EngineServer::incarnation).collect()
    }

    /// Removes a host from the fleet and returns it, so that it can be shut down.
    pub fn take_host(&mut self, host: usize) -> Option<EntryHost> {
        self.hosts[host].take()
    }

    /// Starts a host again on new ports and publishes the host list with them.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot start.
    pub fn start_host(&mut self, host: usize) -> Result<(), FleetError> {
        let started = EntryHost::start(self.settings(host as u32))?;
        self.hosts[host] = Some(started);
        self.publish_host_list(&[]);
        Ok(())
    }

    /// Publishes the host list, in which the runners with these indexes are leaving.
    pub fn publish_host_list(&self, leaving_runners: &[usize]) {
        let mut list = Vec::new();
        for (index, host) in self.hosts.iter().enumerate() {
            let Some(host) = host else { continue };
            list.push(self.list_entry(
                HostListEntryKind::Entry,
                &host_name(index as u32),
                index,
                host.peer_address(),
            ));
        }
        for (index, runner) in self.runners.iter().enumerate() {
            let name = runner_name(index as u32);
            let mut entry =
                self.list_entry(HostListEntryKind::Runner, &name, index, runner.address());
            entry.leaving = leaving_runners.contains(&index);
            list.push(entry);
        }
        for (index, service) in self.services.iter().enumerate() {
            let name = service_name(index as u32);
            list.push(self.list_entry(HostListEntryKind::Service, &name, index, service.address()));
        }
        self.host_list.set(list);
    }

    /// Waits until a condition holds; `what` describes it in the error.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition does not hold within `timeout`.
    pub fn wait_until(
        &self,
        what: &'static str,
        timeout: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Result<(), FleetError> {
        let started = Instant::now();
        while !holds(self) {
            if started.elapsed() > timeout {
                return Err(FleetError::TimedOut(what));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn are_hosts_ready(&self) -> bool {
        self.hosts.iter().flatten().all(EntryHost::is_ready)
    }

    fn are_runners_known(&self) -> bool {
        self.hosts
            .iter()
            .flatten()
            .all(|host| host.runners_with_load() == self.runners.len())
    }

    fn settings(&self, index: u32) -> Settings {
        Settings {
            host: host_name(index),
            failure_domain: self.domain(index as usize),
            http_address: any_port(),
            peer_address: any_port(),
            store_address: self.store.address(),
            host_list_address: self.host_list.address(),
            peer_secrets: vec![PEER_SECRET.to_owned()],
            operator_key_hash: blake3::hash(OPERATOR_KEY.as_bytes()).to_hex().to_string(),
            peers: Vec::new(),
            fleet: FleetShape {
                domains: self.config.domains,
                hosts_per_domain: self.config.hosts_per_domain,
            },
            unfenced_models: if self.config.check_fencing {
                vec![]
            } else {
                vec![MODEL.to_owned()]
            },
            log_format: self.config.log_format,
            limits: self.config.limits,
        }
    }

    fn domain(&self, index: usize) -> String {
        format!("domain-{}", index as u32 % self.config.domains)
    }

    fn list_entry(
        &self,
        kind: HostListEntryKind,
        id: &str,
        index: usize,
        address: SocketAddr,
    ) -> HostListEntry {
        let target = match kind {
            HostListEntryKind::Entry => "",
            HostListEntryKind::Runner => MODEL,
            HostListEntryKind::Service => SERVICE,
        };
        HostListEntry {
            id: id.to_owned(),
            kind,
            failure_domain: self.domain(index),
            address,
            target: target.to_owned(),
            leaving: false,
        }
    }
}

fn store_initial_table(store: SocketAddr, workspaces: u32) -> Result<(), FleetError> {
    let change = TableChange {
        id: "first-table".to_owned(),
        author: "setup".to_owned(),
        base: Table::default(),
        edited: initial_table(workspaces),
        at_s: 0,
    };
    TableStore::new(StoreClient::new(store)).apply(&change)?;
    Ok(())
}

/// Returns the key with which callers of a workspace authenticate.
#[must_use]
pub fn workspace_key(workspace: u32) -> String {
    format!("key-of-workspace-{workspace}")
}

/// Returns the name of a workspace in the table.
#[must_use]
pub fn workspace_name(workspace: u32) -> String {
    format!("workspace-{workspace}")
}

/// Returns a table with this number of workspaces, the model and the service.
#[must_use]
pub fn initial_table(workspaces: u32) -> Table {
    let model = Row {
        weights_version: Some(1),
        ..Row::new("*", &format!("model:{MODEL}"))
    };
    let service = Row {
        repeatable: Some(false),
        ..Row::new("*", &format!("service:{SERVICE}"))
    };
    let workspace = |index| Row {
        weight: Some(1),
        key_hashes: Some(
            blake3::hash(workspace_key(index).as_bytes())
                .to_hex()
                .to_string(),
        ),
        ..Row::new(&workspace_name(index), "*")
    };
    (0..workspaces)
        .map(workspace)
        .chain([model, service])
        .collect()
}

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn host_name(index: u32) -> String {
    format!("entry-{index}")
}

fn runner_name(index: u32) -> String {
    format!("runner-{index}")
}

fn service_name(index: u32) -> String {
    format!("booking-{index}")
}
