//! Factor of one runner's times against its service.

use super::sums::Sums;

/// Number of samples at which a runner's factor is half that of the samples, as a logarithm.
const PRIOR_SAMPLES: f64 = 2.0;
/// Fractions of a sample in which statements count.
const STATED_PARTS: f64 = 64.0;
/// Bound of a runner's factor, and of a sample's.
pub(super) const MAX_FACTOR: f64 = 4.0;

/// What a host or a group states about one process of a runner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SpeedStatement {
    /// Factor of its samples against the service, in thousandths.
    pub factor_permille: u32,
    /// Number of its samples, each weighted by its age, in 64ths.
    pub samples_64: u32,
    /// Weight of its samples in the mean, in 64ths.
    pub weight_64: u32,
}

/// Sums of the samples of one process of a runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct RunnerSums {
    pub samples: f64,
    pub weight: f64,
    /// Weighted sum of the logarithms of the samples' factors.
    pub log_factor: f64,
}

impl Sums for RunnerSums {
    fn scaled(self, factor: f64) -> Self {
        Self {
            samples: self.samples * factor,
            weight: self.weight * factor,
            log_factor: self.log_factor * factor,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            samples: self.samples + other.samples,
            weight: self.weight + other.weight,
            log_factor: self.log_factor + other.log_factor,
        }
    }

    fn samples(&self) -> f64 {
        self.samples
    }
}

impl RunnerSums {
    pub fn sample(weight: f64, log_factor: f64) -> Self {
        Self {
            samples: 1.0,
            weight,
            log_factor: weight * log_factor,
        }
    }

    fn mean(&self) -> f64 {
        if self.weight > 0.0 {
            self.log_factor / self.weight
        } else {
            0.0
        }
    }

    /// Returns the runner's factor: the mean of its samples, nearer to 1 the fewer they are.
    ///
    /// The number of samples decides, not their weight; otherwise slow runners, most of whose
    /// samples have a low weight at first, would be recognized much later than fast ones.
    pub fn factor(&self) -> f64 {
        let share = self.samples / (self.samples + PRIOR_SAMPLES);
        let factor = (self.mean() * share).exp();
        factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
    }

    /// Returns the statement for peers; `None` if too little is left of the samples.
    pub fn to_statement(self) -> Option<SpeedStatement> {
        let parts = |value: f64| (value * STATED_PARTS).round() as u32;
        let statement = SpeedStatement {
            factor_permille: (self.mean().exp() * 1_000.0).round() as u32,
            samples_64: parts(self.samples),
            weight_64: parts(self.weight),
        };
        (statement.samples_64 > 0 && statement.weight_64 > 0).then_some(statement)
    }

    pub fn from_statement(statement: &SpeedStatement) -> Option<Self> {
        if statement.samples_64 == 0 || statement.factor_permille == 0 {
            return None;
        }
        let weight = f64::from(statement.weight_64) / STATED_PARTS;
        let factor = f64::from(statement.factor_permille) / 1_000.0;
        let factor = factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        Some(Self {
            samples: f64::from(statement.samples_64) / STATED_PARTS,
            weight,
            log_factor: weight * factor.ln(),
        })
    }
}
