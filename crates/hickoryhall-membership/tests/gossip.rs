//! News at many hosts over a lossy network, with the real structs and virtual time.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hickoryhall_membership::{Duty, Gossiper, HostInfo, Hosts, Outgoing};
use hickoryhall_wire::{Body, Heartbeat, Peer, Rumor};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const ROUND: Duration = Duration::from_secs(1);
const QUICK_ROUND: Duration = Duration::from_millis(250);
const HOP: Duration = Duration::from_millis(20);

struct Node {
    hosts: Hosts,
    gossiper: Gossiper,
    revision: u64,
    is_paused: bool,
}

/// Messages passed between the structs of many hosts; one in `loss` parts of 100 is lost.
struct Net {
    now: Instant,
    nodes: Vec<Node>,
    queue: std::collections::BTreeMap<(Instant, u64), (usize, Peer, Body)>,
    rng: ChaCha8Rng,
    loss_percent: u32,
    cut: Option<String>,
    sequence: u64,
    quick_at: Instant,
}

impl Net {
    fn new(hosts: usize, domains: usize, loss_percent: u32, seed: u64) -> Self {
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
            queue: std::collections::BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            loss_percent,
            cut: None,
            sequence: 0,
            quick_at: now,
        }
    }

    fn send(&mut self, from: usize, messages: Vec<Outgoing>) {
        for Outgoing { to, body } in messages {
            let sender = self.nodes[from].hosts.my_peer();
            let here = self.nodes[from].hosts.me().domain.to_string();
            let is_cut = self
                .cut
                .as_ref()
                .is_some_and(|cut| (*cut == here) != (*cut == *to.domain));
            if is_cut || self.rng.random_range(0..100) < self.loss_percent {
                continue;
            }
            let index = to.id[1..].parse::<usize>().expect("a host's number");
            self.sequence += 1;
            self.queue
                .insert((self.now + HOP, self.sequence), (index, sender, body));
        }
    }

    fn adopt(&mut self, node: usize, revision: u64) {
        let state = &mut self.nodes[node];
        if revision <= state.revision {
            return;
        }
        state.revision = revision;
        let pushes = state.gossiper.adopt_revision(&state.hosts, revision);
        self.send(node, pushes);
    }

    fn deliver(&mut self, node: usize, sender: Peer, body: Body) {
        if self.nodes[node].is_paused {
            return;
        }
        let now = self.now;
        match body {
            Body::PushRevision { revision } => self.adopt(node, revision),
            Body::Gossip(gossip) => {
                let state = &mut self.nodes[node];
                let news = state
                    .gossiper
                    .receive(now, &mut state.hosts, sender.host, &gossip);
                for rumor in news.rumors {
                    let state = &mut self.nodes[node];
                    let told = state.gossiper.tell(now, &state.hosts, rumor);
                    self.send(node, told);
                }
                if let Some(revision) = news.newer_revision {
                    self.adopt(node, revision);
                }
                if news.sender_is_behind {
                    let to = self.nodes[node].hosts.get(sender.host).cloned();
                    let body = Body::PushRevision {
                        revision: self.nodes[node].revision,
                    };
                    let answer = to.map(|to| Outgoing { to, body });
                    self.send(node, answer.into_iter().collect());
                }
            }
            _ => {}
        }
    }

    /// Lets time pass: messages arrive, and each host has its round once a second.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        let step = ROUND / self.nodes.len() as u32;
        let mut turn = 0;
        while self.now < end {
            self.now += step;
            while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
                let (node, sender, body) = entry.remove();
                self.deliver(node, sender, body);
            }
            if self.now >= self.quick_at {
                self.quick_at = self.now + QUICK_ROUND;
                self.quick_round();
            }
            if !self.nodes[turn].is_paused {
                let state = &mut self.nodes[turn];
                let messages = state.gossiper.round(self.now, &state.hosts);
                self.send(turn, messages);
            }
            turn = (turn + 1) % self.nodes.len();
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

    fn behind(&self, revision: u64) -> usize {
        self.nodes
            .iter()
            .filter(|node| !node.is_paused && node.revision < revision)
            .count()
    }
}

#[rstest]
#[case::today(6, 3, 1_000)]
#[case::a_failure_domain(37, 1, 200)]
#[case::planned(520, 14, 4)]
fn a_revision_is_everywhere_within_six_seconds(
    #[case] hosts: usize,
    #[case] domains: usize,
    #[case] seeds: u64,
) {
    for seed in 0..seeds {
        let mut net = Net::new(hosts, domains, 5, seed);
        // One of two watchers is paused; the other one tells.
        net.nodes[0].is_paused = true;
        net.pass(Duration::from_secs(1));
        net.adopt(1, 7);
        net.pass(Duration::from_secs(6));
        assert_eq!(net.behind(7), 0, "seed {seed}");
    }
}

#[test]
fn a_domain_that_was_cut_off_catches_up_within_six_seconds_of_healing() {
    for seed in 0..200 {
        let mut net = Net::new(12, 3, 5, seed);
        net.cut = Some("d2".to_owned());
        net.adopt(0, 7);
        net.pass(Duration::from_secs(60));
        assert_eq!(net.behind(7), 4, "the domain that is cut off");
        net.cut = None;
        net.pass(Duration::from_secs(6));
        assert_eq!(net.behind(7), 0, "seed {seed}");
    }
}

#[test]
fn a_leaving_runner_is_known_in_its_domain_within_three_seconds() {
    let rumor = Rumor::RunnerLeaving {
        runner: 9,
        incarnation: 1,
    };
    for seed in 0..100 {
        let mut net = Net::new(37, 1, 5, seed);
        net.pass(Duration::from_secs(1));
        let now = net.now;
        let state = &mut net.nodes[3];
        let told = state.gossiper.tell(now, &state.hosts, rumor);
        net.send(3, told);
        net.pass(Duration::from_secs(3));
        // Who has heard the rumor does not take it for news.
        let takes_for_news =
            |node: &mut Node| !node.gossiper.tell(now, &node.hosts, rumor).is_empty();
        let unaware = net
            .nodes
            .iter_mut()
            .map(takes_for_news)
            .filter(|&is_news| is_news);
        assert_eq!(unaware.count(), 0, "seed {seed}");
    }
}

#[test]
fn a_dead_host_loses_its_duties_and_a_restarted_one_gets_them_back() {
    let mut net = Net::new(6, 1, 5, 1);
    net.pass(Duration::from_secs(5));
    let live = |net: &Net, node: usize| net.nodes[node].hosts.live_in_domain(net.now);
    assert_eq!(live(&net, 0), 6);
    net.nodes[4].is_paused = true;
    net.pass(Duration::from_secs(12));
    assert_eq!(live(&net, 0), 5);
    let holders = (0..200).map(|runner| {
        net.nodes[0]
            .hosts
            .holders(net.now, "d0", Duty::Tracker(runner), 1)[0]
    });
    let dead = net.nodes[4].hosts.me().hash;
    assert!(!holders.collect::<BTreeSet<_>>().contains(&dead));
    net.nodes[4].is_paused = false;
    net.pass(Duration::from_secs(5));
    assert_eq!(live(&net, 0), 6);
}

#[test]
fn an_old_heartbeat_does_not_bring_a_host_back() {
    let mut net = Net::new(2, 1, 0, 1);
    let peer = net.nodes[1].hosts.my_peer();
    let now = net.now;
    let hosts = &mut net.nodes[0].hosts;
    hosts.observe(now, Heartbeat { peer, count: 5 });
    assert!(hosts.mark_leaving(peer));
    hosts.observe(now, Heartbeat { peer, count: 6 });
    assert_eq!(hosts.live(now).count(), 0, "leaving in this incarnation");
    let restarted = Peer {
        incarnation: 2,
        ..peer
    };
    hosts.observe(
        now,
        Heartbeat {
            peer: restarted,
            count: 1,
        },
    );
    assert_eq!(hosts.live(now).count(), 1);
}

#[test]
fn hosts_with_the_same_view_name_the_same_holder() {
    let net = Net::new(12, 3, 0, 1);
    for runner in 0..50 {
        let duty = Duty::Tracker(runner);
        let holder = |node: &Node| node.hosts.holders(net.now, "d1", duty, 1);
        assert!(
            net.nodes
                .iter()
                .all(|node| holder(node) == holder(&net.nodes[0]))
        );
    }
}
