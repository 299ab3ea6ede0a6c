//! Prompt parts that may crash each runner which answers a request with them.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::SuspectDecision;

/// Hash of the id of a prompt part, the same on every host.
pub type PartHash = u64;
/// Hash of a server's id and process, which names the crash of that process on every host.
pub type CrashId = u64;

/// Crashes, each of a run that began after the crash before, from which a part is condemned if it
/// accounts for most crashes in that time, and no other part has as many.
const ROUNDS_TO_CONDEMN: u32 = 3;
/// Crashes from which a part is condemned though servers crash for other reasons as well, or other
/// parts have as many.
const ROUNDS_WITHOUT_DOUBT: u32 = 5;
/// Part of the crashes since its first one that a part has to account for to be condemned early.
const MIN_CRASH_FRACTION: f64 = 0.75;
/// Time for the reports of all hosts on a crash to arrive before it condemns a part.
const SETTLE_TIME: Duration = Duration::from_millis(250);
/// Time after a whole answer for which a part is not accused. A release of the runners' software may
/// change what crashes them.
const COMPLETION_TTL: Duration = Duration::from_secs(5);
/// Time after the last crash for which a condemned part is refused at first, so that a part which was
/// condemned for the crashes of another one is not refused for long.
const FIRST_REFUSAL_TIME: Duration = Duration::from_secs(10);
/// Time after the last crash for which a condemned part is refused once a trial has crashed a server.
const REFUSAL_TIME: Duration = Duration::from_secs(600);
/// Time after the verdict from which a crash is that of a trial, and not of a run that began before.
const TRIAL_DELAY: Duration = Duration::from_secs(5);
/// Time after which the trial of a condemned part may be repeated if it had no result.
const TRIAL_INTERVAL: Duration = Duration::from_secs(30);
/// Suggested retry delay of requests that wait for the result of a trial.
const RETRY_AFTER_TRIAL: Duration = Duration::from_secs(5);
/// Time after the last crash at which a condemned part is forgotten.
const CONDEMNED_TTL: Duration = Duration::from_secs(24 * 3_600);
/// Time after which a crash accuses no part any more.
const CRASH_TTL: Duration = Duration::from_secs(600);
/// Time for which a host passes on what is new.
const NEWS_TTL: Duration = Duration::from_secs(5);
/// Digests, of which one lists the condemned parts that are not new.
const CONDEMNED_ROTATION: u64 = 16;
/// Difference in age from which a report is taken for a later event. Ages grow on their way by less,
/// and hosts that adopted every newer age from each other would keep an event new forever.
const AGE_TOLERANCE: Duration = Duration::from_secs(1);

const MAX_CRASHES: usize = 64;
const MAX_DROPPED: usize = 1_024;
const MAX_PARTS_PER_CRASH: usize = 32;
const MAX_CONDEMNED: usize = 256;
const MAX_COMPLETIONS: usize = 4_096;
const MAX_TOLD_COMPLETIONS: usize = 256;
/// Maximum number of entries of each kind in one digest.
const MAX_NEWS: usize = 8;

/// The crash of one process of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Crash that the report is about.
    pub crash: CrashId,
    /// Time since the crash.
    pub age: Duration,
    /// Parts of the prompts of requests that the process was running.
    pub parts: Vec<CrashedPart>,
}

/// A part of a prompt that was running when a server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashedPart {
    /// Part of the prompt.
    pub part: PartHash,
    /// Time from the start of the newest run with the part to the crash.
    pub run_time: Duration,
}

/// A part of a prompt, and the time since something happened to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartAge {
    /// Part of the prompt.
    pub part: PartHash,
    /// Time since then.
    pub age: Duration,
}

/// A part of a prompt that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CondemnedPart {
    /// Part of the prompt.
    pub part: PartHash,
    /// Time since the last crash under it.
    pub age: Duration,
    /// Whether a server crashed when the part was tried again.
    pub has_failed_trial: bool,
}

/// What a host tells its peers about crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashNews {
    /// Recent crashes.
    pub crashes: Vec<CrashReport>,
    /// Accused parts that a server has since written a whole answer on, by the age of that.
    pub completed: Vec<PartAge>,
    /// Condemned parts.
    pub condemned: Vec<CondemnedPart>,
}

impl CrashNews {
    /// Returns whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.completed.is_empty() && self.condemned.is_empty()
    }
}

#[derive(Clone, Debug)]
struct Crash {
    id: CrashId,
    at: Instant,
    /// Last time at which the report changed.
    changed_at: Instant,
    parts: Vec<CrashedPart>,
}

/// What crashes hold against a part.
#[derive(Clone, Copy, Debug)]
struct Accusation {
    /// Crashes of runs that began after the one before.
    rounds: u32,
    /// Crashes of servers that ran the part.
    crashes: u32,
    /// Crashes from its first one on, of servers that did not run it too.
    all_crashes: u32,
    first_at: Instant,
    /// Time of the last crash in `rounds`.
    last_at: Instant,
}

impl Accusation {
    /// Returns whether the part may be condemned before there is no doubt.
    fn accounts_for_most(&self) -> bool {
        f64::from(self.crashes) >= f64::from(self.all_crashes) * MIN_CRASH_FRACTION
    }
}

/// A completion that peers have to learn of.
#[derive(Clone, Copy, Debug)]
struct ToldCompletion {
    part: PartHash,
    at: Instant,
    /// Time from which peers are told.
    since: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Condemned {
    condemned_at: Instant,
    last_crash_at: Instant,
    has_failed_trial: bool,
    /// Last time at which this host learned something new of it.
    changed_at: Instant,
    tried_at: Option<Instant>,
}

/// What is known of the parts of prompts that ran when servers crashed.
///
/// All parts that ran at a crash are accused, unless a server has recently written a whole answer on
/// them: such a part cannot crash each server. A whole answer later clears a part as well. The part
/// that crashes servers gets no whole answer, so that the number of its crashes grows. Crashes count
/// only if the run that ended began after the crash before, so that servers which fail together
/// count once.
#[derive(Clone, Debug, Default)]
pub(super) struct PartSuspects {
    /// Crashes in the order of their times.
    crashes: Vec<Crash>,
    /// Times of crashes whose parts are not kept.
    dropped: VecDeque<Instant>,
    /// Number of crashes that count against each accused part.
    rounds: HashMap<PartHash, u32>,
    condemned: HashMap<PartHash, Condemned>,
    completions: HashMap<PartHash, Instant>,
    completion_order: VecDeque<(Instant, PartHash)>,
    /// Completions of accused parts that peers have to learn of.
    told_completions: VecDeque<ToldCompletion>,
    /// Whether a part may have to be condemned.
    needs_review: bool,
    /// Number of digests so far.
    digests: u64,
}

impl PartSuspects {
    /// Returns the number of recorded crashes, completions and condemned parts.
    pub fn len(&self) -> usize {
        self.crashes.len() + self.completions.len() + self.condemned.len()
    }

    /// Records a whole answer of one server; returns the parts that it clears.
    pub fn record_completion(&mut self, now: Instant, parts: &[PartHash]) -> Vec<PartHash> {
        let cleared = parts.iter().copied();
        cleared
            .filter(|&part| self.complete(now, part, now))
            .collect()
    }

    /// Records a completion; returns whether the part was accused or condemned.
    fn complete(&mut self, now: Instant, part: PartHash, at: Instant) -> bool {
        self.completions.insert(part, at);
        self.completion_order.push_back((at, part));
        while self.completion_order.len() > MAX_COMPLETIONS {
            self.drop_oldest_completion();
        }
        let is_lifted = self
            .condemned
            .get(&part)
            .is_some_and(|condemned| is_void(condemned.last_crash_at, at));
        if !is_lifted && !self.rounds.contains_key(&part) {
            return false;
        }
        if is_lifted {
            self.condemned.remove(&part);
        }
        self.tell_completion(now, part);
        self.count_rounds();
        true
    }

    fn drop_oldest_completion(&mut self) {
        let Some((at, part)) = self.completion_order.pop_front() else {
            return;
        };
        // Each completion has its own entry in the order; only the latest one removes the part.
        if self.completions.get(&part) == Some(&at) {
            self.completions.remove(&part);
        }
    }

    /// Records a crash, or adds the parts of another report on it; returns whether parts were added.
    pub fn record_crash(&mut self, now: Instant, report: &CrashReport) -> bool {
        let Some(reported_at) = time_of(now, report.age, CRASH_TTL) else {
            return false;
        };
        let index = self
            .crashes
            .iter()
            .position(|crash| crash.id == report.crash);
        let at = index.map_or(reported_at, |index| self.crashes[index].at);
        let accused = report.parts.iter().copied();
        let accused = accused
            .filter(|accused| !self.is_cleared(accused.part, at))
            .collect::<Vec<_>>();
        let is_new = index.is_none();
        let index = index.unwrap_or_else(|| self.insert_crash(now, report.crash, at));
        let rounds = &self.rounds;
        let crash = &mut self.crashes[index];
        let is_changed = crash.merge(&accused, |part| rounds.get(&part).copied().unwrap_or(0));
        if !is_changed && !is_new {
            return false;
        }
        crash.changed_at = now;
        for accused in &accused {
            if let Some(condemned) = self.condemned.get_mut(&accused.part)
                && at > condemned.last_crash_at + AGE_TOLERANCE
            {
                condemned.last_crash_at = at;
                condemned.has_failed_trial |= at >= condemned.condemned_at + TRIAL_DELAY;
                condemned.changed_at = now;
            }
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

    /// Drops old crashes, and beyond the maximum the oldest one among those whose parts are least
    /// accused; only the time of that is kept.
    fn drop_crashes(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < CRASH_TTL;
        self.crashes.retain(|crash| is_recent(crash.at));
        self.dropped.retain(|&at| is_recent(at));
        while self.crashes.len() > MAX_CRASHES {
            let weight = |crash: &Crash| {
                let rounds = crash
                    .parts
                    .iter()
                    .map(|accused| self.rounds_of(accused.part));
                rounds.max().unwrap_or(0)
            };
            let least = (0..self.crashes.len()).min_by_key(|&index| weight(&self.crashes[index]));
            let dropped = self.crashes.remove(least.unwrap_or(0));
            self.dropped.push_back(dropped.at);
            if self.dropped.len() > MAX_DROPPED {
                self.dropped.pop_front();
            }
        }
    }

    fn rounds_of(&self, part: PartHash) -> u32 {
        self.rounds.get(&part).copied().unwrap_or(0)
    }

    /// Returns whether a whole answer shows that a part did not cause a crash.
    fn is_cleared(&self, part: PartHash, crashed_at: Instant) -> bool {
        let completed_at = self.completions.get(&part);
        completed_at.is_some_and(|&completed_at| is_void(crashed_at, completed_at))
    }

    /// Removes the parts from crashes that whole answers clear, and counts the crashes of the others.
    fn count_rounds(&mut self) {
        let completions = &self.completions;
        for crash in &mut self.crashes {
            let at = crash.at;
            crash.parts.retain(|accused| {
                let completed_at = completions.get(&accused.part);
                !completed_at.is_some_and(|&completed_at| is_void(at, completed_at))
            });
        }
        let counted = self.accusations(|_| true).into_iter();
        self.rounds = counted
            .map(|(part, accusation)| (part, accusation.rounds))
            .collect();
    }

    /// Returns what some crashes hold against each part; those that a condemned part explains count
    /// against no other.
    fn accusations(&self, is_included: impl Fn(&Crash) -> bool) -> HashMap<PartHash, Accusation> {
        let is_condemned = |accused: &CrashedPart| self.condemned.contains_key(&accused.part);
        let mut accusations = HashMap::<PartHash, Accusation>::new();
        let mut unexplained = 0;
        for crash in self.crashes.iter().filter(|crash| is_included(crash)) {
            let is_explained = crash.parts.iter().any(is_condemned);
            for accused in &crash.parts {
                if is_explained && !is_condemned(accused) {
                    continue;
                }
                let began_at = crash.at.checked_sub(accused.run_time).unwrap_or(crash.at);
                let accusation = accusations.entry(accused.part).or_insert(Accusation {
                    rounds: 0,
                    crashes: 0,
                    all_crashes: unexplained,
                    first_at: crash.at,
                    last_at: crash.at,
                });
                accusation.crashes += 1;
                if accusation.rounds == 0 || began_at > accusation.last_at {
                    accusation.rounds += 1;
                    accusation.last_at = crash.at;
                }
            }
            unexplained += u32::from(!is_explained);
        }
        for accusation in accusations.values_mut() {
            let since_first = self.dropped.iter().filter(|&&at| at >= accusation.first_at);
            accusation.all_crashes =
                unexplained.saturating_sub(accusation.all_crashes) + since_first.count() as u32;
        }
        accusations
    }

    /// Condemns the most accused part of the recent crashes if there is no doubt; returns the parts
    /// that it has condemned with the number of their crashes.
    pub fn review(&mut self, now: Instant) -> Vec<(PartHash, u32)> {
        if !self.needs_review {
            return Vec::new();
        }
        let is_settled =
            |crash: &Crash| now.saturating_duration_since(crash.changed_at) >= SETTLE_TIME;
        self.needs_review = !self.crashes.iter().all(is_settled);
        let open = self.accusations(is_settled).into_iter();
        let open = open.filter(|(part, accusation)| {
            let is_proven = accusation.rounds >= ROUNDS_WITHOUT_DOUBT;
            // A part that was ever answered in full is the less likely cause.
            let is_likely = accusation.rounds >= ROUNDS_TO_CONDEMN
                && accusation.accounts_for_most()
                && !self.completions.contains_key(part);
            !self.condemned.contains_key(part) && (is_proven || is_likely)
        });
        let open = open.map(|(part, accusation)| (part, accusation.rounds));
        let open = open.collect::<Vec<_>>();
        let most = open.iter().map(|&(_, rounds)| rounds).max().unwrap_or(0);
        let worst = open.into_iter().filter(|&(_, rounds)| rounds == most);
        let worst = worst.collect::<Vec<_>>();
        let is_unanswered = |(part, _): &(PartHash, u32)| !self.completions.contains_key(part);
        let unanswered = worst.iter().copied().filter(is_unanswered);
        let unanswered = unanswered.collect::<Vec<_>>();
        let worst = if unanswered.is_empty() {
            worst
        } else {
            unanswered
        };
        if worst.is_empty() || (worst.len() > 1 && most < ROUNDS_WITHOUT_DOUBT) {
            return Vec::new();
        }
        for &(part, _) in &worst {
            let last_crash_at = self.last_crash_at(part).unwrap_or(now);
            self.condemn(now, part, last_crash_at, false);
        }
        // Another part may be left that caused other crashes.
        self.needs_review = true;
        self.count_rounds();
        worst
    }

    fn last_crash_at(&self, part: PartHash) -> Option<Instant> {
        let with_part = self.crashes.iter().filter(|crash| {
            let mut parts = crash.parts.iter();
            parts.any(|accused| accused.part == part)
        });
        with_part.map(|crash| crash.at).max()
    }

    fn condemn(
        &mut self,
        now: Instant,
        part: PartHash,
        last_crash_at: Instant,
        has_failed_trial: bool,
    ) {
        self.condemned.insert(
            part,
            Condemned {
                condemned_at: now,
                last_crash_at,
                has_failed_trial,
                changed_at: now,
                tried_at: None,
            },
        );
        if self.condemned.len() > MAX_CONDEMNED {
            let oldest = self
                .condemned
                .iter()
                .min_by_key(|(_, condemned)| condemned.last_crash_at);
            if let Some(oldest) = oldest.map(|(&part, _)| part) {
                self.condemned.remove(&oldest);
            }
        }
    }

    /// Decides whether and how a request with these parts may run. `may_try` tells whether this host
    /// is the one that tries condemned parts again.
    pub fn decide(
        &mut self,
        now: Instant,
        parts: &[PartHash],
        may_try: impl Fn() -> bool,
    ) -> SuspectDecision {
        if self.rounds.is_empty() && self.condemned.is_empty() {
            return SuspectDecision::Clear;
        }
        let mut refusal = None;
        let mut trial = None;
        for &part in parts {
            let Some(condemned) = self.condemned.get_mut(&part) else {
                continue;
            };
            match condemned.wait(now, &may_try) {
                Some(wait) => refusal = refusal.max(Some(wait)),
                None => trial = Some(part),
            }
        }
        if let Some(wait) = refusal {
            return SuspectDecision::Refuse(wait);
        }
        if let Some(part) = trial {
            if let Some(condemned) = self.condemned.get_mut(&part) {
                condemned.tried_at = Some(now);
            }
            return SuspectDecision::Try(part);
        }
        let accused = parts.iter().copied();
        let accused = accused.filter(|part| self.rounds.contains_key(part));
        // The part that was ever answered in full keeps its own server, where it can be answered again.
        let weight = |part| {
            (
                self.rounds_of(part),
                !self.completions.contains_key(&part),
                part,
            )
        };
        let most = accused.max_by_key(|&part| weight(part));
        most.map_or(SuspectDecision::Clear, SuspectDecision::Isolate)
    }

    /// Returns what peers have to learn with the next digest.
    pub fn news(&mut self, now: Instant) -> CrashNews {
        self.digests += 1;
        if self.crashes.is_empty() && self.told_completions.is_empty() && self.condemned.is_empty()
        {
            return CrashNews::default();
        }
        let age = |at: Instant| now.saturating_duration_since(at);
        self.condemned
            .retain(|_, condemned| age(condemned.last_crash_at) < CONDEMNED_TTL);
        self.told_completions
            .retain(|told| age(told.since) <= NEWS_TTL);
        let is_rotation = self.digests.is_multiple_of(CONDEMNED_ROTATION);
        let fresh = self.crashes.iter().rev();
        let fresh = fresh.filter(|crash| age(crash.changed_at) <= NEWS_TTL);
        let crashes = fresh.take(MAX_NEWS).map(|crash| CrashReport {
            crash: crash.id,
            age: age(crash.at),
            parts: crash.parts.clone(),
        });
        let completed = self.told_completions.iter().rev().take(MAX_NEWS);
        let mut condemned = self.condemned.iter().collect::<Vec<_>>();
        condemned.retain(|(_, condemned)| is_rotation || age(condemned.changed_at) <= NEWS_TTL);
        condemned.sort_by_key(|(_, condemned)| age(condemned.changed_at));
        if is_rotation && condemned.len() > MAX_NEWS {
            let turn = (self.digests / CONDEMNED_ROTATION) as usize;
            let start = turn * MAX_NEWS % condemned.len();
            condemned.rotate_left(start);
        }
        CrashNews {
            crashes: crashes.collect(),
            completed: completed
                .map(|told| PartAge {
                    part: told.part,
                    age: age(told.at),
                })
                .collect(),
            condemned: condemned
                .into_iter()
                .take(MAX_NEWS)
                .map(|(&part, condemned)| CondemnedPart {
                    part,
                    age: age(condemned.last_crash_at),
                    has_failed_trial: condemned.has_failed_trial,
                })
                .collect(),
        }
    }

    /// Merges what a peer tells; returns the parts that are condemned now and were not before.
    pub fn merge(&mut self, now: Instant, news: &CrashNews) -> Vec<PartHash> {
        for completed in &news.completed {
            let Some(at) = time_of(now, completed.age, CRASH_TTL) else {
                continue;
            };
            let known = self.completions.get(&completed.part);
            if known.is_none_or(|&known| at > known + AGE_TOLERANCE) {
                self.complete(now, completed.part, at);
            }
        }
        for report in &news.crashes {
            self.record_crash(now, report);
            self.tell_completions(now, report);
        }
        let mut added = Vec::new();
        for condemned in &news.condemned {
            let Some(at) = time_of(now, condemned.age, CONDEMNED_TTL) else {
                continue;
            };
            if self.is_cleared(condemned.part, at) {
                self.tell_completion(now, condemned.part);
                continue;
            }
            match self.condemned.get_mut(&condemned.part) {
                Some(known) => {
                    if at > known.last_crash_at + AGE_TOLERANCE {
                        known.last_crash_at = at;
                        known.changed_at = now;
                    }
                    if condemned.has_failed_trial && !known.has_failed_trial {
                        known.has_failed_trial = true;
                        known.changed_at = now;
                    }
                }
                None => {
                    self.condemn(now, condemned.part, at, condemned.has_failed_trial);
                    added.push(condemned.part);
                }
            }
        }
        if !added.is_empty() {
            self.count_rounds();
        }
        added
    }

    /// Tells peers of the completions of parts that another host accuses.
    fn tell_completions(&mut self, now: Instant, report: &CrashReport) {
        for accused in &report.parts {
            self.tell_completion(now, accused.part);
        }
    }

    /// Tells peers of the last completion of a part, if there is one that they were not told of.
    fn tell_completion(&mut self, now: Instant, part: PartHash) {
        let Some(&at) = self.completions.get(&part) else {
            return;
        };
        let mut told = self.told_completions.iter();
        if told.any(|told| told.part == part && at <= told.at + AGE_TOLERANCE) {
            return;
        }
        self.told_completions.retain(|told| told.part != part);
        self.told_completions.push_back(ToldCompletion {
            part,
            at,
            since: now,
        });
        if self.told_completions.len() > MAX_TOLD_COMPLETIONS {
            self.told_completions.pop_front();
        }
    }
}

impl Crash {
    /// Adds accused parts, the most accused ones and then the newest runs first where there are too
    /// many; returns whether anything changed.
    fn merge(&mut self, accused: &[CrashedPart], rounds: impl Fn(PartHash) -> u32) -> bool {
        let before = self.parts.clone();
        for accused in accused {
            let mut known = self.parts.iter_mut();
            match known.find(|known| known.part == accused.part) {
                Some(known) => known.run_time = known.run_time.min(accused.run_time),
                None => self.parts.push(*accused),
            }
        }
        if self.parts.len() > MAX_PARTS_PER_CRASH {
            self.parts.sort_by_key(|accused| {
                (
                    Reverse(rounds(accused.part)),
                    accused.run_time,
                    accused.part,
                )
            });
            self.parts.truncate(MAX_PARTS_PER_CRASH);
            self.parts.sort_by_key(|accused| accused.part);
        }
        self.parts != before
    }
}

impl Condemned {
    /// Returns the time until a request with the part may run; `None` if it may run now.
    fn wait(&self, now: Instant, may_try: impl Fn() -> bool) -> Option<Duration> {
        let refusal_time = if self.has_failed_trial {
            REFUSAL_TIME
        } else {
            FIRST_REFUSAL_TIME
        };
        let left = (self.last_crash_at + refusal_time).saturating_duration_since(now);
        if left > Duration::ZERO {
            return Some(left);
        }
        if !may_try() {
            return Some(RETRY_AFTER_TRIAL);
        }
        let tried = self.tried_at?;
        let left = (tried + TRIAL_INTERVAL).saturating_duration_since(now);
        (left > Duration::ZERO).then_some(left)
    }
}

/// Returns the time of an event by its age, unless it is too long ago.
fn time_of(now: Instant, age: Duration, limit: Duration) -> Option<Instant> {
    now.checked_sub(age).filter(|_| age < limit)
}

/// Returns whether a whole answer shows that a part did not cause a crash.
fn is_void(crashed_at: Instant, completed_at: Instant) -> bool {
    completed_at + COMPLETION_TTL >= crashed_at
}
