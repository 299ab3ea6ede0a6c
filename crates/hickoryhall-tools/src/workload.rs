//! Model of the traffic: nested prompts with shared prefixes of Zipf-distributed popularity, whose
//! requests arrive as a Poisson process.

use std::time::Duration;

use hickoryhall_routing::{Level, LevelKey};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Shape of the traffic of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Name of the profile on the command line and in reports.
    pub name: &'static str,
    /// Number of workspaces; those with a lower number send more requests.
    pub workspaces: u32,
    /// Number of outer prompts (regulations, notices) of each workspace.
    pub outer_prompts: u32,
    /// Length of an outer prompt in tokens.
    pub outer_tokens: u32,
    /// Number of inner prompts (dossiers, line sections) below each outer one.
    pub inner_prompts: u32,
    /// Length of an inner prompt in tokens.
    pub inner_tokens: u32,
    /// Length of a question in tokens; no question occurs twice.
    pub question_tokens: u32,
    /// Length of an answer in tokens.
    pub output_tokens: u32,
    /// Exponent s of the Zipf distribution of popularity: rank n has the weight n^-s.
    pub zipf_exponent: f64,
    /// Period after which popularity moves to other prompts, if it does.
    pub shift_after: Option<Duration>,
    /// Time from which the rate has its peak until the end, if it has one.
    pub peak_after: Option<Duration>,
    /// Rate of the peak, as a multiple of the ordinary rate.
    pub peak_factor: f64,
    /// Fraction of requests that go to the plain service and must not be repeated.
    pub service_fraction: f64,
}

impl Profile {
    /// Returns the traffic of a rail replacement planner: short prompts, few of them popular.
    #[must_use]
    pub fn karoo() -> Self {
        Self {
            name: "karoo",
            workspaces: 8,
            outer_prompts: 3,
            outer_tokens: 12_000,
            inner_prompts: 20,
            inner_tokens: 4_000,
            question_tokens: 200,
            output_tokens: 80,
            zipf_exponent: 1.0,
            shift_after: None,
            peak_after: None,
            peak_factor: 3.0,
            service_fraction: 0.1,
        }
    }

    /// Returns the traffic of an assay office: long prompts, many dossiers.
    #[must_use]
    pub fn valenza() -> Self {
        Self {
            name: "valenza",
            outer_prompts: 2,
            outer_tokens: 20_000,
            inner_prompts: 60,
            inner_tokens: 8_000,
            question_tokens: 300,
            output_tokens: 120,
            zipf_exponent: 0.8,
            ..Self::karoo()
        }
    }

    /// Returns the profile with a name, or `None` if there is none.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        [Self::karoo(), Self::valenza()]
            .into_iter()
            .find(|profile| profile.name == name)
    }

    /// Returns the length of one prompt with its question, in tokens.
    #[must_use]
    pub fn prompt_tokens(&self) -> u32 {
        self.outer_tokens + self.inner_tokens + self.question_tokens
    }

    /// Returns the total length of all distinct prompts without their questions, in tokens.
    #[must_use]
    pub fn distinct_tokens(&self) -> u64 {
        let outer =
            u64::from(self.outer_tokens) + u64::from(self.inner_prompts * self.inner_tokens);
        u64::from(self.workspaces * self.outer_prompts) * outer
    }
}

/// A request of the workload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time of arrival since the start of the workload.
    pub at: Duration,
    /// Number of the workspace that sends the request.
    pub workspace: u32,
    /// Levels of the prompt: outer prompt, inner prompt and question.
    pub levels: Vec<Level>,
    /// Length of the answer in tokens.
    pub output_tokens: u32,
    /// Whether the request goes to the plain service instead of the model.
    pub is_service: bool,
}

/// Endless iterator over the requests of open-loop traffic, determined by a seed.
#[derive(Clone, Debug)]
pub struct Workload {
    profile: Profile,
    requests_per_s: f64,
    rng: ChaCha8Rng,
    at: Duration,
    count: u64,
}

impl Workload {
    /// Creates a workload with an ordinary rate of `requests_per_s`.
    #[must_use]
    pub fn new(profile: Profile, requests_per_s: f64, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self {
            profile,
            requests_per_s,
            rng,
            at: Duration::ZERO,
            count: 0,
        }
    }

    /// Returns the current rate in requests per second.
    fn rate(&self) -> f64 {
        let is_peak = self
            .profile
            .peak_after
            .is_some_and(|after| self.at >= after);
        if is_peak {
            self.requests_per_s * self.profile.peak_factor
        } else {
            self.requests_per_s
        }
    }

    /// Picks a rank below `count` at random; lower ranks are more popular.
    fn random_rank(&mut self, count: u32) -> u32 {
        let weight = |rank: u32| f64::from(rank + 1).powf(-self.profile.zipf_exponent);
        let total = (0..count).map(weight).sum::<f64>();
        let mut remaining = self.rng.random::<f64>() * total;
        (0..count)
            .find(|&rank| {
                remaining -= weight(rank);
                remaining <= 0.0
            })
            .unwrap_or(count - 1)
    }

    /// Returns the prompt that has a rank of popularity, which changes with each shift.
    fn prompt_at_rank(&self, rank: u32, count: u32) -> u32 {
        let Some(after) = self.profile.shift_after else {
            return rank;
        };
        let shifts = (self.at.as_secs_f64() / after.as_secs_f64()) as u32;
        (rank + shifts * (count / 2 + 1)) % count
    }
}

impl Iterator for Workload {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.rate();
        self.at += Duration::from_secs_f64(gap);
        self.count += 1;
        let workspace = self.random_rank(self.profile.workspaces);
        let outer = self.random_rank(self.profile.outer_prompts);
        let outer = self.prompt_at_rank(outer, self.profile.outer_prompts);
        let inner = self.random_rank(self.profile.inner_prompts);
        let inner = self.prompt_at_rank(inner, self.profile.inner_prompts);
        let is_service = self.rng.random::<f64>() < self.profile.service_fraction;
        let outer_key = derive_key(&[1, workspace.into(), outer.into()]);
        let inner_key = derive_key(&[2, outer_key, inner.into()]);
        let levels = vec![
            Level {
                key: outer_key,
                tokens: self.profile.outer_tokens,
            },
            Level {
                key: inner_key,
                tokens: self.profile.inner_tokens,
            },
            Level {
                key: derive_key(&[3, inner_key, self.count, self.rng.next_u64()]),
                tokens: self.profile.question_tokens,
            },
        ];
        let output_tokens = self.profile.output_tokens;
        Some(Arrival {
            at: self.at,
            workspace,
            levels,
            output_tokens,
            is_service,
        })
    }
}

/// Derives the key of a level. The first part is the number of the level, so that keys of different
/// levels differ.
fn derive_key(parts: &[u64]) -> LevelKey {
    parts.iter().fold(0x51_7c_c1_b7_27_22_0a_95, |key, &part| {
        hickoryhall_types::rendezvous_score(key, part)
    })
}
