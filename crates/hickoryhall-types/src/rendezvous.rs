//! Rendezvous hashing, by which all hosts rank the same names alike without communication.

/// Returns a stable 64-bit hash of a name.
#[must_use]
pub fn hash_name(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Returns the score of a name for a key; the name with the highest score owns the key.
#[must_use]
pub fn rendezvous_score(key: u64, name_hash: u64) -> u64 {
    // Finalizer of SplitMix64: every input bit affects every output bit.
    let mut mixed = key
        ^ name_hash
            .rotate_left(32)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Sorts `items` by descending score for `key`, so that the owner comes first.
pub fn rank<T>(key: u64, items: &mut [T], name_hash: impl Fn(&T) -> u64) {
    items.sort_by_cached_key(|item| {
        let hash = name_hash(item);
        (std::cmp::Reverse(rendezvous_score(key, hash)), hash)
    });
}
