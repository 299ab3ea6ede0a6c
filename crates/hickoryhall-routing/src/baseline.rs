//! Baseline policies that placement is compared with in experiments.

use hickoryhall_types::{TokenCount, rank, rendezvous_score};

use crate::PrefixChain;

/// State of one runner as a baseline sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunnerSnapshot {
    /// Stable hash of the runner's name.
    pub name_hash: u64,
    /// Prompt tokens queued at the runner; may be stale, depending on the policy.
    pub waiting_tokens: u64,
    /// Prompt tokens that the runner has cached; used only by [`BaselineKind::Exact`].
    pub cached_tokens: TokenCount,
}

/// Policy of a baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineKind {
    /// Chooses each runner in turn.
    RoundRobin,
    /// Chooses the runner with the fewest waiting tokens.
    LeastLoad,
    /// Chooses the rendezvous owner of the prompt without its last level.
    Rendezvous,
    /// Chooses the runner with the fewest tokens to compute, waiting and uncached ones together,
    /// with exact knowledge of both.
    Exact,
}

/// A baseline policy of one host.
#[derive(Clone, Copy, Debug)]
pub struct Baseline {
    kind: BaselineKind,
    last_index: usize,
}

impl Baseline {
    /// Creates a policy whose round robin starts at the runner after index `start_after`.
    #[must_use]
    pub fn new(kind: BaselineKind, start_after: usize) -> Self {
        Self {
            kind,
            last_index: start_after,
        }
    }

    /// Returns the index of the chosen runner in `runners`.
    ///
    /// Ties go to the next runner in turn under [`BaselineKind::LeastLoad`], and to the higher
    /// rendezvous score under [`BaselineKind::Exact`].
    ///
    /// # Panics
    ///
    /// Panics if `runners` is empty.
    pub fn pick(&mut self, chain: &PrefixChain, runners: &[RunnerSnapshot]) -> usize {
        assert!(!runners.is_empty(), "a baseline needs at least one runner");
        self.last_index = (self.last_index + 1) % runners.len();
        let next = self.last_index;
        let turn = |index: usize| (index + runners.len() - next) % runners.len();
        let mut order = (0..runners.len()).collect::<Vec<_>>();
        match self.kind {
            BaselineKind::RoundRobin => return next,
            BaselineKind::LeastLoad => {
                order.sort_by_key(|&i| (runners[i].waiting_tokens, turn(i)));
            }
            BaselineKind::Rendezvous => {
                rank(chain.shared_key(), &mut order, |&i| runners[i].name_hash);
            }
            BaselineKind::Exact => order.sort_by_key(|&i| {
                let missing = u64::from(chain.tokens() - runners[i].cached_tokens);
                let owner =
                    std::cmp::Reverse(rendezvous_score(chain.shared_key(), runners[i].name_hash));
                (runners[i].waiting_tokens + missing, owner)
            }),
        }
        order[0]
    }
}
