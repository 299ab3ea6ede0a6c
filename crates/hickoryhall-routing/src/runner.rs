//! The runners that a host may choose from.

use std::collections::HashMap;

use hickoryhall_types::{
    FailureDomainId, Incarnation, RunnerId, TargetId, WeightsVersion, hash_name,
};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a runner in [`Runners`].
    pub struct RunnerKey;
}

/// What a runner last said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Start number of the engine; cached state of an older one is gone.
    pub incarnation: Incarnation,
    /// Weights version that the engine serves.
    pub weights: WeightsVersion,
    /// Prompt tokens that wait to be computed.
    pub waiting_tokens: u64,
    /// Rate at which prompts are computed.
    pub prefill_tokens_per_s: u32,
    /// Memory for cached prompts.
    pub cache_tokens: u64,
    /// Whether the engine is leaving and takes no new work.
    pub leaving: bool,
}

/// A runner as placement sees it.
#[derive(Clone, Debug)]
pub struct RunnerInfo {
    /// Name.
    pub id: RunnerId,
    /// Stable hash of the name.
    pub name_hash: u64,
    /// Failure domain of the runner.
    pub domain: FailureDomainId,
    /// Model that it serves.
    pub model: TargetId,
    /// Last report.
    pub report: LoadReport,
    /// Whether any source said that it is leaving.
    pub leaving: bool,
}

impl RunnerInfo {
    /// Creates a runner that takes work.
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

    /// Tells whether new work may be sent for a weights version.
    #[must_use]
    pub fn takes(&self, model: &str, weights: WeightsVersion) -> bool {
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
    /// Adds a runner, or replaces the one with the same name.
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

    /// Removes a runner.
    pub fn remove(&mut self, id: &str) -> Option<RunnerInfo> {
        let key = self.by_id.remove(id)?;
        self.slots.remove(key)
    }

    /// Returns the key of a runner.
    #[must_use]
    pub fn key(&self, id: &str) -> Option<RunnerKey> {
        self.by_id.get(id).copied()
    }

    /// Returns a runner.
    #[must_use]
    pub fn get(&self, key: RunnerKey) -> Option<&RunnerInfo> {
        self.slots.get(key)
    }

    /// Returns a runner for change.
    pub fn get_mut(&mut self, key: RunnerKey) -> Option<&mut RunnerInfo> {
        self.slots.get_mut(key)
    }

    /// Returns all runners with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (RunnerKey, &RunnerInfo)> {
        self.slots.iter()
    }

    /// Returns the number of runners.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Tells whether no runner is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}
