//! Messages between hosts, independent of their encoding.

use hickoryhall_types::{Incarnation, Revision, TokenCount};

/// Stable hash of a host's name, equal on all hosts.
pub type HostHash = u64;

/// Identifies one run of a host's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Hash of the host's name.
    pub host: HostHash,
    /// Start time of the process, in milliseconds since 1970.
    pub incarnation: Incarnation,
}

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Host that sent the frame.
    pub sender: Peer,
    /// Hash of the name of the host that the frame is meant for; any other host drops it.
    pub receiver: HostHash,
    /// Sequence number, which grows with each frame that the sender creates; used to detect replays.
    pub sequence: u64,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message, by kind.
///
/// A host tracks a runner when it keeps the record of the requests that all hosts sent to it.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Periodic message with heartbeats and rumors.
    Gossip(Gossip),
    /// Announces that a new table revision is in force at the sender.
    PushRevision {
        /// Revision in force at the sender.
        revision: Revision,
    },
    /// Requests quotes of runners that the receiver tracks.
    QuoteRequest(QuoteRequest),
    /// Response to [`Body::QuoteRequest`].
    QuoteResponse(QuoteResponse),
    /// Reports that the sender placed a request on a runner that the receiver tracks.
    Reserve {
        /// Hash of the runner's name.
        runner: u64,
        /// Id of the reservation, unique at the sender.
        id: u64,
        /// Levels of the request's prompt, from the first token on.
        levels: Vec<WireLevel>,
        /// Priority class of the request; the runner serves a lower class first.
        class: u32,
    },
    /// Reports that a reservation ended.
    Release {
        /// Hash of the runner's name.
        runner: u64,
        /// Id of the reservation, unique at the sender.
        id: u64,
        /// Cached prompt tokens that the runner reported with the first token of the answer, `None`
        /// if it sent no token.
        cached_tokens: Option<TokenCount>,
    },
    /// Requests units of a fleet-wide rate limit.
    GrantRequest(GrantRequest),
    /// Response to [`Body::GrantRequest`].
    GrantResponse(GrantResponse),
    /// Requests the changes of the table since a revision.
    TableFetch(TableFetch),
    /// Response to [`Body::TableFetch`].
    TableDelta(TableDelta),
}

/// State that a host sends to a peer in each gossip round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Gossip {
    /// Table revision in force at the sender.
    pub revision: Revision,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Heartbeats of the sender and of some other hosts that it knows.
    pub heartbeats: Vec<Heartbeat>,
    /// Rumors that the sender passes on.
    pub rumors: Vec<Rumor>,
}

/// Heartbeat of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Host that the heartbeat belongs to.
    pub peer: Peer,
    /// Gossip rounds of the host since its start.
    pub count: u32,
}

/// A fact about a runner, host or request that hosts pass on to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rumor {
    /// A runner accepts no new work.
    RunnerLeaving {
        /// Hash of the runner's name.
        runner: u64,
        /// Incarnation of the runner that is leaving; a later one may accept work.
        incarnation: Incarnation,
    },
    /// A host accepts no new work.
    HostLeaving {
        /// Host that is leaving.
        peer: Peer,
    },
    /// A request may crash runners: a runner died while it ran the request.
    Suspect {
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Runners that have died so far while they ran the request.
        deaths: u32,
    },
}

/// A level of a prompt: a part of it that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WireLevel {
    /// Key of the prompt from its start to the end of this level.
    pub key: u64,
    /// Tokens of this level alone.
    pub tokens: TokenCount,
}

/// Request for the quotes of some runners for one prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuoteRequest {
    /// Id that the response repeats.
    pub id: u64,
    /// Hashes of the runners' names.
    pub runners: Vec<u64>,
    /// Levels of the prompt, from the first token on.
    pub levels: Vec<WireLevel>,
    /// Priority class of the request; a runner serves a lower class first.
    pub class: u32,
}

/// Response with the quotes of those requested runners that the sender tracks.
#[derive(Clone, Debug, PartialEq)]
pub struct QuoteResponse {
    /// Id of the [`QuoteRequest`] that this responds to.
    pub id: u64,
    /// Quotes in the order of the requested runners; runners that the sender does not track are
    /// left out.
    pub quotes: Vec<RunnerQuote>,
}

/// Estimate of what it costs a runner to serve a prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunnerQuote {
    /// Hash of the runner's name.
    pub runner: u64,
    /// Incarnation of the runner that the quote holds for.
    pub incarnation: Incarnation,
    /// Time until the runner starts on the prompt, in milliseconds.
    pub wait_ms: u32,
    /// Tokens of the prompt that the runner has cached.
    pub cached_tokens: TokenCount,
    /// Recently used cached tokens that storing the prompt would evict.
    pub eviction_tokens: TokenCount,
    /// Whether the sender has tracked the runner for long enough to know what it has cached.
    pub is_warm: bool,
}

/// Request for units of a fleet-wide rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantRequest {
    /// Hash of the table row's key and the column that set the limit.
    pub bucket: u64,
    /// Units requested: requests or tokens, by the column.
    pub units: u32,
    /// Limit of the whole fleet in units per second, from the table of the requesting host.
    pub limit: u32,
}

/// Response that grants units of a fleet-wide rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantResponse {
    /// Hash of the table row's key and the column that set the limit.
    pub bucket: u64,
    /// Units granted, which may be fewer than requested.
    pub units: u32,
    /// Time in milliseconds after which unused units expire.
    pub ttl_ms: u32,
}

/// Request for the changes of the table since a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableFetch {
    /// Revision that the requesting host has, 0 if it has no table.
    pub known_revision: Revision,
}

/// Response with the changes that lead from one table revision to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableDelta {
    /// Revision that the changes apply to, 0 if the rows are the whole table.
    pub from: Revision,
    /// Head of the table after the changes, as JSON.
    pub head_json: Vec<u8>,
    /// Rows added or changed, as a JSON list.
    pub rows_json: Vec<u8>,
    /// Removed rows, as a JSON list of rows with only the key columns set.
    pub removed_json: Vec<u8>,
}
