//! Input and output types of dispatch.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hickoryhall_routing::{Choice, Class, CostModel, PlacementConfig, PrefixChain};
use hickoryhall_types::{Incarnation, Refusal, RunnerId, TargetId, WeightsVersion, WorkspaceId};
use hickoryhall_wire::{Body, HostHash};

/// Id of an attempt, unique within an incarnation of this host; also the id of the placement before
/// it.
pub type AttemptId = hickoryhall_types::AttemptId;

/// Configuration of [`Dispatch`](super::Dispatch).
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// Hash of this host's name, compared with the trackers of runners.
    pub local_host: HostHash,
    /// Configuration of the placement policy.
    pub placement: PlacementConfig,
}

/// Request for a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// Id of the attempt that the placement is for, assigned by this host.
    pub attempt_id: AttemptId,
    /// Workspace that sent the request; held requests are queued fairly between workspaces.
    pub workspace: WorkspaceId,
    /// Weight of the workspace's share, relative to the weights of other workspaces.
    pub weight: u32,
    /// Prefix levels of the prompt, the outermost first.
    pub chain: PrefixChain,
    /// Model that the runner must serve.
    pub model: TargetId,
    /// Weights version that the runner must serve.
    pub weights_version: WeightsVersion,
    /// Factors of the cost by which candidates are compared.
    pub cost: CostModel,
    /// Time after which the caller no longer waits for an answer.
    pub deadline: Instant,
    /// Runners that have failed this request; they are used only if no other candidate is left.
    pub excluded_runners: Vec<RunnerId>,
    /// Whether the request is a suspect, which means that a runner died while it ran the request.
    ///
    /// A suspect must not share a runner with another suspect.
    pub is_suspect: bool,
}

/// Runner that was chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedServer {
    /// Name of the runner.
    pub id: RunnerId,
    /// Address that the attempt is sent to.
    pub address: SocketAddr,
    /// Incarnation of the runner that the choice is based on.
    pub incarnation: Incarnation,
}

/// Result of a successful placement.
#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    /// Priority class of the request; the runner serves lower classes first.
    pub class: Class,
    /// Runner that was chosen.
    pub server: PlacedServer,
    /// Reason for the choice, and its cost.
    pub choice: Choice,
    /// Names of the runners considered, in the order of `choice.considered`.
    pub considered: Vec<RunnerId>,
    /// Time from the request's arrival to its placement.
    pub held_time: Duration,
}

/// Action that [`Dispatch`](super::Dispatch) requests; the router actor carries it out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Report the chosen runner to a request.
    Placed {
        /// Id of the attempt that the placement is for.
        attempt_id: AttemptId,
        /// Result of the placement.
        placed: Box<Placed>,
    },
    /// Refuse a request.
    Refused {
        /// Id of the attempt that the placement is for.
        attempt_id: AttemptId,
        /// Refusal to report.
        refusal: Box<Refusal>,
    },
    /// Send a message to a peer.
    Send {
        /// Hash of the peer's name.
        to: HostHash,
        /// Message to send.
        body: Body,
        /// Whether the message is dropped if the budget for control messages is used up.
        is_optional: bool,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer is complete.
    Finished,
    /// The caller disconnected, or the runner refused the attempt.
    Released,
    /// The runner failed.
    Failed,
}
