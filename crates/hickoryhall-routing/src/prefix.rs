//! Keys of the prefix levels of a prompt.

use hickoryhall_types::{TokenCount, WeightsVersion, estimate_tokens};

/// Key of a prompt up to the end of a level.
pub type LevelKey = u64;

/// Context of the key derivation; a new one makes every key of an older release void.
const KEY_CONTEXT: &str = "hickoryhall prefix level v1";

/// What a cached prompt depends on besides its text.
///
/// Two requests with different seeds share no key, so no cached state crosses a workspace, an
/// adapter or a weights version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixSeed {
    key: [u8; 32],
}

impl PrefixSeed {
    /// Creates the seed of a workspace, model, adapter and weights version.
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

    /// Returns the salt that the engine mixes into its own cache keys.
    #[must_use]
    pub fn cache_salt(&self) -> String {
        blake3::keyed_hash(&self.key, b"engine cache salt").to_hex()[..32].to_owned()
    }
}

/// One level of a prompt, such as a regulation, a dossier or the question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Level {
    /// Key of the prompt up to the end of this level.
    pub key: LevelKey,
    /// Tokens of this level alone.
    pub tokens: TokenCount,
}

/// Levels of one prompt, each key depending on all text before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixChain {
    levels: Vec<Level>,
}

impl PrefixChain {
    /// Creates the chain of a prompt whose messages are its levels.
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

    /// Creates a chain from known levels.
    #[must_use]
    pub fn from_levels(levels: Vec<Level>) -> Self {
        Self { levels }
    }

    /// Returns the levels, outermost first.
    #[must_use]
    pub fn levels(&self) -> &[Level] {
        &self.levels
    }

    /// Returns the tokens of the whole prompt.
    #[must_use]
    pub fn tokens(&self) -> TokenCount {
        self.levels.iter().map(|level| level.tokens).sum()
    }

    /// Returns the key of the outermost level, which many requests share.
    #[must_use]
    pub fn top(&self) -> LevelKey {
        self.levels.first().map_or(0, |level| level.key)
    }

    /// Returns the key of the deepest level that other requests may share: the last but one.
    #[must_use]
    pub fn shared(&self) -> LevelKey {
        let deepest = self.levels.len().saturating_sub(2);
        self.levels.get(deepest).map_or(0, |level| level.key)
    }
}

fn first_u64(bytes: &[u8; 32]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&bytes[..8]);
    u64::from_le_bytes(first)
}
