//! Detection of workspaces that use far more than their share.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hickoryhall_types::WorkspaceId;

/// Time after which recorded usage counts half.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Ratio of a workspace's usage per unit of weight to that of the other workspaces together, above
/// which the workspace is over its share.
const OVER_FACTOR: f64 = 12.0;
/// Decayed cost below which a workspace is dropped.
const LEAST_COST: f64 = 1e-3;

#[derive(Clone, Copy, Debug)]
struct Use {
    cost: f64,
    weight: u32,
    at: Instant,
}

impl Use {
    fn cost_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.cost * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}

/// Recent usage of each workspace on this host, with exponential decay.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    uses: BTreeMap<WorkspaceId, Use>,
}

impl Shares {
    /// Adds to the usage of a workspace; `cost` is in any unit that is the same for all workspaces.
    pub fn record(&mut self, now: Instant, workspace: &WorkspaceId, weight: u32, cost: f64) {
        let before = self
            .uses
            .get(workspace)
            .map_or(0.0, |used| used.cost_at(now));
        let used = Use {
            cost: before + cost,
            weight: weight.max(1),
            at: now,
        };
        self.uses.insert(workspace.clone(), used);
    }

    /// Returns whether a workspace uses far more than the others, per unit of weight.
    ///
    /// Returns `false` if no other workspace has recent usage.
    pub fn is_over(&mut self, now: Instant, workspace: &WorkspaceId) -> bool {
        self.uses.retain(|_, used| used.cost_at(now) >= LEAST_COST);
        let Some(own) = self.uses.get(workspace) else {
            return false;
        };
        let others = self.uses.iter().filter(|(other, _)| *other != workspace);
        let (cost, weight) = others.fold((0.0, 0.0), |(cost, weight), (_, used)| {
            (cost + used.cost_at(now), weight + f64::from(used.weight))
        });
        let own_use = own.cost_at(now) / f64::from(own.weight);
        weight > 0.0 && own_use > OVER_FACTOR * cost / weight
    }
}
