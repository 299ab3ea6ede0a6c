//! Registry of the runners known to a host and their last load reports.

use std::collections::HashMap;

use hickoryhall_types::{
    FailureDomainId, Incarnation, RunnerId, TargetId, WeightsVersion, hash_name,
};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a runner in [`Runners`].
    pub struct RunnerKey;
}

/// Load and state that a runner reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Start number of the engine, which grows with each restart; a restart empties the cache.
    pub incarnation: Incarnation,
    /// Weights version that the engine serves; 0 while it loads one.
    pub weights: WeightsVersion,
    /// Prompt tokens queued at the runner.
    pub waiting_tokens: u64,
    /// Prompt tokens that the runner computes per second.
    pub prefill_tokens_per_s: u32,
    /// Capacity of the runner's prompt cache, in tokens.
    pub cache_tokens: u64,
    /// Whether the engine is shutting down and accepts no new requests.
    pub leaving: bool,
}

/// Description and state of a runner, as used for placement.
#[derive(Clone, Debug)]
pub struct RunnerInfo {
    /// Name of the runner.
    pub id: RunnerId,
    /// Stable hash of the name, used for rendezvous ranking and in peer messages.
    pub name_hash: u64,
    /// Failure domain of the runner.
    pub domain: FailureDomainId,
    /// Model that the runner serves.
    pub model: TargetId,
    /// Last load report.
    pub report: LoadReport,
    /// Whether the runner is leaving, according to its reports or any other source.
    pub leaving: bool,
}

impl RunnerInfo {
    /// Creates the state of a runner from its first load report.
    #[must_use]
    pub fn new(id: RunnerId, domain: FailureDomainId, model: TargetId, report: LoadReport) -> Self {
        let name_hash = hash_name(&id);
        Self {
            id,
            name_hash,
            domain,
            model,
            report,
            leaving: report.leaving,
        }
    }

    /// Returns whether the runner accepts new requests for a model in a weights version.
    #[must_use]
    pub fn accepts(&self, model: &str, weights: WeightsVersion) -> bool {
        !self.leaving && self.model.as_ref() == model && self.report.weights == weights
    }
}

/// All runners that a host knows.
#[derive(Clone, Debug, Default)]
pub struct Runners {
    slots: SlotMap<RunnerKey, RunnerInfo>,
    by_id: HashMap<RunnerId, RunnerKey>,
}

impl Runners {
    /// Adds a runner, or replaces the one with the same name, which keeps its key.
    pub fn insert(&mut self, info: RunnerInfo) -> RunnerKey {
        if let Some(&key) = self.by_id.get(&info.id) {
            self.slots[key] = info;
            return key;
        }
        let id = info.id.clone();
        let key = self.slots.insert(info);
        self.by_id.insert(id, key);
        key
    }

    /// Removes the runner with the given name and returns it.
    pub fn remove(&mut self, id: &str) -> Option<RunnerInfo> {
        let key = self.by_id.remove(id)?;
        self.slots.remove(key)
    }

    /// Returns the key of the runner with the given name.
    #[must_use]
    pub fn key(&self, id: &str) -> Option<RunnerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns the runner with the given key, or `None` if it was removed.
    #[must_use]
    pub fn get(&self, key: RunnerKey) -> Option<&RunnerInfo> {
        self.slots.get(key)
    }

    /// Returns a mutable reference to the runner with the given key.
    pub fn get_mut(&mut self, key: RunnerKey) -> Option<&mut RunnerInfo> {
        self.slots.get_mut(key)
    }

    /// Returns an iterator over all runners and their keys.
    pub fn iter(&self) -> impl Iterator<Item = (RunnerKey, &RunnerInfo)> {
        self.slots.iter()
    }

    /// Returns the number of runners.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns whether there are no runners.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}
