//! Streams that a host began, and which of them other hosts and the store have to know.
//!
//! While a service has one software version, it alone tells where its streams go on, but hosts that are
//! lost cannot tell of their streams once another version joins. So they are told and saved in the
//! background, many in one message. Once the service may have several versions, all of its streams are
//! shared at once. Streams of either kind form a sequence, in which each recipient has a position up to
//! which it has got them.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::Hash;
use std::time::{Duration, Instant};

use super::{MAX_STREAMS, ServiceHash, StreamOrigin};

/// Position in a sequence of streams.
pub type SharePosition = u64;

/// Streams in the order in which they came, oldest first; the oldest are forgotten beyond a maximum.
#[derive(Debug, Default)]
pub struct StreamLog {
    streams: VecDeque<TimedStream>,
    /// Position of the first of them.
    first: SharePosition,
    /// Streams that were forgotten before they could no longer be taken up.
    forgotten: u64,
}

#[derive(Clone, Copy, Debug)]
struct TimedStream {
    origin: StreamOrigin,
    begun_at: Instant,
}

impl StreamLog {
    /// Appends a stream that begins or that a peer tells of.
    pub fn push(&mut self, now: Instant, origin: StreamOrigin) {
        self.append(TimedStream {
            origin,
            begun_at: now,
        });
    }

    fn append(&mut self, stream: TimedStream) {
        self.streams.push_back(stream);
        if self.streams.len() > MAX_STREAMS {
            self.streams.pop_front();
            self.first += 1;
            self.forgotten += 1;
        }
    }

    /// Forgets streams that can no longer be taken up.
    pub fn expire(&mut self, now: Instant, lifetime: Duration) {
        while self.streams.front().is_some_and(is_old(now, lifetime)) {
            self.streams.pop_front();
            self.first += 1;
        }
    }

    /// Returns the number of streams that were forgotten since the last call though they may still be
    /// taken up.
    pub fn take_forgotten(&mut self) -> u64 {
        std::mem::take(&mut self.forgotten)
    }

    /// Returns the position of the oldest stream that is remembered.
    #[must_use]
    pub fn first(&self) -> SharePosition {
        self.first
    }

    /// Returns the position behind the last stream.
    #[must_use]
    pub fn end(&self) -> SharePosition {
        self.first + self.streams.len() as SharePosition
    }

    /// Returns streams from a position on, at most `max`, and the position behind them.
    #[must_use]
    pub fn streams_from(
        &self,
        position: SharePosition,
        max: usize,
    ) -> (Vec<StreamOrigin>, SharePosition) {
        let begin = position.max(self.first);
        let skipped = usize::try_from(begin - self.first).unwrap_or(usize::MAX);
        let streams = self.streams.iter().skip(skipped).take(max);
        let streams = streams.map(|stream| stream.origin).collect::<Vec<_>>();
        let end = begin + streams.len() as SharePosition;
        (streams, end)
    }
}

fn is_old(now: Instant, lifetime: Duration) -> impl Fn(&TimedStream) -> bool {
    move |stream| now.saturating_duration_since(stream.begun_at) > lifetime
}

/// Streams that a host began and that may still be taken up.
#[derive(Debug, Default)]
pub struct OwnStreams {
    /// Streams that are not shared at once, oldest first.
    unshared: VecDeque<TimedStream>,
    /// The same, and those of them that were shared later.
    background: StreamLog,
    /// Streams that others have to know at once.
    shared: StreamLog,
}

impl OwnStreams {
    /// Records a stream that begins, and whether others have to know it at once.
    pub fn begin(&mut self, now: Instant, origin: StreamOrigin, is_shared: bool) {
        if is_shared {
            self.shared.push(now, origin);
            return;
        }
        self.background.push(now, origin);
        self.unshared.push_back(TimedStream {
            origin,
            begun_at: now,
        });
        if self.unshared.len() > MAX_STREAMS {
            self.unshared.pop_front();
        }
    }

    /// Returns the services with streams that are not shared.
    pub fn unshared_services(&self) -> BTreeSet<ServiceHash> {
        let streams = self.unshared.iter();
        streams.map(|stream| stream.origin.service).collect()
    }

    /// Shares all streams of a service; returns their number.
    pub fn share(&mut self, service: ServiceHash) -> usize {
        let before = self.unshared.len();
        let shared = &mut self.shared;
        self.unshared.retain(|stream| {
            let is_kept = stream.origin.service != service;
            if !is_kept {
                shared.append(*stream);
            }
            is_kept
        });
        before - self.unshared.len()
    }

    /// Forgets streams that can no longer be taken up.
    pub fn expire(&mut self, now: Instant, lifetime: Duration) {
        while self.unshared.front().is_some_and(is_old(now, lifetime)) {
            self.unshared.pop_front();
        }
        self.background.expire(now, lifetime);
        self.shared.expire(now, lifetime);
    }

    /// Returns the streams that are shared at once.
    #[must_use]
    pub fn shared(&self) -> &StreamLog {
        &self.shared
    }

    /// Returns the streams that are shared in the background.
    #[must_use]
    pub fn background(&self) -> &StreamLog {
        &self.background
    }

    /// Returns the number of shared streams that were forgotten since the last call though they may still
    /// be taken up.
    pub fn take_forgotten(&mut self) -> u64 {
        self.shared.take_forgotten()
    }
}

/// Which streams of a sequence the peers that keep them have been told.
#[derive(Debug)]
pub struct KeeperPositions<K> {
    told: HashMap<K, SharePosition>,
}

impl<K> Default for KeeperPositions<K> {
    fn default() -> Self {
        Self {
            told: HashMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash + Ord> KeeperPositions<K> {
    /// Replaces the keepers. One that is new, or was none for a while, is told of all streams.
    pub fn set_keepers(&mut self, keepers: &[K], streams: &StreamLog) {
        self.told.retain(|keeper, _| keepers.contains(keeper));
        for &keeper in keepers {
            self.told.entry(keeper).or_insert(streams.first());
        }
    }

    /// Returns the next message, at most `max` streams, and the keepers that it goes to; `None` if all
    /// of them have been told of all streams.
    pub fn next_message(
        &mut self,
        streams: &StreamLog,
        max: usize,
    ) -> Option<(Vec<K>, Vec<StreamOrigin>)> {
        let mut behind = BTreeMap::<SharePosition, Vec<K>>::new();
        for (&keeper, &position) in &self.told {
            if position < streams.end() {
                let position = position.max(streams.first());
                behind.entry(position).or_default().push(keeper);
            }
        }
        let (position, mut keepers) = behind.pop_first()?;
        keepers.sort_unstable();
        let (message, end) = streams.streams_from(position, max);
        for keeper in &keepers {
            self.told.insert(*keeper, end);
        }
        Some((keepers, message))
    }
}
