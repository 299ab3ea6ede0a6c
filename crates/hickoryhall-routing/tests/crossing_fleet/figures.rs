//! Sums up what became of requests.

use std::collections::HashMap;

use super::Outcome;

/// Figures of some requests.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    pub requests: usize,
    pub on_time: f64,
    pub crossed: usize,
    pub crossed_fraction: f64,
    pub megabytes: f64,
}

/// Returns the figures of the requests that `is_counted` names.
pub fn figures(outcomes: &[Outcome], is_counted: impl Fn(&Outcome) -> bool) -> Figures {
    let counted = outcomes.iter().filter(|outcome| is_counted(outcome));
    let counted = counted.collect::<Vec<_>>();
    let requests = counted.len();
    let on_time = counted.iter().filter(|outcome| outcome.is_on_time).count();
    let crossed = counted.iter().filter(|outcome| outcome.is_crossing());
    let crossed = crossed.count();
    let bytes = counted.iter().map(|outcome| outcome.bytes).sum::<f64>();
    Figures {
        requests,
        on_time: on_time as f64 / requests.max(1) as f64,
        crossed,
        crossed_fraction: crossed as f64 / requests.max(1) as f64,
        megabytes: bytes / 1e6,
    }
}

impl Outcome {
    pub fn is_crossing(&self) -> bool {
        self.to.is_some_and(|to| to != self.from)
    }
}

/// Returns how many requests of a domain went to each other one.
pub fn destinations(outcomes: &[Outcome], from: usize) -> HashMap<usize, usize> {
    let mut counts = HashMap::new();
    for outcome in outcomes.iter().filter(|outcome| outcome.from == from) {
        if let Some(to) = outcome.to.filter(|to| *to != from) {
            *counts.entry(to).or_default() += 1;
        }
    }
    counts
}
