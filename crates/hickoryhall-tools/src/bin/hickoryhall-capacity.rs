//! Measures the costs of a host and prints the capacity tables for the planned size.

use std::process::ExitCode;
use std::time::Duration;

use hickoryhall_tools::capacity::{PlannedSize, Role, measure, roles, store_causes};
use hickoryhall_tools::gossip_net::Net;

/// Number of simulated runs of each size of the fleet.
const SEEDS: u64 = 10;
/// Fraction of gossip messages that are lost, in percent.
const LOSS_PERCENT: u32 = 5;
/// Step of virtual time between two checks which hosts have the revision.
const STEP: Duration = Duration::from_millis(50);

fn main() -> ExitCode {
    let size = PlannedSize::default();
    let slopes = measure();
    println!("| measured | unit | fixed | each | residual | up to |\n|---|---|---|---|---|---|");
    for slope in slopes.all() {
        println!(
            "| {} | {} | {:.0} | {:.2} | {:.1} % | {:.0} |",
            slope.name,
            slope.unit,
            slope.fixed,
            slope.each,
            slope.residual * 100.0,
            slope.largest,
        );
    }
    println!("\n| message | bytes |\n|---|---|");
    for (name, bytes) in &slopes.messages {
        println!("| {name} | {bytes:.0} |");
    }
    print_roles(&roles(&size, &slopes));
    print_store(&size);
    print_in_force(&size);
    ExitCode::SUCCESS
}

fn print_roles(roles: &[Role]) {
    println!(
        "\n| role | memory MB | sent B/s | received B/s | core % | control | slopes | mechanism |\n\
         |---|---|---|---|---|---|---|---|"
    );
    for role in roles {
        println!(
            "| {} | {:.2} | {:.0} | {:.0} | {:.3} | {} | {} | {} |",
            role.name,
            role.memory_mb,
            role.sent_per_s,
            role.received_per_s,
            role.core_percent,
            if role.is_control {
                "yes"
            } else {
                "request path"
            },
            role.slopes,
            role.mechanism,
        );
    }
    let sum = |name: &str, counted: &dyn Fn(&&Role) -> bool| {
        let counted = roles.iter().filter(counted).collect::<Vec<_>>();
        let total = |figure: fn(&Role) -> f64| counted.iter().map(|role| figure(role)).sum::<f64>();
        println!(
            "| **{name}** | {:.2} | {:.0} | {:.0} | {:.3} | | | |",
            total(|role| role.memory_mb),
            total(|role| role.sent_per_s),
            total(|role| role.received_per_s),
            total(|role| role.core_percent),
        );
    };
    let is_duty = |role: &Role| role.name.starts_with("order-giving");
    let is_edge = |role: &Role| role.name == "caller edge";
    sum("control, ordinary host", &|role| {
        role.is_control && !is_duty(role)
    });
    sum("control, order-giver of its domain", &|role| {
        role.is_control
    });
    sum(
        "worst reading: all but the caller edge, quotes not limited",
        &|role| !is_edge(role),
    );
    println!("| **budget** | 64 | 6000 | 6000 | 4.4 | | | |");
}

fn print_store(size: &PlannedSize) {
    println!(
        "\n| store calls by cause | writes/s | reads/s | worst writes/s | worst reads/s |\n\
         |---|---|---|---|---|"
    );
    let causes = store_causes(size);
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

/// Measures the time until a revision is in force at every host, and prints it.
fn print_in_force(size: &PlannedSize) {
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
        for seed in 0..SEEDS {
            let mut net = Net::new(hosts, domains, LOSS_PERCENT, seed);
            net.nodes[0].is_paused = true;
            net.pass(Duration::from_secs(5));
            bytes += net.sent_bytes as f64 / 5.0 / hosts as f64;
            net.adopt(1, 7);
            let started = net.now;
            let mut half_at = None;
            while net.behind(7) > 0 {
                net.pass(STEP);
                if net.behind(7) <= hosts / 2 {
                    half_at.get_or_insert(net.now - started);
                }
            }
            all.push(net.now - started);
            half.push(half_at.unwrap_or_default());
        }
        all.sort();
        half.sort();
        let median = |times: &[Duration]| times[times.len() / 2].as_secs_f64();
        println!(
            "| {hosts} | {domains} | {:.2} | {:.2} | {:.2} | {:.0} |",
            median(&half),
            median(&all),
            all[all.len() - 1].as_secs_f64(),
            bytes / SEEDS as f64,
        );
    }
}
