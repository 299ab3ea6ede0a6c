//! Structured logs.

use std::io;

use serde::{Deserialize, Serialize};
use slog::{Drain, Logger, o};

/// Lines that may wait to be written; more are dropped and counted by the drain.
const QUEUE_LINES: usize = 1_024;

/// Form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// For a person at a terminal.
    Terminal,
    /// Nothing.
    Off,
}

/// Creates the logger of a process; lines go to standard output.
///
/// Each part of the program makes a child with its own `part` value, which every line of it shows.
pub fn root_logger(format: LogFormat, host: &str) -> Logger {
    let host = host.to_owned();
    match format {
        LogFormat::Off => Logger::root(slog::Discard, o!()),
        LogFormat::Json => {
            let drain = slog_json::Json::default(io::stdout()).fuse();
            logger(drain, host)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().build();
            logger(slog_term::FullFormat::new(decorator).build().fuse(), host)
        }
    }
}

fn logger<D>(drain: D, host: String) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(QUEUE_LINES)
        .build()
        .fuse();
    Logger::root(drain, o!("host" => host))
}
