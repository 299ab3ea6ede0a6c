//! Bounded record of the decisions taken for each request.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// Decisions kept.
const DECISION_LIMIT: usize = 4_096;

/// A backend server considered for a request, with the parts of its cost in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// Name.
    pub server: String,
    /// Wait.
    pub wait_ms: f64,
    /// Computing the missing part of the prompt.
    pub recompute_ms: f64,
    /// Computing again what would be evicted.
    pub eviction_ms: f64,
    /// Way there and back.
    pub network_ms: f64,
}

/// One decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Request that it was taken for.
    pub request_id: String,
    /// Host that took it.
    pub host: String,
    /// Time since the request arrived, in microseconds.
    pub after_us: u64,
    /// What was decided.
    pub decision: String,
    /// Why.
    pub reason: String,
    /// Backend server that it concerns, if any.
    pub server: String,
    /// Backend servers considered.
    #[serde(default)]
    pub candidates: Vec<CandidateRecord>,
}

/// Bounded log of decisions.
#[derive(Clone, Debug, Default)]
pub struct DecisionLog {
    records: Arc<Mutex<VecDeque<DecisionRecord>>>,
}

impl DecisionLog {
    /// Adds a decision; the oldest one makes room.
    pub fn push(&self, record: DecisionRecord) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.push_back(record);
        if records.len() > DECISION_LIMIT {
            records.pop_front();
        }
    }

    /// Returns the decisions of a request, in order.
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
