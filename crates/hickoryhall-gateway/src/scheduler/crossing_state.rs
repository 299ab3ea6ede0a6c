//! State and results of the policy for leaving the failure domain.

use std::collections::HashMap;
use std::time::Instant;

use hickoryhall_routing::{CrossingConfig, CrossingPolicy, DomainHash, ServiceHash};
use hickoryhall_types::FailureDomainId;

/// What this host knows for leaving its failure domain.
pub(super) struct CrossingState {
    pub policy: CrossingPolicy,
    /// Time of the last digest from each domain.
    pub heard_at: HashMap<DomainHash, Instant>,
    /// Time of the last look at the room of other domains.
    pub updated_at: Option<Instant>,
}

/// Service and domain of a request that left.
pub(super) type CrossingKey = (ServiceHash, DomainHash);

/// A request that left its failure domain, or cached levels that were moved between domains for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Crossing {
    /// Why the request left; `None` if only cached levels cross.
    pub reason: Option<&'static str>,
    /// Domain of this host.
    pub from: FailureDomainId,
    /// Domain of the server.
    pub to: FailureDomainId,
    /// Estimated bytes of the request and its response that cross.
    pub request_bytes: u64,
    /// Domain that cached levels come from, and their estimated bytes, if these cross.
    pub cache: Option<(FailureDomainId, u64)>,
}

impl CrossingState {
    pub fn new(config: CrossingConfig) -> Self {
        Self {
            policy: CrossingPolicy::new(config),
            heard_at: HashMap::new(),
            updated_at: None,
        }
    }
}
