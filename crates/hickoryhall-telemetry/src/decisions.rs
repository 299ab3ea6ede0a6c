//! Bounded in-memory log of the decisions made for each request.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Maximum number of decisions that are kept, over all requests.
const MAX_DECISIONS: usize = 4_096;

/// A backend server that was considered for a request, with its cost components in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// Name of the backend server.
    pub server: String,
    /// Estimated wait until the server starts the request.
    pub wait_ms: f64,
    /// Time to compute the part of the prompt that is not cached.
    pub recompute_ms: f64,
    /// Time to recompute the cached prompts that the request would evict.
    pub eviction_ms: f64,
    /// Network round-trip time.
    pub network_ms: f64,
}

/// A decision that was made for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Id of the request.
    pub request_id: String,
    /// Name of the host that made the decision.
    pub host: String,
    /// Time since the request arrived, in microseconds.
    pub after_us: u64,
    /// Decision, as a short keyword.
    pub decision: String,
    /// Reason for the decision.
    pub reason: String,
    /// Name of the backend server concerned; empty if there is none.
    pub server: String,
    /// Backend servers that were considered; empty if the decision compared none.
    #[serde(default)]
    pub candidates: Vec<CandidateRecord>,
}

/// Bounded log of decisions, shared by its clones.
#[derive(Clone, Debug, Default)]
pub struct DecisionLog {
    records: Arc<Mutex<VecDeque<DecisionRecord>>>,
}

impl DecisionLog {
    /// Adds a decision; if the log is full, the oldest one is removed.
    pub fn push(&self, record: DecisionRecord) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.push_back(record);
        if records.len() > MAX_DECISIONS {
            records.pop_front();
        }
    }

    /// Returns the kept decisions for a request, oldest first.
    #[must_use]
    pub fn of_request(&self, request_id: &str) -> Vec<DecisionRecord> {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records
            .iter()
            .filter(|record| record.request_id == request_id)
            .cloned()
            .collect()
    }
}
