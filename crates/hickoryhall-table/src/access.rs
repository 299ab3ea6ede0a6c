//! What the table says for one workspace and target, empty cells filled in.

use crate::{ANY, Row, Table};

/// Weight of a workspace whose row has none.
const DEFAULT_WEIGHT: u32 = 1;
/// Priority of a workspace whose row has none.
const DEFAULT_PRIORITY: u32 = 10;
/// Weights version of a model whose row has none.
const DEFAULT_WEIGHTS_VERSION: u32 = 1;
/// Cost percentage where no row has one.
const DEFAULT_COST_PERCENT: u32 = 100;

/// Weights of the parts of the placement cost, in percent of the default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CostWeights {
    /// Cost of waiting.
    pub wait_percent: u32,
    /// Cost of recomputing a prompt.
    pub recompute_percent: u32,
    /// Cost of evicting another prompt.
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

/// What a workspace may do with a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Share under load.
    pub weight: u32,
    /// Requests per second over the fleet, if limited.
    pub requests_per_s: Option<u32>,
    /// Tokens per second over the fleet, if limited.
    pub tokens_per_s: Option<u32>,
    /// Requests in flight over the fleet, if limited.
    pub concurrent: Option<u32>,
    /// Priority passed to the engine.
    pub priority: u32,
    /// Whether calls may be repeated.
    pub repeatable: bool,
    /// Weights version to serve from.
    pub weights_version: u32,
    /// Adapter, if any.
    pub adapter: Option<String>,
    /// Weights of the placement cost.
    pub cost: CostWeights,
}

impl Table {
    /// Returns the workspace that a key hash (blake3, hex) belongs to.
    #[must_use]
    pub fn workspace_of_key(&self, key_hash: &str) -> Option<&str> {
        self.rows()
            .find(|row| {
                row.key_hash_list()
                    .any(|hash| hash.eq_ignore_ascii_case(key_hash))
            })
            .map(|row| row.workspace.as_str())
    }

    /// Returns what a workspace may do with a target, or `None` where no row names both.
    ///
    /// A row `(workspace, target)` or `(*, target)` must exist; cells come from the most specific
    /// row that has them.
    #[must_use]
    pub fn grant(&self, workspace: &str, target: &str) -> Option<Grant> {
        let exact = self.row(workspace, target);
        let everyone = self.row(ANY, target);
        exact.or(everyone)?;
        let rows = [
            exact,
            self.row(workspace, ANY),
            everyone,
            self.row(ANY, ANY),
        ];
        Some(Grant {
            weight: first(&rows, |row| row.weight).unwrap_or(DEFAULT_WEIGHT),
            requests_per_s: first(&rows, |row| row.requests_per_s),
            tokens_per_s: first(&rows, |row| row.tokens_per_s),
            concurrent: first(&rows, |row| row.concurrent),
            priority: first(&rows, |row| row.priority).unwrap_or(DEFAULT_PRIORITY),
            repeatable: first(&rows, |row| row.repeatable).unwrap_or(true),
            weights_version: first(&rows, |row| row.weights_version)
                .unwrap_or(DEFAULT_WEIGHTS_VERSION),
            adapter: first(&rows, |row| row.adapter.clone()),
            cost: CostWeights {
                wait_percent: first(&rows, |row| row.wait_cost_percent)
                    .unwrap_or(DEFAULT_COST_PERCENT),
                recompute_percent: first(&rows, |row| row.recompute_cost_percent)
                    .unwrap_or(DEFAULT_COST_PERCENT),
                eviction_percent: first(&rows, |row| row.eviction_cost_percent)
                    .unwrap_or(DEFAULT_COST_PERCENT),
            },
        })
    }

    /// Returns the weights version that the table wants on the runners of a model.
    #[must_use]
    pub fn wanted_weights(&self, target: &str) -> u32 {
        let rows = [self.row(ANY, target), self.row(ANY, ANY)];
        first(&rows, |row| row.weights_version).unwrap_or(DEFAULT_WEIGHTS_VERSION)
    }
}

fn first<T>(rows: &[Option<&Row>], cell: impl Fn(&Row) -> Option<T>) -> Option<T> {
    rows.iter().flatten().find_map(|row| cell(row))
}
