//! Prompt levels that several requests share.

use std::collections::{HashSet, VecDeque};

use hickoryhall_routing::{Level, LevelKey};

/// Maximum number of levels; adding more removes the oldest.
const MAX_LEVELS: usize = 16_384;

/// Bounded set of shared prompt levels.
#[derive(Debug, Default)]
pub(super) struct SharedParts {
    keys: HashSet<LevelKey>,
    order: VecDeque<LevelKey>,
}

impl SharedParts {
    pub fn add(&mut self, levels: &[Level]) {
        for level in levels {
            if self.keys.insert(level.key) {
                self.order.push_back(level.key);
            }
        }
        while self.order.len() > MAX_LEVELS {
            if let Some(oldest) = self.order.pop_front() {
                self.keys.remove(&oldest);
            }
        }
    }

    pub fn contains(&self, key: LevelKey) -> bool {
        self.keys.contains(&key)
    }
}
