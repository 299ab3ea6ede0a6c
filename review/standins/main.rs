//! Plays one case of the review: `review CASE FOLDER`, in the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With the
//! environment variable `TROUBLE=0` the disruption is left out.

mod cases;
mod client;
mod deployment;
mod host;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// What a case has shown.
pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, folder) = (arguments.next().unwrap_or_default(), arguments.next());
    let folder = PathBuf::from(folder.unwrap_or_else(|| ".".to_owned()));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        host::kill_all();
        std::process::exit(2);
    });
    let record = Arc::new(Record::new());
    let played = std::panic::catch_unwind(|| cases::play(&case, &record, has_trouble));
    host::kill_all();
    let (code, text) = match played {
        Ok(Ok(Verdict { is_broken, text })) => (i32::from(is_broken), text),
        Ok(Err(error)) => (2, format!("could not run: {error}")),
        Err(_) => (2, "could not run: panic".to_owned()),
    };
    let trouble = if has_trouble { "with" } else { "without" };
    let result = match code {
        0 => "held",
        1 => "BROKEN",
        _ => "not run",
    };
    let text = format!("{case}, {trouble} the disruption: {result}. {text}");
    println!("{text}");
    if let Err(error) = record.write(&folder.join("record.txt"), &text) {
        eprintln!("record.txt: {error}");
    }
    std::process::exit(code);
}
