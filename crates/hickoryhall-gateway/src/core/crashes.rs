//! Crashes of servers, and the requests and prompt parts that may have caused them.

use std::time::{Duration, Instant};

use hickoryhall_routing::{
    BreakStep, BrokenRequest, CrashId, Fingerprint, PartHash, ServerCrash, SuspectDecision,
};
use hickoryhall_types::{hash_name, rendezvous_score};
use metrics::counter;
use slog::info;

use super::{Core, duty_rank};
use crate::peers::SuspectUpdate;
use crate::registry::BackendServer;

/// Time after its start from which a host may probe a refused prompt part.
const PROBE_START_DELAY: Duration = Duration::from_secs(10);
/// Ranks hosts for the probe of requests and prompt parts under which servers crashed.
const PROBE_DUTY: u64 = 0x7375_7370_6563_7473;

impl Core {
    /// Returns whether a request runs normally, runs isolated or is refused, by the backend servers
    /// that failed while they ran it, if its fingerprint is given, or others with a part of its prompt.
    pub fn suspect_decision(
        &mut self,
        now: Instant,
        fingerprint: Option<Fingerprint>,
        parts: &[PartHash],
    ) -> SuspectDecision {
        let (fleet, host) = (&self.fleet, self.config.host);
        let restarted_at = self.config.restarted_at;
        // A host that has just started does not know its peers yet.
        let is_settled = restarted_at.is_none_or(|at| now >= at + PROBE_START_DELAY);
        let may_probe = || is_settled && duty_rank(fleet, host, now, PROBE_DUTY) == 0;
        self.suspects
            .decide_prompt(now, fingerprint, parts, may_probe)
    }

    /// Returns whether a request may be the cause of crashes.
    #[must_use]
    pub fn is_request_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.is_request_suspect(fingerprint)
    }

    /// Records that a server broke off a request before its first event, though its process may not
    /// have crashed.
    pub fn record_unproven_break(
        &mut self,
        now: Instant,
        server: &BackendServer,
        request: &BrokenRequest<'_>,
    ) {
        self.suspects
            .record_unproven_break(now, process_id(server), request);
        self.review_requests(now);
    }

    /// Records that a server broke off a request; returns whether its process has to be checked.
    pub fn record_break(
        &mut self,
        now: Instant,
        server: &BackendServer,
        request: &BrokenRequest<'_>,
    ) -> bool {
        let step = self.breaks.record_break(now, process_id(server), request);
        match step {
            BreakStep::Check => return true,
            BreakStep::Crashed(crash) => self.record_crash(now, &server.id, &crash),
            BreakStep::Nothing => {}
        }
        false
    }

    /// Records whether the address of a server refused a connection after a break, and returns
    /// whether its process has crashed.
    pub fn record_check(
        &mut self,
        now: Instant,
        server: &BackendServer,
        is_refusing: bool,
    ) -> bool {
        let process = process_id(server);
        let Some(broke_at) = self.breaks.broke_at(process) else {
            return false;
        };
        let open = self.scheduler.open_attempts(server, broke_at);
        let crash = self.breaks.record_check(now, process, is_refusing, open);
        let has_crashed = crash.is_some();
        // A server that leaves ends on purpose.
        if let Some(crash) = crash.filter(|_| !self.scheduler.is_leaving(&server.id)) {
            self.record_crash(now, &server.id, &crash);
        }
        has_crashed
    }

    fn record_crash(&mut self, now: Instant, server: &str, crash: &ServerCrash) {
        let has_parts = !crash.parts.parts.is_empty();
        let is_new = has_parts && self.suspects.record_crash(now, &crash.parts);
        let has_new_requests = self.suspects.record_request_crash(now, &crash.requests);
        if is_new || has_new_requests {
            counter!("crash_reports_total").increment(1);
            info!(
                self.logger, "core: Server crashed while it ran requests.";
                "server" => server, "crash" => format!("{:016x}", crash.parts.crash),
                "parts" => crash.parts.parts.len(), "requests" => crash.requests.parts.len()
            );
        }
        self.review_requests(now);
    }

    /// Refuses from now on the requests that crash servers beyond doubt.
    pub(super) fn review_requests(&mut self, now: Instant) {
        for (fingerprint, crashes) in self.suspects.review_requests(now) {
            counter!("suspect_requests_refused_total", "source" => "crashes").increment(1);
            info!(
                self.logger, "core: Request is refused, as servers crash under it.";
                "fingerprint" => fingerprint, "crashes" => crashes
            );
            // Hosts of earlier builds know only numbers of deaths.
            self.queue_suspect_update(SuspectUpdate {
                fingerprint,
                deaths: crashes,
            });
        }
    }

    /// Refuses from now on the prompt parts that crash servers beyond doubt.
    pub(super) fn review_crashes(&mut self, now: Instant) {
        for (part, crashes) in self.suspects.review(now) {
            counter!("prompt_parts_refused_total", "source" => "crashes").increment(1);
            info!(
                self.logger, "core: Prompt part is refused, as servers crash under it.";
                "part" => format!("{part:016x}"), "crashes" => crashes
            );
        }
    }

    /// Records that one server wrote a whole answer to a request, which clears it and its prompt's
    /// parts from suspicion.
    pub fn record_whole_answer(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        parts: &[PartHash],
    ) {
        if self.suspects.record_request_answer(now, fingerprint) {
            info!(
                self.logger, "core: Request cleared by a whole answer.";
                "fingerprint" => fingerprint
            );
            self.suspect_updates
                .retain(|update| update.fingerprint != fingerprint);
        }
        for part in self.suspects.record_answer(now, parts) {
            info!(
                self.logger, "core: Prompt part cleared by a whole answer.";
                "part" => format!("{part:016x}")
            );
        }
    }
}

/// Returns the id of a server's process, the same on every host.
fn process_id(server: &BackendServer) -> CrashId {
    rendezvous_score(hash_name(&server.id), server.incarnation)
}
