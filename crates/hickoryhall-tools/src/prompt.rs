//! Generates the texts of prompts from their keys.

use std::collections::HashMap;
use std::sync::Arc;

use hickoryhall_clients::Message;
use hickoryhall_routing::Level;
use hickoryhall_types::{BYTES_PER_TOKEN, rendezvous_score};

/// Maximum number of cached texts. Questions are unique and therefore not cached.
const MAX_CACHED_TEXTS: usize = 2_048;

/// Generates the texts of prompt levels; equal levels have equal texts.
#[derive(Clone, Debug, Default)]
pub struct PromptTexts {
    cached: HashMap<u64, Arc<str>>,
}

impl PromptTexts {
    /// Returns the messages of a prompt, one for each level; the last one is the user's question.
    pub fn messages(&mut self, levels: &[Level]) -> Vec<Message> {
        let last = levels.len().saturating_sub(1);
        let mut messages = Vec::with_capacity(levels.len());
        for (index, level) in levels.iter().enumerate() {
            let role = if index == last { "user" } else { "system" };
            let text = if index == last {
                generate_text(level).into()
            } else {
                self.cached(level)
            };
            messages.push(Message {
                role: role.to_owned(),
                content: text.to_string(),
            });
        }
        messages
    }

    fn cached(&mut self, level: &Level) -> Arc<str> {
        if self.cached.len() >= MAX_CACHED_TEXTS {
            self.cached.clear();
        }
        Arc::clone(
            self.cached
                .entry(level.key)
                .or_insert_with(|| generate_text(level).into()),
        )
    }
}

fn generate_text(level: &Level) -> String {
    let bytes = level.tokens as usize * BYTES_PER_TOKEN;
    let mut text = String::with_capacity(bytes + 16);
    let mut word = level.key;
    while text.len() < bytes {
        word = rendezvous_score(level.key, word);
        text.push_str(&format!("{word:015x} "));
    }
    text.truncate(bytes);
    text
}
