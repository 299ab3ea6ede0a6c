//! Prefix keys: hashes that identify a prompt up to the end of each of its levels.

use hickoryhall_types::{TokenCount, WeightsVersion, estimate_tokens};

/// Key of a prompt up to the end of a level, derived from its text, workspace, model, adapter and
/// weights version.
pub type LevelKey = u64;

/// Context string of the key derivation; a new one invalidates the keys of all older releases.
const KEY_CONTEXT: &str = "hickoryhall prefix level v1";

/// What a cached prompt depends on besides its text.
///
/// Requests with different seeds share no keys, so cached state is never reused across workspaces,
/// models, adapters or weights versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixSeed {
    key: [u8; 32],
}

impl PrefixSeed {
    /// Creates the seed for a workspace, model, adapter and weights version.
    ///
    /// Each name is hashed with its length, so that shifting a character from one name to the next
    /// gives another seed. A missing adapter and an empty adapter name differ too.
    #[must_use]
    pub fn new(
        workspace: &str,
        model: &str,
        adapter: Option<&str>,
        weights: WeightsVersion,
    ) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(KEY_CONTEXT);
        for part in [workspace, model, adapter.unwrap_or_default()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&[u8::from(adapter.is_some())]);
        hasher.update(&weights.to_le_bytes());
        Self {
            key: *hasher.finalize().as_bytes(),
        }
    }

    /// Returns the salt, 32 hexadecimal digits, that the engine mixes into its own cache keys.
    #[must_use]
    pub fn cache_salt(&self) -> String {
        blake3::keyed_hash(&self.key, b"engine cache salt").to_hex()[..32].to_owned()
    }
}

/// One level of a prompt, such as a regulation, a dossier or the question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Level {
    /// Key of the prompt from its start to the end of this level.
    pub key: LevelKey,
    /// Tokens of this level, without those before it.
    pub tokens: TokenCount,
}

/// Prefix levels of one prompt; each key depends on all text up to the end of its level.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixChain {
    levels: Vec<Level>,
}

impl PrefixChain {
    /// Creates the chain of a prompt in which each message is one level; tokens are estimated.
    pub fn from_messages<'a>(
        seed: &PrefixSeed,
        messages: impl IntoIterator<Item = &'a str>,
    ) -> Self {
        let mut parent = seed.key;
        let levels = messages
            .into_iter()
            .map(|text| {
                parent = *blake3::keyed_hash(&parent, text.as_bytes()).as_bytes();
                Level {
                    key: first_u64(&parent),
                    tokens: estimate_tokens(text.len()),
                }
            })
            .collect();
        Self { levels }
    }

    /// Creates a chain from levels with known keys, outermost first.
    #[must_use]
    pub fn from_levels(levels: Vec<Level>) -> Self {
        Self { levels }
    }

    /// Returns the levels, outermost first.
    #[must_use]
    pub fn levels(&self) -> &[Level] {
        &self.levels
    }

    /// Returns the number of tokens of the whole prompt.
    #[must_use]
    pub fn tokens(&self) -> TokenCount {
        sum_tokens(&self.levels)
    }

    /// Returns the key of the outermost level, which many requests share, or 0 for an empty chain.
    #[must_use]
    pub fn outermost_key(&self) -> LevelKey {
        self.levels.first().map_or(0, |level| level.key)
    }

    /// Returns the key of the deepest level that other requests are likely to share: the last but
    /// one, as the last level is usually the question.
    ///
    /// Returns the only key if there is one level, and 0 for an empty chain.
    #[must_use]
    pub fn shared_key(&self) -> LevelKey {
        let deepest = self.levels.len().saturating_sub(2);
        self.levels.get(deepest).map_or(0, |level| level.key)
    }
}

/// Returns the number of tokens of some levels, at most [`TokenCount::MAX`].
#[must_use]
pub fn sum_tokens<'a>(levels: impl IntoIterator<Item = &'a Level>) -> TokenCount {
    let levels = levels.into_iter();
    levels.fold(0, |sum: TokenCount, level| sum.saturating_add(level.tokens))
}

fn first_u64(bytes: &[u8; 32]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&bytes[..8]);
    u64::from_le_bytes(first)
}
