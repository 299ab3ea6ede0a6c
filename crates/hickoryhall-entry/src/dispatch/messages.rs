//! What goes into dispatch and what comes out.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hickoryhall_routing::{Choice, Class, CostModel, PlacementConfig, PrefixChain};
use hickoryhall_types::{
    AttemptId, Incarnation, Refusal, RunnerId, TargetId, WeightsVersion, WorkspaceId,
};
use hickoryhall_wire::{Body, HostHash};

/// Id of one placement at this host; also the id of the attempt that follows.
pub type Ticket = AttemptId;

/// Settings of dispatch.
#[derive(Clone, Debug)]
pub struct DispatchConfig {
    /// Hash of this host's name.
    pub me: HostHash,
    /// Settings of placement.
    pub placement: PlacementConfig,
}

/// A request that asks for a runner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceAsk {
    /// Id of the placement.
    pub ticket: Ticket,
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Weight of the workspace.
    pub weight: u32,
    /// Levels of the prompt.
    pub chain: PrefixChain,
    /// Model.
    pub model: TargetId,
    /// Weights version.
    pub weights: WeightsVersion,
    /// Weights of the cost.
    pub cost: CostModel,
    /// Moment after which no answer is of use.
    pub deadline: Instant,
    /// Runners that failed this request already.
    pub exclude: Vec<RunnerId>,
    /// Whether no other suspect may run beside it.
    pub isolate: bool,
}

/// The runner of a placement.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacedServer {
    /// Name.
    pub id: RunnerId,
    /// Address.
    pub address: SocketAddr,
    /// Incarnation that the choice relies on.
    pub incarnation: Incarnation,
}

/// A placed request.
#[derive(Clone, Debug, PartialEq)]
pub struct Placed {
    /// Class of the request; a lower one goes first at the runner.
    pub class: Class,
    /// Its runner.
    pub server: PlacedServer,
    /// Why, and at which cost.
    pub choice: Choice,
    /// Names of the runners considered, in the order of the choice.
    pub considered: Vec<RunnerId>,
    /// Time that the request was held at this host.
    pub held: Duration,
}

/// What dispatch wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Give a request its runner.
    Placed {
        /// Id of the placement.
        ticket: Ticket,
        /// The runner.
        placed: Box<Placed>,
    },
    /// Refuse a request.
    Refused {
        /// Id of the placement.
        ticket: Ticket,
        /// Why.
        refusal: Box<Refusal>,
    },
    /// Send a message to a host.
    Send {
        /// The host.
        to: HostHash,
        /// The message.
        body: Body,
        /// Whether it may be left out where the budget for control is spent.
        is_optional: bool,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketEnd {
    /// The answer is whole.
    Finished,
    /// The caller hung up, or the runner refused the attempt.
    Released,
    /// The runner failed.
    Failed,
}
