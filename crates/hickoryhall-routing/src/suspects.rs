//! Suspects: requests and prompt parts that were in flight when a runner died and may have killed it.

mod answers;
mod blocked;
mod breaks;
mod news;
mod parts;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use hickoryhall_types::rendezvous_score;

pub use breaks::{BreakStep, Breaks, BrokenRequest, ServerCrash};
pub use news::{AnsweredPart, BlockedPart, CrashId, CrashNews, CrashReport, CrashedPart, PartHash};
use parts::{BlockRule, PartSuspects};

/// Hash of a request's workspace, target and body, the same on every host.
pub type Fingerprint = u64;

/// Maximum number of recorded deaths, and so of suspects; the oldest is dropped first.
const MAX_RECORDED_DEATHS: usize = 4_096;
/// Time after the last recorded death at which a suspect is dropped.
const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Number of runner deaths from which a request is refused.
const DEATHS_TO_REFUSE: u32 = 2;
/// Rule for parts of prompts, which many requests may share.
const PART_RULE: BlockRule = BlockRule {
    min_rounds: 3,
    settle_time: Duration::from_millis(250),
    unproven_bit: 0,
};
/// Rule for whole requests.
const REQUEST_RULE: BlockRule = BlockRule {
    min_rounds: DEATHS_TO_REFUSE,
    settle_time: Duration::ZERO,
    unproven_bit: UNPROVEN_BIT,
};
/// Bit of a crash's id that tells breaks without proof of a crash, among those of requests.
const UNPROVEN_BIT: CrashId = 1;
/// Makes the id of a break that is not known to be a crash from that of the process.
const UNPROVEN_BREAK: u64 = 0x756e_7072_6f76_656e;

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectDecision {
    /// The request is no suspect and may run on any runner.
    Clear,
    /// Run the request on a runner that runs no other suspect, and send it there only once; holds
    /// what is suspect about it, which is the same for all requests that have it.
    Isolate(u64),
    /// Run the request as the only one of those with a part of its prompt that have been refused.
    Probe(u64),
    /// Refuse the request; this is the time until it is no longer a suspect.
    Refuse(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    deaths: u32,
    updated_at: Instant,
}

/// Bounded set of suspects with the number of runner deaths of each.
///
/// A request is suspect for itself, by the processes that crashed while they ran it or broke it off
/// before its first event, or for a part of its prompt, by the crashes of servers that ran the part.
#[derive(Clone, Debug)]
pub struct Suspects {
    parts: PartSuspects,
    /// Whole requests, by their fingerprints.
    requests: PartSuspects,
    entries: HashMap<Fingerprint, Suspect>,
    order: VecDeque<(Instant, Fingerprint)>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            parts: PartSuspects::new(PART_RULE),
            requests: PartSuspects::new(REQUEST_RULE),
            entries: HashMap::new(),
            order: VecDeque::new(),
        }
    }
}

impl Suspects {
    /// Records that a runner died while it ran a request, and returns the number of deaths so far.
    pub fn record_death(&mut self, now: Instant, fingerprint: Fingerprint) -> u32 {
        self.expire(now);
        let deaths = self
            .entries
            .get(&fingerprint)
            .map_or(0, |suspect| suspect.deaths)
            + 1;
        self.insert_suspect(now, fingerprint, deaths);
        deaths
    }

    /// Merges the number of deaths that another host has counted; the higher number is kept.
    ///
    /// Returns whether `deaths` was higher than the number known here.
    pub fn merge(&mut self, now: Instant, fingerprint: Fingerprint, deaths: u32) -> bool {
        self.expire(now);
        let known = self
            .entries
            .get(&fingerprint)
            .map_or(0, |suspect| suspect.deaths);
        if deaths <= known {
            return false;
        }
        self.insert_suspect(now, fingerprint, deaths);
        true
    }

    /// Records that a request got a complete answer, which clears it unless it is already refused.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        let refused = self
            .entries
            .get(&fingerprint)
            .is_some_and(|suspect| suspect.deaths >= DEATHS_TO_REFUSE);
        if !refused {
            self.entries.remove(&fingerprint);
        }
    }

    /// Decides whether and how a request may run.
    pub fn decide(&mut self, now: Instant, fingerprint: Fingerprint) -> SuspectDecision {
        self.expire(now);
        match self.entries.get(&fingerprint) {
            None => SuspectDecision::Clear,
            Some(suspect) if suspect.deaths < DEATHS_TO_REFUSE => {
                SuspectDecision::Isolate(fingerprint)
            }
            Some(suspect) => SuspectDecision::Refuse(
                SUSPECT_TTL.saturating_sub(now.duration_since(suspect.updated_at)),
            ),
        }
    }

    /// Decides whether and how a request with a prompt may run; without a fingerprint, by its prompt
    /// alone. `may_probe` tells whether this host is
    /// the one that probes refused requests and parts.
    pub fn decide_prompt(
        &mut self,
        now: Instant,
        fingerprint: Option<Fingerprint>,
        parts: &[PartHash],
        may_probe: impl Fn() -> bool,
    ) -> SuspectDecision {
        let by_part = self.parts.decide(now, parts, &may_probe);
        if matches!(by_part, SuspectDecision::Refuse(_)) {
            return by_part;
        }
        let by_request = fingerprint.map_or(SuspectDecision::Clear, |fingerprint| {
            self.requests.decide(now, &[fingerprint], may_probe)
        });
        match (by_request, by_part) {
            (SuspectDecision::Clear | SuspectDecision::Isolate(_), by_part)
                if by_part != SuspectDecision::Clear =>
            {
                by_part
            }
            (by_request, _) => by_request,
        }
    }

    /// Records that a process broke off a request before its first event, though it is not known to
    /// have crashed. It counts if the run began after the break before.
    pub fn record_unproven_break(
        &mut self,
        now: Instant,
        process: CrashId,
        request: &BrokenRequest<'_>,
    ) {
        let ran = CrashedPart {
            part: request.fingerprint,
            run_time: request.run_time,
        };
        let before = self.requests.crashes_of(request.fingerprint) as u64;
        let report = CrashReport {
            crash: rendezvous_score(process, UNPROVEN_BREAK ^ before) | UNPROVEN_BIT,
            age: Duration::ZERO,
            parts: vec![ran],
        };
        self.requests.record_crash(now, &report);
    }

    /// Records a crash of a server with the parts of the prompts that it ran, or another report on
    /// it; returns whether that was new.
    pub fn record_crash(&mut self, now: Instant, report: &CrashReport) -> bool {
        self.parts.record_crash(now, report)
    }

    /// Records a crash of a server with the requests that it ran, or another report on it; returns
    /// whether that was new.
    pub fn record_request_crash(&mut self, now: Instant, report: &CrashReport) -> bool {
        let report = CrashReport {
            crash: report.crash & !UNPROVEN_BIT,
            ..report.clone()
        };
        self.requests.record_crash(now, &report)
    }

    /// Records that one server wrote a whole answer on some parts; returns those that were suspect.
    pub fn record_answer(&mut self, now: Instant, parts: &[PartHash]) -> Vec<PartHash> {
        self.parts.record_answer(now, parts)
    }

    /// Records that one server wrote a whole answer to a request; returns whether it was suspect.
    pub fn record_request_answer(&mut self, now: Instant, fingerprint: Fingerprint) -> bool {
        !self.requests.record_answer(now, &[fingerprint]).is_empty()
    }

    /// Returns whether a request is suspect for itself.
    #[must_use]
    pub fn is_request_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.requests.contains(fingerprint)
    }

    /// Refuses from now on the parts that crash servers beyond doubt; returns them with the number of
    /// crashes of each.
    pub fn review(&mut self, now: Instant) -> Vec<(PartHash, u32)> {
        self.parts.review(now)
    }

    /// Does the same with requests.
    pub fn review_requests(&mut self, now: Instant) -> Vec<(Fingerprint, u32)> {
        self.requests.review(now)
    }

    /// Returns what peers have to learn of crashes with the next digest.
    pub fn crash_news(&mut self, now: Instant) -> CrashNews {
        self.parts.news(now)
    }

    /// Returns what peers have to learn of requests that may crash servers with the next digest.
    pub fn request_news(&mut self, now: Instant) -> CrashNews {
        self.requests.news(now)
    }

    /// Merges what a peer tells of crashes; returns the parts that are refused from now on.
    pub fn merge_crash_news(&mut self, now: Instant, news: &CrashNews) -> Vec<PartHash> {
        self.parts.merge(now, news)
    }

    /// Merges what a peer tells of requests that may crash servers; returns those that are refused
    /// from now on.
    pub fn merge_request_news(&mut self, now: Instant, news: &CrashNews) -> Vec<Fingerprint> {
        self.requests.merge(now, news)
    }

    /// Merges the number of deaths that a host of an earlier build has counted, which tells nothing of
    /// its crashes. A request that it refuses is refused, unless it was answered lately.
    pub fn merge_deaths(&mut self, now: Instant, fingerprint: Fingerprint, deaths: u32) {
        // Such a host repeats a number for long; only a higher one is news.
        if self.merge(now, fingerprint, deaths) && deaths >= DEATHS_TO_REFUSE {
            self.requests.block(now, fingerprint);
        }
    }

    /// Returns the number of recorded crashes, answered parts and refused parts.
    #[must_use]
    pub fn part_record_count(&self) -> usize {
        self.parts.len()
    }

    /// Returns the number of recorded crashes, answered requests and refused requests.
    #[must_use]
    pub fn request_record_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn insert_suspect(&mut self, now: Instant, fingerprint: Fingerprint, deaths: u32) {
        self.entries.insert(
            fingerprint,
            Suspect {
                deaths,
                updated_at: now,
            },
        );
        self.order.push_back((now, fingerprint));
        while self.order.len() > MAX_RECORDED_DEATHS {
            self.drop_oldest();
        }
    }

    fn expire(&mut self, now: Instant) {
        while self
            .order
            .front()
            .is_some_and(|(at, _)| now.duration_since(*at) >= SUSPECT_TTL)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((at, fingerprint)) = self.order.pop_front() else {
            return;
        };
        // Each death has its own entry in the order; only the latest one removes the suspect.
        if self
            .entries
            .get(&fingerprint)
            .is_some_and(|suspect| suspect.updated_at == at)
        {
            self.entries.remove(&fingerprint);
        }
    }
}
