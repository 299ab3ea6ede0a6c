//! Model of the traffic: nested prompts with popular prefixes, arriving at random.

use std::time::Duration;

use hickoryhall_routing::{Level, LevelKey};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Shape of a deployment's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Profile {
    /// Name.
    pub name: &'static str,
    /// Workspaces; the first ones are the largest.
    pub workspaces: u32,
    /// Outer prompts (regulations, notices) of each workspace.
    pub outer: u32,
    /// Tokens of an outer prompt.
    pub outer_tokens: u32,
    /// Inner prompts (dossiers, line sections) of each outer one.
    pub inner: u32,
    /// Tokens of an inner prompt.
    pub inner_tokens: u32,
    /// Tokens of a question.
    pub question_tokens: u32,
    /// Tokens of an answer.
    pub output_tokens: u32,
    /// Exponent of popularity: weight of place n is n to the power of minus this.
    pub zipf: f64,
    /// Time after which other prompts become the popular ones, if they do.
    pub shift_after: Option<Duration>,
    /// Time from which the morning's peak comes in, if it does.
    pub peak_after: Option<Duration>,
    /// Rate of the peak, as a multiple of the ordinary one.
    pub peak_factor: f64,
    /// Part of requests that go to the plain service and may not be repeated.
    pub service_part: f64,
}

impl Profile {
    /// Returns the traffic of a rail replacement planner: short prompts, sharp popularity.
    #[must_use]
    pub fn karoo() -> Self {
        Self {
            name: "karoo",
            workspaces: 8,
            outer: 3,
            outer_tokens: 12_000,
            inner: 20,
            inner_tokens: 4_000,
            question_tokens: 200,
            output_tokens: 80,
            zipf: 1.0,
            shift_after: None,
            peak_after: None,
            peak_factor: 3.0,
            service_part: 0.1,
        }
    }

    /// Returns the traffic of an assay office: long prompts, many dossiers.
    #[must_use]
    pub fn valenza() -> Self {
        Self {
            name: "valenza",
            outer: 2,
            outer_tokens: 20_000,
            inner: 60,
            inner_tokens: 8_000,
            question_tokens: 300,
            output_tokens: 120,
            zipf: 0.8,
            ..Self::karoo()
        }
    }

    /// Returns a profile by name.
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        [Self::karoo(), Self::valenza()]
            .into_iter()
            .find(|profile| profile.name == name)
    }

    /// Returns the tokens of one prompt.
    #[must_use]
    pub fn prompt_tokens(&self) -> u32 {
        self.outer_tokens + self.inner_tokens + self.question_tokens
    }

    /// Returns the tokens of all prompts without their questions.
    #[must_use]
    pub fn distinct_tokens(&self) -> u64 {
        let outer = u64::from(self.outer_tokens) + u64::from(self.inner * self.inner_tokens);
        u64::from(self.workspaces * self.outer) * outer
    }
}

/// One request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start.
    pub at: Duration,
    /// Workspace.
    pub workspace: u32,
    /// Outer prompt, inner prompt and question.
    pub levels: Vec<Level>,
    /// Tokens of the answer.
    pub output_tokens: u32,
    /// Whether it goes to the plain service.
    pub is_service: bool,
}

/// Endless open-loop traffic from a seed.
#[derive(Clone, Debug)]
pub struct Workload {
    profile: Profile,
    requests_per_s: f64,
    rng: ChaCha8Rng,
    at: Duration,
    count: u64,
}

impl Workload {
    /// Creates traffic at a rate.
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

    /// Returns the rate now, in requests a second.
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

    fn popular(&mut self, count: u32) -> u32 {
        let weight = |place: u32| f64::from(place + 1).powf(-self.profile.zipf);
        let total = (0..count).map(weight).sum::<f64>();
        let mut left = self.rng.random::<f64>() * total;
        (0..count)
            .find(|&place| {
                left -= weight(place);
                left <= 0.0
            })
            .unwrap_or(count - 1)
    }

    /// Moves popularity to other prompts each time the shift is due.
    fn shifted(&self, place: u32, count: u32) -> u32 {
        let Some(after) = self.profile.shift_after else {
            return place;
        };
        let shifts = (self.at.as_secs_f64() / after.as_secs_f64()) as u32;
        (place + shifts * (count / 2 + 1)) % count
    }
}

impl Iterator for Workload {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.rate();
        self.at += Duration::from_secs_f64(gap);
        self.count += 1;
        let workspace = self.popular(self.profile.workspaces);
        let outer = self.popular(self.profile.outer);
        let outer = self.shifted(outer, self.profile.outer);
        let inner = self.popular(self.profile.inner);
        let inner = self.shifted(inner, self.profile.inner);
        let is_service = self.rng.random::<f64>() < self.profile.service_part;
        let outer_key = key(&[1, workspace.into(), outer.into()]);
        let inner_key = key(&[2, outer_key, inner.into()]);
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
                key: key(&[3, inner_key, self.count, self.rng.next_u64()]),
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

fn key(parts: &[u64]) -> LevelKey {
    parts.iter().fold(0x51_7c_c1_b7_27_22_0a_95, |key, &part| {
        hickoryhall_types::rendezvous_score(key, part)
    })
}
