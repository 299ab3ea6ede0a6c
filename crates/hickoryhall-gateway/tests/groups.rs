//! Digests between groups of hosts: each load is counted once on every host, and the cost per host
//! does not grow with the fleet size.

mod support;

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use hickoryhall_gateway::core::{Core, CoreConfig};
use hickoryhall_gateway::peers::{
    Digest, KnownPeers, LocalHost, PromptUpdate, Scope, ServerUpdate,
};
use hickoryhall_gateway::registry::BackendServer;
use hickoryhall_gateway::scheduler::{
    AttemptEnd, HostLoad, PlacementRequest, PromptInfo, SchedulerConfig,
};
use hickoryhall_limits::FleetRetryLimit;
use hickoryhall_routing::{BrokenRequest, Level, PrefixChain, SpeedStatement, SuspectDecision};
use hickoryhall_types::{hash_name, rendezvous_score};
use rstest::rstest;
use slog::{Discard, Logger, o};
use support::{model_service, table_of};
use tokio::sync::oneshot;

const DOMAINS: usize = 3;

struct Host {
    ip: Ipv4Addr,
    known_peers: KnownPeers,
    core: Core,
    received: usize,
}

/// Hosts on a network without loss or delay, except that hosts can be cut off.
struct Network {
    now: Instant,
    hosts: Vec<Host>,
    cut_off: HashSet<Ipv4Addr>,
}

impl Network {
    fn new(count: usize) -> Self {
        let now = Instant::now();
        let ips = (0..count).map(|index| Ipv4Addr::from(0x0a00_0001 + index as u32));
        let ips = ips.collect::<Vec<_>>();
        let hosts = ips.iter().enumerate();
        let hosts = hosts.map(|(index, &ip)| host(now, index, ip, ips[..2].to_vec()));
        Self {
            now,
            hosts: hosts.collect(),
            cut_off: HashSet::new(),
        }
    }

    fn deliver(&mut self, from: Ipv4Addr, to: Ipv4Addr, digest: &Digest, known: &[Ipv4Addr]) {
        if self.cut_off.contains(&from) || self.cut_off.contains(&to) {
            return;
        }
        let now = self.now;
        let Some(host) = self.hosts.iter_mut().find(|host| host.ip == to) else {
            return;
        };
        host.received += 1;
        if let Scope::Group { .. } = digest.scope {
            if digest.group == host.known_peers.group(now) {
                return;
            }
            host.core.on_digest(now, digest);
            if !digest.is_forwarded {
                let forwarded = Digest {
                    is_forwarded: true,
                    ..digest.clone()
                };
                for member in host.known_peers.members(now) {
                    self.deliver(to, member, &forwarded, &[]);
                }
            }
            return;
        }
        host.core.on_digest(now, digest);
        host.known_peers.record_digest(now, from, digest);
        host.known_peers.add_addresses(now, known.iter().copied());
    }

    /// Lets every host send its digests; `to_other_groups` enables those to hosts of other groups.
    fn round(&mut self, number: u64, to_other_groups: bool) {
        self.now += Duration::from_millis(100);
        let now = self.now;
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            let group = host.known_peers.group(now);
            let known = host.known_peers.addresses_to_list(number);
            let own = host.core.digest(now, group);
            let heartbeat = host.core.heartbeat(now, group);
            let members = host.known_peers.members(now);
            let non_members = host.known_peers.non_members(now, number);
            let from = host.ip;
            for to in members {
                self.deliver(from, to, &own, &known);
            }
            for to in non_members.into_iter().filter(|_| to_other_groups) {
                self.deliver(from, to, &heartbeat, &known);
            }
        }
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            let recipients = host.known_peers.group_digest_recipients(now);
            if recipients.is_empty() {
                continue;
            }
            let group = host.known_peers.group(now);
            let members = host.known_peers.member_hashes(now);
            let group_digest = host.core.group_digest(now, group, members);
            let from = host.ip;
            for to in recipients {
                self.deliver(from, to, &group_digest, &[]);
            }
        }
    }

    fn converge(&mut self) {
        for number in 0..40 {
            self.round(number, true);
        }
    }

    /// Returns the number of requests at the runner as each host sees it.
    fn observed_requests(&self) -> Vec<u32> {
        let requests = |host: &Host| host.core.runners(self.now)[0].load.requests;
        self.hosts.iter().map(requests).collect()
    }
}

fn host(now: Instant, index: usize, ip: Ipv4Addr, seeds: Vec<Ipv4Addr>) -> Host {
    let domain = format!("domain-{}", index % DOMAINS);
    let local_host = LocalHost {
        ip,
        host: hash_name(&format!("host-{index}")),
        domain: hash_name(&domain),
    };
    let config = CoreConfig {
        host: local_host.host,
        scheduler: SchedulerConfig::new(local_host.host, domain.as_str().into()),
        retry_limit: FleetRetryLimit {
            ratio: 0.2,
            extra_retries: 10.0,
            window: Duration::from_secs(10),
        },
        restarted_at: None,
    };
    let mut core = Core::new(config, Logger::root(Discard, o!()));
    core.set_table(table_of([("models", model_service(10_000, 100_000_000))]));
    core.on_registry_entry(runner("runner"));
    Host {
        ip,
        known_peers: KnownPeers::new(now, local_host, seeds),
        core,
        received: 0,
    }
}

fn runner(id: &str) -> BackendServer {
    BackendServer {
        id: id.into(),
        service: "models".into(),
        address: ([127, 0, 0, 1], 1_000).into(),
        domain: "domain-0".into(),
        slots: 10_000,
        is_leaving: false,
        models: vec![("m".into(), 1)],
        software: "v1".into(),
        incarnation: 1,
    }
}

fn send_request(network: &mut Network, index: usize) {
    let request = PlacementRequest {
        attempt_id: 1,
        service: "models".into(),
        priority: (1, 0),
        prompt: Some(PromptInfo {
            model: "m".into(),
            input_tokens: 100,
            chain: PrefixChain::from_levels(vec![Level {
                key: index as u64,
                tokens: 100,
            }]),
            output_tokens: 10,
        }),
        is_resumable: true,
        arrived_at: network.now,
        target_latency: Duration::from_secs(10),
        deadline: network.now + Duration::from_secs(20),
        excluded_servers: Vec::new(),
        software: None,
        suspect: None,
    };
    let (reply, mut placed) = oneshot::channel();
    network.hosts[index].core.place(network.now, request, reply);
    placed
        .try_recv()
        .expect("placement decided")
        .expect("runner found");
}

#[rstest]
#[case::small(6)]
#[case::still_one_group(24)]
#[case::just_above(25)]
#[case::grown(70)]
#[case::domains_in_parts(150)]
fn every_host_counts_each_request_once(#[case] count: usize) {
    let mut network = Network::new(count);
    network.converge();
    for index in 0..count {
        send_request(&mut network, index);
    }
    network.round(40, false);
    network.round(41, false);
    assert_eq!(network.observed_requests(), vec![count as u32; count]);
}

/// Guards against samples of runner speeds that count again with each digest, or both as a host's and
/// as its group's.
#[rstest]
#[case::one_group(6)]
#[case::several_groups(70)]
fn every_host_counts_each_sample_once(#[case] count: usize) {
    let mut network = Network::new(count);
    network.converge();
    for index in 0..count {
        send_request(&mut network, index);
        let host = &mut network.hosts[index].core;
        host.record_first_event(network.now + Duration::from_millis(50), 1);
        host.end_attempt(network.now, 1, AttemptEnd::Answered);
    }
    for number in 40..52 {
        network.round(number, true);
        let now = network.now;
        for host in &mut network.hosts {
            host.core.tick(now);
        }
    }
    for host in &network.hosts {
        let learned = host.core.learned_speeds();
        let samples = learned[0].1.samples / count as f64;
        // Samples lose weight while the digests spread.
        assert!((0.9..=1.0).contains(&samples), "{samples}");
    }
}

/// Guards against per-round traffic that grows with the fleet: without groups each host receives
/// one digest from every other, which is 69 and 149 in the two larger cases.
#[rstest]
#[case::small(6, 6)]
#[case::grown(70, 27)]
#[case::large(150, 40)]
fn a_round_costs_a_host_what_its_group_and_the_groups_cost(
    #[case] count: usize,
    #[case] max_received: usize,
) {
    let mut network = Network::new(count);
    network.converge();
    for host in &mut network.hosts {
        host.received = 0;
    }
    network.round(41, false);
    let received = network.hosts.iter().map(|host| host.received).max();
    assert!(received <= Some(max_received), "{received:?}");
}

#[test]
fn another_host_sends_the_sum_where_the_first_is_cut_off() {
    let mut network = Network::new(70);
    network.converge();
    let now = network.now;
    let sends_group_digest =
        |host: &&Host| !host.known_peers.group_digest_recipients(now).is_empty();
    let first = network
        .hosts
        .iter()
        .filter(sends_group_digest)
        .map(|host| host.ip);
    let first = first.collect::<HashSet<_>>();
    assert_eq!(
        first.len(),
        DOMAINS,
        "one sender of group digests per group"
    );
    network.cut_off.clone_from(&first);
    // Silent hosts count as live for three seconds, which is 30 rounds.
    for number in 0..32 {
        network.round(number, true);
    }
    for index in 0..70 {
        send_request(&mut network, index);
    }
    network.round(33, true);
    network.round(34, true);
    let observed = network.hosts.iter().zip(network.observed_requests());
    let observed = observed.filter(|(host, _)| !first.contains(&host.ip));
    let observed = observed.map(|(_, requests)| requests).collect::<Vec<_>>();
    assert_eq!(observed, vec![70 - DOMAINS as u32; 70 - DOMAINS]);
}

#[test]
fn urgent_news_reach_other_groups_directly() {
    let mut network = Network::new(70);
    network.converge();
    for number in 1..3 {
        let request = BrokenRequest {
            fingerprint: 7,
            parts: &[],
            run_time: Duration::ZERO,
        };
        let core = &mut network.hosts[0].core;
        core.record_unproven_break(network.now, &runner(&format!("r-{number}")), &request);
        network.now += Duration::from_millis(100);
    }
    network.round(40, true);
    let now = network.now;
    for host in &mut network.hosts {
        let decision = host.core.suspect_decision(now, Some(7), &[]);
        assert!(
            matches!(decision, SuspectDecision::Refuse(_)),
            "{decision:?}"
        );
    }
}

/// Guards against group digests that no host can receive: the largest datagram that a host accepts
/// is 16 KiB.
#[test]
fn a_sum_over_very_many_busy_servers_and_prompts_stays_within_a_datagram() {
    let mut network = Network::new(70);
    network.converge();
    let now = network.now;
    let host = &mut network.hosts[0];
    let group = host.known_peers.group(now);
    let number = |index: u32| hash_name(&index.to_string());
    for index in 0..1_000 {
        host.core
            .on_registry_entry(runner(&format!("runner-{index}")));
    }
    let busy = Digest {
        host: 1,
        group,
        servers: (0..1_000)
            .map(|index| ServerUpdate {
                server: hash_name(&format!("runner-{index}")),
                incarnation: Some(1),
                load: HostLoad {
                    requests: 200,
                    pending_ms: index,
                    urgent_pending_ms: 0,
                    unshared_tokens: 200_000,
                    output_tokens: 20_000,
                    non_resumable: 200,
                },
                weights: 300,
                is_changing: None,
                is_leaving: false,
                speed: Some(SpeedStatement {
                    factor_permille: 4_000,
                    samples_64: 100_000,
                    weight_64: 100_000,
                }),
            })
            .collect(),
        prompts: (0..200)
            .map(|index| PromptUpdate {
                server: number(index),
                incarnation: Some(1),
                weights: 300,
                levels: vec![
                    Level {
                        key: number(index),
                        tokens: 5_000,
                    };
                    3
                ],
            })
            .collect(),
        ..Digest::default()
    };
    // The first group digest starts the collection of prompts.
    host.core.group_digest(now, group, Vec::new());
    host.core.on_digest(now, &busy);
    let group_digest = host.core.group_digest(now, group, (0..32).collect());
    assert!(group_digest.encode(&[]).len() <= 16_384);
    let busiest = hash_name("runner-999");
    assert!(
        group_digest
            .servers
            .iter()
            .any(|update| update.server == busiest)
    );
}

/// At the planned fleet size, one rotation of heartbeats to all hosts takes ten seconds. A host
/// that sent a digest within the last rotation must count as live, or large fleets would lose live
/// hosts between rotations.
#[test]
fn hosts_of_the_largest_fleet_stay_known_between_turns() {
    const ME: u64 = 1_000_001;
    let start = Instant::now();
    let local_host = LocalHost {
        ip: Ipv4Addr::new(10, 0, 0, 1),
        host: ME,
        domain: 0,
    };
    let mut known_peers = KnownPeers::new(start, local_host, Vec::new());
    let rotation = Duration::from_secs(10);
    for index in 2..=520_u32 {
        let digest = Digest {
            host: hash_name(&index.to_string()),
            domain: 0,
            group: u64::from(index % 16 + 2),
            ..Digest::default()
        };
        let received_at = start + rotation * index / 520;
        known_peers.record_digest(received_at, Ipv4Addr::from(0x0a00_0000 + index), &digest);
    }
    assert_eq!(known_peers.non_members(start + rotation, 1).len(), 519);
    // One host of each group that the others report.
    assert_eq!(
        known_peers.group_digest_recipients(start + rotation).len(),
        16
    );
    // 520 hosts do not fit in 16 groups of 32, so the number of groups doubles to 32.
    let group = known_peers.group(start + rotation);
    assert_eq!(group, rendezvous_score(0, ME % 32));
}

/// Guards against streams that nobody saves, or that one host saves for a whole fleet, and against keepers
/// that one failure domain takes with it.
#[rstest]
#[case(2, 2, 2)]
#[case(7, 2, 2)]
#[case(24, 3, 2)]
#[case(70, 6, 1)]
fn each_host_has_savers_and_keepers_in_several_domains(
    #[case] hosts: usize,
    #[case] expected_savers: usize,
    #[case] savers_per_host: usize,
) {
    let mut network = Network::new(hosts);
    network.converge();
    let now = network.now;
    let keepers = network.hosts.iter().map(|host| {
        let keepers = host.known_peers.stream_keepers(now);
        (host.ip, keepers)
    });
    let keepers = keepers.collect::<Vec<_>>();
    let savers = keepers.iter().filter(|(_, keepers)| keepers.is_saver);
    let savers = savers.map(|(ip, _)| *ip).collect::<HashSet<_>>();
    assert_eq!(savers.len(), expected_savers);
    let mut told_savers = HashMap::<Ipv4Addr, usize>::new();
    for (index, (ip, keepers)) in keepers.iter().enumerate() {
        let distinct = keepers.peers.iter().collect::<HashSet<_>>();
        assert_eq!(distinct.len(), 3.min(hosts - 1));
        assert!(!distinct.contains(ip));
        let of_host = keepers.peers.iter().filter(|peer| savers.contains(peer));
        let of_host = of_host.copied().collect::<Vec<_>>();
        assert!(
            of_host.len() + usize::from(keepers.is_saver) >= savers_per_host,
            "{ip}"
        );
        for saver in of_host {
            *told_savers.entry(saver).or_default() += 1;
        }
        let domain = |peer: &Ipv4Addr| (u32::from(*peer) - 0x0a00_0001) as usize % DOMAINS;
        let is_elsewhere = |peer: &&Ipv4Addr| domain(peer) != index % DOMAINS;
        assert!(keepers.peers.iter().any(|peer| is_elsewhere(&peer)), "{ip}");
    }
    let most = told_savers.values().max().copied().unwrap_or_default();
    let mean = hosts * savers_per_host / expected_savers;
    assert!(most <= 3 * mean, "{most} hosts tell one saver");
}
