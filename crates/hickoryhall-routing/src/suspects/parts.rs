//! Prompt parts that may crash each runner which answers a request with them. A whole request counts
//! as a part that only it has.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::SuspectDecision;
use super::answers::Answers;
use super::blocked::{BLOCKED_TTL, Block, BlockedParts};
use super::news::{
    CrashId, CrashNews, CrashReport, CrashedPart, MAX_NEWS, PartHash, is_news, time_of,
};

/// Crashes from which a part is blocked though servers crash for other reasons as well, or other parts
/// have as many.
const ROUNDS_WITHOUT_DOUBT: u32 = 5;
/// Part of the crashes since its first one that a part has to account for to be blocked early.
const MIN_CRASH_FRACTION: f64 = 0.75;
/// Time after which a crash counts no more.
const CRASH_TTL: Duration = Duration::from_secs(600);

const MAX_CRASHES: usize = 64;
/// Maximum number of crashes of which only the time is kept.
const MAX_DROPPED: usize = 1_024;
const MAX_PARTS_PER_CRASH: usize = 32;

/// When parts of one kind are blocked.
#[derive(Clone, Copy, Debug)]
pub(super) struct BlockRule {
    /// Crashes, each of a run that began after the crash before, from which a part is blocked if it
    /// accounts for most crashes in that time, was never answered, and no other part has as many.
    pub min_rounds: u32,
    /// Time for the reports of all hosts on a crash to arrive before it counts.
    pub settle_time: Duration,
    /// Bit of ids that tells breaks without proof of a crash: they count against what they broke off, and
    /// not in favour of others.
    pub unproven_bit: CrashId,
}

#[derive(Clone, Debug)]
struct Crash {
    id: CrashId,
    at: Instant,
    /// Last time at which the report changed.
    changed_at: Instant,
    parts: Vec<CrashedPart>,
}

/// Crashes of servers that ran a part.
#[derive(Clone, Copy, Debug)]
struct CrashCount {
    /// Crashes of runs that began after the one before.
    rounds: u32,
    crashes: u32,
    /// Crashes from its first one on, of servers that did not run it too.
    all_crashes: u32,
    first_at: Instant,
    /// Time of the last crash in `rounds`.
    last_at: Instant,
}

impl CrashCount {
    fn accounts_for_most(&self) -> bool {
        f64::from(self.crashes) >= f64::from(self.all_crashes) * MIN_CRASH_FRACTION
    }
}

/// What is known of the parts of prompts that ran when servers crashed.
///
/// All parts that ran at a crash are suspected, unless a server has recently answered them in full:
/// such a part cannot crash each server. A whole answer later clears a part as well. The part that
/// crashes servers gets no whole answer, so that the number of its crashes grows. Crashes count only
/// if the run that ended began after the crash before, so that servers which fail together count
/// once.
#[derive(Clone, Debug)]
pub(super) struct PartSuspects {
    rule: BlockRule,
    /// Crashes in the order of their times.
    crashes: Vec<Crash>,
    /// Times of crashes whose parts are not kept.
    dropped: VecDeque<Instant>,
    /// Number of crashes that count against each suspected part.
    rounds: HashMap<PartHash, u32>,
    blocked: BlockedParts,
    answers: Answers,
    /// Whether a part may have to be blocked.
    needs_review: bool,
}

impl PartSuspects {
    /// Creates suspects without any crash.
    pub fn new(rule: BlockRule) -> Self {
        Self {
            rule,
            crashes: Vec::new(),
            dropped: VecDeque::new(),
            rounds: HashMap::new(),
            blocked: BlockedParts::default(),
            answers: Answers::default(),
            needs_review: false,
        }
    }

    /// Returns whether a part is suspected or blocked.
    pub fn contains(&self, part: PartHash) -> bool {
        self.rounds.contains_key(&part) || self.blocked.contains(part)
    }

    /// Blocks a part that a peer refuses without telling of the crashes, unless it was answered lately.
    pub fn block(&mut self, now: Instant, part: PartHash) {
        if !self.answers.clears(part, now) && !self.blocked.contains(part) {
            self.blocked.insert(now, part, now, false);
            self.count_rounds();
        }
    }

    /// Returns the number of recorded crashes, answered parts and blocked parts.
    pub fn len(&self) -> usize {
        self.crashes.len() + self.answers.len() + self.blocked.len()
    }

    /// Records a whole answer of one server; returns the parts that it clears.
    pub fn record_answer(&mut self, now: Instant, parts: &[PartHash]) -> Vec<PartHash> {
        let cleared = parts.iter().copied();
        cleared.filter(|&part| self.clear(now, part, now)).collect()
    }

    /// Records a whole answer; returns whether the part was suspected or blocked.
    fn clear(&mut self, now: Instant, part: PartHash, answered_at: Instant) -> bool {
        self.answers.record(part, answered_at);
        let last_crash_at = self.blocked.last_crash_at(part);
        let is_unblocked = last_crash_at.is_some_and(|at| self.answers.clears(part, at));
        if is_unblocked {
            self.blocked.remove(part);
        }
        if !is_unblocked && !self.rounds.contains_key(&part) {
            return false;
        }
        self.answers.tell(now, part);
        self.count_rounds();
        true
    }

    /// Records a crash, or adds the parts of another report on it; returns whether that was new.
    pub fn record_crash(&mut self, now: Instant, report: &CrashReport) -> bool {
        let Some(reported_at) = time_of(now, report.age, CRASH_TTL) else {
            return false;
        };
        let mut known = self.crashes.iter();
        let known = known.position(|crash| crash.id == report.crash);
        let at = known.map_or(reported_at, |index| self.crashes[index].at);
        let suspected = report.parts.iter().copied();
        let suspected = suspected
            .filter(|ran| !self.answers.clears(ran.part, at))
            .collect::<Vec<_>>();
        let index = known.unwrap_or_else(|| self.insert_crash(now, report.crash, at));
        let rounds = &self.rounds;
        let crash = &mut self.crashes[index];
        let is_changed = crash.merge(&suspected, |part| rounds.get(&part).copied().unwrap_or(0));
        if !is_changed && known.is_some() {
            return false;
        }
        crash.changed_at = now;
        for ran in &suspected {
            self.blocked.record_crash(now, ran.part, at);
        }
        self.needs_review = true;
        self.drop_crashes(now);
        self.count_rounds();
        true
    }

    fn insert_crash(&mut self, now: Instant, id: CrashId, at: Instant) -> usize {
        let index = self.crashes.partition_point(|crash| crash.at <= at);
        let crash = Crash {
            id,
            at,
            changed_at: now,
            parts: Vec::new(),
        };
        self.crashes.insert(index, crash);
        index
    }

    /// Drops old crashes, and beyond the maximum the oldest one among those whose parts have the fewest
    /// crashes; only the time of that is kept.
    fn drop_crashes(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < CRASH_TTL;
        self.crashes.retain(|crash| is_recent(crash.at));
        self.dropped.retain(|&at| is_recent(at));
        while self.crashes.len() > MAX_CRASHES {
            let most_rounds = |crash: &Crash| {
                let rounds = crash.parts.iter().map(|ran| self.rounds_of(ran.part));
                rounds.max().unwrap_or(0)
            };
            let least =
                (0..self.crashes.len()).min_by_key(|&index| most_rounds(&self.crashes[index]));
            let dropped = self.crashes.remove(least.unwrap_or(0));
            self.dropped.push_back(dropped.at);
            if self.dropped.len() > MAX_DROPPED {
                self.dropped.pop_front();
            }
        }
    }

    /// Returns the number of recorded crashes with a part.
    pub fn crashes_of(&self, part: PartHash) -> usize {
        let ran = |crash: &&Crash| crash.parts.iter().any(|ran| ran.part == part);
        self.crashes.iter().filter(ran).count()
    }

    fn rounds_of(&self, part: PartHash) -> u32 {
        self.rounds.get(&part).copied().unwrap_or(0)
    }

    /// Removes the parts from crashes that whole answers clear, and counts the crashes of the others.
    fn count_rounds(&mut self) {
        for crash in &mut self.crashes {
            let (answers, at) = (&self.answers, crash.at);
            crash.parts.retain(|ran| !answers.clears(ran.part, at));
        }
        let counts = self.crash_counts(|_| true).into_iter();
        self.rounds = counts.map(|(part, count)| (part, count.rounds)).collect();
    }

    /// Returns the crashes of each part among some; those of a blocked part count against no other.
    fn crash_counts(&self, is_included: impl Fn(&Crash) -> bool) -> HashMap<PartHash, CrashCount> {
        let is_blocked = |ran: &CrashedPart| self.blocked.contains(ran.part);
        let mut counts = HashMap::<PartHash, CrashCount>::new();
        let mut unexplained = 0;
        for crash in self.crashes.iter().filter(|crash| is_included(crash)) {
            let is_explained = crash.parts.iter().any(is_blocked);
            for ran in &crash.parts {
                if is_explained && !is_blocked(ran) {
                    continue;
                }
                let count = counts.entry(ran.part).or_insert(CrashCount {
                    rounds: 0,
                    crashes: 0,
                    all_crashes: unexplained,
                    first_at: crash.at,
                    last_at: crash.at,
                });
                count.crashes += 1;
                let began_at = crash.at.checked_sub(ran.run_time).unwrap_or(crash.at);
                if count.rounds == 0 || began_at > count.last_at {
                    count.rounds += 1;
                    count.last_at = crash.at;
                }
            }
            let is_proven = crash.id & self.rule.unproven_bit == 0;
            unexplained += u32::from(!is_explained && is_proven);
        }
        for count in counts.values_mut() {
            let dropped = self.dropped.iter().filter(|&&at| at >= count.first_at);
            let kept = unexplained.saturating_sub(count.all_crashes);
            count.all_crashes = kept + dropped.count() as u32;
        }
        counts
    }

    /// Blocks the parts that crash servers beyond doubt; returns them with the number of crashes of
    /// each.
    pub fn review(&mut self, now: Instant) -> Vec<(PartHash, u32)> {
        if !self.needs_review {
            return Vec::new();
        }
        let settle_time = self.rule.settle_time;
        let is_settled =
            |crash: &Crash| now.saturating_duration_since(crash.changed_at) >= settle_time;
        self.needs_review = !self.crashes.iter().all(is_settled);
        let parts = self.parts_to_block(self.crash_counts(is_settled));
        for &(part, _) in &parts {
            let last_crash_at = self.last_crash_at(part).unwrap_or(now);
            self.blocked.insert(now, part, last_crash_at, false);
        }
        if !parts.is_empty() {
            // Another part may be left that caused other crashes.
            self.needs_review = true;
            self.count_rounds();
        }
        parts
    }

    /// Returns the parts with the most crashes, or none while there is doubt.
    fn parts_to_block(&self, counts: HashMap<PartHash, CrashCount>) -> Vec<(PartHash, u32)> {
        let counts = counts.into_iter().filter(|&(part, count)| {
            // A part that was ever answered in full is the less likely cause.
            let is_likely = count.rounds >= self.rule.min_rounds
                && count.accounts_for_most()
                && !self.answers.contains(part);
            let is_certain = count.rounds >= ROUNDS_WITHOUT_DOUBT;
            (is_likely || is_certain) && !self.blocked.contains(part)
        });
        let counts = counts.map(|(part, count)| (part, count.rounds));
        let mut counts = counts.collect::<Vec<_>>();
        let most = counts.iter().map(|&(_, rounds)| rounds).max().unwrap_or(0);
        counts.retain(|&(_, rounds)| rounds == most);
        if counts.iter().any(|&(part, _)| !self.answers.contains(part)) {
            counts.retain(|&(part, _)| !self.answers.contains(part));
        }
        if counts.len() > 1 && most < ROUNDS_WITHOUT_DOUBT {
            counts.clear();
        }
        counts
    }

    fn last_crash_at(&self, part: PartHash) -> Option<Instant> {
        let ran = |crash: &&Crash| crash.parts.iter().any(|ran| ran.part == part);
        let crashes = self.crashes.iter().filter(ran);
        crashes.map(|crash| crash.at).max()
    }

    /// Decides whether and how a request with these parts may run. `may_probe` tells whether this host
    /// is the one that probes blocked parts.
    pub fn decide(
        &mut self,
        now: Instant,
        parts: &[PartHash],
        may_probe: impl Fn() -> bool,
    ) -> SuspectDecision {
        if self.rounds.is_empty() && self.blocked.is_empty() {
            return SuspectDecision::Clear;
        }
        let mut refusal = None;
        let mut probe = None;
        for &part in parts {
            match self.blocked.block(now, part, &may_probe) {
                Some(Block::For(wait)) => refusal = refusal.max(Some(wait)),
                Some(Block::Probe) => probe = Some(part),
                None => {}
            }
        }
        if let Some(wait) = refusal {
            return SuspectDecision::Refuse(wait);
        }
        if let Some(part) = probe {
            self.blocked.record_probe(now, part);
            return SuspectDecision::Probe(part);
        }
        let suspected = parts.iter().copied();
        let suspected = suspected.filter(|part| self.rounds.contains_key(part));
        // A part that was ever answered in full keeps its own server, where it can be answered again.
        let most = suspected
            .max_by_key(|&part| (self.rounds_of(part), !self.answers.contains(part), part));
        most.map_or(SuspectDecision::Clear, SuspectDecision::Isolate)
    }

    /// Returns what peers have to learn with the next digest.
    pub fn news(&mut self, now: Instant) -> CrashNews {
        let fresh = self.crashes.iter().rev();
        let fresh = fresh.filter(|crash| is_news(now, crash.changed_at));
        let crashes = fresh.take(MAX_NEWS).map(|crash| CrashReport {
            crash: crash.id,
            age: now.saturating_duration_since(crash.at),
            parts: crash.parts.clone(),
        });
        CrashNews {
            crashes: crashes.collect(),
            answered: self.answers.news(now),
            blocked: self.blocked.news(now),
        }
    }

    /// Merges what a peer tells; returns the parts that are blocked now and were not before.
    pub fn merge(&mut self, now: Instant, news: &CrashNews) -> Vec<PartHash> {
        for answered in &news.answered {
            if let Some(at) = time_of(now, answered.age, CRASH_TTL)
                && self.answers.is_later(answered.part, at)
            {
                self.clear(now, answered.part, at);
            }
        }
        for report in &news.crashes {
            self.record_crash(now, report);
            // The peer may not know of answers to what it suspects.
            for ran in &report.parts {
                self.answers.tell(now, ran.part);
            }
        }
        let mut added = Vec::new();
        for blocked in &news.blocked {
            let Some(last_crash_at) = time_of(now, blocked.age, BLOCKED_TTL) else {
                continue;
            };
            if self.answers.clears(blocked.part, last_crash_at) {
                self.answers.tell(now, blocked.part);
            } else if self.blocked.merge(now, blocked, last_crash_at) {
                added.push(blocked.part);
            }
        }
        if !added.is_empty() {
            self.count_rounds();
        }
        added
    }
}

impl Crash {
    /// Adds parts; where there are too many, keeps those with the most crashes, then those of the newest
    /// runs. Returns whether anything changed.
    fn merge(&mut self, parts: &[CrashedPart], rounds: impl Fn(PartHash) -> u32) -> bool {
        let before = self.parts.clone();
        for ran in parts {
            let mut known = self.parts.iter_mut();
            match known.find(|known| known.part == ran.part) {
                Some(known) => known.run_time = known.run_time.min(ran.run_time),
                None => self.parts.push(*ran),
            }
        }
        if self.parts.len() > MAX_PARTS_PER_CRASH {
            self.parts
                .sort_by_key(|ran| (Reverse(rounds(ran.part)), ran.run_time, ran.part));
            self.parts.truncate(MAX_PARTS_PER_CRASH);
            self.parts.sort_by_key(|ran| ran.part);
        }
        self.parts != before
    }
}
