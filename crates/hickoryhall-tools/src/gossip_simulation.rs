//! Simulated network on which many hosts gossip, in virtual time and with message loss.
//!
//! Tests and the program `hickoryhall-capacity` measure the production gossip code with it.
//! Messages pass in memory, without sockets.

use std::time::{Duration, Instant};

use hickoryhall_membership::{Gossiper, HostInfo, Hosts, Outgoing};
use hickoryhall_wire::{Body, Frame, Keyring, Peer};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between two gossip rounds of one host.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two quick rounds, in which hosts pass on new rumors.
const QUICK_ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Time that a message takes from one host to another.
const MESSAGE_LATENCY: Duration = Duration::from_millis(20);

/// A simulated host.
pub struct Node {
    /// Hosts that this host knows, itself included.
    pub hosts: Hosts,
    /// Gossip state, which produces the messages that this host sends.
    pub gossiper: Gossiper,
    /// Revision of the table in force; 0 before the first one.
    pub revision: u64,
    /// Whether the host is paused: it neither sends rounds nor receives messages.
    pub is_paused: bool,
}

/// Simulated network between hosts, which loses a given percentage of the messages.
pub struct SimulatedNetwork {
    /// Current virtual time.
    pub now: Instant,
    /// Hosts by index.
    pub nodes: Vec<Node>,
    /// Index of the receiver, sender and body of each message on its way, by the time at which it
    /// arrives and a sequence number that keeps the order of sending.
    in_transit: std::collections::BTreeMap<(Instant, u64), (usize, Peer, Body)>,
    rng: ChaCha8Rng,
    loss_percent: u32,
    /// Name of the failure domain that is partitioned from the others, if any.
    pub partitioned_domain: Option<String>,
    /// Encoded size of all messages sent, in bytes, including lost ones.
    pub sent_bytes: u64,
    sequence: u64,
    keyring: Keyring,
    next_quick_round_at: Instant,
    /// Index of the host whose ordinary gossip round is next.
    next_sender: usize,
}

impl SimulatedNetwork {
    /// Creates `hosts` hosts in `domains` failure domains, which know each other from the platform's
    /// host list.
    #[must_use]
    pub fn new(hosts: usize, domains: usize, loss_percent: u32, seed: u64) -> Self {
        let now = Instant::now();
        let info = |i: usize| {
            let address = ([127, 0, 0, 1], 1_000 + i as u16).into();
            HostInfo::new(&format!("h{i}"), &format!("d{}", i % domains), address)
        };
        let list = (0..hosts).map(info).collect::<Vec<_>>();
        let node = |i: usize| {
            let mut hosts = Hosts::new(list[i].clone(), 1);
            hosts.merge_list(now, &list);
            let rng = ChaCha8Rng::seed_from_u64(seed ^ (i as u64) << 8);
            Node {
                hosts,
                gossiper: Gossiper::new(rng),
                revision: 0,
                is_paused: false,
            }
        };
        Self {
            now,
            nodes: (0..hosts).map(node).collect(),
            in_transit: std::collections::BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss_percent,
            partitioned_domain: None,
            sent_bytes: 0,
            keyring: Keyring::new(&["a secret of the net"]),
            sequence: 0,
            next_quick_round_at: now,
            next_sender: 0,
        }
    }

    /// Sends messages from a host, each of which may be lost.
    ///
    /// # Panics
    ///
    /// Panics if a receiver is not a host of this network.
    pub fn send(&mut self, from: usize, messages: Vec<Outgoing>) {
        for Outgoing { to, body } in messages {
            let sender = self.nodes[from].hosts.local_peer();
            let sender_domain = self.nodes[from].hosts.local_host().domain.to_string();
            self.count_bytes(from, &to, &body);
            let is_partitioned = self
                .partitioned_domain
                .as_ref()
                .is_some_and(|domain| (*domain == sender_domain) != (*domain == *to.domain));
            if is_partitioned || self.rng.random_range(0..100) < self.loss_percent {
                continue;
            }
            let index = to.id[1..].parse::<usize>().expect("a host's number");
            self.sequence += 1;
            self.in_transit.insert(
                (self.now + MESSAGE_LATENCY, self.sequence),
                (index, sender, body),
            );
        }
    }

    /// Puts a table revision in force at a host if it is newer, and sends it on to other hosts.
    pub fn adopt_revision(&mut self, node: usize, revision: u64) {
        let state = &mut self.nodes[node];
        if revision <= state.revision {
            return;
        }
        state.revision = revision;
        let pushes = state.gossiper.adopt_revision(&state.hosts, revision);
        self.send(node, pushes);
    }

    fn count_bytes(&mut self, from: usize, to: &HostInfo, body: &Body) {
        let frame = Frame {
            sender: self.nodes[from].hosts.local_peer(),
            receiver: to.hash,
            sequence: self.sequence,
            body: body.clone(),
        };
        self.sent_bytes += self.keyring.seal(&frame).len() as u64;
    }

    fn deliver(&mut self, node: usize, sender: Peer, body: Body) {
        if self.nodes[node].is_paused {
            return;
        }
        let now = self.now;
        match body {
            Body::PushRevision { revision } => self.adopt_revision(node, revision),
            Body::Gossip(gossip) => {
                let state = &mut self.nodes[node];
                let update = state
                    .gossiper
                    .receive(now, &mut state.hosts, sender.host, &gossip);
                for rumor in update.rumors {
                    let state = &mut self.nodes[node];
                    let messages = state.gossiper.spread_rumor(now, &state.hosts, rumor);
                    self.send(node, messages);
                }
                if let Some(revision) = update.newer_revision {
                    self.adopt_revision(node, revision);
                }
                if update.sender_is_behind {
                    let to = self.nodes[node].hosts.get(sender.host).cloned();
                    let body = Body::PushRevision {
                        revision: self.nodes[node].revision,
                    };
                    let push = to.map(|to| Outgoing { to, body });
                    self.send(node, push.into_iter().collect());
                }
            }
            _ => {}
        }
    }

    /// Advances the virtual time, delivers messages that are due, and runs the gossip rounds.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        let step = ROUND_INTERVAL / self.nodes.len() as u32;
        while self.now < end {
            self.now += step;
            while let Some(entry) = self
                .in_transit
                .first_entry()
                .filter(|e| e.key().0 <= self.now)
            {
                let (node, sender, body) = entry.remove();
                self.deliver(node, sender, body);
            }
            if self.now >= self.next_quick_round_at {
                self.next_quick_round_at = self.now + QUICK_ROUND_INTERVAL;
                self.quick_round();
            }
            let next_sender = self.next_sender;
            if !self.nodes[next_sender].is_paused {
                let state = &mut self.nodes[next_sender];
                let messages = state.gossiper.round(self.now, &state.hosts);
                self.send(next_sender, messages);
            }
            self.next_sender = (next_sender + 1) % self.nodes.len();
        }
    }

    fn quick_round(&mut self) {
        for node in 0..self.nodes.len() {
            let state = &mut self.nodes[node];
            if !state.is_paused {
                let messages = state.gossiper.quick_round(self.now, &state.hosts);
                self.send(node, messages);
            }
        }
    }

    /// Returns the number of hosts, paused ones left out, whose revision is older than `revision`.
    #[must_use]
    pub fn count_behind(&self, revision: u64) -> usize {
        self.nodes
            .iter()
            .filter(|node| !node.is_paused && node.revision < revision)
            .count()
    }
}
