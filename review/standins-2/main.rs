//! Cases of the second review: each starts processes of the project beside stand-ins, and judges what clients,
//! servers and the platform see.
//!
//! Usage: `review-2 CASE RECORD`, in the root of the repository. `TROUBLE=0` leaves the disruption out.

mod host;
mod http;
mod json;
mod record;
mod rolling;
mod store;
mod survivor;
mod traffic;

use std::env;
use std::io;
use std::panic::{self, AssertUnwindSafe};
use std::path::Path;
use std::process::ExitCode;

use record::Record;
use traffic::Trouble;

/// What a case shows.
pub enum Outcome {
    Held,
    Broken,
}

pub fn settle(is_broken: bool) -> Outcome {
    if is_broken {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

fn run_case(case: &str, is_trouble: bool, folder: &Path, record: Record) -> io::Result<Outcome> {
    match case {
        "endless-events" => traffic::run(
            is_trouble,
            Trouble::EndlessEvents { runners: 5 },
            folder,
            record,
        ),
        "crowd" => {
            let crowd = Trouble::Crowd {
                per_s: 120.0,
                events: 3,
                has_peer: false,
            };
            traffic::run(is_trouble, crowd, folder, record)
        }
        "crowd-of-streams" => {
            let crowd = Trouble::Crowd {
                per_s: 60.0,
                events: 300,
                has_peer: true,
            };
            traffic::run(is_trouble, crowd, folder, record)
        }
        "rolling" => rolling::run(is_trouble, folder, record),
        "survivor" => survivor::run(is_trouble, folder, record),
        other => Err(io::Error::other(format!("no case {other}"))),
    }
}

fn main() -> ExitCode {
    let words = env::args().collect::<Vec<_>>();
    let [_, case, record] = &words[..] else {
        eprintln!("usage: review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let is_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let folder = env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let run = || {
        std::fs::create_dir_all(&folder)?;
        let record = Record::create(Path::new(record))?;
        run_case(case, is_trouble, &folder, record)
    };
    // Processes end as the stack unwinds.
    let outcome = panic::catch_unwind(AssertUnwindSafe(run));
    let outcome = outcome.unwrap_or_else(|_| Err(io::Error::other("the case has panicked")));
    if env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match outcome {
        Ok(Outcome::Held) => ExitCode::SUCCESS,
        Ok(Outcome::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
