//! Requests that were in flight when a runner died.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Hash of a request's workspace, target and body.
pub type Fingerprint = u64;

/// Suspects remembered at most; the oldest one makes room.
const SUSPECT_LIMIT: usize = 4_096;
/// Time after which a suspect is forgotten.
const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Deaths that condemn a request.
const DEATHS_TO_REFUSE: u32 = 2;

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Run it anywhere.
    Clear,
    /// Run it where no other suspect runs.
    Isolate,
    /// Refuse it for this long.
    Refuse(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    deaths: u32,
    at: Instant,
}

/// Bounded record of suspects.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    entries: HashMap<Fingerprint, Suspect>,
    order: VecDeque<(Instant, Fingerprint)>,
}

impl Suspects {
    /// Records that a runner died while it ran a request; returns the deaths so far.
    pub fn record_death(&mut self, now: Instant, fingerprint: Fingerprint) -> u32 {
        self.expire(now);
        let deaths = self
            .entries
            .get(&fingerprint)
            .map_or(0, |suspect| suspect.deaths)
            + 1;
        self.put(now, fingerprint, deaths);
        deaths
    }

    /// Takes a count from another host; the higher one holds. Tells whether it was news.
    pub fn merge(&mut self, now: Instant, fingerprint: Fingerprint, deaths: u32) -> bool {
        self.expire(now);
        let known = self
            .entries
            .get(&fingerprint)
            .map_or(0, |suspect| suspect.deaths);
        if deaths <= known {
            return false;
        }
        self.put(now, fingerprint, deaths);
        true
    }

    /// Clears a request that gave a whole answer.
    pub fn acquit(&mut self, fingerprint: Fingerprint) {
        let refused = self
            .entries
            .get(&fingerprint)
            .is_some_and(|suspect| suspect.deaths >= DEATHS_TO_REFUSE);
        if !refused {
            self.entries.remove(&fingerprint);
        }
    }

    /// Decides on a request.
    pub fn verdict(&mut self, now: Instant, fingerprint: Fingerprint) -> Verdict {
        self.expire(now);
        match self.entries.get(&fingerprint) {
            None => Verdict::Clear,
            Some(suspect) if suspect.deaths < DEATHS_TO_REFUSE => Verdict::Isolate,
            Some(suspect) => {
                Verdict::Refuse(SUSPECT_TTL.saturating_sub(now.duration_since(suspect.at)))
            }
        }
    }

    /// Returns the number of suspects held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no suspect is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn put(&mut self, now: Instant, fingerprint: Fingerprint, deaths: u32) {
        self.entries
            .insert(fingerprint, Suspect { deaths, at: now });
        self.order.push_back((now, fingerprint));
        while self.order.len() > SUSPECT_LIMIT {
            self.drop_oldest();
        }
    }

    fn expire(&mut self, now: Instant) {
        while self
            .order
            .front()
            .is_some_and(|(at, _)| now.duration_since(*at) >= SUSPECT_TTL)
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((at, fingerprint)) = self.order.pop_front() else {
            return;
        };
        // A later death has its own place in the order; only the latest one ends the entry.
        if self
            .entries
            .get(&fingerprint)
            .is_some_and(|suspect| suspect.at == at)
        {
            self.entries.remove(&fingerprint);
        }
    }
}
