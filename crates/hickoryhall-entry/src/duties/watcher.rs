//! Reads the table from the store: once at the start, then on each change while this host has the
//! watcher duty.

use std::thread;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slog::{Logger, warn};

use crate::actors::{CoreMsg, Duties};
use crate::context::Context;
use crate::table_store::TABLE_HEAD_KEY;

/// Longest time that a watch request waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks of whether this host has the duty.
const DUTY_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Range of the random wait after a failed read, in milliseconds.
const BACKOFF_MS: std::ops::Range<u64> = 200..1_500;
/// Longest random delay of the first read, in milliseconds.
///
/// It spreads the reads of hosts that start together and gives peers time to deliver the table.
const START_JITTER_MS: u64 = 300;

/// Keeps the table up to date from the store until the host has stopped.
pub(crate) fn run_watcher(context: &Context, duties: &Duties, logger: &Logger) {
    let mut rng = ChaCha8Rng::seed_from_u64(context.incarnation ^ 0x77);
    thread::sleep(Duration::from_millis(rng.random_range(0..START_JITTER_MS)));
    let mut seen_store_revision = 0;
    let mut has_read = false;
    let mut is_failing = false;
    while !context.lifecycle.has_ended() {
        // A host without a table reads it itself; a host that has one leaves that to the watchers.
        let needs_read = !has_read && context.table.revision() == 0;
        if !needs_read && !duties.is_watcher() {
            thread::sleep(DUTY_CHECK_INTERVAL);
            continue;
        }
        let wait = if has_read {
            WATCH_TIMEOUT
        } else {
            Duration::ZERO
        };
        match read_change(context, seen_store_revision, wait) {
            Ok(revision) => {
                is_failing = false;
                has_read = true;
                seen_store_revision = revision.unwrap_or(seen_store_revision);
            }
            Err(error) => {
                // The table in force stays in use, and peers may still deliver newer ones.
                if !std::mem::replace(&mut is_failing, true) {
                    warn!(logger, "watcher: Table cannot be read from the store.";
                        "error" => error);
                }
                thread::sleep(Duration::from_millis(rng.random_range(BACKOFF_MS)));
            }
        }
    }
}

/// Waits for a change of the table's head and sends the table to the actors.
///
/// Returns the store revision of the change, or `None` if there was none within `wait`.
fn read_change(
    context: &Context,
    seen_store_revision: u64,
    wait: Duration,
) -> Result<Option<u64>, String> {
    let answer = context
        .store
        .watch(TABLE_HEAD_KEY, seen_store_revision, wait)
        .map_err(|error| error.to_string())?;
    let Some(changed) = answer
        .changed
        .into_iter()
        .find(|changed| changed.key == TABLE_HEAD_KEY)
    else {
        return Ok(None);
    };
    let (head, table) = context
        .table_store
        .read()
        .map_err(|error| error.to_string())?;
    context.core.send(CoreMsg::Table {
        head,
        table: Box::new(table),
    });
    Ok(Some(changed.revision))
}
