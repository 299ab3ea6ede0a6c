//! Duties of a host that is cut off from servers pass to hosts that reach them.

mod support;

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use hickoryhall_gateway::core::{Core, CoreConfig};
use hickoryhall_gateway::interface::StatedLimit;
use hickoryhall_gateway::registry::BackendServer;
use hickoryhall_gateway::scheduler::{PlacementRefusal, RefusalReason, SchedulerConfig};
use hickoryhall_limits::FleetRetryLimit;
use hickoryhall_types::hash_name;
use slog::{Discard, Logger, o};
use support::{model_service, placement_request, runner, table_of};
use tokio::sync::oneshot;

const HOSTS: usize = 3;
const RUNNERS: usize = 4;
const DUTY: u64 = 5;

/// Hosts that hear each other.
struct Fleet {
    now: Instant,
    runners: usize,
    hosts: Vec<Core>,
}

fn host(index: usize, runners: usize) -> Core {
    let name = hash_name(&format!("host-{index}"));
    let config = CoreConfig {
        host: name,
        scheduler: SchedulerConfig::new(name, "a".into()),
        retry_limit: FleetRetryLimit {
            ratio: 0.2,
            extra_retries: 50.0,
            window: Duration::from_secs(10),
        },
        restarted_at: None,
    };
    let mut core = Core::new(config, Logger::root(Discard, o!()));
    core.set_table(table_of([("models", model_service(64, 100_000))]));
    for number in 0..runners {
        core.on_registry_entry(runner(number, 64));
    }
    core
}

impl Fleet {
    fn new(runners: usize) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            runners,
            hosts: (0..HOSTS).map(|index| host(index, runners)).collect(),
        };
        fleet.exchange();
        fleet
    }

    /// Lets all hosts hear the others' digests.
    fn exchange(&mut self) {
        self.now += Duration::from_millis(100);
        for from in 0..HOSTS {
            let digest = self.hosts[from].digest(self.now, 1);
            let ip = Ipv4Addr::from(from as u32 + 1);
            for to in (0..HOSTS).filter(|&to| to != from) {
                self.hosts[to].on_digest(self.now, &digest);
                self.hosts[to].record_peer_statement(self.now, ip, &digest);
            }
        }
        for host in &mut self.hosts {
            host.tick(self.now);
        }
    }

    fn cut_off(&mut self, host: usize) {
        for number in 0..self.runners {
            self.hosts[host].record_connect_failed(self.now, &runner(number, 64));
        }
        self.exchange();
    }

    /// Returns the ranks of all hosts for a duty at runners.
    fn ranks(&self) -> Vec<Option<usize>> {
        let ranks = self.hosts.iter();
        ranks
            .map(|host| host.duty_rank_at_runners(self.now, DUTY))
            .collect()
    }

    /// Returns which hosts may send a request now.
    fn senders(&mut self) -> Vec<usize> {
        let mut senders = Vec::new();
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let request = placement_request(index as u64 + 1, Vec::new(), self.now);
            let (reply, mut placement) = oneshot::channel();
            host.place(self.now, request, reply);
            match placement.try_recv() {
                Ok(Ok(_)) => senders.push(index),
                Ok(Err(PlacementRefusal { reason, .. })) => {
                    assert!(matches!(
                        reason,
                        RefusalReason::Limited | RefusalReason::NoServer
                    ));
                }
                Err(_) => {}
            }
        }
        senders
    }
}

/// Guards against orders that reach no runner while another host could give them.
#[test]
fn a_host_that_is_cut_off_from_runners_gives_no_orders() {
    let mut fleet = Fleet::new(RUNNERS);
    let first = fleet.ranks().iter().position(|&rank| rank == Some(0));
    let first = first.expect("a first host");
    fleet.cut_off(first);
    let ranks = fleet.ranks();
    assert_eq!(ranks[first], None);
    let others = ranks.iter().flatten().copied().collect::<Vec<_>>();
    assert!(others.contains(&0) && others.contains(&1), "{ranks:?}");
    let reached: BackendServer = runner(0, 64);
    let now = fleet.now;
    fleet.hosts[first].record_connected(now, &reached);
    fleet.exchange();
    assert_eq!(fleet.ranks()[first], Some(0));
}

/// Guards against limits of servers that a host holds which cannot use them.
#[test]
fn a_host_that_is_cut_off_leaves_its_part_of_a_servers_limit_to_others() {
    let mut fleet = Fleet::new(1);
    let (now, limit) = (fleet.now, StatedLimit::PerSecond(1.0));
    fleet.hosts[0].on_stated_limit(now, &runner(0, 64), limit, now);
    fleet.exchange();
    fleet.exchange();
    let holders = fleet.senders();
    assert_eq!(holders.len(), 1, "{holders:?}");
    fleet.cut_off(holders[0]);
    fleet.now += Duration::from_secs(2);
    fleet.exchange();
    let able = fleet.senders();
    assert!(able.iter().any(|host| !holders.contains(host)), "{able:?}");
}
