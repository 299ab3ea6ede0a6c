//! Room at busy servers that is kept for urgent requests.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Urgency of a request, from 0, the most urgent, to 9.
pub type Urgency = u8;

/// Fraction of a server's slots that less urgent requests leave free while urgent ones lack room.
const KEPT_FRACTION: f64 = 0.35;
/// Time for which room is kept after an urgent request found none.
const KEPT_FOR: Duration = Duration::from_secs(2);

/// An urgent request that found no room.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    urgency: Urgency,
    at: Instant,
}

/// Decides how many slots of a server requests of each urgency may take.
///
/// The load that it answers: short urgent requests beside a surge of long ones that may wait. Without
/// kept room the long ones take every slot as it becomes free, and urgent requests, which need a tenth
/// of the work, are refused. While nothing urgent lacks room, all requests may take every slot.
#[derive(Clone, Debug)]
pub struct UrgentRoom<S> {
    shortages: HashMap<S, Shortage>,
}

impl<S> Default for UrgentRoom<S> {
    fn default() -> Self {
        Self {
            shortages: HashMap::new(),
        }
    }
}

impl<S: Clone + Eq + Hash> UrgentRoom<S> {
    /// Records that no server of a service had a free slot for a request.
    pub fn record_full(&mut self, now: Instant, service: &S, urgency: Urgency) {
        let most_urgent = self.shortage(now, service).map(|known| known.urgency);
        if most_urgent.is_none_or(|known| urgency <= known) {
            let shortage = Shortage { urgency, at: now };
            self.shortages.insert(service.clone(), shortage);
        }
    }

    /// Returns how many of a server's slots requests of an urgency may take; at least one.
    #[must_use]
    pub fn slots_for(&self, now: Instant, service: &S, urgency: Urgency, slots: u32) -> u32 {
        match self.shortage(now, service) {
            Some(shortage) if shortage.urgency < urgency => {
                let kept = (f64::from(slots) * KEPT_FRACTION).ceil() as u32;
                slots.saturating_sub(kept).max(1)
            }
            _ => slots,
        }
    }

    fn shortage(&self, now: Instant, service: &S) -> Option<Shortage> {
        let shortage = self.shortages.get(service).copied();
        shortage.filter(|shortage| now.saturating_duration_since(shortage.at) < KEPT_FOR)
    }
}
