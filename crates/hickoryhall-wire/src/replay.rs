//! Protection against replayed frames.

use std::collections::HashMap;

use crate::{HostHash, Peer};

/// Number of sequence numbers, the highest one included, that each sender's bitmap covers.
const WINDOW_LEN: u64 = 64;

/// Sequence numbers received from one incarnation of a sender.
#[derive(Clone, Copy, Debug)]
struct SenderWindow {
    incarnation: u64,
    highest: u64,
    /// Bit `n` is set when the sequence number `highest - n` was received.
    received_bits: u64,
}

/// Sliding window of the sequence numbers received from each sender.
#[derive(Clone, Debug, Default)]
pub struct ReplayWindow {
    senders: HashMap<HostHash, SenderWindow>,
}

impl ReplayWindow {
    /// Records a frame and returns whether it is new.
    ///
    /// A frame is not new when its sender's incarnation is older than the latest one seen, when its
    /// sequence number was received before, or when the number is 64 or more below the highest one
    /// received, where repeats can no longer be detected.
    pub fn accept(&mut self, sender: Peer, sequence: u64) -> bool {
        let new_window = SenderWindow {
            incarnation: sender.incarnation,
            highest: sequence,
            received_bits: 1,
        };
        let Some(window) = self.senders.get_mut(&sender.host) else {
            self.senders.insert(sender.host, new_window);
            return true;
        };
        if sender.incarnation > window.incarnation {
            *window = new_window;
            return true;
        }
        sender.incarnation == window.incarnation && window.accept(sequence)
    }
}

impl SenderWindow {
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let advance = sequence - self.highest;
            self.received_bits = if advance >= WINDOW_LEN {
                1
            } else {
                (self.received_bits << advance) | 1
            };
            self.highest = sequence;
            return true;
        }
        let distance = self.highest - sequence;
        let is_new = distance < WINDOW_LEN && self.received_bits & (1 << distance) == 0;
        if is_new {
            self.received_bits |= 1 << distance;
        }
        is_new
    }
}
