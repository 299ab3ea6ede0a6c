//! Compares placement policies in a simulation and prints the results as Markdown tables.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use hickoryhall_tools::experiment::{render, suite};
use hickoryhall_tools::workload::Profile;

/// Compares placement policies in a simulation with the engine model and virtual time.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Number of seeds for each figure
    #[bpaf(argument("COUNT"), fallback(3))]
    seeds: u64,
    /// Profile of the traffic: karoo or valenza; default: both
    #[bpaf(argument("NAME"))]
    profile: Option<String>,
    /// Part to run: compare, faults or flood; default: all
    #[bpaf(argument("PART"))]
    only: Option<String>,
    /// SVG file to write, with hit rate plotted against the 99th percentile of the time to the
    /// first token
    #[bpaf(argument("FILE"))]
    svg: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = options().run();
    let profiles = match &options.profile {
        None => vec![Profile::karoo(), Profile::valenza()],
        Some(name) => match Profile::by_name(name) {
            Some(profile) => vec![profile],
            None => {
                eprintln!("the profile must be karoo or valenza");
                return ExitCode::from(2);
            }
        },
    };
    let settings = suite::settings(&profiles);
    let is_wanted = |part: &str| options.only.as_deref().is_none_or(|only| only == part);
    if is_wanted("faults") {
        println!(
            "{}",
            render::faults(&suite::faults(&settings, options.seeds))
        );
    }
    if is_wanted("flood") {
        println!("{}", render::flood(&suite::flood(&settings, options.seeds)));
    }
    if is_wanted("compare") {
        let rows = suite::compare(&settings, options.seeds);
        println!("{}", render::table(&rows));
        println!("{}", render::goals(&rows));
        if let Some(path) = options.svg
            && let Err(error) = std::fs::write(&path, render::plot(&rows))
        {
            eprintln!("cannot write {}: {error}", path.display());
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
