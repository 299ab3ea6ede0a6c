//! Robust fit of a service's time to the first event against the work of a prompt.

use super::sums::Sums;

/// Strength of the pull towards the constants, relative to the samples. It decides where all prompts
/// bring the same work, from which the two values cannot be told apart.
const RIDGE: f64 = 0.0003;
/// Bounds of the learned values relative to the constants.
const MIN_RATIO: f64 = 1.0 / 16.0;
const MAX_RATIO: f64 = 16.0;

/// Weighted sums of samples of a service: the sufficient statistics of a linear fit of the time to the
/// first event against the prefill time that the constants give.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceSums {
    /// Number of samples, each weighted by its age.
    pub samples: f64,
    /// Sum of weights.
    pub weight: f64,
    /// Sum of the prefill times that the constants give, in milliseconds.
    pub work: f64,
    /// Sum of their squares.
    pub work_squared: f64,
    /// Sum of the times to the first event, in milliseconds.
    pub time: f64,
    /// Sum of the products of both.
    pub work_time: f64,
}

impl Sums for ServiceSums {
    fn scaled(self, factor: f64) -> Self {
        Self {
            samples: self.samples * factor,
            weight: self.weight * factor,
            work: self.work * factor,
            work_squared: self.work_squared * factor,
            time: self.time * factor,
            work_time: self.work_time * factor,
        }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            samples: self.samples + other.samples,
            weight: self.weight + other.weight,
            work: self.work + other.work,
            work_squared: self.work_squared + other.work_squared,
            time: self.time + other.time,
            work_time: self.work_time + other.work_time,
        }
    }

    fn samples(&self) -> f64 {
        self.samples
    }
}

impl ServiceSums {
    pub(super) fn sample(weight: f64, work: f64, time: f64) -> Self {
        Self {
            samples: 1.0,
            weight,
            work: weight * work,
            work_squared: weight * work * work,
            time: weight * time,
            work_time: weight * work * time,
        }
    }

    /// Returns whether the sums can be those of samples; a peer may state anything.
    pub(super) fn is_valid(&self) -> bool {
        let all = [
            self.samples,
            self.weight,
            self.work,
            self.work_squared,
            self.time,
            self.work_time,
        ];
        all.iter().all(|sum| sum.is_finite() && *sum >= 0.0) && self.weight > 0.0
    }

    /// Returns the line that fits the samples best, by weighted least squares.
    pub(super) fn fit(&self, first_event_ms: f64) -> ServiceSpeed {
        let base = first_event_ms;
        let ridge = RIDGE * (base * base * self.weight + self.work_squared) / 2.0;
        let (a, b) = (base * base * self.weight + ridge, base * self.work);
        let d = self.work_squared + ridge;
        let (x, y) = (base * self.time + ridge, self.work_time + ridge);
        let determinant = a * d - b * b;
        if determinant.is_nan() || determinant <= 0.0 {
            return ServiceSpeed::constants(base);
        }
        let first_event = (x * d - b * y) / determinant;
        let work = (a * y - b * x) / determinant;
        ServiceSpeed {
            first_event_ms: base * first_event.clamp(MIN_RATIO, MAX_RATIO),
            work_factor: work.clamp(MIN_RATIO, MAX_RATIO),
        }
    }
}

/// How fast the runners of a service are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceSpeed {
    /// Time to the first event of a fully cached prompt, in milliseconds.
    pub first_event_ms: f64,
    /// Time that prefill takes, relative to the constants.
    pub work_factor: f64,
}

impl ServiceSpeed {
    pub(super) fn constants(first_event_ms: f64) -> Self {
        Self {
            first_event_ms,
            work_factor: 1.0,
        }
    }

    /// Returns the time to the first event of a prompt whose prefill takes `work_ms` by the constants.
    #[must_use]
    pub fn estimate_ms(&self, work_ms: f64) -> f64 {
        self.first_event_ms + self.work_factor * work_ms
    }
}
