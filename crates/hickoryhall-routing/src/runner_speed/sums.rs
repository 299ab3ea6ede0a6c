//! Decayed sums of samples, by the hosts that took them.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Whose samples a statement sums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SpeedSource {
    /// One host of this host's group, by the hash of its name.
    Host(u64),
    /// All hosts of another group, by the hash of the group.
    Group(u64),
}

/// Sums that can be added and scaled.
pub(super) trait Sums: Copy + Default {
    /// Returns the sums with all samples weighted by `factor`.
    fn scaled(self, factor: f64) -> Self;
    /// Returns the sums over the samples of both.
    fn plus(self, other: Self) -> Self;
    /// Returns the number of samples, each weighted by its age.
    fn samples(&self) -> f64;
}

#[derive(Clone, Copy, Debug)]
struct Decayed<T> {
    sums: T,
    at: Instant,
}

impl<T: Sums> Decayed<T> {
    fn at(&self, now: Instant, memory: Duration) -> T {
        let age = now.saturating_duration_since(self.at);
        let factor = (-age.as_secs_f64() / memory.as_secs_f64()).exp();
        self.sums.scaled(factor)
    }
}

/// Sums of this host's samples and of those that peers state.
///
/// A statement replaces the one before from the same source, so that no sample counts twice. Sums
/// decay by their age at the reader, so that a source does not have to repeat itself.
#[derive(Clone, Debug)]
pub(super) struct SumsBySource<T> {
    memory: Duration,
    own: Option<Decayed<T>>,
    peers: HashMap<SpeedSource, Decayed<T>>,
}

impl<T: Sums> SumsBySource<T> {
    pub fn new(memory: Duration) -> Self {
        Self {
            memory,
            own: None,
            peers: HashMap::new(),
        }
    }

    /// Adds a sample of this host.
    pub fn add(&mut self, now: Instant, sample: T) {
        let sums = self.own(now).plus(sample);
        self.own = Some(Decayed { sums, at: now });
    }

    /// Replaces what a source states.
    pub fn set(&mut self, now: Instant, source: SpeedSource, sums: T) {
        self.peers.insert(source, Decayed { sums, at: now });
    }

    /// Returns the sums of this host's samples.
    pub fn own(&self, now: Instant) -> T {
        let own = self.own.map(|own| own.at(now, self.memory));
        own.unwrap_or_default()
    }

    /// Returns the sums of the samples of this host's group.
    pub fn group(&self, now: Instant) -> T {
        self.sum(now, |source| matches!(source, SpeedSource::Host(_)))
    }

    /// Returns the sums of all samples.
    pub fn total(&self, now: Instant) -> T {
        self.sum(now, |_| true)
    }

    fn sum(&self, now: Instant, is_included: impl Fn(&SpeedSource) -> bool) -> T {
        let included = self.peers.iter();
        let included = included.filter(|(source, _)| is_included(source));
        included.fold(self.own(now), |sum, (_, peer)| {
            sum.plus(peer.at(now, self.memory))
        })
    }

    /// Drops statements that hardly count any more.
    pub fn drop_old(&mut self, now: Instant, min_samples: f64) {
        let memory = self.memory;
        self.peers
            .retain(|_, peer| peer.at(now, memory).samples() >= min_samples);
    }
}
