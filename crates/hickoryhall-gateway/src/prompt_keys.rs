//! Cache partitions, and the keys under which hosts refer to cached prompts.

use hickoryhall_routing::LevelKey;
use hickoryhall_types::{WeightsVersion, hash_name};

use crate::table::Workspace;

/// Cache partition of all workspaces that are not isolated.
const SHARED_PARTITION: &str = "shared";

/// Cache partition: workspaces that share cached prompts with each other and with no others.
pub type CachePartition = String;

/// Returns the cache partition of a workspace: its own if it is isolated, the common one otherwise.
#[must_use]
pub fn cache_partition(workspace: Option<&Workspace>) -> CachePartition {
    match workspace {
        Some(workspace) if workspace.is_isolated => format!("w{:016x}", hash_name(&workspace.id)),
        _ => SHARED_PARTITION.to_owned(),
    }
}

/// Returns the salt of a runner's cache keys. It contains the cache partition and the weights
/// version, so that no cached level is used under another version.
#[must_use]
pub fn salt(partition: &str, weights: WeightsVersion) -> String {
    format!("{partition}-{weights}")
}

/// Returns the cache partition and the weights version of a salt; `None` for a salt in
/// another format.
#[must_use]
pub fn split_salt(salt: &str) -> Option<(&str, WeightsVersion)> {
    let (partition, weights) = salt.rsplit_once('-')?;
    Some((partition, weights.parse().ok()?))
}

/// Returns the key of a prompt part in a cache partition. The id of a part identifies its complete
/// text, so the key does not depend on the parts before it.
#[must_use]
pub fn part_key(partition: &str, part: &str) -> LevelKey {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(partition.len() as u64).to_le_bytes());
    hasher.update(partition.as_bytes());
    hasher.update(part.as_bytes());
    first_u64(hasher.finalize().as_bytes())
}

/// Returns the first eight bytes of a hash as a little-endian number.
pub(crate) fn first_u64(bytes: &[u8; 32]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&bytes[..8]);
    u64::from_le_bytes(first)
}
