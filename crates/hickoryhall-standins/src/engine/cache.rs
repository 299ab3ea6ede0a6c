//! Prefix cache of an engine, limited to a number of tokens.

use std::collections::{BTreeMap, HashMap};

use super::{Piece, PieceKey};

/// Position in the eviction order; the unpinned piece with the lowest rank is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    /// Number of the last use, from [`PrefixCache::use_count`].
    last_use: u64,
    /// Distance in pieces from the end of the prompt, 1 for its last piece.
    distance_from_end: u32,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    rank: EvictionRank,
    pins: u32,
}

/// Least-recently-used cache of prompt pieces.
///
/// Among the pieces of one use, those at the end of the prompt are evicted first, because a piece
/// is of no use without all pieces before it.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    limit_tokens: u64,
    used_tokens: u64,
    use_count: u64,
    entries: HashMap<PieceKey, Entry>,
    eviction_order: BTreeMap<EvictionRank, PieceKey>,
}

impl PrefixCache {
    /// Creates an empty cache that holds up to `limit_tokens`, or more while pieces are pinned.
    #[must_use]
    pub fn new(limit_tokens: u64) -> Self {
        Self {
            limit_tokens,
            ..Self::default()
        }
    }

    /// Returns the number of tokens in the longest cached prefix of a prompt.
    #[must_use]
    pub fn cached_tokens(&self, pieces: &[Piece]) -> u32 {
        let cached = pieces
            .iter()
            .take_while(|piece| self.entries.contains_key(&piece.key));
        cached.map(|piece| piece.tokens).sum()
    }

    /// Stores the pieces of a prompt as the most recent use and returns the keys of evicted pieces.
    pub fn store(&mut self, pieces: &[Piece]) -> Vec<PieceKey> {
        self.use_count += 1;
        let depth = pieces.len() as u32;
        for (index, piece) in pieces.iter().enumerate() {
            let rank = EvictionRank {
                last_use: self.use_count,
                distance_from_end: depth - index as u32,
            };
            let pins = self.remove(piece.key).map_or(0, |entry| entry.pins);
            self.entries.insert(
                piece.key,
                Entry {
                    tokens: piece.tokens,
                    rank,
                    pins,
                },
            );
            self.eviction_order.insert(rank, piece.key);
            self.used_tokens += u64::from(piece.tokens);
        }
        self.evict()
    }

    /// Protects cached pieces from eviction until they are unpinned as often as they were pinned.
    pub fn pin(&mut self, pieces: &[Piece]) {
        for piece in pieces {
            if let Some(entry) = self.entries.get_mut(&piece.key) {
                entry.pins += 1;
            }
        }
    }

    /// Reverts one call of [`pin`](Self::pin).
    pub fn unpin(&mut self, pieces: &[Piece]) {
        for piece in pieces {
            if let Some(entry) = self.entries.get_mut(&piece.key) {
                entry.pins = entry.pins.saturating_sub(1);
            }
        }
    }

    /// Returns the number of cached tokens.
    #[must_use]
    pub fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    /// Removes all pieces, including pinned ones.
    pub fn clear(&mut self) {
        *self = Self::new(self.limit_tokens);
    }

    fn evict(&mut self) -> Vec<PieceKey> {
        let mut evicted = Vec::new();
        let mut excess_tokens = self.used_tokens.saturating_sub(self.limit_tokens);
        for &key in self.eviction_order.values() {
            if excess_tokens == 0 {
                break;
            }
            let entry = self.entries[&key];
            if entry.pins == 0 {
                excess_tokens = excess_tokens.saturating_sub(u64::from(entry.tokens));
                evicted.push(key);
            }
        }
        for &key in &evicted {
            self.remove(key);
        }
        evicted
    }

    fn remove(&mut self, key: PieceKey) -> Option<Entry> {
        let entry = self.entries.remove(&key)?;
        self.eviction_order.remove(&entry.rank);
        self.used_tokens -= u64::from(entry.tokens);
        Some(entry)
    }
}
