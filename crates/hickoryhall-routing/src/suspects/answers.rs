//! Prompt parts that servers answered in full.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::news::{AGE_TOLERANCE, AnsweredPart, MAX_NEWS, PartHash, is_news};

/// Time after a whole answer for which a part is not suspected. A release of the runners' software may
/// change what crashes them.
const ANSWER_TTL: Duration = Duration::from_secs(5);
/// Maximum number of recorded answers; the oldest are dropped.
const MAX_ANSWERS: usize = 4_096;
/// Maximum number of answers that peers are told of at a time.
const MAX_TOLD: usize = 256;

/// An answer that peers are told of.
#[derive(Clone, Copy, Debug)]
struct ToldAnswer {
    part: PartHash,
    answered_at: Instant,
    since: Instant,
}

/// The last whole answer of any server to a request with each part.
#[derive(Clone, Debug, Default)]
pub(super) struct Answers {
    last: HashMap<PartHash, Instant>,
    order: VecDeque<(Instant, PartHash)>,
    told: VecDeque<ToldAnswer>,
}

impl Answers {
    pub fn len(&self) -> usize {
        self.last.len()
    }

    pub fn record(&mut self, part: PartHash, answered_at: Instant) {
        self.last.insert(part, answered_at);
        self.order.push_back((answered_at, part));
        if self.order.len() > MAX_ANSWERS
            && let Some((oldest_at, oldest)) = self.order.pop_front()
            && self.last.get(&oldest) == Some(&oldest_at)
        {
            // Each answer has its own entry in the order; only the latest one removes the part.
            self.last.remove(&oldest);
        }
    }

    /// Returns whether a server has ever answered a part in full, as far as is known.
    pub fn contains(&self, part: PartHash) -> bool {
        self.last.contains_key(&part)
    }

    /// Returns whether an answer is later than the known ones.
    pub fn is_later(&self, part: PartHash, answered_at: Instant) -> bool {
        let known = self.last.get(&part);
        known.is_none_or(|&known| answered_at > known + AGE_TOLERANCE)
    }

    /// Returns whether a whole answer shows that a part did not cause a crash.
    pub fn clears(&self, part: PartHash, crashed_at: Instant) -> bool {
        let answered_at = self.last.get(&part);
        answered_at.is_some_and(|&answered_at| answered_at + ANSWER_TTL >= crashed_at)
    }

    /// Tells peers of the last answer to a part, if there is one that they were not told of.
    pub fn tell(&mut self, now: Instant, part: PartHash) {
        let Some(&answered_at) = self.last.get(&part) else {
            return;
        };
        let is_told = |told: &ToldAnswer| {
            told.part == part && answered_at <= told.answered_at + AGE_TOLERANCE
        };
        if self.told.iter().any(is_told) {
            return;
        }
        self.told.retain(|told| told.part != part);
        self.told.push_back(ToldAnswer {
            part,
            answered_at,
            since: now,
        });
        if self.told.len() > MAX_TOLD {
            self.told.pop_front();
        }
    }

    /// Returns the answers that peers have to learn of with the next digest, the newest first.
    pub fn news(&mut self, now: Instant) -> Vec<AnsweredPart> {
        self.told.retain(|told| is_news(now, told.since));
        let newest = self.told.iter().rev().take(MAX_NEWS);
        let news = newest.map(|told| AnsweredPart {
            part: told.part,
            age: now.saturating_duration_since(told.answered_at),
        });
        news.collect()
    }
}
