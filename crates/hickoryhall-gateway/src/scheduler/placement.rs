//! Inputs and results of the scheduler.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hickoryhall_limits::Urgency;
use hickoryhall_routing::{Level, PrefixChain, sum_tokens};
use hickoryhall_types::{TargetId, TokenCount, WeightsVersion};

use super::{AttemptId, Crossing, HostLoad, Priority};
use crate::registry::{BackendServer, ServerId};
use crate::stream_versions::SoftwareHash;

/// Properties of a prompt that placement depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct PromptInfo {
    /// Name of the model; selects the desired versions that apply.
    pub model: TargetId,
    /// Prompt levels; the keys include the cache partition of the workspace.
    pub chain: PrefixChain,
    /// Length of the prompt, in tokens.
    pub input_tokens: TokenCount,
    /// Maximum length of the answer, in tokens.
    pub output_tokens: TokenCount,
}

/// Fingerprint of a request or hash of a prompt part that may crash servers.
pub type Suspect = u64;

/// A request to be placed on a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// Id of the attempt, unique within this host.
    pub attempt_id: AttemptId,
    /// Service whose servers can take the request.
    pub service: TargetId,
    /// Priority in the queue; lower values go first.
    pub priority: Priority,
    /// Prompt of a model request; `None` for a plain service.
    pub prompt: Option<PromptInfo>,
    /// Whether another server can resume its answer.
    pub is_resumable: bool,
    /// Time at which the request arrived at this host, or at which the stream broke that goes on.
    pub arrived_at: Instant,
    /// Target latency, counted from `arrived_at`; a later answer is less useful.
    pub target_latency: Duration,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Servers that already failed this request or did not run it.
    pub excluded_servers: Vec<ServerId>,
    /// Software version that the server must have, for a stream that goes on.
    pub software: Option<SoftwareHash>,
    /// What may crash the server, if anything. All requests with the same suspect go to the same
    /// server, and are kept apart from other ones.
    pub suspect: Option<Suspect>,
}

/// The server chosen for a request, with the values behind the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignment {
    /// Registry entry of the chosen server.
    pub server: BackendServer,
    /// Estimated time to the first event.
    pub estimate: Duration,
    /// Estimated number of prompt tokens that the server has to prefill.
    pub missing_tokens: TokenCount,
    /// Last known weights version of the server; 0 if it serves no model.
    pub weights: WeightsVersion,
    /// Time by which a stream must have begun, if the weights of the server have been replaced.
    pub begin_by: Option<Instant>,
    /// Runner or prompt cache store to fetch from, and the number of tokens that it is known to
    /// hold beyond those of the chosen server (0 if the store is only asked).
    pub fetch_from: Option<(SocketAddr, TokenCount)>,
    /// Prompt cache store in which the runner saves the prompt.
    pub save_to: Option<SocketAddr>,
    /// Urgency among the requests at the server, if it is to take urgent ones first.
    pub urgency: Option<Urgency>,
    /// Requests in flight at the server before this one, as far as known.
    pub requests: u32,
    /// Number of evaluated servers that could take the request.
    pub candidates: u32,
    /// Time from arrival to placement.
    pub waited: Duration,
    /// What crosses between failure domains, if anything; `None` without a policy for it.
    pub crossing: Option<Crossing>,
}

/// State of a runner for the lease holder that gives it orders.
#[derive(Clone, Debug, PartialEq)]
pub struct RunnerView {
    /// Registry entry of the runner.
    pub server: BackendServer,
    /// Last known weights version of the runner.
    pub weights: WeightsVersion,
    /// Load of all hosts at the runner.
    pub load: HostLoad,
    /// Whether it is ejected after failures and takes no work.
    pub is_ejected: bool,
}

/// Reason for which no server takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No server is registered, or none accepts work.
    NoServer,
    /// Every server that accepts work is at its limit.
    Full,
    /// Every server that would accept work asked this host for a pause.
    Paused,
    /// Every server that would accept work takes no more requests now from all hosts together.
    Limited,
    /// No server has the software version at which the stream goes on, or none that stays.
    VersionGone,
    /// The host ends before a server could take the request.
    Stopping,
    /// Servers crashed while they ran the request, or others with a part of its prompt.
    Suspect,
    /// The best server would answer later than the target latency, and has too much queued work to
    /// take a late request.
    TooLate,
}

impl RefusalReason {
    /// Returns the name of the reason in logs and answers to callers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoServer => "no_server",
            Self::Full => "full",
            Self::Paused => "paused",
            Self::Limited => "limited",
            Self::VersionGone => "version_gone",
            Self::Stopping => "stopping",
            Self::Suspect => "suspect",
            Self::TooLate => "too_late",
        }
    }
}

/// A refusal by the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementRefusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Suggested delay before the caller retries.
    pub retry_after: Duration,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server answered.
    Answered,
    /// The server did not run the request, or the caller left.
    Released,
    /// The server broke off the answer, or gave none in time.
    Failed,
    /// The server is unreachable.
    Unreachable,
}

/// Result of placing a request.
pub type Placement = Result<Box<Assignment>, PlacementRefusal>;

impl PromptInfo {
    /// Returns the levels that other requests can share: all but the last.
    #[must_use]
    pub fn shared_levels(&self) -> &[Level] {
        let levels = self.chain.levels();
        &levels[..levels.len().saturating_sub(1)]
    }

    /// Returns the cache memory, in tokens, that the request takes in addition to the shared
    /// levels: for its private level and its answer.
    #[must_use]
    pub fn unshared_tokens(&self) -> TokenCount {
        let shared_tokens = sum_tokens(self.shared_levels());
        let private_tokens = self.input_tokens.saturating_sub(shared_tokens);
        private_tokens.saturating_add(self.output_tokens)
    }
}
