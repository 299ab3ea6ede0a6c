//! Gossip and membership among many hosts: the real state machines over a simulated network that
//! loses messages, in virtual time.

use std::collections::BTreeSet;
use std::time::Duration;

use hickoryhall_membership::Duty;
use hickoryhall_tools::gossip_simulation::{Node, SimulatedNetwork};
use hickoryhall_wire::{Heartbeat, Peer, Rumor};
use rstest::rstest;

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
        let mut net = SimulatedNetwork::new(hosts, domains, 5, seed);
        // Two hosts watch the store for new revisions. One is paused, the other spreads the update.
        net.nodes[0].is_paused = true;
        net.advance(Duration::from_secs(1));
        net.adopt_revision(1, 7);
        net.advance(Duration::from_secs(6));
        assert_eq!(net.count_behind(7), 0, "seed {seed}");
    }
}

#[test]
fn a_domain_that_was_cut_off_catches_up_within_six_seconds_of_healing() {
    for seed in 0..200 {
        let mut net = SimulatedNetwork::new(12, 3, 5, seed);
        net.partitioned_domain = Some("d2".to_owned());
        net.adopt_revision(0, 7);
        net.advance(Duration::from_secs(60));
        assert_eq!(
            net.count_behind(7),
            4,
            "only the isolated domain lags behind"
        );
        net.partitioned_domain = None;
        net.advance(Duration::from_secs(6));
        assert_eq!(net.count_behind(7), 0, "seed {seed}");
    }
}

#[test]
fn a_leaving_runner_is_known_in_its_domain_within_three_seconds() {
    let rumor = Rumor::RunnerLeaving {
        runner: 9,
        incarnation: 1,
    };
    for seed in 0..100 {
        let mut net = SimulatedNetwork::new(37, 1, 5, seed);
        net.advance(Duration::from_secs(1));
        let now = net.now;
        let state = &mut net.nodes[3];
        let messages = state.gossiper.spread_rumor(now, &state.hosts, rumor);
        net.send(3, messages);
        net.advance(Duration::from_secs(3));
        // A node that already knows the rumor has no messages to send for it.
        let is_new_to = |node: &mut Node| {
            !node
                .gossiper
                .spread_rumor(now, &node.hosts, rumor)
                .is_empty()
        };
        let unaware = net.nodes.iter_mut().map(is_new_to).filter(|&is_new| is_new);
        assert_eq!(unaware.count(), 0, "seed {seed}");
    }
}

#[test]
fn a_dead_host_loses_its_duties_and_a_restarted_one_gets_them_back() {
    let mut net = SimulatedNetwork::new(6, 1, 5, 1);
    net.advance(Duration::from_secs(5));
    let live_count =
        |net: &SimulatedNetwork, node: usize| net.nodes[node].hosts.live_count_in_domain(net.now);
    assert_eq!(live_count(&net, 0), 6);
    net.nodes[4].is_paused = true;
    net.advance(Duration::from_secs(12));
    assert_eq!(live_count(&net, 0), 5);
    let holders = (0..200).map(|runner| {
        net.nodes[0]
            .hosts
            .duty_holders(net.now, "d0", Duty::Tracker(runner), 1)[0]
    });
    let dead_host = net.nodes[4].hosts.local_host().hash;
    assert!(!holders.collect::<BTreeSet<_>>().contains(&dead_host));
    net.nodes[4].is_paused = false;
    net.advance(Duration::from_secs(5));
    assert_eq!(live_count(&net, 0), 6);
}

#[test]
fn an_old_heartbeat_does_not_bring_a_host_back() {
    let mut net = SimulatedNetwork::new(2, 1, 0, 1);
    let peer = net.nodes[1].hosts.local_peer();
    let now = net.now;
    let hosts = &mut net.nodes[0].hosts;
    hosts.observe(now, Heartbeat { peer, count: 5 });
    assert!(hosts.mark_leaving(peer));
    hosts.observe(now, Heartbeat { peer, count: 6 });
    assert_eq!(
        hosts.live(now).count(),
        0,
        "a host that is leaving stays so until it restarts"
    );
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
    let net = SimulatedNetwork::new(12, 3, 0, 1);
    for runner in 0..50 {
        let duty = Duty::Tracker(runner);
        let holder = |node: &Node| node.hosts.duty_holders(net.now, "d1", duty, 1);
        assert!(
            net.nodes
                .iter()
                .all(|node| holder(node) == holder(&net.nodes[0]))
        );
    }
}
