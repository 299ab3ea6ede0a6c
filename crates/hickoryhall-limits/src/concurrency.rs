//! Concurrency limits: counts of this host's requests in flight under each limit.

use std::collections::HashMap;

use crate::{FleetShape, LimitKey};

/// Number of requests in flight on this host, per limit.
#[derive(Clone, Debug, Default)]
pub struct ConcurrencyLimiter {
    in_flight: HashMap<LimitKey, u32>,
}

impl ConcurrencyLimiter {
    /// Counts a request as in flight, unless that would exceed this host's fixed share of the
    /// fleet-wide `limit`; returns whether it was counted.
    pub fn acquire(&mut self, key: LimitKey, limit: Option<u32>, shape: FleetShape) -> bool {
        let count = self.in_flight.entry(key).or_default();
        if limit.is_some_and(|limit| *count >= shape.host_slots(limit)) {
            return false;
        }
        *count += 1;
        true
    }

    /// Removes a request from the count.
    pub fn release(&mut self, key: LimitKey) {
        if let Some(count) = self.in_flight.get_mut(&key) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(&key);
            }
        }
    }

    /// Returns the number of requests in flight under a limit.
    #[must_use]
    pub fn in_flight(&self, key: LimitKey) -> u32 {
        self.in_flight.get(&key).copied().unwrap_or(0)
    }
}
