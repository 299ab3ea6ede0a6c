//! Structured logging.

use std::io;
use std::sync::mpsc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{Drain, Logger, Never, o};
use slog_async::{Async, AsyncBuilder, AsyncGuard};

/// Maximum number of queued log lines; further lines are dropped and counted by the drain.
const MAX_QUEUED_LINES: usize = 1_024;

/// Writes lines in one of the formats, on the thread of the log.
type BoxedDrain = Box<dyn Drain<Ok = (), Err = Never> + Send>;

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

/// Writes the queued lines of a logger at the end of the process; dropping it waits for them without
/// a limit.
#[derive(Default)]
pub struct LogGuard(Option<AsyncGuard>);

impl LogGuard {
    /// Writes the queued lines, and ends the log. Returns whether all were written within the limit,
    /// which they are not if nobody reads them.
    ///
    /// Nothing may be logged afterwards.
    #[must_use]
    pub fn flush(mut self, limit: Duration) -> bool {
        let Some(guard) = self.0.take() else {
            return true;
        };
        let (sender, flushed) = mpsc::channel();
        std::thread::spawn(move || {
            drop(guard);
            // Nobody waits any more after the limit.
            let _ = sender.send(());
        });
        flushed.recv_timeout(limit).is_ok()
    }
}

/// Creates the root logger of a process, which writes to standard output.
///
/// Each part of the program creates a child logger with its own `part` value, which appears in all
/// of its lines. The last lines may be lost if a part still has its logger when the process ends.
pub fn root_logger(format: LogFormat, host: &str) -> Logger {
    logger(format, host, AsyncBuilder::build)
}

/// Does the same as [`root_logger`], and returns a guard that writes the last lines.
pub fn root_logger_with_guard(format: LogFormat, host: &str) -> (Logger, LogGuard) {
    let mut guard = LogGuard::default();
    let logger = logger(format, host, |queue| {
        let (queue, queue_guard) = queue.build_with_guard();
        guard.0 = Some(queue_guard);
        queue
    });
    (logger, guard)
}

fn logger(
    format: LogFormat,
    host: &str,
    build: impl FnOnce(AsyncBuilder<BoxedDrain>) -> Async,
) -> Logger {
    let drain: BoxedDrain = match format {
        LogFormat::Off => return Logger::root(slog::Discard, o!()),
        LogFormat::Json => Box::new(slog_json::Json::default(io::stdout()).fuse()),
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().build();
            Box::new(slog_term::FullFormat::new(decorator).build().fuse())
        }
    };
    let queue = Async::new(drain).chan_size(MAX_QUEUED_LINES);
    Logger::root(build(queue).fuse(), o!("host" => host.to_owned()))
}
