//! Compares placement policies under virtual time and prints the tables of the measurements page.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use hickoryhall_tools::experiment::{render, suite};
use hickoryhall_tools::workload::Profile;

/// Compares placement policies on the engine model under virtual time.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Seeds of each figure
    #[bpaf(argument("COUNT"), fallback(3))]
    seeds: u64,
    /// karoo or valenza; both if left out
    #[bpaf(argument("NAME"))]
    profile: Option<String>,
    /// compare, faults or flood; all if left out
    #[bpaf(argument("PART"))]
    only: Option<String>,
    /// File for a plot of hit rate against the 99th percentile
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
                eprintln!("the profile is karoo or valenza");
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
        println!("{}", render::aims(&rows));
        if let Some(path) = options.svg
            && let Err(error) = std::fs::write(&path, render::plot(&rows))
        {
            eprintln!("{}: {error}", path.display());
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
