//! Tells crashes of servers from breaks of single connections.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::Fingerprint;
use super::news::{CrashId, CrashReport, CrashedPart, PartHash};

/// Time after a break in which further ones of the same process belong to it.
const BREAK_TTL: Duration = Duration::from_secs(3);
/// Maximum number of processes with a recent break; further ones are not checked.
const MAX_BREAKS: usize = 256;
/// Maximum number of parts, and of requests, that are kept of one process.
const MAX_RUNS: usize = 512;

/// What follows from a break.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BreakStep {
    /// The process has to be checked.
    Check,
    /// The process is being checked.
    Nothing,
    /// The process has crashed.
    Crashed(ServerCrash),
}

/// A request that a process broke off.
#[derive(Clone, Copy, Debug)]
pub struct BrokenRequest<'a> {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt that other requests can share.
    pub parts: &'a [PartHash],
    /// Time from its start to the break.
    pub run_time: Duration,
}

/// The crash of one process, with what it was running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerCrash {
    /// The parts of the prompts of its requests.
    pub parts: CrashReport,
    /// The fingerprints of its requests, in place of parts.
    pub requests: CrashReport,
}

#[derive(Clone, Debug)]
struct BrokenProcess {
    broke_at: Instant,
    has_crashed: bool,
    parts: Vec<CrashedPart>,
    requests: Vec<CrashedPart>,
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
    /// Records that a process broke off a request.
    pub fn record_break(
        &mut self,
        now: Instant,
        process: CrashId,
        request: &BrokenRequest<'_>,
    ) -> BreakStep {
        self.processes
            .retain(|_, broken| now.saturating_duration_since(broken.broke_at) < BREAK_TTL);
        let is_known = self.processes.contains_key(&process);
        if !is_known && self.processes.len() >= MAX_BREAKS {
            return BreakStep::Nothing;
        }
        let broken = self
            .processes
            .entry(process)
            .or_insert_with(|| BrokenProcess {
                broke_at: now,
                has_crashed: false,
                parts: Vec::new(),
                requests: Vec::new(),
            });
        for &part in request.parts {
            add_run(&mut broken.parts, part, request.run_time);
        }
        add_run(&mut broken.requests, request.fingerprint, request.run_time);
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
    ) -> Option<ServerCrash> {
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
    fn report(&self, now: Instant, process: CrashId) -> ServerCrash {
        let report = |parts: &[CrashedPart]| CrashReport {
            crash: process,
            age: now.saturating_duration_since(self.broke_at),
            parts: parts.to_vec(),
        };
        ServerCrash {
            parts: report(&self.parts),
            requests: report(&self.requests),
        }
    }
}

/// Adds a run to a list that has each part once, with its newest run.
fn add_run(runs: &mut Vec<CrashedPart>, part: PartHash, run_time: Duration) {
    if let Some(ran) = runs.iter_mut().find(|ran| ran.part == part) {
        ran.run_time = ran.run_time.min(run_time);
    } else if runs.len() < MAX_RUNS {
        runs.push(CrashedPart { part, run_time });
    }
}
