//! Request and response bodies of the engine's HTTP interface.

use serde::{Deserialize, Serialize};

/// One message of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Author of the message: `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Body of `POST /v1/chat/completions` at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptBody {
    /// Name of the model; the engine does not check it.
    pub model: String,
    /// Messages of the prompt.
    pub messages: Vec<Message>,
    /// Maximum number of tokens in the answer, including those that the prompt already contains if
    /// [`continue_final_message`](Self::continue_final_message) is set.
    pub max_tokens: u32,
    /// Salt of the cache keys; prompts with different salts share no cached pieces.
    #[serde(default)]
    pub cache_salt: String,
    /// Priority of the request; a lower number is served first.
    #[serde(default)]
    pub priority: u32,
    /// Weights version that must generate the answer; an engine with another one refuses.
    #[serde(default)]
    pub weights_version: u64,
    /// Whether the last message is the beginning of the answer, which the engine then continues.
    #[serde(default)]
    pub continue_final_message: bool,
}

/// Body of `GET /load`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadBody {
    /// Incarnation of the engine, which increases with each restart.
    pub incarnation: u64,
    /// Name of the model that the engine serves.
    pub model: String,
    /// Weights version that the engine serves, 0 while it loads weights.
    pub weights_version: u64,
    /// Prompt tokens that are not computed yet.
    pub waiting_tokens: u64,
    /// Number of waiting and running jobs.
    pub jobs: usize,
    /// Rate at which the engine computes prompts.
    pub prefill_tokens_per_s: u32,
    /// Capacity of the prompt cache.
    pub cache_tokens: u64,
    /// Whether the engine is shutting down and accepts no new requests.
    pub leaving: bool,
}

/// An order of the lease holder to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Order {
    /// Loads a weights version and serves it.
    LoadWeights {
        /// Version to load.
        weights_version: u64,
    },
    /// Loads an adapter; the stand-in accepts this and does nothing.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Stops accepting new requests.
    Drain,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderBody {
    /// Fencing number of the lease that the sender holds; an engine refuses a number lower than the
    /// highest one it has received.
    pub fencing: u64,
    /// Order to carry out.
    pub order: Order,
}

/// A fault to inject; body of `POST /control`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "fault")]
pub enum Fault {
    /// Loses all jobs and the cache and closes every connection without a response for a time.
    Crash {
        /// Time until the engine responds again, in milliseconds.
        down_ms: u64,
    },
    /// Sets or clears the leaving flag.
    Leaving {
        /// New value of the flag.
        on: bool,
    },
    /// Closes the connection of the next streams after some tokens; their jobs continue.
    BreakStreams {
        /// Number of streams to break.
        count: u32,
        /// Number of tokens sent before the connection closes.
        after_tokens: u32,
    },
    /// Responds to the next requests with bytes that are not a valid event stream.
    Garbage {
        /// Number of responses affected.
        count: u32,
    },
    /// Omits the first token of the next streams.
    SkipToken {
        /// Number of streams affected.
        count: u32,
    },
    /// Sends the id and the tokens of another request in the next streams.
    WrongId {
        /// Number of streams affected.
        count: u32,
    },
    /// Delays the first token of the next streams.
    Stall {
        /// Number of streams affected.
        count: u32,
        /// Delay, in milliseconds.
        stall_ms: u64,
    },
    /// Crashes whenever a prompt that contains a text has been computed.
    Poison {
        /// Text to look for; empty to end the fault.
        marker: String,
    },
    /// Drops every n-th cache event but still counts it in the sequence numbers.
    EventGaps {
        /// The n; 0 to end the fault.
        every: u64,
    },
}

/// Injected faults that are still to take effect.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineFaults {
    /// Number of streams still to break.
    pub break_streams: u32,
    /// Number of tokens sent before a stream breaks.
    pub break_after_tokens: u32,
    /// Number of responses still to replace by garbage.
    pub garbage: u32,
    /// Number of streams from which a token is still to be omitted.
    pub skip_token: u32,
    /// Number of streams that still get a wrong request id.
    pub wrong_id: u32,
    /// Number of streams still to delay.
    pub stall: u32,
    /// Delay of these streams, in milliseconds.
    pub stall_ms: u64,
    /// Text in a prompt that crashes the engine; empty for none.
    pub poison: String,
    /// Drops every n-th cache event; 0 for none.
    pub event_gaps_every: u64,
}
