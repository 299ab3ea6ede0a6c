//! Names of cached prompts: who shares them, and the keys by which hosts speak of them.

use hickoryhall_routing::LevelKey;
use hickoryhall_types::{WeightsVersion, hash_name};

use crate::table::Workspace;

/// Wall of the workspaces that share their cached prompts.
const SHARED: &str = "shared";

/// Group of workspaces that share cached prompts with each other and with nobody else.
pub type Wall = String;

/// Returns the wall of a workspace: its own where it is isolated, one for all others.
#[must_use]
pub fn wall(workspace: Option<&Workspace>) -> Wall {
    match workspace {
        Some(workspace) if workspace.is_isolated => format!("w{:016x}", hash_name(&workspace.id)),
        _ => SHARED.to_owned(),
    }
}

/// Returns the salt under which a runner shares parts: by wall, and by version of the weights, so
/// that no part passes from one version to another.
#[must_use]
pub fn salt(wall: &str, weights: WeightsVersion) -> String {
    format!("{wall}-{weights}")
}

/// Returns the wall and the version in a salt; `None` for a salt of somebody else.
#[must_use]
pub fn split_salt(salt: &str) -> Option<(&str, WeightsVersion)> {
    let (wall, weights) = salt.rsplit_once('-')?;
    Some((wall, weights.parse().ok()?))
}

/// Returns the key of a part behind a wall. A part's id names its whole text, so that its key does
/// not depend on the parts before it.
#[must_use]
pub fn part_key(wall: &str, part: &str) -> LevelKey {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(wall.len() as u64).to_le_bytes());
    hasher.update(wall.as_bytes());
    hasher.update(part.as_bytes());
    first_u64(hasher.finalize().as_bytes())
}

/// Returns the first bytes of a hash as a number.
pub(crate) fn first_u64(bytes: &[u8; 32]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&bytes[..8]);
    u64::from_le_bytes(first)
}
