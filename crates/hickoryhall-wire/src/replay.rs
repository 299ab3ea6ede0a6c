//! Protection against replayed frames.

use std::collections::HashMap;

use crate::{HostHash, Peer};

/// Number of sequence numbers, the highest one included, that each sender's bitmap covers.
const WINDOW: u64 = 64;

/// Sequence numbers received from one incarnation of a sender.
#[derive(Clone, Copy, Debug)]
struct Seen {
    incarnation: u64,
    highest: u64,
    /// Bit `n` is set when the sequence number `highest - n` was received.
    bits: u64,
}

/// Sliding window of the sequence numbers received from each sender.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    senders: HashMap<HostHash, Seen>,
}

impl ReplayWindow {
    /// Records a frame and returns whether it is new.
    ///
    /// A frame is not new when its sender's incarnation is older than the latest one seen, when its
    /// sequence number was received before, or when the number is 64 or more below the highest one
    /// received, where repeats can no longer be detected.
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
