//! One row of the table.

use serde::{Deserialize, Serialize};

/// Workspace or target name that stands for all of them.
pub const ANY: &str = "*";

/// Key of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey {
    /// Workspace, or [`ANY`].
    pub workspace: String,
    /// `model:NAME`, `service:NAME`, or [`ANY`].
    pub target: String,
}

impl RowKey {
    /// Creates a key.
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
/// An empty cell takes its value from the less specific row: `(workspace, *)`, then
/// `(*, target)`, then the default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Workspace, or `*`.
    pub workspace: String,
    /// `model:NAME`, `service:NAME`, or `*`.
    pub target: String,
    /// Share of the fleet under load, relative to other workspaces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// Requests per second over the whole fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<u32>,
    /// Prompt and answer tokens per second over the whole fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens_per_s: Option<u32>,
    /// Requests in flight over the whole fleet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u32>,
    /// Priority passed to the engine; a lower number goes first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u32>,
    /// Whether calls may be repeated; `false` needs an idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
    /// Weights version that runners serve.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weights_version: Option<u32>,
    /// Adapter that runners load beside the weights.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Cost of waiting, in percent of the default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wait_cost_percent: Option<u32>,
    /// Cost of recomputing a prompt, in percent of the default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recompute_cost_percent: Option<u32>,
    /// Cost of evicting another prompt, in percent of the default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub eviction_cost_percent: Option<u32>,
    /// Hashes (blake3, hex) of the keys of this workspace, separated by `;`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_hashes: Option<String>,
}

impl Row {
    /// Creates a row with empty cells.
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

    /// Returns the problems of this row as column and message.
    #[must_use]
    pub fn problems(&self) -> Vec<(&'static str, String)> {
        let mut problems = Vec::new();
        if self.workspace.trim().is_empty() {
            problems.push(("workspace", "is empty".to_owned()));
        }
        if !is_target(&self.target) {
            let message = format!(
                "'{}' is not 'model:NAME', 'service:NAME' or '*'",
                self.target
            );
            problems.push(("target", message));
        }
        for (column, value) in self.positive_cells() {
            if value == Some(0) {
                problems.push((column, "must be greater than 0".to_owned()));
            }
        }
        for hash in self.key_hash_list() {
            if hash.len() != 64 || !hash.bytes().all(|b| b.is_ascii_hexdigit()) {
                problems.push(("key_hashes", format!("'{hash}' is not 64 hex digits")));
            }
        }
        problems
    }

    /// Returns the key hashes of this row.
    pub fn key_hash_list(&self) -> impl Iterator<Item = &str> {
        self.key_hashes
            .iter()
            .flat_map(|hashes| hashes.split(';'))
            .map(str::trim)
            .filter(|hash| !hash.is_empty())
    }

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
