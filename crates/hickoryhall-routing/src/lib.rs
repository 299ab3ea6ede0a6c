//! Request routing: prefix keys, placement on runners, load and cache estimates, costs, retries,
//! ejection of failing runners, cuts between a host and all servers, requests that leave their failure
//! domain, and requests suspected of killing runners.
//!
//! Every type is a plain data structure that takes the current time as an argument and uses no I/O,
//! threads or hidden randomness, so that its decisions are reproducible.
//!
//! ```
//! use hickoryhall_routing::{PrefixChain, PrefixSeed};
//!
//! let seed = PrefixSeed::new("karoo", "planner", None, 1);
//! let chain = PrefixChain::from_messages(&seed, ["notice text", "question"]);
//! assert_eq!(chain.levels().len(), 2);
//! ```

mod baseline;
mod cache_estimate;
mod cost;
mod crossing;
mod ejection;
mod ledger;
mod placement;
mod prefix;
mod reach;
mod retry;
mod runner;
mod runner_speed;
mod suspects;

pub use baseline::{Baseline, BaselineKind, RunnerSnapshot};
pub use cache_estimate::CacheEstimate;
pub use cost::{Cost, CostModel};
pub use crossing::{
    CrossingConfig, CrossingOffer, CrossingPolicy, CrossingReason, CrossingRequest, DomainRoom,
    HomeOffer,
};
pub use ejection::Ejection;
pub use ledger::{Class, Ledger, Quote, ReservationId};
pub use placement::{Candidate, Choice, Placement, PlacementConfig, Reason};
pub use prefix::{Level, LevelKey, PrefixChain, PrefixSeed, sum_tokens};
pub use reach::{
    DomainHash, PeerEnd, Probe, Reach, ReachStatement, ReachStep, ServerHash, ServiceHash,
};
pub use retry::{AttemptOutcome, RetryDecision, RetryPolicy};
pub use runner::{LoadReport, RunnerInfo, RunnerKey, Runners};
pub use runner_speed::{
    RunnerSpeeds, RunnerStatement, ServiceSpeed, ServiceSums, SpeedChange, SpeedConstants,
    SpeedSample, SpeedSource, SpeedStatement,
};
pub use suspects::{
    AnsweredPart, BlockedPart, BreakStep, Breaks, BrokenRequest, CrashId, CrashNews, CrashReport,
    CrashedPart, Fingerprint, PartHash, ServerCrash, SuspectDecision, Suspects,
};
