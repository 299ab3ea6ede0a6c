//! Limits of the connections that a host accepts.

use std::cell::Cell;
use std::rc::Rc;

use hickoryhall_edge::{Connections, ServerConfig};
use hickoryhall_limits::HostBudgets;
use metrics::{counter, gauge};

use crate::table::CallerLimits;

/// Limits of the connections of callers and of peers that forward requests, which change with the table
/// and the settings.
#[derive(Clone, Debug)]
pub(super) struct ServerConfigs {
    pub callers: Rc<Cell<ServerConfig>>,
    pub forwarding: Rc<Cell<ServerConfig>>,
}

impl ServerConfigs {
    pub fn new(budgets: &HostBudgets) -> Self {
        Self {
            callers: with_limit(budgets.callers),
            forwarding: with_limit(budgets.forwarding),
        }
    }

    /// Applies the limits of a table to new connections.
    pub fn set_table_limits(&self, limits: CallerLimits) {
        for config in [&self.callers, &self.forwarding] {
            config.set(ServerConfig {
                max_head_bytes: limits.head_bytes,
                idle_timeout: limits.idle_timeout,
                ..config.get()
            });
        }
    }

    /// Sets how many connections may be open; those that are open stay so until new ones arrive.
    pub fn set_budgets(&self, budgets: &HostBudgets) {
        let limits = [
            (&self.callers, budgets.callers),
            (&self.forwarding, budgets.forwarding),
        ];
        for (config, max_connections) in limits {
            config.set(ServerConfig {
                max_connections,
                ..config.get()
            });
        }
    }
}

/// Returns the default limits with a number of connections.
pub(super) fn with_limit(max_connections: usize) -> Rc<Cell<ServerConfig>> {
    Rc::new(Cell::new(ServerConfig {
        max_connections,
        ..ServerConfig::default()
    }))
}

/// Sets the metrics of the open connections.
pub(super) fn report(connections: &Connections, connection_bytes: usize) {
    let open = connections.counts().open;
    gauge!("connections_open").set(open as f64);
    gauge!("account_bytes", "kind" => "connections").set((open * connection_bytes) as f64);
    let at_limit = connections.at_limit();
    let by_reason = [
        ("idle", at_limit.idle),
        ("closing", at_limit.closing),
        ("body", at_limit.body),
        ("refused", at_limit.refused),
    ];
    for (reason, count) in by_reason {
        counter!("connections_closed_total", "reason" => reason).absolute(count);
    }
    counter!("connections_closed_unsent_total").absolute(connections.closed_unsent());
}
