//! Requests in flight of each row at this host.

use std::collections::HashMap;

use crate::{FleetShape, LimitKey};

/// Counts of requests in flight.
#[derive(Clone, Debug, Default)]
pub struct Concurrency {
    in_flight: HashMap<LimitKey, u32>,
}

impl Concurrency {
    /// Takes a place under a fleet-wide limit, of which this host has its fixed part.
    pub fn take(&mut self, key: LimitKey, limit: Option<u32>, shape: FleetShape) -> bool {
        let count = self.in_flight.entry(key).or_default();
        if limit.is_some_and(|limit| *count >= shape.host_places(limit)) {
            return false;
        }
        *count += 1;
        true
    }

    /// Gives a place back.
    pub fn release(&mut self, key: LimitKey) {
        if let Some(count) = self.in_flight.get_mut(&key) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(&key);
            }
        }
    }

    /// Returns the requests in flight of a row.
    #[must_use]
    pub fn in_flight(&self, key: LimitKey) -> u32 {
        self.in_flight.get(&key).copied().unwrap_or(0)
    }
}
