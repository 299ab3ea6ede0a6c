//! Tells and asks peers about the software versions of streams.

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use metrics::counter;
use tokio::time::{timeout, timeout_at};

use super::Peers;
use crate::core::{Core, StreamMessages, ToldStreams};
use crate::interface::Platform;

/// Time between two messages about streams that this host began, for each host of the fleet: streams
/// that begin meanwhile join, so that the messages of a host at the planned size fit its budget.
const TELL_INTERVAL_PER_HOST: Duration = Duration::from_micros(200);
/// Messages about such streams that are sent at once, and the pause behind them: those of a whole
/// fleet, when a software version joins, must fit into the recipients' buffers.
const MAX_MESSAGES_AT_ONCE: usize = 16;
const MESSAGES_PAUSE: Duration = Duration::from_millis(2);
/// Time between two messages about streams that are told in the background, and the same time for each
/// host of the fleet; it is also checked then whether other peers have to be told.
const BACKGROUND_INTERVAL: Duration = Duration::from_millis(250);
const BACKGROUND_INTERVAL_PER_HOST: Duration = Duration::from_micros(1_800);
/// Time after which peers are asked again, because a message may be lost and a host that has just
/// started does not know its peers.
const ASK_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum number of streams in a message, so that it fits into a datagram.
const MAX_STREAMS_PER_MESSAGE: usize = 120;

impl<P: Platform> Peers<P> {
    /// Tells some peers of the streams that this host began, until the task is dropped.
    pub async fn tell_streams(&self) {
        let mut background_at = Instant::now();
        loop {
            // Ends early if there is something to tell at once.
            let untold = self.core.has_untold_streams();
            let _ = timeout_at(background_at.into(), untold).await;
            self.tell_new_versions().await;
            let keepers = self.known_peers.borrow().stream_keepers(Instant::now());
            self.core.with(|core, _| {
                core.set_stream_keepers(&keepers.peers);
                core.set_stream_saver(keepers.is_saver);
            });
            self.tell_all(Core::next_told_streams).await;
            let hosts = u32::try_from(self.known_peers.borrow().count()).unwrap_or(u32::MAX);
            let now = Instant::now();
            if now >= background_at {
                self.tell_all(Core::next_background_streams).await;
                background_at = now + BACKGROUND_INTERVAL.max(BACKGROUND_INTERVAL_PER_HOST * hosts);
            }
            tokio::time::sleep(TELL_INTERVAL_PER_HOST * hosts).await;
        }
    }

    /// Sends all messages of one kind; `next` returns each with its recipients.
    async fn tell_all(&self, next: fn(&mut Core, usize) -> Option<ToldStreams>) {
        for number in 1.. {
            let message = self
                .core
                .with(|core, _| next(core, MAX_STREAMS_PER_MESSAGE));
            let Some((recipients, told)) = message else {
                break;
            };
            counter!("streams_told_total").increment((told.len() * recipients.len()) as u64);
            let messages = StreamMessages {
                told,
                ..StreamMessages::default()
            };
            self.send_about_streams(&recipients, messages).await;
            if number % MAX_MESSAGES_AT_ONCE == 0 {
                tokio::time::sleep(MESSAGES_PAUSE).await;
            }
        }
    }

    /// Tells the members of the group of versions that appeared in the registry: other members may
    /// read it later, and take one that they know for the only one.
    async fn tell_new_versions(&self) {
        let in_use = self.core.with(|core, _| core.take_new_versions());
        if in_use.is_empty() {
            return;
        }
        let members = self.known_peers.borrow().members(Instant::now());
        let messages = StreamMessages {
            in_use,
            ..StreamMessages::default()
        };
        self.send_about_streams(&members, messages).await;
    }

    /// Asks all peers about the streams that callers take up here, again until they have answered or
    /// the inquiry ends, until the task is dropped.
    pub async fn ask_about_streams(&self) {
        loop {
            if self.core.with(|core, _| core.has_open_inquiries()) {
                // A new question is asked at once, together with those that are asked again.
                let unasked = self.core.has_unasked_questions();
                let _ = timeout(ASK_INTERVAL, unasked).await;
            } else {
                self.core.has_unasked_questions().await;
            }
            let (peers, live) = {
                let known_peers = self.known_peers.borrow();
                (known_peers.all(), known_peers.live(Instant::now()))
            };
            let questions = self
                .core
                .with(|core, now| core.ask_peers(now, !peers.is_empty(), &live));
            for asked in questions.chunks(MAX_STREAMS_PER_MESSAGE / 2) {
                let messages = StreamMessages {
                    asked: asked.to_vec(),
                    ..StreamMessages::default()
                };
                self.send_about_streams(&peers, messages).await;
            }
        }
    }

    /// Applies what a peer says about streams, and answers its questions.
    pub(super) async fn receive_about_streams(&self, from: Ipv4Addr, messages: &StreamMessages) {
        let answers = self
            .core
            .with(|core, now| core.on_stream_messages(now, from, messages));
        if !answers.is_empty() {
            let messages = StreamMessages {
                answers,
                ..StreamMessages::default()
            };
            self.send_about_streams(&[from], messages).await;
        }
    }

    async fn send_about_streams(&self, recipients: &[Ipv4Addr], streams: StreamMessages) {
        let group = self.known_peers.borrow().group(Instant::now());
        let mut digest = self.core.with(|core, _| core.stream_digest(group, streams));
        digest.store_era = self.feeds.store_era();
        self.send_all(recipients, &digest.encode(&[])).await;
    }
}
