//! Prompt parts whose requests are refused because servers crash while they run them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::news::{AGE_TOLERANCE, BlockedPart, MAX_NEWS, PartHash, is_news};

/// Time after the last crash for which a part is refused at first, so that a part which was blocked
/// for the crashes of another one is not refused for long.
const FIRST_REFUSAL_TIME: Duration = Duration::from_secs(10);
/// Time after the last crash for which a part is refused once a probe has crashed a server.
const REFUSAL_TIME: Duration = Duration::from_secs(600);
/// Time after a part was blocked from which a crash is that of a probe, and not of an earlier run.
const PROBE_DELAY: Duration = Duration::from_secs(5);
/// Time after which a probe without a result may be repeated.
const PROBE_INTERVAL: Duration = Duration::from_secs(30);
/// Suggested retry delay of requests that wait for the result of a probe.
const RETRY_AFTER_PROBE: Duration = Duration::from_secs(5);
/// Time after the last crash at which a part is forgotten.
pub(super) const BLOCKED_TTL: Duration = Duration::from_secs(24 * 3_600);
/// Digests, of which one lists the parts that are not new.
const ROTATION: u64 = 16;
/// Maximum number of parts; the one whose last crash is the oldest is dropped.
const MAX_BLOCKED: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Entry {
    blocked_at: Instant,
    last_crash_at: Instant,
    has_failed_probe: bool,
    /// Last time at which this host learned something new of it.
    changed_at: Instant,
    probed_at: Option<Instant>,
}

/// How long requests with a part have to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Block {
    /// They are refused for so long.
    For(Duration),
    /// One of them may probe whether the part still crashes servers.
    Probe,
}

/// Blocked parts, with the time of the last crash of each.
#[derive(Clone, Debug, Default)]
pub(super) struct BlockedParts {
    parts: HashMap<PartHash, Entry>,
    /// Number of digests so far.
    digests: u64,
}

impl BlockedParts {
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    pub fn contains(&self, part: PartHash) -> bool {
        self.parts.contains_key(&part)
    }

    pub fn insert(
        &mut self,
        now: Instant,
        part: PartHash,
        last_crash_at: Instant,
        has_failed_probe: bool,
    ) {
        let entry = Entry {
            blocked_at: now,
            last_crash_at,
            has_failed_probe,
            changed_at: now,
            probed_at: None,
        };
        self.parts.insert(part, entry);
        if self.parts.len() > MAX_BLOCKED {
            let oldest = self
                .parts
                .iter()
                .min_by_key(|(_, entry)| entry.last_crash_at);
            if let Some(oldest) = oldest.map(|(&part, _)| part) {
                self.parts.remove(&oldest);
            }
        }
    }

    pub fn remove(&mut self, part: PartHash) {
        self.parts.remove(&part);
    }

    /// Returns the time of the last crash of a server that ran a part; `None` if it is not blocked.
    pub fn last_crash_at(&self, part: PartHash) -> Option<Instant> {
        self.parts.get(&part).map(|entry| entry.last_crash_at)
    }

    /// Records the crash of a server that ran a part.
    pub fn record_crash(&mut self, now: Instant, part: PartHash, crashed_at: Instant) {
        if let Some(entry) = self.parts.get_mut(&part)
            && entry.record_crash(now, crashed_at)
        {
            entry.has_failed_probe |= crashed_at >= entry.blocked_at + PROBE_DELAY;
        }
    }

    /// Merges what a peer tells of a part; returns whether the part was not blocked here.
    pub fn merge(&mut self, now: Instant, blocked: &BlockedPart, last_crash_at: Instant) -> bool {
        let Some(entry) = self.parts.get_mut(&blocked.part) else {
            self.insert(now, blocked.part, last_crash_at, blocked.has_failed_probe);
            return true;
        };
        entry.record_crash(now, last_crash_at);
        if blocked.has_failed_probe && !entry.has_failed_probe {
            entry.has_failed_probe = true;
            entry.changed_at = now;
        }
        false
    }

    /// Returns how long requests with a part have to wait; `None` if it is not blocked.
    pub fn block(
        &self,
        now: Instant,
        part: PartHash,
        may_probe: impl Fn() -> bool,
    ) -> Option<Block> {
        let entry = self.parts.get(&part)?;
        Some(entry.block(now, may_probe))
    }

    /// Records that a request probes a part.
    pub fn record_probe(&mut self, now: Instant, part: PartHash) {
        if let Some(entry) = self.parts.get_mut(&part) {
            entry.probed_at = Some(now);
        }
    }

    /// Returns the parts that peers have to learn of with the next digest: new ones always, the others
    /// in turn.
    pub fn news(&mut self, now: Instant) -> Vec<BlockedPart> {
        self.digests += 1;
        let age = |at: Instant| now.saturating_duration_since(at);
        self.parts
            .retain(|_, entry| age(entry.last_crash_at) < BLOCKED_TTL);
        let is_rotation = self.digests.is_multiple_of(ROTATION);
        let listed = self.parts.iter();
        let listed = listed.filter(|(_, entry)| is_rotation || is_news(now, entry.changed_at));
        let mut listed = listed.collect::<Vec<_>>();
        listed.sort_by_key(|&(&part, entry)| (age(entry.changed_at), part));
        if is_rotation && listed.len() > MAX_NEWS {
            let turn = (self.digests / ROTATION) as usize;
            let start = turn * MAX_NEWS % listed.len();
            listed.rotate_left(start);
        }
        let news = listed.into_iter().take(MAX_NEWS);
        let news = news.map(|(&part, entry)| BlockedPart {
            part,
            age: age(entry.last_crash_at),
            has_failed_probe: entry.has_failed_probe,
        });
        news.collect()
    }
}

impl Entry {
    /// Records a crash; returns whether it is later than the known ones.
    fn record_crash(&mut self, now: Instant, crashed_at: Instant) -> bool {
        let is_later = crashed_at > self.last_crash_at + AGE_TOLERANCE;
        if is_later {
            self.last_crash_at = crashed_at;
            self.changed_at = now;
        }
        is_later
    }

    fn block(&self, now: Instant, may_probe: impl Fn() -> bool) -> Block {
        let refusal_time = if self.has_failed_probe {
            REFUSAL_TIME
        } else {
            FIRST_REFUSAL_TIME
        };
        let left = (self.last_crash_at + refusal_time).saturating_duration_since(now);
        if left > Duration::ZERO {
            return Block::For(left);
        }
        if !may_probe() {
            return Block::For(RETRY_AFTER_PROBE);
        }
        let next_probe_at = self.probed_at.map(|probed_at| probed_at + PROBE_INTERVAL);
        match next_probe_at.map(|at| at.saturating_duration_since(now)) {
            Some(left) if left > Duration::ZERO => Block::For(left),
            _ => Block::Probe,
        }
    }
}
