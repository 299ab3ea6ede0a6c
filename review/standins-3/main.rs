//! Cases 9 and 10 of the second review, and the trial `in-place`: hosts and runners as processes of their own, before a stand-in for the
//! platform's store, and clients.
//!
//! Usage: `review-3 CASE FOLDER`, in the root of the repository; the record is written to the folder.
//! `TROUBLE=0` leaves the disruption out.

mod deployment;
mod hosts;
mod http;
mod overlap;
mod record;
mod runner;
mod software;
mod store;
mod take_up;

use std::path::PathBuf;
use std::process::ExitCode;

/// Outcome of a case.
pub enum Outcome {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>();
    let words = arguments.iter().map(String::as_str).collect::<Vec<_>>();
    let folder = |path: &str| PathBuf::from(path);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = match words.as_slice() {
        ["runner", options @ ..] => {
            runner::run(options);
            return ExitCode::SUCCESS;
        }
        ["take_up", path] => take_up::run(&folder(path), has_trouble),
        ["overlap", path] => overlap::run(&folder(path), has_trouble),
        ["software", path] => software::run(&folder(path), has_trouble),
        _ => {
            eprintln!("unknown case: {arguments:?}");
            return ExitCode::from(2);
        }
    };
    match outcome {
        Ok(Outcome::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Outcome::Broken) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            println!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
