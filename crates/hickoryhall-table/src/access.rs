//! Effective settings of a workspace for a target, with empty cells filled in.

use crate::{ANY, Row, Table};

/// Weight where no row that applies sets one.
const DEFAULT_WEIGHT: u32 = 1;
/// Priority where no row that applies sets one.
const DEFAULT_PRIORITY: u32 = 10;
/// Weights version where no row that applies sets one.
const DEFAULT_WEIGHTS_VERSION: u32 = 1;
/// Cost weight, in percent, where no row that applies sets one.
const DEFAULT_COST_PERCENT: u32 = 100;

/// Weights of the parts of the placement cost, in percent; 100 is the default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CostWeights {
    /// Weight of the time that a request waits at the runner.
    pub wait_percent: u32,
    /// Weight of the time to compute the part of the prompt that the runner has not cached.
    pub recompute_percent: u32,
    /// Weight of evicting other cached prompts from the runner.
    pub eviction_percent: u32,
}

impl Default for CostWeights {
    fn default() -> Self {
        Self {
            wait_percent: DEFAULT_COST_PERCENT,
            recompute_percent: DEFAULT_COST_PERCENT,
            eviction_percent: DEFAULT_COST_PERCENT,
        }
    }
}

/// Access of a workspace to a target: its share, limits and options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccessPolicy {
    /// Share of the fleet under load, relative to other workspaces.
    pub weight: u32,
    /// Limit of requests per second over the whole fleet, `None` for no limit.
    pub requests_per_s: Option<u32>,
    /// Limit of prompt and answer tokens per second over the whole fleet, `None` for no limit.
    pub tokens_per_s: Option<u32>,
    /// Limit of requests in flight over the whole fleet, `None` for no limit.
    pub concurrent: Option<u32>,
    /// Priority passed to the engine, which serves lower numbers first.
    pub priority: u32,
    /// Whether a service call may run more than once; if `false`, callers must send an idempotency
    /// key.
    pub repeatable: bool,
    /// Version of the model's weights that serves the requests.
    pub weights_version: u32,
    /// Adapter to apply to the model's weights, `None` for the plain weights.
    pub adapter: Option<String>,
    /// Weights of the parts of the placement cost.
    pub cost: CostWeights,
}

impl Table {
    /// Returns the workspace that an API key belongs to, given the key's blake3 hash in hex of either
    /// case.
    #[must_use]
    pub fn workspace_of_key(&self, key_hash: &str) -> Option<&str> {
        self.rows()
            .find(|row| {
                row.key_hash_list()
                    .any(|hash| hash.eq_ignore_ascii_case(key_hash))
            })
            .map(|row| row.workspace.as_str())
    }

    /// Returns the access policy of a workspace for a target, or `None` if it has no access.
    ///
    /// Access requires a row `(workspace, target)` or `(*, target)`. Each cell is taken from the
    /// most specific row that sets it, as described at [`Row`].
    #[must_use]
    pub fn access_policy(&self, workspace: &str, target: &str) -> Option<AccessPolicy> {
        let exact = self.row(workspace, target);
        let any_workspace = self.row(ANY, target);
        exact.or(any_workspace)?;
        let rows = [
            exact,
            self.row(workspace, ANY),
            any_workspace,
            self.row(ANY, ANY),
        ];
        Some(AccessPolicy {
            weight: first_set(&rows, |row| row.weight).unwrap_or(DEFAULT_WEIGHT),
            requests_per_s: first_set(&rows, |row| row.requests_per_s),
            tokens_per_s: first_set(&rows, |row| row.tokens_per_s),
            concurrent: first_set(&rows, |row| row.concurrent),
            priority: first_set(&rows, |row| row.priority).unwrap_or(DEFAULT_PRIORITY),
            repeatable: first_set(&rows, |row| row.repeatable).unwrap_or(true),
            weights_version: first_set(&rows, |row| row.weights_version)
                .unwrap_or(DEFAULT_WEIGHTS_VERSION),
            adapter: first_set(&rows, |row| row.adapter.clone()),
            cost: CostWeights {
                wait_percent: first_set(&rows, |row| row.wait_cost_percent)
                    .unwrap_or(DEFAULT_COST_PERCENT),
                recompute_percent: first_set(&rows, |row| row.recompute_cost_percent)
                    .unwrap_or(DEFAULT_COST_PERCENT),
                eviction_percent: first_set(&rows, |row| row.eviction_cost_percent)
                    .unwrap_or(DEFAULT_COST_PERCENT),
            },
        })
    }

    /// Returns the desired version of a model: the weights version that its runners shall have.
    ///
    /// Only the rows for all workspaces are considered.
    #[must_use]
    pub fn desired_weights_version(&self, target: &str) -> u32 {
        let rows = [self.row(ANY, target), self.row(ANY, ANY)];
        first_set(&rows, |row| row.weights_version).unwrap_or(DEFAULT_WEIGHTS_VERSION)
    }
}

/// Returns the first non-empty cell, with `rows` ordered from most to least specific.
fn first_set<T>(rows: &[Option<&Row>], cell: impl Fn(&Row) -> Option<T>) -> Option<T> {
    rows.iter().flatten().find_map(|row| cell(row))
}
