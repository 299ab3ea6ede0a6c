//! The policies that are compared.

use hickoryhall_routing::BaselineKind;

/// How hosts choose runners.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// A simple policy.
    Baseline(BaselineKind),
    /// Placement by each host's own ledger.
    Own,
    /// Placement by the ledgers of the runners' trackers, for this part of the requests.
    Tracked {
        /// Part of requests whose quotes come from trackers, 0 to 1.
        part: f64,
    },
}

impl Policy {
    /// Policies in the order of the report.
    pub const ALL: [Self; 7] = [
        Self::Baseline(BaselineKind::RoundRobin),
        Self::Baseline(BaselineKind::LeastLoad),
        Self::Baseline(BaselineKind::Rendezvous),
        Self::Baseline(BaselineKind::Exact),
        Self::Own,
        Self::Tracked { part: 0.25 },
        Self::Tracked { part: 1.0 },
    ];

    /// Returns the name in reports.
    #[must_use]
    pub fn name(self) -> String {
        match self {
            Self::Baseline(BaselineKind::RoundRobin) => "round robin".to_owned(),
            Self::Baseline(BaselineKind::LeastLoad) => "least load".to_owned(),
            Self::Baseline(BaselineKind::Rendezvous) => "rendezvous".to_owned(),
            Self::Baseline(BaselineKind::Exact) => "exact greedy".to_owned(),
            Self::Own => "hickoryhall, own ledgers".to_owned(),
            Self::Tracked { part } => format!("hickoryhall, tracked {:.0} %", part * 100.0),
        }
    }
}
