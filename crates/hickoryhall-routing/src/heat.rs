//! Rate of use of prefix levels, and how many runners a hot one spreads over.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::LevelKey;

/// Levels tracked at most; the coldest one makes room.
const LEVEL_LIMIT: usize = 4_096;
/// Time in which an unused level's rate falls by half.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Part of the threshold below which a widened level narrows again.
const NARROW_FACTOR: f64 = 0.6;

#[derive(Clone, Copy, Debug)]
struct Use {
    work: f64,
    at: Instant,
    width: usize,
}

/// Decaying sums of the work that each top level asks for.
#[derive(Clone, Debug, Default)]
pub struct Heat {
    uses: HashMap<LevelKey, Use>,
    total: Option<Use>,
}

impl Heat {
    /// Records a request for a level; `work` is in any unit, the same for all levels.
    pub fn record(&mut self, now: Instant, key: LevelKey, work: f64) {
        self.total = Some(add(self.total, now, work));
        let used = add(self.uses.get(&key).copied(), now, work);
        self.uses.insert(key, used);
        if self.uses.len() > LEVEL_LIMIT {
            self.drop_coldest(now);
        }
    }

    /// Returns the number of runners, from 1 to `runners`, that a level's share of the work needs.
    ///
    /// A level widens as soon as its share asks for it, and narrows only when its share has fallen
    /// well below the step, so that it does not go to and fro.
    pub fn width(&mut self, now: Instant, key: LevelKey, runners: usize) -> usize {
        let total = self.total.map_or(0.0, |total| decayed(total, now));
        let Some(used) = self.uses.get_mut(&key) else {
            return 1;
        };
        let share = if total > 0.0 {
            decayed(*used, now) / total
        } else {
            0.0
        };
        let needed = share * runners as f64;
        let wide = (needed.ceil() as usize).clamp(1, runners.max(1));
        let narrow_below = (used.width.saturating_sub(1)) as f64 * NARROW_FACTOR;
        if wide > used.width || needed < narrow_below {
            used.width = wide;
        }
        used.width.clamp(1, runners.max(1))
    }

    /// Returns the number of levels tracked.
    #[must_use]
    pub fn len(&self) -> usize {
        self.uses.len()
    }

    /// Tells whether no level is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.uses.is_empty()
    }

    fn drop_coldest(&mut self, now: Instant) {
        let coldest = self
            .uses
            .iter()
            .min_by(|a, b| decayed(*a.1, now).total_cmp(&decayed(*b.1, now)))
            .map(|(&key, _)| key);
        if let Some(key) = coldest {
            self.uses.remove(&key);
        }
    }
}

fn add(used: Option<Use>, now: Instant, work: f64) -> Use {
    let before = used.map_or(0.0, |used| decayed(used, now));
    Use {
        work: before + work,
        at: now,
        width: used.map_or(1, |used| used.width),
    }
}

fn decayed(used: Use, now: Instant) -> f64 {
    let age = now.saturating_duration_since(used.at).as_secs_f64();
    used.work * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
}
