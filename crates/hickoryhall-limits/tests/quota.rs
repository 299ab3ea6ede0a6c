//! Tests of quotas over a whole fleet: the bound on what runs, and that load under the limit is served.
//!
//! A fleet in virtual time serves one workspace. `cargo test --test quota -- --nocapture` prints the
//! measured values; `SEED` chooses other random numbers.

mod quota_fleet;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hickoryhall_limits::{
    FleetQuotas, MAX_REPORTED_WORKSPACES, QuotaDecision, QuotaLimit, QuotaReport, QuotaStatement,
    ReportScope,
};
use quota_fleet::{Fleet, Plan, WORKSPACE, limit};
use rstest::rstest;

/// Demand of a usual workspace, and of one that requests 7.5 times as much, relative to the quota.
const USUAL: f64 = 1.0 / 1.8;
const SURGE: f64 = 7.5 / 1.8;

fn rate(plan: &Plan) -> f64 {
    plan.limit.rate_per_s
}

/// Checks what ran, and prints it.
#[track_caller]
fn check_bound(name: &str, fleet: &Fleet) {
    let worst = fleet.worst();
    println!("{name}: worst 8 s {worst:.3} of the bound");
    assert!(worst <= 1.0, "{name}: {worst:.3} of the bound ran");
}

#[track_caller]
fn check_used(name: &str, fleet: &Fleet, seconds: f64) {
    let used = fleet.used(seconds);
    println!("{name}: used {used:.3} of the rate");
    assert!(used >= 0.9, "{name}: only {used:.3} of the rate was used");
}

/// Guards against hosts that spend the same balance together, and against unused quota, at several sizes of
/// the fleet; in the last case a host's share is below one request a second.
#[rstest]
#[case::one_host(1, 1, 2_294_322.0)]
#[case::single_group(7, 1, 2_294_322.0)]
#[case::first_deployment(68, 3, 2_294_322.0)]
#[case::other_deployment(70, 4, 2_294_322.0)]
#[case::large_fleet(520, 18, 5_000_000.0)]
#[case::share_below_one_request(68, 3, 300_000.0)]
fn surge_stays_within_bound(#[case] hosts: usize, #[case] groups: usize, #[case] rate: f64) {
    let plan = Plan {
        hosts,
        groups,
        limit: limit(rate),
        ..Plan::first_deployment()
    };
    let name = format!("surge at {hosts} hosts, {rate} per s");
    let mut fleet = Fleet::new(plan);
    fleet.run(4.0, rate * USUAL);
    assert_eq!(fleet.refused, 0, "{name}: requests refused under the limit");
    fleet.run(8.0, rate * SURGE);
    check_bound(&name, &fleet);
    check_used(&name, &fleet, 8.0);
    check_used(&format!("{name}, last 6 s"), &fleet, 6.0);
    // Under the limit again, nothing is refused once the balance has recovered.
    fleet.run(2.0, rate * USUAL);
    let refused = fleet.refused;
    fleet.run(4.0, rate * USUAL);
    assert_eq!(
        fleet.refused, refused,
        "{name}: requests refused after the surge"
    );
}

/// Guards against a burst that is not usable although the balance covers it.
#[test]
fn burst_is_usable() {
    let plan = Plan::first_deployment();
    let rate = rate(&plan);
    let mut fleet = Fleet::new(plan);
    fleet.run(4.0, rate * USUAL);
    for _ in 0..4 {
        fleet.run(0.2, rate * 3.0);
        fleet.run(3.0, rate * USUAL);
    }
    println!("bursts within the burst: {} refused", fleet.refused);
    assert_eq!(fleet.refused, 0);
}

/// Guards against both parts of a partition using the whole quota, also if the surge begins with it.
#[rstest]
#[case::before_the_surge(5.0)]
#[case::shortly_before(0.5)]
#[case::with_the_surge(0.0)]
fn partitioned_fleet_stays_within_bound(#[case] cut_for: f64) {
    for parts in [2, 3] {
        let plan = Plan::first_deployment();
        let rate = rate(&plan);
        let mut fleet = Fleet::new(plan);
        fleet.run(6.0, rate * USUAL);
        fleet.cut(|index| (index % 3) % parts);
        fleet.run(cut_for, rate * USUAL);
        fleet.run(16.0, rate * SURGE);
        let name = format!("{parts} parts, cut {cut_for} s before the surge");
        check_used(&format!("{name}, while cut"), &fleet, 8.0);
        fleet.cut(|_| 0);
        fleet.run(10.0, rate * SURGE);
        check_bound(&name, &fleet);
        check_used(&format!("{name}, after it"), &fleet, 6.0);
    }
}

/// Guards against isolated hosts that use more than their shares, also of a workspace not used before.
#[rstest]
#[case::used_before(USUAL)]
#[case::unused_before(0.0)]
fn isolated_hosts_stay_within_bound(#[case] before: f64) {
    for isolated in [3, 68] {
        let plan = Plan::first_deployment();
        let rate = rate(&plan);
        let mut fleet = Fleet::new(plan);
        fleet.run(6.0, rate * before);
        fleet.cut(|index| if index < isolated { index + 1 } else { 0 });
        // The shares of a few silent hosts are free after a while.
        fleet.run(1.0, rate * before);
        fleet.run(12.0, rate * SURGE);
        fleet.run(4.0, rate * before);
        fleet.run(12.0, rate * SURGE);
        let name = format!("{isolated} isolated hosts, {before:.2} before");
        check_bound(&name, &fleet);
    }
}

/// Guards against a new burst by the successors of killed hosts.
#[rstest]
#[case::one(1)]
#[case::a_third(23)]
#[case::all(68)]
fn restarted_hosts_have_no_burst(#[case] killed: usize) {
    let plan = Plan::first_deployment();
    let rate = rate(&plan);
    let mut fleet = Fleet::new(plan);
    fleet.run(4.0, rate * USUAL);
    fleet.run(3.0, rate * SURGE);
    for _ in 0..3 {
        for index in 0..killed {
            fleet.set_silent(index, true);
        }
        fleet.run(0.5, rate * SURGE);
        for index in 0..killed {
            fleet.restart(index);
        }
        fleet.run(2.0, rate * SURGE);
    }
    fleet.run(8.0, rate * SURGE);
    check_bound(&format!("{killed} hosts killed three times"), &fleet);
    check_used(&format!("{killed} hosts killed"), &fleet, 6.0);
}

/// Guards against units that are counted twice or not at all when another host sends a group's digests.
#[test]
fn new_sender_of_group_digests_is_counted_once() {
    let plan = Plan::first_deployment();
    let rate = rate(&plan);
    let mut fleet = Fleet::new(plan);
    fleet.run(4.0, rate * USUAL);
    // The first three hosts send the digests of the three groups; the next ones take over after 3 s. The
    // successors of killed hosts start after 4 s.
    for sender in 0..3 {
        fleet.run(2.0, rate * SURGE);
        fleet.set_silent(sender, true);
        fleet.run(4.0, rate * SURGE);
        fleet.restart(sender);
    }
    fleet.run(8.0, rate * SURGE);
    check_bound("new senders of group digests", &fleet);
    check_used("new senders of group digests", &fleet, 8.0);
}

/// Guards against a paused host that spends a balance which others have spent since.
#[test]
fn frozen_host_does_not_spend_an_old_balance() {
    let plan = Plan::first_deployment();
    let rate = rate(&plan);
    let mut fleet = Fleet::new(plan);
    fleet.run(6.0, rate * USUAL);
    for frozen in 0..6 {
        fleet.set_silent(frozen, true);
    }
    fleet.run(5.0, rate * SURGE);
    for frozen in 0..6 {
        fleet.set_silent(frozen, false);
    }
    fleet.run(8.0, rate * SURGE);
    check_bound("six frozen hosts", &fleet);
    check_used("six frozen hosts", &fleet, 6.0);
}

/// Guards against a limit that binds late after it was lowered, or stays after it was raised or removed.
#[test]
fn changed_limits_bind() {
    let plan = Plan::first_deployment();
    let before = rate(&plan);
    let mut fleet = Fleet::new(plan);
    fleet.run(4.0, before * SURGE);
    fleet.set_limit(limit(before / 10.0));
    fleet.admitted.clear();
    fleet.run(16.0, before * SURGE);
    check_bound("lowered quota", &fleet);
    check_used("lowered quota", &fleet, 6.0);
    fleet.set_limit(limit(before * 2.0));
    fleet.admitted.clear();
    fleet.run(10.0, before * SURGE);
    check_bound("raised quota", &fleet);
    check_used("raised quota", &fleet, 8.0);
    fleet.remove_limit();
    let refused = fleet.refused;
    fleet.run(1.0, before * SURGE);
    assert_eq!(fleet.refused, refused, "a removed quota refuses requests");
}

/// Guards against a fleet that ignores what live hosts of the previous build admit.
#[test]
fn hosts_of_the_previous_build_are_counted() {
    let plan = Plan {
        hosts: 7,
        groups: 1,
        ..Plan::first_deployment()
    };
    let rate = rate(&plan);
    let mut fleet = Fleet::new(plan);
    fleet.hosts[6].is_old = true;
    fleet.run(4.0, rate * USUAL);
    assert_eq!(fleet.refused, 0);
    fleet.run(8.0, rate * 1.5);
    check_bound("one host of the previous build", &fleet);
}

/// Guards against wrong times until a refused request is worth repeating.
#[test]
fn retry_after_is_accurate() {
    let now = Instant::now();
    let mut quotas = FleetQuotas::new(now, 1, false);
    quotas.set_limits(now, &HashMap::from([(WORKSPACE, limit(1_000.0))]));
    assert_eq!(
        quotas.charge(now, WORKSPACE, 1_000.0, 1),
        QuotaDecision::Charged
    );
    let QuotaDecision::Refused { retry_after } = quotas.charge(now, WORKSPACE, 400.0, 2) else {
        panic!("a request over the balance was admitted");
    };
    let expected = Duration::from_millis(400)..=Duration::from_millis(480);
    assert!(expected.contains(&retry_after), "{retry_after:?}");
    let later = now + retry_after;
    assert_eq!(
        quotas.charge(later, WORKSPACE, 400.0, 2),
        QuotaDecision::Charged
    );
    let QuotaDecision::Refused { retry_after } = quotas.charge(later, WORKSPACE, 900_000.0, 3)
    else {
        panic!("a request over the balance was admitted");
    };
    assert!(retry_after <= Duration::from_secs(3), "{retry_after:?}");
}

/// Guards against requests larger than the burst that are never admitted, units that are lost when a
/// request has not run, and a workspace that is limited without a quota.
#[test]
fn units_are_charged_and_given_back() {
    let now = Instant::now();
    let mut quotas = FleetQuotas::new(now, 1, false);
    let small = QuotaLimit {
        rate_per_s: 10.0,
        burst: 10.0,
    };
    quotas.set_limits(now, &HashMap::from([(WORKSPACE, small)]));
    assert_eq!(
        quotas.charge(now, WORKSPACE, 40.0, 1),
        QuotaDecision::Charged
    );
    assert!(matches!(
        quotas.charge(now, WORKSPACE, 1.0, 1),
        QuotaDecision::Refused { .. }
    ));
    quotas.give_back(now, WORKSPACE, 40.0);
    assert_eq!(
        quotas.charge(now, WORKSPACE, 10.0, 1),
        QuotaDecision::Charged
    );
    assert_eq!(quotas.charge(now, 99, 1e9, 1), QuotaDecision::Unlimited);
    let report = quotas.report(now);
    assert_eq!(report.statements[0].admitted, 10);
}

/// Guards against digests that grow with the number of workspaces.
#[test]
fn reports_list_the_workspaces_used_last() {
    let now = Instant::now();
    let mut quotas = FleetQuotas::new(now, 1, false);
    let count = 2 * MAX_REPORTED_WORKSPACES as u64;
    let limits = (0..count).map(|workspace| (workspace, limit(100.0)));
    quotas.set_limits(now, &limits.collect());
    for workspace in 0..count {
        quotas.charge(now + Duration::from_millis(workspace), workspace, 1.0, 1);
    }
    let report = quotas.report(now + Duration::from_secs(1));
    let listed = report
        .statements
        .iter()
        .map(|statement| statement.workspace);
    let mut listed = listed.collect::<Vec<_>>();
    listed.sort_unstable();
    let newest = (count - MAX_REPORTED_WORKSPACES as u64..count).collect::<Vec<_>>();
    assert_eq!(listed, newest);
    assert!(
        quotas
            .report(now + Duration::from_secs(60))
            .statements
            .is_empty()
    );
}

/// Guards against hosts of a group that keep a workspace in each other's reports.
#[test]
fn unused_workspaces_leave_the_reports() {
    let mut fleet = Fleet::new(Plan {
        hosts: 7,
        groups: 1,
        ..Plan::first_deployment()
    });
    fleet.run(2.0, 1e6);
    fleet.run(11.0, 0.0);
    let now = fleet.now();
    for host in &mut fleet.hosts {
        assert!(host.quotas.report(now).statements.is_empty());
    }
    // The group is told for as long again as its members are.
    fleet.run(10.0, 0.0);
    let now = fleet.now();
    for host in &mut fleet.hosts {
        assert!(host.quotas.group_report(now).statements.is_empty());
    }
}

/// Guards against a counter that starts again, or a host that is reported twice, being counted as new use.
#[test]
fn each_unit_is_counted_once() {
    let now = Instant::now();
    let mut quotas = FleetQuotas::new(now, 1, false);
    quotas.set_limits(now, &HashMap::from([(WORKSPACE, limit(1_000.0))]));
    let report = |process, admitted| QuotaReport {
        process,
        statements: vec![QuotaStatement {
            workspace: WORKSPACE,
            admitted,
            demand_per_s: 0.0,
            balance: 1_000,
        }],
    };
    let group = ReportScope::Group(&[20, 21]);
    quotas.on_report(now, 20, 5, group, &report(2, 700_000));
    assert_eq!(quotas.balance(now, WORKSPACE), Some(1_000.0));
    quotas.on_report(now, 20, 5, group, &report(2, 700_300));
    assert_eq!(quotas.balance(now, WORKSPACE), Some(706.0));
    // The group's digest has counted the host already.
    quotas.on_report(now, 21, 5, ReportScope::Host, &report(3, 0));
    quotas.on_report(now, 21, 5, ReportScope::Host, &report(3, 300));
    assert_eq!(quotas.balance(now, WORKSPACE), Some(706.0));
    // Another process counts from its first report.
    let later = now + Duration::from_millis(600);
    quotas.on_report(later, 21, 5, group, &report(3, 40));
    let balance = quotas.balance(later, WORKSPACE);
    assert!(balance > Some(700.0), "{balance:?}");
}
