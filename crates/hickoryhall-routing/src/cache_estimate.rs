//! Cache estimate: the prefix levels that a server's cache is assumed to hold, derived from the
//! requests sent to it. The server is a runner or a prompt cache store.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use hickoryhall_types::TokenCount;

use crate::{Level, LevelKey, PrefixChain, sum_tokens};

/// Position in the eviction order: least recently used first, and the deepest level first among
/// those of one request.
///
/// `height` counts levels from the end of the prompt; the deepest level has height 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    use_number: u64,
    height: u32,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: TokenCount,
    used_at: Instant,
    rank: EvictionRank,
}

/// Estimate of a server's cache contents: a least-recently-used set of prefix levels, bounded in
/// tokens and in levels.
#[derive(Clone, Debug)]
pub struct CacheEstimate {
    budget_tokens: u64,
    used_tokens: u64,
    entry_limit: usize,
    uses: u64,
    entries: HashMap<LevelKey, Entry>,
    order: BTreeMap<EvictionRank, LevelKey>,
}

impl CacheEstimate {
    /// Creates an empty estimate for a cache of `budget_tokens`, with at most `entry_limit` levels.
    #[must_use]
    pub fn new(budget_tokens: u64, entry_limit: usize) -> Self {
        Self {
            budget_tokens,
            used_tokens: 0,
            entry_limit: entry_limit.max(1),
            uses: 0,
            entries: HashMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Returns the tokens of the longest prefix of the prompt that is cached.
    #[must_use]
    pub fn cached_tokens(&self, chain: &PrefixChain) -> TokenCount {
        sum_tokens(self.cached_levels(chain))
    }

    /// Returns the value, in tokens, of what would be evicted to store `tokens` more.
    ///
    /// The value of an evicted token decays with idle time: 1 if it was just used, one half after
    /// `half_life`, one quarter after twice that.
    #[must_use]
    pub fn eviction_tokens(&self, now: Instant, tokens: TokenCount, half_life: Duration) -> f64 {
        let free = self.budget_tokens.saturating_sub(self.used_tokens);
        let mut missing = u64::from(tokens).saturating_sub(free);
        let mut lost = 0.0;
        for key in self.order.values() {
            if missing == 0 {
                break;
            }
            let entry = &self.entries[key];
            let idle = now.saturating_duration_since(entry.used_at);
            let value = 0.5_f64.powf(idle.as_secs_f64() / half_life.as_secs_f64());
            let evicted = u64::from(entry.tokens).min(missing);
            lost += evicted as f64 * value;
            missing -= evicted;
        }
        lost
    }

    /// Records that a request with this prompt was sent; all its levels count as just used.
    pub fn insert(&mut self, now: Instant, chain: &PrefixChain) {
        self.uses += 1;
        let depth = chain.levels().len() as u32;
        for (index, level) in chain.levels().iter().enumerate() {
            let rank = EvictionRank {
                use_number: self.uses,
                height: depth - index as u32,
            };
            self.touch(now, *level, rank);
        }
        self.evict();
    }

    /// Sets the capacity of the cache, which shrinks when running requests need more of the memory.
    pub fn set_budget(&mut self, budget_tokens: u64) {
        self.budget_tokens = budget_tokens;
        self.evict();
    }

    /// Returns the sequence number of the request that last used the deepest cached level of a
    /// prompt, or `None` if nothing of the prompt is cached.
    #[must_use]
    pub fn last_use(&self, chain: &PrefixChain) -> Option<u64> {
        let deepest = self.cached_levels(chain).last()?;
        Some(self.entries[&deepest.key].rank.use_number)
    }

    /// Drops every level last used by request `use_number` or an earlier one.
    ///
    /// A runner that has evicted one level has also evicted those that were idle for longer.
    pub fn forget_until(&mut self, use_number: u64) {
        while let Some((rank, &key)) = self.order.first_key_value() {
            if rank.use_number > use_number {
                return;
            }
            self.remove(key);
        }
    }

    /// Drops all levels, for use after a restart of the server.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.order.clear();
        self.used_tokens = 0;
    }

    /// Returns the number of levels recorded.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no level is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn cached_levels<'a>(&'a self, chain: &'a PrefixChain) -> impl Iterator<Item = &'a Level> {
        chain
            .levels()
            .iter()
            .take_while(|level| self.entries.contains_key(&level.key))
    }

    fn touch(&mut self, now: Instant, level: Level, rank: EvictionRank) {
        self.remove(level.key);
        self.entries.insert(
            level.key,
            Entry {
                tokens: level.tokens,
                used_at: now,
                rank,
            },
        );
        self.order.insert(rank, level.key);
        self.used_tokens += u64::from(level.tokens);
    }

    fn remove(&mut self, key: LevelKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.order.remove(&entry.rank);
            self.used_tokens -= u64::from(entry.tokens);
        }
    }

    fn evict(&mut self) {
        while self.used_tokens > self.budget_tokens || self.entries.len() > self.entry_limit {
            let Some((_, &oldest)) = self.order.first_key_value() else {
                return;
            };
            self.remove(oldest);
        }
    }
}
