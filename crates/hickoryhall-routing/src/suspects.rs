//! Suspects: requests and prompt parts that were in flight when a runner died and may have killed it.

mod answers;
mod blocked;
mod breaks;
mod news;
mod parts;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

pub use breaks::{BreakStep, Breaks};
pub use news::{AnsweredPart, BlockedPart, CrashId, CrashNews, CrashReport, CrashedPart, PartHash};
use parts::PartSuspects;

/// Hash of a request's workspace, target and body, the same on every host.
pub type Fingerprint = u64;

/// Maximum number of recorded deaths, and so of suspects; the oldest is dropped first.
const MAX_RECORDED_DEATHS: usize = 4_096;
/// Time after the last recorded death at which a suspect is dropped.
const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Number of runner deaths from which a request is refused.
const DEATHS_TO_REFUSE: u32 = 2;

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
/// A request is suspect for itself, by the number of servers that broke it off, or for a part of its
/// prompt, by the crashes of servers that ran the part.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    parts: PartSuspects,
    entries: HashMap<Fingerprint, Suspect>,
    order: VecDeque<(Instant, Fingerprint)>,
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
    /// the one that probes refused parts.
    pub fn decide_prompt(
        &mut self,
        now: Instant,
        fingerprint: Option<Fingerprint>,
        parts: &[PartHash],
        may_probe: impl Fn() -> bool,
    ) -> SuspectDecision {
        let request = fingerprint.map_or(SuspectDecision::Clear, |fingerprint| {
            self.decide(now, fingerprint)
        });
        if matches!(request, SuspectDecision::Refuse(_)) {
            return request;
        }
        match self.parts.decide(now, parts, may_probe) {
            SuspectDecision::Clear => request,
            decision => decision,
        }
    }

    /// Records a crash of a server with the parts of the prompts that it ran, or another report on
    /// it; returns whether that was new.
    pub fn record_crash(&mut self, now: Instant, report: &CrashReport) -> bool {
        self.parts.record_crash(now, report)
    }

    /// Records that one server wrote a whole answer on some parts; returns those that were suspect.
    pub fn record_answer(&mut self, now: Instant, parts: &[PartHash]) -> Vec<PartHash> {
        self.parts.record_answer(now, parts)
    }

    /// Refuses from now on the parts that crash servers beyond doubt; returns them with the number of
    /// crashes of each.
    pub fn review(&mut self, now: Instant) -> Vec<(PartHash, u32)> {
        self.parts.review(now)
    }

    /// Returns what peers have to learn of crashes with the next digest.
    pub fn crash_news(&mut self, now: Instant) -> CrashNews {
        self.parts.news(now)
    }

    /// Merges what a peer tells of crashes; returns the parts that are refused from now on.
    pub fn merge_crash_news(&mut self, now: Instant, news: &CrashNews) -> Vec<PartHash> {
        self.parts.merge(now, news)
    }

    /// Returns the number of recorded crashes, answered parts and refused parts.
    #[must_use]
    pub fn part_record_count(&self) -> usize {
        self.parts.len()
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
