//! Plays fleets whose hosts are cut off from servers, and checks what callers get and who helps.
//!
//! Each host learns of servers from its own connections, and of other hosts from their digests: all of
//! them ten times a second in a small fleet; in a large one those of its failure domain four times a second
//! and the others in rotation. Some digests are lost.

use std::collections::HashMap;
use std::ops::Range;
use std::time::{Duration, Instant};

use hickoryhall_routing::{PeerEnd, Reach, ReachStatement, ReachStep};
use rstest::rstest;

const STEP: Duration = Duration::from_millis(20);
const SERVICE: u64 = 77;
/// Digests a second that one host sends in a large fleet.
const HEARTBEATS_PER_S: u64 = 50;
/// Steps between two digests to the hosts of the same failure domain in a large fleet.
const GROUP_STEPS: u64 = 12;
/// Hosts up to which all hear from each other ten times a second.
const SINGLE_GROUP: usize = 24;
/// Requests a second at each host.
const RATE_PER_S: u64 = 25;
/// Servers that a host tries before it asks a peer.
const TRIES: usize = 2;
const MAX_PEERS: usize = 3;
/// Steps for which a server is left out that could not be connected to.
const EJECTION_STEPS: u64 = 50;
/// Steps that a request takes.
const SERVICE_STEPS: u64 = 5;
const CONTACT_S: f64 = 3.0;

fn mixed(seed: u64, salt: u64) -> u64 {
    let mut mixed = seed.wrapping_add(salt.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

struct Host {
    domain: u64,
    reach: Reach<usize>,
    /// Steps in which requests in progress here end.
    ends: Vec<u64>,
    /// Steps until which servers that could not be connected to get no requests.
    ejected_until: HashMap<usize, u64>,
}

/// A stretch of the day, in seconds, in which some hosts reach only some servers.
#[derive(Clone)]
struct Cut {
    at_s: Range<f64>,
    /// Seconds on and off; 0 for a cut without pauses.
    flap_s: f64,
    is_cut: fn(host: usize, domain: u64, server: usize) -> bool,
}

struct Fleet {
    start: Instant,
    step: u64,
    hosts: Vec<Host>,
    servers: usize,
    cuts: Vec<Cut>,
    /// Requests in progress at peers, by the step in which they end.
    forwarded: HashMap<u64, Vec<(usize, usize)>>,
    random: u64,
}

/// What became of a request.
struct Outcome {
    at_s: f64,
    host: usize,
    is_served: bool,
    /// Whether the host could reach servers.
    is_cut: bool,
    peers: Vec<usize>,
}

impl Fleet {
    fn new(hosts: usize, domains: u64, servers: usize, cuts: Vec<Cut>) -> Self {
        let host = |index: usize| Host {
            domain: index as u64 % domains,
            reach: Reach::new(index as u64 % domains),
            ends: Vec::new(),
            ejected_until: HashMap::new(),
        };
        Self {
            start: Instant::now(),
            step: 0,
            hosts: (0..hosts).map(host).collect(),
            servers,
            cuts,
            forwarded: HashMap::new(),
            random: 11,
        }
    }

    fn random(&mut self, limit: usize) -> usize {
        self.random = mixed(self.random, 1);
        self.random as usize % limit
    }

    fn now(&self) -> Instant {
        self.start + STEP * u32::try_from(self.step).expect("a short day")
    }

    fn time_s(&self) -> f64 {
        self.step as f64 * STEP.as_secs_f64()
    }

    fn reaches(&self, host: usize, server: usize) -> bool {
        let (at_s, domain) = (self.time_s(), self.hosts[host].domain);
        !self.cuts.iter().any(|cut| {
            let is_on = cut.flap_s <= 0.0 || ((at_s / cut.flap_s) as u64).is_multiple_of(2);
            cut.at_s.contains(&at_s) && is_on && (cut.is_cut)(host, domain, server)
        })
    }

    fn reaches_any(&self, host: usize) -> bool {
        (0..self.servers).any(|server| self.reaches(host, server))
    }

    /// Connects to a server, and to others as the host's state asks for.
    fn connect(&mut self, host: usize, server: usize) -> bool {
        let now = self.now();
        if self.reaches(host, server) {
            let host = &mut self.hosts[host];
            if host.reach.record_connected(now, SERVICE).is_some() {
                host.ejected_until.clear();
            }
            return true;
        }
        let servers = self.servers;
        let ejected_until = self.step + EJECTION_STEPS;
        self.hosts[host].ejected_until.insert(server, ejected_until);
        let step = self.hosts[host]
            .reach
            .record_failed(now, SERVICE, server as u64, servers);
        if step == ReachStep::Check {
            for other in 1..=3_usize.min(servers - 1) {
                self.connect(host, (server + other) % servers);
            }
        }
        false
    }

    /// Returns whether a request is served by a server that the host reaches itself.
    fn try_servers(&mut self, host: usize) -> bool {
        let tries = (0..TRIES).any(|_| {
            let first = self.random(self.servers);
            let mut servers = (0..self.servers).map(|next| (first + next) % self.servers);
            let ejected_until = &self.hosts[host].ejected_until;
            let server = servers.find(|server| {
                ejected_until
                    .get(server)
                    .is_none_or(|&until| until <= self.step)
            });
            server.is_some_and(|server| self.connect(host, server))
        });
        if tries {
            let end = self.step + SERVICE_STEPS;
            self.hosts[host].ends.push(end);
        }
        tries
    }

    fn request(&mut self, host: usize) -> Outcome {
        let mut outcome = Outcome {
            at_s: self.time_s(),
            host,
            is_served: false,
            is_cut: !self.reaches_any(host),
            peers: Vec::new(),
        };
        let mut has_tried = false;
        let seed = self.random(usize::MAX) as u64;
        loop {
            let now = self.now();
            let reach = &mut self.hosts[host].reach;
            let is_cut_off = reach.is_cut_off(SERVICE);
            let peer = if (is_cut_off || has_tried) && outcome.peers.len() < MAX_PEERS {
                reach.choose_peer(now, SERVICE, seed, &outcome.peers)
            } else {
                None
            };
            let Some(peer) = peer else {
                if has_tried {
                    return outcome;
                }
                has_tried = true;
                outcome.is_served = self.try_servers(host);
                if outcome.is_served {
                    return outcome;
                }
                continue;
            };
            outcome.peers.push(peer);
            self.hosts[host].reach.record_sent(peer);
            let is_served = self.try_servers(peer);
            let end = if is_served {
                PeerEnd::Answered
            } else {
                PeerEnd::Unreached
            };
            let reach = &mut self.hosts[host].reach;
            reach.record_peer(now, SERVICE, peer, end);
            if is_served {
                let end = self.step + SERVICE_STEPS;
                self.forwarded.entry(end).or_default().push((host, peer));
                outcome.is_served = true;
                return outcome;
            }
            reach.record_end(peer);
        }
    }

    fn tell(&mut self, from: usize, to: usize) {
        // One digest of twenty is lost.
        if from == to || self.random(20) == 0 {
            return;
        }
        let now = self.now();
        let requests = u32::try_from(self.hosts[from].ends.len()).expect("few requests");
        let statement: ReachStatement = self.hosts[from].reach.statement(requests);
        let domain = self.hosts[from].domain;
        let reach = &mut self.hosts[to].reach;
        reach.record_statement(now, from, from as u64, domain, statement);
    }

    fn send_digests(&mut self) {
        let hosts = self.hosts.len();
        if hosts <= SINGLE_GROUP {
            if self.step.is_multiple_of(5) {
                for from in 0..hosts {
                    (0..hosts).for_each(|to| self.tell(from, to));
                }
            }
            return;
        }
        if self.step.is_multiple_of(GROUP_STEPS) {
            for from in 0..hosts {
                let domain = self.hosts[from].domain;
                let members = (0..hosts).filter(|&to| self.hosts[to].domain == domain);
                let members = members.collect::<Vec<_>>();
                members.into_iter().for_each(|to| self.tell(from, to));
            }
        }
        let per_step = HEARTBEATS_PER_S * STEP.as_millis() as u64 / 1_000;
        for from in 0..hosts {
            for number in 0..per_step {
                let turn = self.step * per_step + number + from as u64;
                self.tell(from, turn as usize % hosts);
            }
        }
    }

    fn play(&mut self, time_s: f64) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        let steps_per_request = 1_000 / RATE_PER_S / STEP.as_millis() as u64;
        while self.time_s() < time_s {
            let (now, step) = (self.now(), self.step);
            self.send_digests();
            for (host, peer) in self.forwarded.remove(&step).unwrap_or_default() {
                self.hosts[host].reach.record_end(peer);
            }
            for host in 0..self.hosts.len() {
                self.hosts[host].ends.retain(|&end| end > step);
                for probe in self.hosts[host].reach.due_probes(now) {
                    assert_eq!(probe.service, SERVICE);
                    self.connect(host, probe.number as usize % self.servers);
                }
                if (step + host as u64).is_multiple_of(steps_per_request) {
                    outcomes.push(self.request(host));
                }
            }
            self.step += 1;
        }
        outcomes
    }
}

fn cut(at_s: Range<f64>, is_cut: fn(usize, u64, usize) -> bool) -> Cut {
    Cut {
        at_s,
        flap_s: 0.0,
        is_cut,
    }
}

fn served_part<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> f64 {
    let served = outcomes.map(|one| one.is_served).collect::<Vec<_>>();
    assert!(served.len() > 100, "{} requests", served.len());
    served.iter().filter(|&&is_served| is_served).count() as f64 / served.len() as f64
}

#[rstest]
#[case::small_two_hosts(7, 3, |host, _, _| host < 2)]
#[case::small_domain(7, 3, |_, domain, _| domain == 0)]
#[case::most_of_a_small_fleet(7, 3, |host, _, _| host < 6)]
#[case::large_domain(95, 5, |_, domain, _| domain == 2)]
#[case::most_of_a_large_domain(95, 5, |host, domain, _| domain == 2 && host > 10)]
#[case::two_large_domains(95, 5, |_, domain, _| domain < 2)]
#[case::planned_size(520, 14, |_, domain, _| domain == 3)]
fn callers_of_hosts_that_are_cut_off_are_served_by_others(
    #[case] hosts: usize,
    #[case] domains: u64,
    #[case] is_cut: fn(usize, u64, usize) -> bool,
) {
    let start_s = 12.0;
    let end_s = start_s + 8.0;
    let mut fleet = Fleet::new(hosts, domains, 12, vec![cut(start_s..end_s, is_cut)]);
    let outcomes = fleet.play(end_s + 6.0);
    let from_s = start_s + CONTACT_S;
    let late = outcomes
        .iter()
        .filter(|one| one.is_cut && one.at_s > from_s);
    let part = served_part(late.clone());
    assert!(part >= 0.98, "{part} served at cut hosts");
    let others = outcomes.iter().filter(|one| !one.is_cut);
    let part = served_part(others);
    assert!(part >= 0.98, "{part} served at the others");
    // A helper gets about an equal share, or no more than it has from its own callers.
    let mut helped = HashMap::<usize, usize>::new();
    late.flat_map(|one| &one.peers)
        .for_each(|&peer| *helped.entry(peer).or_default() += 1);
    let helpers = (0..hosts).filter(|&host| !is_cut(host, host as u64 % domains, 0));
    let helpers = helpers.count();
    let mean = helped.values().sum::<usize>() as f64 / helpers as f64;
    let most = helped.values().max().copied().unwrap_or_default() as f64;
    let own = (end_s - from_s) * RATE_PER_S as f64;
    let bound = own.max(1.5 * mean);
    assert!(most <= bound, "{most} at one helper, {mean} on average");
    // Afterwards hosts use servers directly.
    let after = outcomes.iter().filter(|one| one.at_s > end_s + 1.0);
    let forwarded = after.filter(|one| !one.peers.is_empty()).count();
    assert_eq!(forwarded, 0, "forwarded after the cut");
}

/// Forwarding helps nobody then, and must not circle.
#[rstest]
#[case::small(7, 3)]
#[case::large(95, 5)]
fn servers_that_nobody_reaches_cause_few_forwarded_requests(
    #[case] hosts: usize,
    #[case] domains: u64,
) {
    let (start_s, end_s) = (8.0, 16.0);
    let mut fleet = Fleet::new(
        hosts,
        domains,
        12,
        vec![cut(start_s..end_s, |_, _, _| true)],
    );
    let outcomes = fleet.play(end_s + 4.0);
    let dead = outcomes
        .iter()
        .filter(|one| (start_s + 2.0..end_s).contains(&one.at_s))
        .collect::<Vec<_>>();
    let forwarded = dead.iter().map(|one| one.peers.len()).sum::<usize>();
    assert!(
        forwarded * 5 <= dead.len(),
        "{forwarded} forwarded of {}",
        dead.len()
    );
    let after = outcomes.iter().filter(|one| one.at_s > end_s + 1.0);
    let part = served_part(after);
    assert!(part >= 0.98, "{part} served afterwards");
}

#[test]
fn hosts_that_reach_some_servers_are_not_cut_off() {
    // Each host reaches a third of the servers.
    let is_cut = |host: usize, _: u64, server: usize| server % 3 != host % 3;
    let mut fleet = Fleet::new(7, 3, 12, vec![cut(4.0..20.0, is_cut)]);
    let outcomes = fleet.play(20.0);
    let part = served_part(outcomes.iter());
    assert!(part >= 0.98, "{part} served");
    for host in &fleet.hosts {
        assert!(!host.reach.is_cut_off(SERVICE));
    }
}

#[test]
fn callers_of_hosts_with_flapping_links_are_served() {
    let flapping = Cut {
        flap_s: 0.7,
        ..cut(4.0..20.0, |host, _, _| host < 3)
    };
    let mut fleet = Fleet::new(7, 3, 12, vec![flapping]);
    let outcomes = fleet.play(20.0);
    let part = served_part(outcomes.iter().filter(|one| one.host < 3));
    assert!(part >= 0.98, "{part} served");
}

/// A cut ends at the first new connection, so that one dead server is never taken for a cut.
#[test]
fn a_dead_server_is_not_a_cut() {
    let mut fleet = Fleet::new(7, 3, 9, vec![cut(2.0..20.0, |_, _, server| server == 4)]);
    let outcomes = fleet.play(20.0);
    assert!(served_part(outcomes.iter()) >= 0.98);
    for host in &fleet.hosts {
        assert!(!host.reach.is_cut_off(SERVICE));
    }
}

#[test]
fn state_is_bounded() {
    let now = Instant::now();
    let mut reach = Reach::<u32>::new(0);
    for number in 0..10_000_u32 {
        let at = now + Duration::from_millis(u64::from(number));
        reach.record_failed(at, u64::from(number), 1, 100);
        reach.must_check(at, u64::from(number) + 1_000_000);
        let statement = ReachStatement::default();
        reach.record_statement(at, number, u64::from(number), 1, statement);
        reach.record_peer(at, u64::from(number % 50), 1, PeerEnd::Unreached);
    }
    let text = format!("{reach:?}");
    assert!(text.len() < 1_500_000, "{} bytes", text.len());
}
