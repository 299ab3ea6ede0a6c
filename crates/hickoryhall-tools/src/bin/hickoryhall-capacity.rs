//! Measures the costs of a host and prints the capacity tables for the planned size.

use std::process::ExitCode;
use std::time::Duration;

use hickoryhall_tools::capacity::{PlannedSize, RoleCost, measure, roles, store_calls};
use hickoryhall_tools::gossip_simulation::SimulatedNetwork;

/// Number of simulated runs for each fleet size; the seeds start at 0.
const SEED_COUNT: u64 = 10;
/// Percentage of messages that the simulated network loses.
const LOSS_PERCENT: u32 = 5;
/// Virtual time between two checks of how many hosts have the revision.
const TIME_STEP: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    let size = PlannedSize::default();
    let measurements = measure();
    println!("| measured | unit | fixed | each | residual | up to |\n|---|---|---|---|---|---|");
    for fit in measurements.fits() {
        println!(
            "| {} | {} | {:.0} | {:.2} | {:.1} % | {:.0} |",
            fit.name,
            fit.unit,
            fit.fixed,
            fit.per_item,
            fit.residual * 100.0,
            fit.largest_count,
        );
    }
    println!("\n| message | bytes |\n|---|---|");
    for (name, bytes) in &measurements.messages {
        println!("| {name} | {bytes:.0} |");
    }
    print_roles(&roles(&size, &measurements));
    print_store(&size);
    print_propagation_times(&size);
    ExitCode::SUCCESS
}

fn print_roles(roles: &[RoleCost]) {
    println!(
        "\n| role | memory MB | sent B/s | received B/s | core % | control | slopes | mechanism |\n\
         |---|---|---|---|---|---|---|---|"
    );
    for role in roles {
        println!(
            "| {} | {:.2} | {:.0} | {:.0} | {:.3} | {} | {} | {} |",
            role.name,
            role.memory_mb,
            role.sent_bytes_per_s,
            role.received_bytes_per_s,
            role.core_percent,
            if role.is_control {
                "yes"
            } else {
                "request path"
            },
            role.measurements,
            role.mechanism,
        );
    }
    let print_sum = |name: &str, counted: &dyn Fn(&&RoleCost) -> bool| {
        let counted = roles.iter().filter(counted).collect::<Vec<_>>();
        let total =
            |figure: fn(&RoleCost) -> f64| counted.iter().map(|role| figure(role)).sum::<f64>();
        println!(
            "| **{name}** | {:.2} | {:.0} | {:.0} | {:.3} | | | |",
            total(|role| role.memory_mb),
            total(|role| role.sent_bytes_per_s),
            total(|role| role.received_bytes_per_s),
            total(|role| role.core_percent),
        );
    };
    let is_lease_holder = |role: &RoleCost| role.name.starts_with("order-giving");
    let is_caller_edge = |role: &RoleCost| role.name == "caller edge";
    print_sum("control, ordinary host", &|role| {
        role.is_control && !is_lease_holder(role)
    });
    print_sum("control, order-giver of its domain", &|role| {
        role.is_control
    });
    print_sum(
        "worst reading: all but the caller edge, quotes not limited",
        &|role| !is_caller_edge(role),
    );
    println!("| **budget** | 64 | 6000 | 6000 | 4.4 | | | |");
}

fn print_store(size: &PlannedSize) {
    println!(
        "\n| store calls by cause | writes/s | reads/s | worst writes/s | worst reads/s |\n\
         |---|---|---|---|---|"
    );
    let causes = store_calls(size);
    for cause in &causes {
        println!(
            "| {} | {:.2} | {:.2} | {:.1} | {:.1} |",
            cause.name,
            cause.writes_per_s,
            cause.reads_per_s,
            cause.worst_writes_per_s,
            cause.worst_reads_per_s,
        );
    }
    println!(
        "| **sum** | {:.1} | {:.1} | {:.1} | {:.1} |",
        causes.iter().map(|cause| cause.writes_per_s).sum::<f64>(),
        causes.iter().map(|cause| cause.reads_per_s).sum::<f64>(),
        causes
            .iter()
            .map(|cause| cause.worst_writes_per_s)
            .sum::<f64>(),
        causes
            .iter()
            .map(|cause| cause.worst_reads_per_s)
            .sum::<f64>(),
    );
}

/// Simulates fleets of several sizes and prints the time until a new revision is in force at half
/// of the hosts and at every host.
fn print_propagation_times(size: &PlannedSize) {
    println!(
        "\n| hosts | failure domains | half of hosts, s | every host, median s | every host, worst \
         s | gossip bytes/s a host |\n|---|---|---|---|---|---|"
    );
    for (hosts, domains) in [
        (6, 3),
        (130, 14),
        (size.hosts as usize, size.domains as usize),
    ] {
        let mut all = Vec::new();
        let mut half = Vec::new();
        let mut bytes = 0.0;
        for seed in 0..SEED_COUNT {
            let mut net = SimulatedNetwork::new(hosts, domains, LOSS_PERCENT, seed);
            // Two hosts watch the store for new revisions. One is paused, the other spreads the
            // revision.
            net.nodes[0].is_paused = true;
            net.advance(Duration::from_secs(5));
            bytes += net.sent_bytes as f64 / 5.0 / hosts as f64;
            net.adopt_revision(1, 7);
            let started = net.now;
            let mut half_reached_at = None;
            while net.count_behind(7) > 0 {
                net.advance(TIME_STEP);
                if net.count_behind(7) <= hosts / 2 {
                    half_reached_at.get_or_insert(net.now - started);
                }
            }
            all.push(net.now - started);
            half.push(half_reached_at.unwrap_or_default());
        }
        all.sort();
        half.sort();
        let median = |times: &[Duration]| times[times.len() / 2].as_secs_f64();
        println!(
            "| {hosts} | {domains} | {:.2} | {:.2} | {:.2} | {:.0} |",
            median(&half),
            median(&all),
            all[all.len() - 1].as_secs_f64(),
            bytes / SEED_COUNT as f64,
        );
    }
}
