//! Gossip: periodic rounds of heartbeats and rumors, and rumors that are sent at once.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use hickoryhall_types::Revision;
use hickoryhall_wire::{Body, Gossip, Heartbeat, HostHash, Rumor};
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::{HostInfo, Hosts};

/// Number of receivers per round in the failure domain of this host, if it has that many others.
const DOMAIN_FANOUT: usize = 2;
/// Total number of receivers per round.
const FANOUT: usize = 3;
/// Number of messages with a rumor after which it no longer triggers quick rounds.
const MAX_QUICK_SENDS: u32 = 10;
/// Maximum number of heartbeats in one message, including that of the sender.
const MAX_HEARTBEATS: usize = 12;
/// Maximum number of rumors in one message.
const MAX_RUMORS: usize = 8;
/// Number of messages with a rumor after which this host stops sending it.
const MAX_RUMOR_SENDS: u32 = 16;
/// Maximum number of active rumors; beyond it, the first in the queue is dropped.
const MAX_ACTIVE_RUMORS: usize = 256;
/// Time for which a rumor is remembered, so that a repetition does not count as new.
const SEEN_RUMOR_TTL: Duration = Duration::from_secs(60);

/// A message to send to another host.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Host that receives the message.
    pub to: HostInfo,
    /// Content of the message.
    pub body: Body,
}

/// Information in a received message that this host must act on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GossipUpdate {
    /// Table revision of the sender, if it is higher than that of this host.
    pub newer_revision: Option<Revision>,
    /// Whether the sender's table is older, so that this host must tell it the newer revision.
    pub sender_is_behind: bool,
    /// Rumors that this host has not seen recently.
    pub rumors: Vec<Rumor>,
}

#[derive(Clone, Copy, Debug)]
struct ActiveRumor {
    rumor: Rumor,
    sends: u32,
}

/// Decides which gossip messages this host sends, and to which hosts.
#[derive(Clone, Debug)]
pub struct Gossiper {
    rng: ChaCha8Rng,
    heartbeat_count: u32,
    revision: Revision,
    leaving: bool,
    active_rumors: VecDeque<ActiveRumor>,
    seen_rumors: HashMap<Rumor, Instant>,
}

impl Gossiper {
    /// Creates a gossiper without rumors, at table revision 0.
    #[must_use]
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self {
            rng,
            heartbeat_count: 0,
            revision: 0,
            leaving: false,
            active_rumors: VecDeque::new(),
            seen_rumors: HashMap::new(),
        }
    }

    /// Sets the current table revision of this host, and returns the messages that announce it at
    /// once.
    pub fn adopt_revision(&mut self, hosts: &Hosts, revision: Revision) -> Vec<Outgoing> {
        if revision <= self.revision {
            return Vec::new();
        }
        self.revision = revision;
        let receivers = self.receivers(hosts);
        let body = Body::PushRevision { revision };
        receivers
            .into_iter()
            .map(|to| Outgoing {
                to,
                body: body.clone(),
            })
            .collect()
    }

    /// Starts spreading a rumor, and returns the messages that carry it at once; returns none if
    /// the rumor is already known.
    pub fn spread_rumor(&mut self, now: Instant, hosts: &Hosts, rumor: Rumor) -> Vec<Outgoing> {
        if !self.activate(now, rumor) {
            return Vec::new();
        }
        self.round_messages(now, hosts)
    }

    /// Starts spreading that this host is shutting down, and returns the first messages.
    pub fn announce_leaving(&mut self, now: Instant, hosts: &Hosts) -> Vec<Outgoing> {
        self.leaving = true;
        self.spread_rumor(
            now,
            hosts,
            Rumor::HostLeaving {
                peer: hosts.local_peer(),
            },
        )
    }

    /// Starts a regular round and returns its messages.
    pub fn round(&mut self, now: Instant, hosts: &Hosts) -> Vec<Outgoing> {
        self.heartbeat_count += 1;
        self.seen_rumors
            .retain(|_, at| now.saturating_duration_since(*at) < SEEN_RUMOR_TTL);
        self.round_messages(now, hosts)
    }

    /// Returns whether any rumor is recent enough for quick rounds.
    #[must_use]
    pub fn has_fresh_rumors(&self) -> bool {
        self.active_rumors
            .iter()
            .any(|active| active.sends < MAX_QUICK_SENDS)
    }

    /// Returns the messages of a quick round; quick rounds run a few times per second while there
    /// are recent rumors.
    pub fn quick_round(&mut self, now: Instant, hosts: &Hosts) -> Vec<Outgoing> {
        if self.has_fresh_rumors() {
            self.round_messages(now, hosts)
        } else {
            Vec::new()
        }
    }

    /// Handles a received message. The caller acts on the returned [`GossipUpdate`] and passes its
    /// rumors on with [`spread_rumor`].
    ///
    /// [`spread_rumor`]: Gossiper::spread_rumor
    pub fn receive(
        &mut self,
        now: Instant,
        hosts: &mut Hosts,
        from: HostHash,
        gossip: &Gossip,
    ) -> GossipUpdate {
        for &heartbeat in &gossip.heartbeats {
            hosts.observe(now, heartbeat);
        }
        if gossip.leaving
            && let Some(own) = gossip.heartbeats.iter().find(|h| h.peer.host == from)
        {
            hosts.mark_leaving(own.peer);
        }
        let is_new = |rumor: &&Rumor| !self.seen_rumors.contains_key(rumor);
        GossipUpdate {
            newer_revision: (gossip.revision > self.revision).then_some(gossip.revision),
            sender_is_behind: gossip.revision < self.revision,
            rumors: gossip.rumors.iter().filter(is_new).copied().collect(),
        }
    }

    /// Returns the table revision that this host announces.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    fn activate(&mut self, now: Instant, rumor: Rumor) -> bool {
        if self.seen_rumors.insert(rumor, now).is_some() {
            return false;
        }
        self.active_rumors
            .push_back(ActiveRumor { rumor, sends: 0 });
        if self.active_rumors.len() > MAX_ACTIVE_RUMORS {
            self.active_rumors.pop_front();
        }
        true
    }

    fn round_messages(&mut self, now: Instant, hosts: &Hosts) -> Vec<Outgoing> {
        let receivers = self.receivers(hosts);
        receivers
            .into_iter()
            .map(|to| Outgoing {
                to,
                body: Body::Gossip(self.message(now, hosts)),
            })
            .collect()
    }

    /// Chooses the receivers of a round at random.
    ///
    /// Hosts that seem dead are chosen too, so that the hosts find each other again after a network
    /// partition.
    fn receivers(&mut self, hosts: &Hosts) -> Vec<HostInfo> {
        let domain = &hosts.local_host().domain;
        let local = hosts.others().filter(|info| info.domain == *domain);
        let remote = hosts.others().filter(|info| info.domain != *domain);
        let mut receivers = local.cloned().sample(&mut self.rng, DOMAIN_FANOUT);
        let remaining = FANOUT - receivers.len();
        receivers.extend(remote.cloned().sample(&mut self.rng, remaining));
        receivers
    }

    fn message(&mut self, now: Instant, hosts: &Hosts) -> Gossip {
        let own = Heartbeat {
            peer: hosts.local_peer(),
            count: self.heartbeat_count,
        };
        let mut heartbeats = vec![own];
        heartbeats.extend(
            hosts
                .heartbeats(now)
                .sample(&mut self.rng, MAX_HEARTBEATS - 1),
        );
        Gossip {
            revision: self.revision,
            leaving: self.leaving,
            heartbeats,
            rumors: self.next_rumors(),
        }
    }

    fn next_rumors(&mut self) -> Vec<Rumor> {
        let count = self.active_rumors.len().min(MAX_RUMORS);
        let mut rumors = Vec::with_capacity(count);
        for mut active in self.active_rumors.drain(..count).collect::<Vec<_>>() {
            rumors.push(active.rumor);
            active.sends += 1;
            if active.sends < MAX_RUMOR_SENDS {
                self.active_rumors.push_back(active);
            }
        }
        rumors
    }
}
