//! Limits that servers name for the requests of all hosts together.

use std::time::Instant;

use hickoryhall_types::{Incarnation, hash_name};
use metrics::counter;
use slog::{info, warn};

use super::{Core, duty_rank};
use crate::interface::StatedLimit;
use crate::registry::BackendServer;

impl Core {
    /// Records what a response says about the limit of its server, as the registry entry was when the
    /// request was sent.
    pub fn on_stated_limit(
        &mut self,
        now: Instant,
        server: &BackendServer,
        limit: StatedLimit,
        sent_at: Instant,
    ) {
        let (hash, process) = (hash_name(&server.id), server.incarnation);
        let limit_per_s = match limit {
            StatedLimit::None => None,
            StatedLimit::PerSecond(limit_per_s) => Some(limit_per_s),
            StatedLimit::Unreadable => {
                if self.unreadable_limits.insert(hash, process) != Some(process) {
                    warn!(self.logger, "core: Limit of a server cannot be read."; "server" => &*server.id, "incarnation" => process);
                }
                return;
            }
        };
        let limits = self.scheduler.limits_mut();
        if limits.record(now, hash, process, limit_per_s, sent_at) {
            self.limit_changed(now, &server.id, process, limit_per_s, "response");
        }
    }

    /// Logs a changed limit, and divides the limits among the hosts again.
    pub(super) fn limit_changed(
        &mut self,
        now: Instant,
        server: &str,
        process: Incarnation,
        limit_per_s: Option<f64>,
        source: &'static str,
    ) {
        counter!("server_limits_changed_total", "source" => source).increment(1);
        info!(
            self.logger, "core: Limit of a server changed.";
            "server" => server, "incarnation" => process, "limit_per_s" => limit_per_s,
            "source" => source
        );
        self.divide_limits(now);
    }

    /// Divides the limits that servers name among the live hosts.
    pub(super) fn divide_limits(&mut self, now: Instant) {
        if self.scheduler.limits_mut().is_empty() {
            return;
        }
        let (fleet, host) = (&self.fleet, self.config.host);
        let hosts = fleet.live(now).len() + 1;
        self.scheduler
            .limits_mut()
            .divide(now, hosts, |server| duty_rank(fleet, host, now, server));
    }
}
