//! Rounds of gossip, and news that is passed on at once.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use hickoryhall_types::Revision;
use hickoryhall_wire::{Body, Gossip, Heartbeat, HostHash, Rumor};
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::{HostInfo, Hosts};

/// Receivers of one round in the own failure domain, where it has as many.
const FANOUT_DOMAIN: usize = 2;
/// Receivers of one round in all.
const FANOUT: usize = 3;
/// Messages that carry a rumor in quick rounds before only regular ones do.
const QUICK_SENDS: u32 = 10;
/// Heartbeats in one message at most, the sender's own included.
const HEARTBEATS: usize = 12;
/// Rumors in one message at most.
const RUMORS: usize = 8;
/// Messages that carry a rumor before a host stops telling it.
const RUMOR_SENDS: u32 = 16;
/// Rumors being told at most; the oldest one makes room.
const RUMOR_LIMIT: usize = 256;
/// Time for which a rumor that was heard is not taken for news.
const RUMOR_MEMORY: Duration = Duration::from_secs(60);

/// A message to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Receiver.
    pub to: HostInfo,
    /// Content.
    pub body: Body,
}

/// What a received message changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct News {
    /// Table revision of the sender where it is higher than ours.
    pub newer_revision: Option<Revision>,
    /// Whether the sender's table is older than ours, so that it is to be told.
    pub sender_is_behind: bool,
    /// Rumors not heard before.
    pub rumors: Vec<Rumor>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    rumor: Rumor,
    sends: u32,
}

/// Decides what this host tells whom.
#[derive(Clone, Debug)]
pub struct Gossiper {
    rng: ChaCha8Rng,
    count: u32,
    revision: Revision,
    leaving: bool,
    telling: VecDeque<Told>,
    heard: HashMap<Rumor, Instant>,
}

impl Gossiper {
    /// Creates a gossiper that knows no news.
    #[must_use]
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self {
            rng,
            count: 0,
            revision: 0,
            leaving: false,
            telling: VecDeque::new(),
            heard: HashMap::new(),
        }
    }

    /// Sets the table revision in force here, and returns the pushes that tell others at once.
    pub fn adopt_revision(&mut self, hosts: &Hosts, revision: Revision) -> Vec<Outgoing> {
        if revision <= self.revision {
            return Vec::new();
        }
        self.revision = revision;
        let targets = self.targets(hosts);
        let body = Body::PushRevision { revision };
        targets
            .into_iter()
            .map(|to| Outgoing {
                to,
                body: body.clone(),
            })
            .collect()
    }

    /// Starts to tell a rumor, and returns the messages that tell it at once.
    pub fn tell(&mut self, now: Instant, hosts: &Hosts, rumor: Rumor) -> Vec<Outgoing> {
        if !self.remember(now, rumor) {
            return Vec::new();
        }
        self.spread(now, hosts)
    }

    /// Tells everyone that this host is shutting down.
    pub fn leave(&mut self, now: Instant, hosts: &Hosts) -> Vec<Outgoing> {
        self.leaving = true;
        self.tell(
            now,
            hosts,
            Rumor::HostLeaving {
                peer: hosts.my_peer(),
            },
        )
    }

    /// Returns the messages of one regular round.
    pub fn round(&mut self, now: Instant, hosts: &Hosts) -> Vec<Outgoing> {
        self.count += 1;
        self.heard
            .retain(|_, at| now.saturating_duration_since(*at) < RUMOR_MEMORY);
        self.spread(now, hosts)
    }

    /// Tells whether rumors are new enough for quick rounds.
    #[must_use]
    pub fn has_fresh_rumors(&self) -> bool {
        self.telling.iter().any(|told| told.sends < QUICK_SENDS)
    }

    /// Returns the messages of a quick round, which are due a few times a second while rumors are
    /// fresh.
    pub fn quick_round(&mut self, now: Instant, hosts: &Hosts) -> Vec<Outgoing> {
        if self.has_fresh_rumors() {
            self.spread(now, hosts)
        } else {
            Vec::new()
        }
    }

    /// Takes a message in; `News` is to be acted on, rumors among it to be passed on by [`tell`].
    ///
    /// [`tell`]: Gossiper::tell
    pub fn receive(
        &mut self,
        now: Instant,
        hosts: &mut Hosts,
        from: HostHash,
        gossip: &Gossip,
    ) -> News {
        for &heartbeat in &gossip.heartbeats {
            hosts.observe(now, heartbeat);
        }
        if gossip.leaving
            && let Some(own) = gossip.heartbeats.iter().find(|h| h.peer.host == from)
        {
            hosts.mark_leaving(own.peer);
        }
        let is_new = |rumor: &&Rumor| !self.heard.contains_key(rumor);
        News {
            newer_revision: (gossip.revision > self.revision).then_some(gossip.revision),
            sender_is_behind: gossip.revision < self.revision,
            rumors: gossip.rumors.iter().filter(is_new).copied().collect(),
        }
    }

    /// Returns the table revision that this host tells.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    fn remember(&mut self, now: Instant, rumor: Rumor) -> bool {
        if self.heard.insert(rumor, now).is_some() {
            return false;
        }
        self.telling.push_back(Told { rumor, sends: 0 });
        if self.telling.len() > RUMOR_LIMIT {
            self.telling.pop_front();
        }
        true
    }

    fn spread(&mut self, now: Instant, hosts: &Hosts) -> Vec<Outgoing> {
        let targets = self.targets(hosts);
        targets
            .into_iter()
            .map(|to| Outgoing {
                to,
                body: Body::Gossip(self.message(now, hosts)),
            })
            .collect()
    }

    /// Chooses receivers; hosts that seem dead stay among them, so that a cut heals by itself.
    fn targets(&mut self, hosts: &Hosts) -> Vec<HostInfo> {
        let domain = &hosts.me().domain;
        let near = hosts.others().filter(|info| info.domain == *domain);
        let far = hosts.others().filter(|info| info.domain != *domain);
        let mut targets = near.cloned().sample(&mut self.rng, FANOUT_DOMAIN);
        let left = FANOUT - targets.len();
        targets.extend(far.cloned().sample(&mut self.rng, left));
        targets
    }

    fn message(&mut self, now: Instant, hosts: &Hosts) -> Gossip {
        let own = Heartbeat {
            peer: hosts.my_peer(),
            count: self.count,
        };
        let mut heartbeats = vec![own];
        heartbeats.extend(hosts.heartbeats(now).sample(&mut self.rng, HEARTBEATS - 1));
        Gossip {
            revision: self.revision,
            leaving: self.leaving,
            heartbeats,
            rumors: self.next_rumors(),
        }
    }

    fn next_rumors(&mut self) -> Vec<Rumor> {
        let count = self.telling.len().min(RUMORS);
        let mut rumors = Vec::with_capacity(count);
        for mut told in self.telling.drain(..count).collect::<Vec<_>>() {
            rumors.push(told.rumor);
            told.sends += 1;
            if told.sends < RUMOR_SENDS {
                self.telling.push_back(told);
            }
        }
        rumors
    }
}
