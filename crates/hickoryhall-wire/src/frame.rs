//! Messages between hosts, as the rest of the code sees them.

use hickoryhall_types::{Incarnation, Revision, TokenCount};

/// Stable hash of a host's name.
pub type HostHash = u64;

/// A host and its start number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Hash of the host's name.
    pub host: HostHash,
    /// Start number: milliseconds since 1970 at its start.
    pub incarnation: Incarnation,
}

/// One message with its sender and receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Who sent it.
    pub sender: Peer,
    /// For whom it is.
    pub receiver: HostHash,
    /// Number of the message, growing with each one that the sender makes.
    pub sequence: u64,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Regular exchange of what both know.
    Gossip(Gossip),
    /// A new table revision is in force at the sender.
    PushRevision {
        /// The revision.
        revision: Revision,
    },
    /// Question for quotes of runners that the receiver tracks.
    QuoteAsk(QuoteAsk),
    /// Answer to it.
    QuoteAnswer(QuoteAnswer),
    /// A request was sent to a runner that the receiver tracks.
    Reserve {
        /// Hash of the runner's name.
        runner: u64,
        /// Id of the reservation at the sender.
        id: u64,
        /// Levels of the prompt.
        levels: Vec<WireLevel>,
        /// Class of the request; a lower one goes first.
        class: u32,
    },
    /// A reservation ended.
    Release {
        /// Hash of the runner's name.
        runner: u64,
        /// Id of the reservation at the sender.
        id: u64,
        /// Cached tokens that the runner reported with the first token, if there was one.
        cached_tokens: Option<TokenCount>,
    },
    /// Question for a part of a fleet limit.
    GrantAsk(GrantAsk),
    /// Answer to it.
    GrantAnswer(GrantAnswer),
    /// Question for the table.
    TableFetch(TableFetch),
    /// Answer to it.
    TableDelta(TableDelta),
}

/// What a host tells a peer in each round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Gossip {
    /// Table revision in force at the sender.
    pub revision: Revision,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Heartbeats of some hosts.
    pub heartbeats: Vec<Heartbeat>,
    /// News that spread from host to host.
    pub rumors: Vec<Rumor>,
}

/// Life sign of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The host.
    pub peer: Peer,
    /// Count of its rounds.
    pub count: u32,
}

/// News that spread from host to host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rumor {
    /// A runner takes no new work.
    RunnerLeaving {
        /// Hash of the runner's name.
        runner: u64,
        /// Incarnation that is leaving.
        incarnation: Incarnation,
    },
    /// A host takes no new work.
    HostLeaving {
        /// The host.
        peer: Peer,
    },
    /// A runner died while it ran a request.
    Suspect {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Deaths so far.
        deaths: u32,
    },
}

/// Level of a prompt on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WireLevel {
    /// Key of the prompt up to the end of the level.
    pub key: u64,
    /// Tokens of the level.
    pub tokens: TokenCount,
}

/// Question for quotes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuoteAsk {
    /// Id that the answer repeats.
    pub id: u64,
    /// Hashes of the runners' names.
    pub runners: Vec<u64>,
    /// Levels of the prompt.
    pub levels: Vec<WireLevel>,
    /// Class of the request; a lower one goes first.
    pub class: u32,
}

/// Answer with the quotes of the runners that the sender tracks.
#[derive(Clone, Debug, PartialEq)]
pub struct QuoteAnswer {
    /// Id of the question.
    pub id: u64,
    /// Quotes.
    pub quotes: Vec<RunnerQuote>,
}

/// Quote of one runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunnerQuote {
    /// Hash of the runner's name.
    pub runner: u64,
    /// Incarnation that the quote belongs to.
    pub incarnation: Incarnation,
    /// Wait in milliseconds.
    pub wait_ms: u32,
    /// Tokens of the prompt that are cached.
    pub cached_tokens: TokenCount,
    /// Tokens of recent use that would be evicted.
    pub eviction_tokens: TokenCount,
    /// Whether the tracker has seen the runner's requests for a while.
    pub is_warm: bool,
}

/// Question for a part of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantAsk {
    /// Hash of the limit's row and column.
    pub bucket: u64,
    /// Units wanted.
    pub units: u32,
    /// The whole fleet's limit, by the asker's table.
    pub limit: u32,
}

/// Part of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantAnswer {
    /// Hash of the limit's row and column.
    pub bucket: u64,
    /// Units granted.
    pub units: u32,
    /// Time after which the units are void, in milliseconds.
    pub ttl_ms: u32,
}

/// Question for the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableFetch {
    /// Revision that the asker has, 0 for none.
    pub have: Revision,
}

/// Changes from one revision to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableDelta {
    /// Revision that the changes apply to, 0 for a whole table.
    pub from: Revision,
    /// Head of the table after the changes, in JSON.
    pub head_json: Vec<u8>,
    /// Rows added or changed, in JSON.
    pub rows_json: Vec<u8>,
    /// Keys of rows removed, in JSON.
    pub removed_json: Vec<u8>,
}
