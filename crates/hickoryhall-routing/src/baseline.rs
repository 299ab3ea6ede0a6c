//! Simple policies to measure placement against.

use hickoryhall_types::{TokenCount, rank, rendezvous_score};

use crate::PrefixChain;

/// What a baseline may look at, for one runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunnerTruth {
    /// Stable hash of the runner's name.
    pub name_hash: u64,
    /// Prompt tokens that wait there, as old as the policy's view is.
    pub waiting_tokens: u64,
    /// Tokens of the prompt that it holds; exact policies only.
    pub cached_tokens: TokenCount,
}

/// Kind of baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineKind {
    /// Each runner in turn.
    RoundRobin,
    /// The runner with the least waiting tokens.
    LeastLoad,
    /// The owner of the prompt without its question.
    Rendezvous,
    /// The least of wait and recomputation, with exact knowledge of both.
    Exact,
}

/// A baseline policy of one host.
#[derive(Clone, Copy, Debug)]
pub struct Baseline {
    kind: BaselineKind,
    next: usize,
}

impl Baseline {
    /// Creates a policy; `first` is where round robin starts.
    #[must_use]
    pub fn new(kind: BaselineKind, first: usize) -> Self {
        Self { kind, next: first }
    }

    /// Returns the index of the runner to use.
    ///
    /// # Panics
    ///
    /// Panics where `runners` is empty.
    pub fn pick(&mut self, chain: &PrefixChain, runners: &[RunnerTruth]) -> usize {
        assert!(!runners.is_empty(), "a baseline needs a runner");
        self.next = (self.next + 1) % runners.len();
        let next = self.next;
        let turn = |index: usize| (index + runners.len() - next) % runners.len();
        let mut order = (0..runners.len()).collect::<Vec<_>>();
        match self.kind {
            BaselineKind::RoundRobin => return next,
            BaselineKind::LeastLoad => {
                order.sort_by_key(|&i| (runners[i].waiting_tokens, turn(i)));
            }
            BaselineKind::Rendezvous => rank(chain.shared(), &mut order, |&i| runners[i].name_hash),
            BaselineKind::Exact => order.sort_by_key(|&i| {
                let missing = u64::from(chain.tokens() - runners[i].cached_tokens);
                let owner =
                    std::cmp::Reverse(rendezvous_score(chain.shared(), runners[i].name_hash));
                (runners[i].waiting_tokens + missing, owner)
            }),
        }
        order[0]
    }
}
