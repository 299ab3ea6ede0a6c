//! Detection of workspaces that use far more than their share.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hickoryhall_types::WorkspaceId;

/// Time after which recorded usage counts half.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Ratio of a workspace's usage per unit of weight to that of the other workspaces together, above
/// which the workspace is over its share.
const OVER_SHARE_FACTOR: f64 = 12.0;
/// Decayed cost below which a workspace is dropped.
const MIN_COST: f64 = 1e-3;

#[derive(Clone, Copy, Debug)]
struct Usage {
    cost: f64,
    weight: u32,
    recorded_at: Instant,
}

impl Usage {
    fn cost_at(&self, now: Instant) -> f64 {
        let age = now
            .saturating_duration_since(self.recorded_at)
            .as_secs_f64();
        self.cost * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}

/// Recent usage of each workspace on this host, with exponential decay.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceUsage {
    usages: BTreeMap<WorkspaceId, Usage>,
}

impl WorkspaceUsage {
    /// Adds to the usage of a workspace; `cost` is in any unit that is the same for all workspaces.
    pub fn record(&mut self, now: Instant, workspace: &WorkspaceId, weight: u32, cost: f64) {
        let before = self
            .usages
            .get(workspace)
            .map_or(0.0, |usage| usage.cost_at(now));
        let usage = Usage {
            cost: before + cost,
            weight: weight.max(1),
            recorded_at: now,
        };
        self.usages.insert(workspace.clone(), usage);
    }

    /// Returns whether a workspace uses far more than the others, per unit of weight.
    ///
    /// Returns `false` if no other workspace has recent usage.
    pub fn is_over_share(&mut self, now: Instant, workspace: &WorkspaceId) -> bool {
        self.usages
            .retain(|_, usage| usage.cost_at(now) >= MIN_COST);
        let Some(own) = self.usages.get(workspace) else {
            return false;
        };
        let others = self.usages.iter().filter(|(other, _)| *other != workspace);
        let (cost, weight) = others.fold((0.0, 0.0), |(cost, weight), (_, usage)| {
            (cost + usage.cost_at(now), weight + f64::from(usage.weight))
        });
        let own_cost_per_weight = own.cost_at(now) / f64::from(own.weight);
        weight > 0.0 && own_cost_per_weight > OVER_SHARE_FACTOR * cost / weight
    }
}
