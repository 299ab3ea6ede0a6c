//! Sends open-loop load to running entry hosts and reports the results.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bpaf::Bpaf;
use hickoryhall_tools::load::{LoadPlan, LoadReport, run};
use hickoryhall_tools::report;
use hickoryhall_tools::workload::Profile;

/// Maximum length of a run in seconds, so that every run ends.
const MAX_LENGTH_S: u64 = 3_600;

/// Deadline in a new plan; the option `--deadline` replaces it and has the same default.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Sends load to entry hosts, or compares two reports.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Send load to running entry hosts
    #[bpaf(command)]
    Run {
        /// Address of an entry host; may be given more than once
        #[bpaf(argument("ADDRESS"), some("at least one --against is needed"))]
        against: Vec<SocketAddr>,
        /// Profile of the traffic: karoo or valenza
        #[bpaf(argument("NAME"), fallback("karoo".to_owned()))]
        profile: String,
        /// Rate in requests per second
        #[bpaf(argument("RATE"), fallback(8.0))]
        rate: f64,
        /// Length of the run in seconds
        #[bpaf(argument("SECONDS"), fallback(30))]
        seconds: u64,
        /// Seed of the traffic
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        /// Length of an answer in tokens; default: that of the profile
        #[bpaf(argument("TOKENS"))]
        tokens: Option<u32>,
        /// Period in seconds after which other prompts become popular
        #[bpaf(argument("SECOND"))]
        shift_at: Option<u64>,
        /// Second from which the rate is three times as high
        #[bpaf(argument("SECOND"))]
        peak_at: Option<u64>,
        /// Deadline of a request in seconds
        #[bpaf(argument("SECONDS"), fallback(30))]
        deadline: u64,
        /// File to write the report to, as JSON
        #[bpaf(argument("FILE"))]
        output: Option<PathBuf>,
    },
    /// Compare two reports
    #[bpaf(command)]
    Compare {
        /// First report
        #[bpaf(positional("BEFORE"))]
        before: PathBuf,
        /// Second report
        #[bpaf(positional("AFTER"))]
        after: PathBuf,
    },
}

fn main() -> ExitCode {
    let result = match options().run() {
        Options::Run {
            against,
            profile,
            rate,
            seconds,
            seed,
            tokens,
            shift_at,
            peak_at,
            deadline,
            output,
        } => plan(&profile, rate, seconds, seed).and_then(|mut plan| {
            let profile = &mut plan.profile;
            profile.output_tokens = tokens.unwrap_or(profile.output_tokens);
            profile.shift_after = shift_at.map(Duration::from_secs);
            profile.peak_after = peak_at.map(Duration::from_secs);
            plan.deadline = Duration::from_secs(deadline);
            send(&plan, against, output)
        }),
        Options::Compare { before, after } => compare(&before, &after),
    };
    match result {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("{message}");
            ExitCode::from(2)
        }
    }
}

fn plan(profile: &str, rate: f64, seconds: u64, seed: u64) -> Result<LoadPlan, String> {
    let profile = Profile::by_name(profile).ok_or("the profile must be karoo or valenza")?;
    if rate <= 0.0 || seconds == 0 || seconds > MAX_LENGTH_S {
        return Err(format!(
            "the rate must be greater than 0 and the length from 1 to {MAX_LENGTH_S} s"
        ));
    }
    Ok(LoadPlan {
        profile,
        requests_per_s: rate,
        length: Duration::from_secs(seconds),
        deadline: DEFAULT_DEADLINE,
        seed,
    })
}

fn send(
    plan: &LoadPlan,
    hosts: Vec<SocketAddr>,
    output: Option<PathBuf>,
) -> Result<String, String> {
    let result = run(plan, &Arc::new(Mutex::new(hosts)), |at, sent| {
        eprintln!("{} s, {sent} requests sent", at.as_secs());
    });
    if let Some(path) = output {
        let json = serde_json::to_string_pretty(&result).expect("a report has string keys");
        std::fs::write(&path, json)
            .map_err(|error| format!("cannot write {}: {error}", path.display()))?;
    }
    Ok(report::render(&result))
}

fn compare(before: &PathBuf, after: &PathBuf) -> Result<String, String> {
    let read = |path: &PathBuf| {
        let text = std::fs::read_to_string(path).map_err(|error| error.to_string());
        let report = text.and_then(|text| {
            serde_json::from_str::<LoadReport>(&text).map_err(|error| error.to_string())
        });
        report.map_err(|error| format!("cannot read the report {}: {error}", path.display()))
    };
    Ok(report::compare(&read(before)?, &read(after)?))
}
