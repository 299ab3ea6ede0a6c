//! What goes into the scheduler and what comes out.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hickoryhall_routing::{Level, PrefixChain};
use hickoryhall_types::{TargetId, TokenCount, WeightsVersion};

use super::{HostLoad, Rank, Ticket};
use crate::registry::{BackendServer, ServerId};

/// Prompt of a request, as placement needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptNeed {
    /// Model.
    pub model: TargetId,
    /// Levels, their keys depending on who may share them.
    pub chain: PrefixChain,
    /// Tokens to read.
    pub input_tokens: TokenCount,
    /// Tokens to generate.
    pub output_tokens: TokenCount,
}

/// A request that needs a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// Id of the attempt.
    pub ticket: Ticket,
    /// Service.
    pub service: TargetId,
    /// Urgency.
    pub rank: Rank,
    /// Prompt, where it is a model request.
    pub prompt: Option<PromptNeed>,
    /// Whether another server may go on with its answer.
    pub is_resumable: bool,
    /// Moment at which the request came.
    pub arrived: Instant,
    /// Time from then in which an answer is of full use.
    pub target: Duration,
    /// Moment of the final answer at the latest.
    pub deadline: Instant,
    /// Servers that failed it.
    pub exclude: Vec<ServerId>,
}

/// The server of a request, with what decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// The server.
    pub server: BackendServer,
    /// Time until its first event, as estimated.
    pub estimate: Duration,
    /// Prompt tokens that it has to read, as estimated.
    pub missing_tokens: TokenCount,
    /// Version of its weights, as known.
    pub weights: WeightsVersion,
    /// Runner that has more of the prompt, with the tokens that it holds beyond this one.
    pub fetch_from: Option<(SocketAddr, TokenCount)>,
    /// Store that shall keep the shared parts that it reads.
    pub save_to: Option<SocketAddr>,
    /// Requests at it, as known.
    pub requests: u32,
    /// Servers that could take it.
    pub candidates: u32,
    /// Time that the request waited here.
    pub waited: Duration,
}

/// A runner as its order-giver sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerView {
    /// The runner.
    pub server: BackendServer,
    /// Version of its weights.
    pub weights: WeightsVersion,
    /// What all hosts have there.
    pub load: HostLoad,
    /// Whether it takes no work because it failed.
    pub is_away: bool,
}

/// Why no server took a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DenyReason {
    /// No server is known, or none that takes work.
    NoServer,
    /// Every server is full.
    Full,
    /// An answer would come too late to be of use.
    TooLate,
}

impl DenyReason {
    /// Returns the reason as a word for logs and callers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::Full => "full",
            Self::TooLate => "too_late",
        }
    }
}

/// A request that no server takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denied {
    /// Why.
    pub reason: DenyReason,
    /// When to come back.
    pub retry_after: Duration,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server answered.
    Answered,
    /// The server did not run it, or the caller left.
    Released,
    /// The server broke the answer off, or gave none in time.
    Failed,
    /// The server cannot be reached.
    Unreachable,
}

/// Outcome for a request that asked for a server.
pub type Placement = Result<Box<Assignment>, Denied>;

impl PromptNeed {
    /// Returns the levels that other requests may share: all but the last.
    #[must_use]
    pub fn shared_levels(&self) -> &[Level] {
        let levels = self.chain.levels();
        &levels[..levels.len().saturating_sub(1)]
    }

    /// Returns the memory that the request takes beside the parts that others share.
    #[must_use]
    pub fn own_tokens(&self) -> TokenCount {
        let shared = self.shared_levels().iter().map(|level| level.tokens);
        self.input_tokens.saturating_sub(shared.sum()) + self.output_tokens
    }
}
