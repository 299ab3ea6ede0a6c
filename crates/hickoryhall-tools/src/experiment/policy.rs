//! Placement policies that the simulation compares.

use hickoryhall_routing::BaselineKind;

/// Policy by which hosts choose a runner for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// A simple policy for comparison.
    Baseline(BaselineKind),
    /// The product's placement, with each host's own cache estimates only.
    LocalEstimates,
    /// The product's placement, with quotes from the hosts that track the runners' caches.
    Tracked {
        /// Fraction of optional messages to trackers that are delivered, 0 to 1.
        delivered_fraction: f64,
    },
}

impl Policy {
    /// All policies, in the order of the reports.
    pub const ALL: [Self; 7] = [
        Self::Baseline(BaselineKind::RoundRobin),
        Self::Baseline(BaselineKind::LeastLoad),
        Self::Baseline(BaselineKind::Rendezvous),
        Self::Baseline(BaselineKind::Exact),
        Self::LocalEstimates,
        Self::Tracked {
            delivered_fraction: 0.25,
        },
        Self::Tracked {
            delivered_fraction: 1.0,
        },
    ];

    /// Returns the name of the policy in reports.
    #[must_use]
    pub fn name(self) -> String {
        match self {
            Self::Baseline(BaselineKind::RoundRobin) => "round robin".to_owned(),
            Self::Baseline(BaselineKind::LeastLoad) => "least load".to_owned(),
            Self::Baseline(BaselineKind::Rendezvous) => "rendezvous".to_owned(),
            Self::Baseline(BaselineKind::Exact) => "exact greedy".to_owned(),
            Self::LocalEstimates => "hickoryhall, own ledgers".to_owned(),
            Self::Tracked { delivered_fraction } => {
                format!("hickoryhall, tracked {:.0} %", delivered_fraction * 100.0)
            }
        }
    }
}
