//! Quotas of workspaces, enforced by all hosts together.

use std::collections::HashMap;
use std::time::{Duration, Instant, SystemTime};

use hickoryhall_limits::{FleetQuotas, QuotaDecision, QuotaLimit};
use hickoryhall_types::{Revision, hash_name, rendezvous_score};
use metrics::counter;
use slog::{Logger, info};

use crate::table::{RouteTable, Workspace};

/// Time between two log lines about refusals of one workspace.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Balances of the workspaces, and the table whose quotas apply.
pub(super) struct QuotaState {
    fleet: FleetQuotas,
    revision: Option<Revision>,
    /// Time of the last log line about refusals, by workspace.
    logged_at: HashMap<u64, Instant>,
}

impl QuotaState {
    /// Creates the state of a process on a host; `restarted_at` is `None` if the whole fleet starts for
    /// the first time.
    pub fn new(host: u64, restarted_at: Option<Instant>) -> Self {
        let started_at = restarted_at.unwrap_or_else(Instant::now);
        Self {
            fleet: FleetQuotas::new(started_at, process_number(host), restarted_at.is_some()),
            revision: None,
            logged_at: HashMap::new(),
        }
    }

    /// Returns the balances under the quotas of the table in force.
    pub fn fleet(&mut self, now: Instant, table: Option<&RouteTable>) -> &mut FleetQuotas {
        if let Some(table) = table.filter(|table| self.revision != Some(table.revision())) {
            self.revision = Some(table.revision());
            let limits = table.workspaces().filter_map(|workspace| {
                let quota = workspace.quota?;
                let limit = QuotaLimit {
                    rate_per_s: quota.rate_per_s,
                    burst: quota.burst,
                };
                Some((hash_name(&workspace.id), limit))
            });
            let limits = limits.collect::<HashMap<_, _>>();
            self.logged_at
                .retain(|workspace, _| limits.contains_key(workspace));
            self.fleet.set_limits(now, &limits);
        }
        &mut self.fleet
    }

    /// Counts the decision about a request, and logs the first refusal of a workspace in each second.
    pub fn record(
        &mut self,
        now: Instant,
        logger: &Logger,
        workspace: &Workspace,
        units: f64,
        decision: QuotaDecision,
    ) {
        let label = || workspace.id.to_string();
        let retry_after = match decision {
            QuotaDecision::Unlimited => return,
            QuotaDecision::Charged => {
                counter!("quota_units_total", "workspace" => label()).increment(units as u64);
                return;
            }
            QuotaDecision::Refused { retry_after } => retry_after,
        };
        counter!("quota_refused_total", "workspace" => label()).increment(1);
        let hash = hash_name(&workspace.id);
        let logged_at = self.logged_at.get(&hash);
        if logged_at.is_some_and(|at| now.saturating_duration_since(*at) < REFUSAL_LOG_INTERVAL) {
            return;
        }
        self.logged_at.insert(hash, now);
        let balance = self.fleet.balance(now, hash).unwrap_or_default();
        info!(
            logger, "core: Workspace is over its quota.";
            "workspace" => &*workspace.id, "units" => units.round() as i64,
            "balance" => balance.round() as i64,
            "rate_per_s" => workspace.quota.map(|quota| quota.rate_per_s),
            "retry_after_ms" => retry_after.as_millis()
        );
    }
}

/// Returns a number that differs for each process of a host.
fn process_number(host: u64) -> u64 {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let time = time.map_or(0, |time| time.as_nanos() as u64);
    rendezvous_score(host ^ u64::from(std::process::id()), time)
}
