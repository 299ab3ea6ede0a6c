//! Runs a fleet in one process for some seconds, with the crash of a runner and the restart of an
//! entry host.

use std::collections::HashMap;
use std::process::ExitCode;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use hickoryhall_standins::engine::Fault;
use hickoryhall_telemetry::DecisionRecord;
use hickoryhall_tools::caller::CallerClient;
use hickoryhall_tools::fleet::{Fleet, FleetConfig, FleetError};
use hickoryhall_tools::load::{LoadPlan, LoadReport, run};
use hickoryhall_tools::workload::Profile;
use hickoryhall_tools::{explain, report};

/// Time during which requests are sent.
const LOAD_DURATION: Duration = Duration::from_secs(14);
/// Time from the start of the load to the crash of a runner.
const CRASH_AT: Duration = Duration::from_secs(5);
/// Time from the start of the load to the restart of an entry host.
const RESTART_AT: Duration = Duration::from_secs(9);
/// Time until the crashed runner is back, in milliseconds.
const DOWN_MS: u64 = 1_000;
const REQUESTS_PER_S: f64 = 10.0;

/// Runs a fleet in one process: 3 failure domains, 6 entry hosts, 9 runners, 3 booking servers.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Profile of the traffic: karoo or valenza
    #[bpaf(argument("NAME"), fallback("karoo".to_owned()))]
    profile: String,
}

fn main() -> ExitCode {
    let options = options().run();
    let Some(profile) = Profile::by_name(&options.profile) else {
        eprintln!("the profile must be karoo or valenza");
        return ExitCode::from(2);
    };
    match demo(profile) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!(
                "The demo failed: a booking ran twice, a response was incomplete or the model did \
                 not answer; see the table."
            );
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn demo(profile: Profile) -> Result<bool, FleetError> {
    let started = Instant::now();
    println!("Starting 6 entry hosts in 3 failure domains, 9 runners, 3 booking servers.");
    let mut fleet = Fleet::start(FleetConfig::default())?;
    println!(
        "Ready after {} ms. Sending {REQUESTS_PER_S} requests a second.",
        started.elapsed().as_millis()
    );
    let hosts = Arc::new(Mutex::new(fleet.addresses()));
    let plan = LoadPlan {
        profile,
        requests_per_s: REQUESTS_PER_S,
        length: LOAD_DURATION,
        deadline: Duration::from_secs(10),
        seed: 1,
    };
    let load_hosts = Arc::clone(&hosts);
    let load = std::thread::spawn(move || run(&plan, &load_hosts, |_, _| {}));
    std::thread::sleep(CRASH_AT);
    println!(
        "  5 s: runner-0 crashes with {} requests and comes back empty.",
        fleet.runners[0].job_count()
    );
    fleet.runners[0].inject_fault(&Fault::Crash { down_ms: DOWN_MS });
    std::thread::sleep(RESTART_AT - CRASH_AT);
    restart_host(&mut fleet, &hosts)?;
    let result = load.join().unwrap_or_default();
    println!("\n{}", report::render(&result));
    let repeated_bookings = count_repeated_bookings(&fleet);
    println!("{:<28} {repeated_bookings:>12}", "bookings run twice");
    print_sample_decisions(&result);
    println!("Done after {:.1} s.", started.elapsed().as_secs_f64());
    Ok(repeated_bookings == 0 && result.broken == 0 && result.answered > 0)
}

/// Restarts an entry host while it serves requests; callers stop sending requests to it first.
fn restart_host(
    fleet: &mut Fleet,
    hosts: &Arc<Mutex<Vec<std::net::SocketAddr>>>,
) -> Result<(), FleetError> {
    let set_addresses =
        |addresses| *hosts.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
    let leaving = fleet.address(0);
    set_addresses(
        fleet
            .addresses()
            .into_iter()
            .filter(|&address| address != leaving)
            .collect(),
    );
    let Some(host) = fleet.take_host(0) else {
        return Ok(());
    };
    let in_flight = host.in_flight();
    let started = Instant::now();
    let cut_off = host.shut_down(|| false);
    let stopped = started.elapsed();
    fleet.start_host(0)?;
    fleet.wait_until(
        "the restarted host is ready",
        Duration::from_secs(5),
        |fleet| {
            fleet.hosts[0]
                .as_ref()
                .is_some_and(hickoryhall_entry::EntryHost::is_ready)
        },
    )?;
    println!(
        "  9 s: entry-0 stops with {in_flight} requests in flight; {cut_off} are cut off, it ends \
         after {} ms and is ready again after {} ms more.",
        stopped.as_millis(),
        (started.elapsed() - stopped).as_millis(),
    );
    set_addresses(fleet.addresses());
    Ok(())
}

/// Returns the number of bookings that ran more than once.
fn count_repeated_bookings(fleet: &Fleet) -> usize {
    let mut runs = HashMap::<String, u32>::new();
    for service in &fleet.services {
        for (key, count) in service.run_counts() {
            *runs.entry(key).or_default() += count;
        }
    }
    runs.values().filter(|&&count| count > 1).count()
}

/// Prints the decisions for one answered request, read from the host that answered it.
fn print_sample_decisions(result: &LoadReport) {
    let (Some(id), Some(host)) = (&result.sample_request, result.sample_host) else {
        return;
    };
    let path = format!("/debug/explain?request_id={id}");
    let records = CallerClient::default()
        .get_json(host, &path)
        .unwrap_or_default();
    let records = serde_json::from_value::<Vec<DecisionRecord>>(records).unwrap_or_default();
    println!("\nOne request explained:\n{}", explain::render(&records));
}
