//! Rows of the operators' table and their validation.

use serde::{Deserialize, Serialize};

/// Wildcard that stands for all workspaces or all targets.
pub const ANY: &str = "*";

/// Key of a row, unique within a table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey {
    /// Workspace, or [`ANY`] for all workspaces.
    pub workspace: String,
    /// `model:NAME`, `service:NAME`, or [`ANY`] for all targets.
    pub target: String,
}

impl RowKey {
    /// Creates the key of a workspace and target.
    #[must_use]
    pub fn new(workspace: &str, target: &str) -> Self {
        Self {
            workspace: workspace.to_owned(),
            target: target.to_owned(),
        }
    }
}

/// Weights and limits of one workspace for one target.
///
/// An empty cell takes its value from the next less specific row that sets it: `(workspace, *)`,
/// then `(*, target)`, then `(*, *)`, then the default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Workspace, or `*` for all workspaces.
    pub workspace: String,
    /// `model:NAME`, `service:NAME`, or `*` for all targets.
    pub target: String,
    /// Share of the fleet under load, relative to other workspaces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// Limit of requests per second over the whole fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<u32>,
    /// Limit of prompt and answer tokens per second over the whole fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<u32>,
    /// Limit of requests in flight over the whole fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u32>,
    /// Priority passed to the engine, which serves lower numbers first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
    /// Whether a service call may run more than once; if `false`, callers must send an idempotency
    /// key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
    /// Version of the model's weights that runners serve.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weights_version: Option<u32>,
    /// Adapter that runners load in addition to the weights.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Weight of waiting in the placement cost, in percent of the default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wait_cost_percent: Option<u32>,
    /// Weight of recomputing a prompt in the placement cost, in percent of the default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recompute_cost_percent: Option<u32>,
    /// Weight of evicting other prompts in the placement cost, in percent of the default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub eviction_cost_percent: Option<u32>,
    /// Blake3 hashes in hex of the workspace's API keys, separated by `;`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_hashes: Option<String>,
}

impl Row {
    /// Creates a row with all cells but the key empty.
    #[must_use]
    pub fn new(workspace: &str, target: &str) -> Self {
        Self {
            workspace: workspace.to_owned(),
            target: target.to_owned(),
            ..Self::default()
        }
    }

    /// Returns the key of this row.
    #[must_use]
    pub fn key(&self) -> RowKey {
        RowKey::new(&self.workspace, &self.target)
    }

    /// Returns the invalid cells of this row, each as its column and an error message.
    #[must_use]
    pub fn invalid_cells(&self) -> Vec<(&'static str, String)> {
        let mut invalid_cells = Vec::new();
        if self.workspace.trim().is_empty() {
            invalid_cells.push(("workspace", "is empty".to_owned()));
        }
        if !is_target(&self.target) {
            let message = format!(
                "'{}' is not 'model:NAME', 'service:NAME' or '*'",
                self.target
            );
            invalid_cells.push(("target", message));
        }
        for (column, value) in self.positive_cells() {
            if value == Some(0) {
                invalid_cells.push((column, "must be greater than 0".to_owned()));
            }
        }
        for hash in self.key_hash_list() {
            if hash.len() != 64 || !hash.bytes().all(|b| b.is_ascii_hexdigit()) {
                invalid_cells.push(("key_hashes", format!("'{hash}' is not 64 hex digits")));
            }
        }
        invalid_cells
    }

    /// Returns the API key hashes of this row, trimmed and without empty entries.
    pub fn key_hash_list(&self) -> impl Iterator<Item = &str> {
        self.key_hashes
            .iter()
            .flat_map(|hashes| hashes.split(';'))
            .map(str::trim)
            .filter(|hash| !hash.is_empty())
    }

    /// Returns the cells that must not be 0, with their columns.
    fn positive_cells(&self) -> [(&'static str, Option<u32>); 6] {
        [
            ("weight", self.weight),
            ("requests_per_s", self.requests_per_s),
            ("tokens_per_s", self.tokens_per_s),
            ("concurrent", self.concurrent),
            ("weights_version", self.weights_version),
            ("recompute_cost_percent", self.recompute_cost_percent),
        ]
    }
}

fn is_target(target: &str) -> bool {
    target == ANY
        || target
            .strip_prefix("model:")
            .or_else(|| target.strip_prefix("service:"))
            .is_some_and(|name| !name.trim().is_empty())
}
