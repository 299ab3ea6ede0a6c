//! Tests that the fleet exceeds its limits by no more than the documented bound.

use std::time::{Duration, Instant};

use hickoryhall_limits::{
    DomainBuckets, FleetShape, HostLimit, RetryBudget, TakeOutcome, UnitRequest,
};
use proptest::prelude::*;

const KEY: u64 = 1;
const STEP: Duration = Duration::from_millis(50);

/// Bucket host from which a host requests units in a step.
#[derive(Clone, Copy, Debug)]
enum Reach {
    /// The domain's bucket host.
    Bucket,
    /// None, as the host is partitioned from its peers.
    Nobody,
    /// A second bucket host, which exists while hosts disagree about which hosts are live.
    Second,
}

struct Fleet {
    shape: FleetShape,
    limit: u32,
    hosts: Vec<HostLimit>,
    buckets: Vec<DomainBuckets>,
    taken: u64,
}

impl Fleet {
    fn new(now: Instant, shape: FleetShape, limit: u32) -> Self {
        let hosts = shape.domains * shape.hosts_per_domain;
        Self {
            shape,
            limit,
            hosts: (0..hosts)
                .map(|_| HostLimit::new(now, limit, shape))
                .collect(),
            buckets: vec![DomainBuckets::default(); shape.domains as usize * 2],
            taken: 0,
        }
    }

    fn step(&mut self, now: Instant, demand: u32, reach: impl Fn(usize) -> Reach) {
        for host in 0..self.hosts.len() {
            (0..demand).for_each(|_| self.take(now, host));
            let wanted = self.hosts[host].units_to_request(now);
            let domain = host % self.shape.domains as usize;
            let bucket = match reach(host) {
                Reach::Nobody => continue,
                Reach::Bucket => domain,
                Reach::Second => domain + self.shape.domains as usize,
            };
            let requester = host as u64;
            let request = UnitRequest {
                key: KEY,
                limit: self.limit,
                requester,
                wanted,
            };
            let grant = self.buckets[bucket].grant(now, &request, self.shape);
            self.hosts[host].add_grant(now, grant);
        }
    }

    fn take(&mut self, now: Instant, host: usize) {
        if self.hosts[host].take(now, 1) == TakeOutcome::Taken {
            self.taken += 1;
        }
    }

    /// Returns the documented bound, plus one unit per host, the minimum burst of its own bucket.
    fn bound(&self, seconds: f64, bucket_hosts: u32) -> f64 {
        let limit = f64::from(self.limit);
        let domains = f64::from(self.shape.domains);
        let extra = f64::from(bucket_hosts) - domains;
        (limit + extra * limit / domains) * (seconds + 1.0) + self.hosts.len() as f64
    }
}

proptest! {
    #[test]
    fn the_fleet_stays_within_the_bound_however_hosts_are_cut_off(
        domains in 1_u32..5,
        hosts_per_domain in 1_u32..5,
        limit in 1_u32..2_000,
        demand in 1_u32..60,
        cuts in prop::collection::vec(0_u8..4, 200),
    ) {
        let start = Instant::now();
        let shape = FleetShape { domains, hosts_per_domain };
        let mut fleet = Fleet::new(start, shape, limit);
        for step in 0..200_u32 {
            let now = start + STEP * step;
            let reach = |host: usize| match cuts[(step as usize / 10 + host) % 200] {
                0 => Reach::Nobody,
                1 => Reach::Second,
                _ => Reach::Bucket,
            };
            fleet.step(now, demand, reach);
            let seconds = (STEP * step).as_secs_f64();
            prop_assert!(fleet.taken as f64 <= fleet.bound(seconds, domains * 2) + 1e-6);
        }
    }

    #[test]
    fn with_one_bucket_host_each_the_limit_itself_holds(
        domains in 1_u32..5,
        hosts_per_domain in 1_u32..5,
        limit in 10_u32..2_000,
        demand in 1_u32..60,
    ) {
        let start = Instant::now();
        let mut fleet = Fleet::new(start, FleetShape { domains, hosts_per_domain }, limit);
        for step in 0..200_u32 {
            fleet.step(start + STEP * step, demand, |_| Reach::Bucket);
        }
        prop_assert!(fleet.taken as f64 <= fleet.bound(10.0, domains) + 1e-6);
    }
}

#[test]
fn hosts_with_equal_demand_get_equal_parts() {
    let start = Instant::now();
    let shape = FleetShape {
        domains: 3,
        hosts_per_domain: 2,
    };
    let mut fleet = Fleet::new(start, shape, 600);
    let mut taken = [0_u64; 6];
    for step in 0..400_u32 {
        let now = start + STEP * step;
        for (host, count) in taken.iter_mut().enumerate() {
            for _ in 0..20 {
                *count += u64::from(fleet.hosts[host].take(now, 1) == TakeOutcome::Taken);
            }
        }
        fleet.step(now, 0, |_| Reach::Bucket);
    }
    let (least, most) = (taken.iter().min(), taken.iter().max());
    let (least, most) = (*least.expect("hosts") as f64, *most.expect("hosts") as f64);
    assert!(most / least <= 1.05, "{taken:?}");
    assert!(
        taken.iter().sum::<u64>() as f64 >= 600.0 * 20.0 * 0.95,
        "{taken:?}"
    );
}

#[test]
fn a_host_that_reaches_nobody_still_has_its_own_part() {
    let start = Instant::now();
    let shape = FleetShape {
        domains: 3,
        hosts_per_domain: 2,
    };
    let mut host = HostLimit::new(start, 240, shape);
    let mut taken = 0;
    for step in 0..200_u32 {
        let now = start + STEP * step;
        taken += u32::from(host.take(now, 1) == TakeOutcome::Taken);
    }
    // A quarter of 240 / 3, divided between two hosts, is 10 units per second.
    assert!((100..=110).contains(&taken), "{taken}");
}

#[test]
fn retries_stay_within_a_tenth_of_the_traffic_after_the_first_burst() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(now);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_request();
        retries += u32::from(budget.take(now));
    }
    assert!(retries <= 1_000 + 21, "{retries}");
    assert!(budget.refused() > 0);
}
