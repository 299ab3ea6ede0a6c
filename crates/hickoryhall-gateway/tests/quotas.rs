//! Quotas of workspaces over two hosts that exchange digests.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hickoryhall_gateway::core::{Core, CoreConfig};
use hickoryhall_gateway::peers::Digest;
use hickoryhall_gateway::scheduler::SchedulerConfig;
use hickoryhall_gateway::table::{
    CallerLimits, Omissions, Quota, QuotaUnit, RouteTable, TableParts, Workspace,
};
use hickoryhall_limits::{FleetRetryLimit, QuotaDecision};
use slog::{Discard, Logger, o};

const GROUP: u64 = 1;

fn workspace(rate_per_s: f64) -> Workspace {
    Workspace {
        id: "karoo".into(),
        keys: vec!["k".into()],
        priority: None,
        is_isolated: false,
        quota: Some(Quota {
            rate_per_s,
            burst: 100.0,
            unit: QuotaUnit::Requests,
        }),
    }
}

fn table(revision: u64, workspaces: Vec<Workspace>) -> RouteTable {
    RouteTable::from(TableParts {
        revision,
        routes: Vec::new(),
        services: HashMap::new(),
        workspaces,
        limits: CallerLimits {
            head_bytes: 1,
            body_bytes: 1,
            idle_timeout: Duration::ZERO,
        },
        omissions: Omissions::default(),
    })
}

fn core(host: u64, restarted_at: Option<Instant>) -> Core {
    let config = CoreConfig {
        host,
        scheduler: SchedulerConfig::new(host, "domain".into()),
        retry_limit: FleetRetryLimit {
            ratio: 0.2,
            extra_retries: 10.0,
            window: Duration::from_secs(10),
        },
        restarted_at,
    };
    let mut core = Core::new(config, Logger::root(Discard, o!()));
    core.set_table(table(1, vec![workspace(1.0)]));
    core
}

/// Sends the digest of a host to another one, as bytes.
fn tell(now: Instant, from: &mut Core, to: &mut Core) {
    let bytes = from.digest(now, GROUP).encode(&[]);
    let (digest, _) = Digest::decode(&bytes).expect("own bytes");
    to.on_digest(now, &digest);
}

fn charge(now: Instant, core: &mut Core, units: f64) -> bool {
    let decision = core.charge_quota(now, &workspace(1.0), units, 3);
    assert_ne!(decision, QuotaDecision::Unlimited);
    decision == QuotaDecision::Charged
}

/// Guards against hosts that each grant the whole quota, and against units that stay charged although the
/// request did not run.
#[test]
fn hosts_share_a_balance() {
    let now = Instant::now();
    let (mut first, mut second) = (core(1, None), core(2, None));
    tell(now, &mut first, &mut second);
    assert!(charge(now, &mut first, 100.0));
    let later = now + Duration::from_millis(100);
    tell(later, &mut first, &mut second);
    assert!(!charge(later, &mut second, 50.0));
    first.give_back_quota(later, &workspace(1.0), 100.0);
    assert!(charge(later, &mut first, 50.0));
}

/// Guards against a burst for each process that starts.
#[test]
fn a_restarted_host_has_no_burst() {
    let now = Instant::now();
    let (mut first, mut second) = (core(1, None), core(2, Some(now)));
    assert!(!charge(now, &mut second, 50.0));
    assert!(charge(now, &mut first, 60.0));
    // The demand of the first host has decayed, and its balance has grown to 42.
    let later = now + Duration::from_secs(2);
    tell(later, &mut first, &mut second);
    assert!(charge(later, &mut second, 20.0));
}

/// Guards against a quota that stays in force after a newer table has removed it.
#[test]
fn a_newer_table_removes_a_quota() {
    let now = Instant::now();
    let mut core = core(1, None);
    assert!(charge(now, &mut core, 100.0));
    assert!(!charge(now, &mut core, 100.0));
    core.set_table(table(2, Vec::new()));
    let decision = core.charge_quota(now, &workspace(1.0), 100.0, 3);
    assert_eq!(decision, QuotaDecision::Unlimited);
}
