//! Stand-ins for the platform, the runners and the clients of the review cases 11 and following.
//!
//! Usage: `standins CASE FOLDER`, from the root of the repository; writes `FOLDER/record.txt`. Exits with
//! 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment, the disruption is left out.

mod cases;
mod clients;
mod hosts;
mod http;
mod json;
mod lost_host;
mod moved_route;
mod rank;
mod record;
mod relay;
mod runners;
mod store;
mod streams;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>();
    let arguments = arguments.iter().map(String::as_str).collect::<Vec<_>>();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = match arguments.as_slice() {
        [case, folder] => cases::run(case, &PathBuf::from(folder), has_trouble),
        _ => Err("usage: standins CASE FOLDER".to_owned()),
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
