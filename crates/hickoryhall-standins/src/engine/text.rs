//! Cuts prompts into pieces and generates the answers of the engine.
//!
//! An answer is a function of the prompt and the weights version, so a test can check that it is
//! complete and correct.

use super::{Message, Piece, PieceKey, PromptBody};

/// Maximum length of a piece, about 2,000 tokens.
const PIECE_BYTES: usize = 8_000;
/// Assumed length of a token.
const BYTES_PER_TOKEN: usize = 4;

/// Cuts a prompt into pieces.
///
/// The key of each piece is a hash of the salt and of the prompt up to the end of the piece.
#[must_use]
pub fn pieces_of(salt: &str, messages: &[Message]) -> Vec<Piece> {
    let mut hasher = blake3::Hasher::new();
    hasher.update(salt.as_bytes());
    let mut pieces = Vec::new();
    for message in messages {
        hasher.update(b"\0message\0");
        for part in message.content.as_bytes().chunks(PIECE_BYTES) {
            hasher.update(part);
            let tokens = part.len().div_ceil(BYTES_PER_TOKEN) as u32;
            pieces.push(Piece {
                key: truncated_hash(&hasher),
                tokens,
            });
        }
    }
    pieces
}

/// Returns the text of the token at `index`, counted from 0, of the answer with a key.
#[must_use]
pub fn token_text(answer_key: u64, index: u32) -> String {
    let mixed = (answer_key ^ u64::from(index)).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48;
    format!("{mixed:04x}.{index} ")
}

/// Returns the complete answer to a prompt, the concatenated tokens of a correct stream.
#[must_use]
pub fn expected_answer(messages: &[Message], weights_version: u64, tokens: u32) -> String {
    let key = answer_key_for_prompt(weights_version, messages);
    (0..tokens).map(|index| token_text(key, index)).collect()
}

/// Returns the index of the first token to generate: the number of tokens in the beginning of the
/// answer that the prompt contains, or 0 if it contains none.
#[must_use]
pub fn continuation_start(body: &PromptBody) -> u32 {
    let partial = body.messages.last().filter(|_| body.continue_final_message);
    partial.map_or(0, |message| {
        message.content.split_whitespace().count() as u32
    })
}

/// Returns the key that determines the tokens of an answer.
///
/// The beginning of the answer in the prompt is left out, so that a continuation has the same key
/// as the original request.
pub(super) fn answer_key(body: &PromptBody) -> u64 {
    let partial_count = usize::from(body.continue_final_message);
    let prompt_len = body.messages.len().saturating_sub(partial_count);
    answer_key_for_prompt(body.weights_version, &body.messages[..prompt_len])
}

fn answer_key_for_prompt(weights_version: u64, messages: &[Message]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&weights_version.to_le_bytes());
    for message in messages {
        hasher.update(&(message.content.len() as u64).to_le_bytes());
        hasher.update(message.content.as_bytes());
    }
    truncated_hash(&hasher)
}

fn truncated_hash(hasher: &blake3::Hasher) -> PieceKey {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
