//! Plays fleets before servers that fall over when they turn away too many requests, and checks what the
//! servers get.
//!
//! All hosts have more requests than the servers can take. They know each other's requests from digests that
//! are a tenth of a second old.

use std::time::{Duration, Instant};

use hickoryhall_limits::{RefusalLimits, RoomDecision};
use rstest::rstest;

const STEP: Duration = Duration::from_millis(10);
const SERVICE_STEPS: u64 = 10;
const DIGEST_STEPS: u64 = 10;
const SERVERS: u64 = 6;
const PROCESS: u64 = 1;
const TIME_STEPS: u64 = 1_000;

fn mixed(seed: u64, salt: u64) -> u64 {
    let mut mixed = seed.wrapping_add(salt.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

struct Host {
    limits: RefusalLimits,
    /// Whether the host has requests; the others are idle.
    is_busy: bool,
    /// Own requests at each server, as the steps in which they end, and whether each was risky.
    own: Vec<Vec<(u64, bool)>>,
}

struct Fleet {
    start: Instant,
    step: u64,
    slots: u32,
    hosts: Vec<Host>,
    /// Requests of all hosts at each server, as the last digests tell.
    told: Vec<u32>,
    /// Steps in which each server turned a request away.
    turned_away: Vec<Vec<u64>>,
    served: usize,
}

impl Fleet {
    fn new(hosts: usize, busy: usize, slots: u32, refusals_per_s: f64) -> Self {
        let start = Instant::now();
        let host = |index: usize| {
            let mut limits = RefusalLimits::default();
            for server in 0..SERVERS {
                limits.record(start, server, PROCESS, Some(refusals_per_s), start);
            }
            let rank = |server: u64| {
                let own = mixed(server, index as u64);
                let others = (0..hosts).filter(|&other| other != index);
                others
                    .filter(|&other| mixed(server, other as u64) > own)
                    .count()
            };
            limits.divide(start, hosts, rank, |_| Some(slots));
            Host {
                limits,
                is_busy: index < busy,
                own: vec![Vec::new(); SERVERS as usize],
            }
        };
        Self {
            start,
            step: 0,
            slots,
            hosts: (0..hosts).map(host).collect(),
            told: vec![0; SERVERS as usize],
            turned_away: vec![Vec::new(); SERVERS as usize],
            served: 0,
        }
    }

    fn running(&self, server: usize) -> u32 {
        let running = self.hosts.iter().map(|host| host.own[server].len());
        u32::try_from(running.sum::<usize>()).expect("few requests")
    }

    fn play(&mut self) {
        while self.step < TIME_STEPS {
            let now = self.start + STEP * u32::try_from(self.step).expect("a short day");
            for host in &mut self.hosts {
                for server in 0..SERVERS {
                    let (done, left) = std::mem::take(&mut host.own[server as usize])
                        .into_iter()
                        .partition::<Vec<_>, _>(|&(end, _)| end <= self.step);
                    host.own[server as usize] = left;
                    self.served += done.len();
                    for _ in done.iter().filter(|(_, is_risky)| *is_risky) {
                        host.limits.return_risk(now, server);
                    }
                }
            }
            if self.step.is_multiple_of(DIGEST_STEPS) {
                self.told = (0..SERVERS as usize)
                    .map(|server| self.running(server))
                    .collect();
            }
            for index in 0..self.hosts.len() {
                if self.hosts[index].is_busy {
                    self.fill(index, now);
                }
            }
            self.step += 1;
        }
    }

    /// Sends as many requests as a host may.
    fn fill(&mut self, index: usize, now: Instant) {
        for server in 0..SERVERS as usize {
            loop {
                let running = self.running(server);
                let host = &mut self.hosts[index];
                let own = host.own[server].len() as u32;
                let load = (own, self.told[server].max(own), self.slots);
                let decision = host.limits.decide(now, server as u64, PROCESS, load);
                let is_risky = decision == RoomDecision::Risky;
                if decision == RoomDecision::Full {
                    break;
                }
                if is_risky {
                    host.limits.take_risk(now, server as u64);
                }
                if running >= self.slots {
                    self.turned_away[server].push(self.step);
                    host.limits.record_refusal(now, server as u64);
                    break;
                }
                host.own[server].push((self.step + SERVICE_STEPS, is_risky));
            }
        }
    }

    /// Returns the largest number of requests that a server turned away within a second.
    fn most_turned_away(&self) -> usize {
        let window = 1_000 / STEP.as_millis() as u64;
        let most = self.turned_away.iter().flat_map(|steps| {
            steps.iter().enumerate().map(move |(index, &from)| {
                let end = steps.partition_point(|&step| step < from + window);
                end - index
            })
        });
        most.max().unwrap_or(0)
    }
}

#[rstest]
#[case::few_hosts(3, 3, 4, 1.0)]
#[case::small(7, 7, 6, 3.0)]
#[case::small_runners(7, 7, 64, 5.0)]
#[case::more_hosts_than_slots(95, 95, 6, 3.0)]
#[case::large_runners(95, 95, 64, 10.0)]
#[case::planned_size(520, 520, 64, 10.0)]
#[case::few_busy_hosts(7, 3, 6, 3.0)]
fn hosts_do_not_make_servers_turn_away_more_than_they_can(
    #[case] hosts: usize,
    #[case] busy: usize,
    #[case] slots: u32,
    #[case] refusals_per_s: f64,
) {
    let mut fleet = Fleet::new(hosts, busy, slots, refusals_per_s);
    fleet.play();
    let most = fleet.most_turned_away();
    assert!(
        most as f64 <= refusals_per_s,
        "{most} turned away within a second"
    );
    // Where all hosts are busy, all slots are used.
    let rounds = (TIME_STEPS / SERVICE_STEPS - 1) as usize;
    let possible = rounds * slots as usize * SERVERS as usize;
    if busy == hosts {
        assert!(
            fleet.served * 10 >= possible * 9,
            "{} of {possible}",
            fleet.served
        );
    } else {
        assert!(fleet.served > 0);
    }
}

#[test]
fn a_server_that_names_no_refusal_limit_any_more_is_free() {
    let now = Instant::now();
    let mut limits = RefusalLimits::default();
    limits.record(now, 1, PROCESS, Some(2.0), now);
    limits.divide(now, 3, |_| 2, |_| Some(1));
    let load = (1, 5, 1);
    assert_eq!(limits.decide(now, 1, PROCESS, load), RoomDecision::Full);
    // A new process says for itself.
    assert_eq!(limits.decide(now, 1, PROCESS + 1, load), RoomDecision::Free);
    let later = now + Duration::from_secs(1);
    limits.record(later, 1, PROCESS, None, later);
    limits.divide(later, 3, |_| 2, |_| Some(1));
    assert_eq!(limits.decide(later, 1, PROCESS, load), RoomDecision::Free);
}
