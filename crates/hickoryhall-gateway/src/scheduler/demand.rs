//! How much work each prompt family brings, counted over all hosts.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hickoryhall_routing::LevelKey;

/// Time over which the work of a family is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(2);
/// Number of families from which those with the least work are dropped.
const MAX_FAMILIES: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct Work {
    /// Work of recent requests, each weighted by its age, in milliseconds.
    recent_ms: f64,
    updated_at: Instant,
}

impl Work {
    fn recent_ms(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.recent_ms * (-age.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp()
    }
}

/// Recent work of prompt families; the prompts of a family have the same shared levels.
///
/// The load that it answers: one family can bring more work than a few runners do, and most bring
/// so little that each further runner that reads their levels is a waste.
#[derive(Debug, Default)]
pub(super) struct FamilyDemand {
    families: HashMap<LevelKey, Work>,
}

impl FamilyDemand {
    /// Records a request whose own part of the prompt takes a runner `work_ms`.
    pub fn record(&mut self, now: Instant, family: LevelKey, work_ms: f64) {
        let before = self
            .families
            .get(&family)
            .map_or(0.0, |work| work.recent_ms(now));
        let work = Work {
            recent_ms: before + work_ms,
            updated_at: now,
        };
        self.families.insert(family, work);
        if self.families.len() > MAX_FAMILIES {
            self.drop_smallest(now);
        }
    }

    /// Returns how many runners the family keeps busy.
    pub fn busy_runners(&self, now: Instant, family: LevelKey) -> f64 {
        let work = self.families.get(&family);
        let recent_ms = work.map_or(0.0, |work| work.recent_ms(now));
        recent_ms / (AVERAGING_TIME.as_secs_f64() * 1_000.0)
    }

    /// Drops the half of the families that brought least.
    fn drop_smallest(&mut self, now: Instant) {
        let recent = self.families.values().map(|work| work.recent_ms(now));
        let mut recent = recent.collect::<Vec<_>>();
        let middle = recent.len() / 2;
        let (_, median, _) = recent.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.families.retain(|_, work| work.recent_ms(now) > median);
    }
}
