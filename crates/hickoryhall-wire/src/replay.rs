//! Protection against frames that are sent a second time.

use std::collections::HashMap;

use crate::{HostHash, Peer};

/// Sequence numbers below the highest one that are still told apart.
const WINDOW: u64 = 64;

#[derive(Clone, Copy, Debug)]
struct Seen {
    incarnation: u64,
    highest: u64,
    bits: u64,
}

/// Sequence numbers seen from each sender.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    senders: HashMap<HostHash, Seen>,
}

impl ReplayWindow {
    /// Tells whether a frame is new, and remembers it.
    ///
    /// Frames of an older incarnation, frames seen before and frames far behind the newest one are
    /// not new.
    pub fn accept(&mut self, sender: Peer, sequence: u64) -> bool {
        let first = Seen {
            incarnation: sender.incarnation,
            highest: sequence,
            bits: 1,
        };
        let Some(seen) = self.senders.get_mut(&sender.host) else {
            self.senders.insert(sender.host, first);
            return true;
        };
        if sender.incarnation > seen.incarnation {
            *seen = first;
            return true;
        }
        sender.incarnation == seen.incarnation && seen.accept(sequence)
    }
}

impl Seen {
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let step = sequence - self.highest;
            self.bits = if step >= WINDOW {
                1
            } else {
                (self.bits << step) | 1
            };
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        let is_new = behind < WINDOW && self.bits & (1 << behind) == 0;
        if is_new {
            self.bits |= 1 << behind;
        }
        is_new
    }
}
