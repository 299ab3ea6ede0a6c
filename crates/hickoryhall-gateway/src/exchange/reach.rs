//! Connects to backend servers, and learns from new connections which services this host reaches.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hickoryhall_edge::{ConnectError, Connection, RequestHash};
use hickoryhall_routing::ReachStep;
use slog::info;
use tokio::task::spawn_local;

use super::Gateway;
use crate::core::Core;
use crate::interface::Platform;
use crate::registry::BackendServer;

/// Interval at which probes of services are started that the host is cut off from.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(100);

impl<P: Platform> Gateway<P> {
    /// Returns a kept connection to a server on which a request was not refused, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no kept connection and opening one fails.
    pub(super) async fn acquire(
        self: &Rc<Self>,
        server: &BackendServer,
        request: RequestHash,
    ) -> Result<Connection, ConnectError> {
        let result = self.pool.acquire_for(server.address, request).await;
        if !result.as_ref().is_ok_and(Connection::is_reused) {
            self.record_connection(server, &result);
        }
        result
    }

    /// Opens a new connection to a server.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is refused or times out.
    pub(super) async fn connect(
        self: &Rc<Self>,
        server: &BackendServer,
    ) -> Result<Connection, ConnectError> {
        let result = self.pool.connect(server.address).await;
        self.record_connection(server, &result);
        result
    }

    fn record_connection(
        self: &Rc<Self>,
        server: &BackendServer,
        result: &Result<Connection, ConnectError>,
    ) {
        let error = match result {
            Ok(_) => {
                self.core
                    .with(|core, now| core.record_connected(now, server));
                return;
            }
            Err(error) => error,
        };
        let step = self
            .core
            .with(|core, now| core.record_connect_failed(now, server));
        match step {
            ReachStep::Nothing => {}
            ReachStep::Check => {
                let (gateway, server) = (Rc::clone(self), server.clone());
                spawn_local(async move { gateway.check_other_servers(&server).await });
            }
            // Kept connections are as silent as new ones; where these are refused, they may live on.
            ReachStep::CutBegan if !error.is_refused() => self.close_idle(&server.service),
            ReachStep::CutBegan => {}
        }
    }

    fn close_idle(&self, service: &str) {
        self.core.with(|core, _| {
            for address in core.server_addresses(service) {
                self.pool.close_idle(address);
            }
        });
    }

    /// Connects to some other servers of the service of a server that could not be connected to.
    async fn check_other_servers(self: Rc<Self>, server: &BackendServer) {
        let targets = self.core.with(|core, _| core.reach_check_targets(server));
        let checks = targets.iter().map(|target| self.check_server(target));
        let reached = join_all(checks).await;
        info!(
            self.logger, "exchange: Other servers checked after a failed connection.";
            "service" => &*server.service, "server" => &*server.id, "checked" => reached.len(),
            "reached" => reached.iter().filter(|&&is_reached| is_reached).count()
        );
    }

    /// Returns whether new connections to other servers of a server's service can be opened, or there is no
    /// other one.
    pub(super) async fn reaches_other_server(self: &Rc<Self>, server: &BackendServer) -> bool {
        let (is_only, targets) = self.core.with(|core, _| {
            let is_only = core.is_only_server(server);
            (is_only, core.reach_check_targets(server))
        });
        let checks = targets.iter().map(|target| self.check_server(target));
        is_only || join_all(checks).await.contains(&true)
    }

    /// Returns whether a new connection to a server can be opened.
    pub(super) async fn check_server(self: &Rc<Self>, server: &BackendServer) -> bool {
        match self.connect(server).await {
            Ok(connection) => {
                self.pool.release(connection, None);
                true
            }
            Err(_) => false,
        }
    }

    /// Connects anew to a server that did not answer in time, unless new connections were established
    /// lately: a kept connection may be silent for good.
    pub(super) fn check_silent_server(self: &Rc<Self>, server: &BackendServer) {
        if self
            .core
            .with(|core, now| core.must_check_reach(now, server))
        {
            let (gateway, server) = (Rc::clone(self), server.clone());
            spawn_local(async move { gateway.check_server(&server).await });
        }
    }

    /// Probes the services that this host is cut off from, until the task is dropped.
    pub async fn probe_services(self: &Rc<Self>) {
        loop {
            tokio::time::sleep(PROBE_POLL_INTERVAL).await;
            let targets = self.core.with(Core::due_reach_probes);
            for target in targets {
                let gateway = Rc::clone(self);
                spawn_local(async move { gateway.check_server(&target).await });
            }
        }
    }
}
