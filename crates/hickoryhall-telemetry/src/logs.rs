//! Structured logging.

use std::io;

use serde::{Deserialize, Serialize};
use slog::{Drain, Logger, o};

/// Maximum number of queued log lines; further lines are dropped and counted by the drain.
const MAX_QUEUED_LINES: usize = 1_024;

/// Output format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text for a terminal.
    Terminal,
    /// No output.
    Off,
}

/// Creates the root logger of a process, which writes to standard output.
///
/// Each part of the program creates a child logger with its own `part` value, which appears in all
/// of its lines.
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
        .chan_size(MAX_QUEUED_LINES)
        .build()
        .fuse();
    Logger::root(drain, o!("host" => host))
}
