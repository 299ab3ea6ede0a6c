//! Bodies of the engine's HTTP interface.

use serde::{Deserialize, Serialize};

/// One message of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text.
    pub content: String,
}

/// Body of `POST /v1/chat/completions` at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptBody {
    /// Model.
    pub model: String,
    /// Prompt.
    pub messages: Vec<Message>,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// Salt of the cache keys.
    #[serde(default)]
    pub cache_salt: String,
    /// A lower number goes first.
    #[serde(default)]
    pub priority: u32,
    /// Weights version that must answer.
    #[serde(default)]
    pub weights_version: u64,
    /// Whether the last message is the beginning of the answer.
    #[serde(default)]
    pub continue_final_message: bool,
}

/// Body of `GET /load`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadBody {
    /// Start number.
    pub incarnation: u64,
    /// Model.
    pub model: String,
    /// Weights version served, 0 while none is loaded.
    pub weights_version: u64,
    /// Prompt tokens that wait.
    pub waiting_tokens: u64,
    /// Jobs in the engine.
    pub jobs: usize,
    /// Rate of prefill.
    pub prefill_tokens_per_s: u32,
    /// Memory for cached prompts.
    pub cache_tokens: u64,
    /// Whether the engine takes no new work.
    pub leaving: bool,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Order {
    /// Serve this weights version.
    LoadWeights {
        /// Version.
        weights_version: u64,
    },
    /// Load this adapter.
    LoadAdapter {
        /// Adapter.
        adapter: String,
    },
    /// Take no new work.
    Drain,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// Fencing number of the lease that the order is given under.
    pub fencing: u64,
    /// What to do.
    pub order: Order,
}

/// One fault to switch on, body of `POST /control`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// Lose everything and answer nothing for a while.
    Crash {
        /// Time until the engine is back.
        down_ms: u64,
    },
    /// Set or clear the leaving flag.
    Leaving {
        /// New value.
        on: bool,
    },
    /// Break the connection of the next streams after some tokens; the jobs go on.
    BreakStreams {
        /// Streams to break.
        count: u32,
        /// Tokens to send first.
        after_tokens: u32,
    },
    /// Answer the next requests with bytes that are no event stream.
    Garbage {
        /// Answers to spoil.
        count: u32,
    },
    /// Leave a token out of the next streams.
    SkipToken {
        /// Streams to spoil.
        count: u32,
    },
    /// Put another request's id on the next streams.
    WrongId {
        /// Streams to spoil.
        count: u32,
    },
    /// Send no token of the next streams for a while.
    Stall {
        /// Streams to hold.
        count: u32,
        /// Time without a token.
        stall_ms: u64,
    },
    /// Crash whenever a prompt with this text is computed.
    Poison {
        /// Text, empty for none.
        marker: String,
    },
    /// Drop every n-th cache event.
    EventGaps {
        /// Which ones to drop; 0 for none.
        every: u64,
    },
}

/// Faults that wait to be used up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// Streams to break, and after how many tokens.
    pub break_streams: u32,
    /// Tokens sent before a break.
    pub break_after_tokens: u32,
    /// Answers to spoil.
    pub garbage: u32,
    /// Streams with a token left out.
    pub skip_token: u32,
    /// Streams with a wrong id.
    pub wrong_id: u32,
    /// Streams to hold.
    pub stall: u32,
    /// Time to hold them, in milliseconds.
    pub stall_ms: u64,
    /// Text that crashes the engine.
    pub poison: String,
    /// Cache events to drop, every n-th.
    pub event_gaps_every: u64,
}
