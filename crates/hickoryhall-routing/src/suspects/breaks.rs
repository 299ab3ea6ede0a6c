//! Tells crashes of servers from breaks of single connections.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::news::{CrashId, CrashReport, CrashedPart, PartHash};

/// Time after a break in which further ones of the same process belong to it.
const BREAK_TTL: Duration = Duration::from_secs(3);
/// Maximum number of processes with a recent break; further ones are not checked.
const MAX_BREAKS: usize = 256;

/// What follows from a break.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BreakStep {
    /// The process has to be checked.
    Check,
    /// The process is being checked.
    Nothing,
    /// The process has crashed.
    Crashed(CrashReport),
}

#[derive(Clone, Debug)]
struct BrokenProcess {
    broke_at: Instant,
    has_crashed: bool,
    parts: Vec<CrashedPart>,
}

/// Recent breaks of answers, by the process of the server.
///
/// A connection may break alone: its link fails, the server resets it, or it ends as a request
/// crosses its end. A process has crashed if all its connections end and its address refuses new
/// ones.
#[derive(Clone, Debug, Default)]
pub struct Breaks {
    processes: HashMap<CrashId, BrokenProcess>,
}

impl Breaks {
    /// Records that a process broke off a request that had run for `run_time`.
    pub fn record_break(
        &mut self,
        now: Instant,
        process: CrashId,
        parts: &[PartHash],
        run_time: Duration,
    ) -> BreakStep {
        self.processes
            .retain(|_, broken| now.saturating_duration_since(broken.broke_at) < BREAK_TTL);
        let is_known = self.processes.contains_key(&process);
        if parts.is_empty() || (!is_known && self.processes.len() >= MAX_BREAKS) {
            return BreakStep::Nothing;
        }
        let broken = self
            .processes
            .entry(process)
            .or_insert_with(|| BrokenProcess {
                broke_at: now,
                has_crashed: false,
                parts: Vec::new(),
            });
        let parts = parts.iter().map(|&part| CrashedPart { part, run_time });
        broken.parts.extend(parts);
        if !is_known {
            BreakStep::Check
        } else if broken.has_crashed {
            BreakStep::Crashed(broken.report(now, process))
        } else {
            BreakStep::Nothing
        }
    }

    /// Returns when a process broke off the first request of the recent ones.
    #[must_use]
    pub fn broke_at(&self, process: CrashId) -> Option<Instant> {
        self.processes.get(&process).map(|broken| broken.broke_at)
    }

    /// Records the result of a check: whether the address refuses connections, and the number of
    /// requests at the process that began before the break and have not ended.
    pub fn record_check(
        &mut self,
        now: Instant,
        process: CrashId,
        is_refusing: bool,
        open_requests: usize,
    ) -> Option<CrashReport> {
        let broken = self.processes.get_mut(&process)?;
        if is_refusing && open_requests == 0 {
            broken.has_crashed = true;
            return Some(broken.report(now, process));
        }
        // A later break is checked again.
        self.processes.remove(&process);
        None
    }
}

impl BrokenProcess {
    fn report(&self, now: Instant, process: CrashId) -> CrashReport {
        CrashReport {
            crash: process,
            age: now.saturating_duration_since(self.broke_at),
            parts: self.parts.clone(),
        }
    }
}
