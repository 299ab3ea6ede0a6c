//! A fleet of `FleetQuotas` in virtual time that exchange reports with delay and loss.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hickoryhall_limits::{FleetQuotas, QuotaDecision, QuotaLimit, QuotaReport, ReportScope};

/// Workspace that all hosts serve.
pub const WORKSPACE: u64 = 7;
const STEP_S: f64 = 0.005;
/// Steps until the last report in transit arrives.
const MAX_DELAY_STEPS: u64 = 16;
const LOSS: f64 = 0.02;

/// How hosts are divided, and what they serve.
#[derive(Clone)]
pub struct Plan {
    pub hosts: usize,
    pub groups: usize,
    pub limit: QuotaLimit,
    /// Sizes of requests in units, drawn equally often.
    pub sizes: Vec<f64>,
}

impl Plan {
    /// Returns the fleet of the first deployment with its largest workspace.
    pub fn first_deployment() -> Self {
        Self {
            hosts: 68,
            groups: 3,
            limit: limit(2_294_322.0),
            sizes: vec![900.0, 9_197.0, 9_197.0, 9_197.0, 9_197.0, 46_000.0],
        }
    }
}

/// Returns a quota with a burst of one second.
pub fn limit(rate_per_s: f64) -> QuotaLimit {
    QuotaLimit {
        rate_per_s,
        burst: rate_per_s,
    }
}

struct Message {
    from: usize,
    group: u64,
    is_group: bool,
    hosts: Vec<u64>,
    report: QuotaReport,
}

pub struct Host {
    pub quotas: FleetQuotas,
    /// Hosts exchange reports only within the same part of a partition.
    part: usize,
    /// Time since which the host is dead or frozen.
    silent_since: Option<f64>,
    /// Whether the host is of the previous build.
    pub is_old: bool,
    weight: f64,
    due: f64,
    next_report: f64,
    next_heartbeats: f64,
    next_group_report: f64,
}

pub struct Fleet {
    plan: Plan,
    start: Instant,
    step: u64,
    pub hosts: Vec<Host>,
    /// Time of the last change of the parts.
    cut_at: f64,
    processes: u64,
    random: u64,
    in_transit: HashMap<u64, Vec<(usize, Rc<Message>)>>,
    /// Units admitted in each step.
    pub admitted: Vec<f64>,
    pub refused: u64,
}

impl Fleet {
    pub fn new(plan: Plan) -> Self {
        let start = Instant::now();
        let mut fleet = Self {
            start,
            step: 0,
            hosts: Vec::new(),
            cut_at: 0.0,
            processes: 0,
            random: std::env::var("SEED").map_or(1, |seed| seed.parse().expect("a number")),
            in_transit: HashMap::new(),
            admitted: Vec::new(),
            refused: 0,
            plan,
        };
        for index in 0..fleet.plan.hosts {
            // The first host of each group is twelve times as busy as the last one.
            let rank = index / fleet.plan.groups;
            let host = fleet.new_host(1.0 / (1.0 + rank as f64 / 2.0), false);
            fleet.hosts.push(host);
        }
        fleet
    }

    fn new_host(&mut self, weight: f64, is_restart: bool) -> Host {
        self.processes += 1;
        let now = self.now();
        let mut quotas = FleetQuotas::new(now, self.processes, is_restart);
        quotas.set_limits(now, &HashMap::from([(WORKSPACE, self.plan.limit)]));
        let at = self.time();
        Host {
            quotas,
            part: 0,
            silent_since: None,
            is_old: false,
            weight,
            due: self.random(),
            next_report: at + self.random() * 0.15,
            next_heartbeats: at + self.random(),
            next_group_report: at + self.random() * 0.15,
        }
    }

    pub fn now(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.time())
    }

    pub fn time(&self) -> f64 {
        self.step as f64 * STEP_S
    }

    pub fn random(&mut self) -> f64 {
        self.random = hickoryhall_types::rendezvous_score(self.random, 3) ^ self.step;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    pub fn set_limit(&mut self, limit: QuotaLimit) {
        self.plan.limit = limit;
        let now = self.now();
        for host in &mut self.hosts {
            host.quotas
                .set_limits(now, &HashMap::from([(WORKSPACE, limit)]));
        }
    }

    pub fn remove_limit(&mut self) {
        let now = self.now();
        for host in &mut self.hosts {
            host.quotas.set_limits(now, &HashMap::new());
        }
    }

    /// Replaces a host by a new process with the same name.
    pub fn restart(&mut self, index: usize) {
        let weight = self.hosts[index].weight;
        self.hosts[index] = self.new_host(weight, true);
    }

    /// Lets callers request some units per second of all hosts for a time.
    pub fn run(&mut self, seconds: f64, units_per_s: f64) {
        let steps = (seconds / STEP_S).round() as u64;
        let weights = self.hosts.iter().map(|host| host.weight).sum::<f64>();
        let mean = self.plan.sizes.iter().sum::<f64>() / self.plan.sizes.len() as f64;
        for _ in 0..steps {
            self.step += 1;
            self.deliver();
            let mut admitted = 0.0;
            for index in 0..self.hosts.len() {
                if self.hosts[index].silent_since.is_some() {
                    continue;
                }
                let share = self.hosts[index].weight / weights;
                self.hosts[index].due += units_per_s * share / mean * STEP_S * 2.0 * self.random();
                while self.hosts[index].due >= 1.0 {
                    self.hosts[index].due -= 1.0;
                    let size = (self.random() * self.plan.sizes.len() as f64) as usize;
                    let units = self.plan.sizes[size];
                    if self.request(index, units) {
                        admitted += units;
                    } else {
                        self.refused += 1;
                    }
                }
                self.send(index);
            }
            self.admitted.push(admitted);
        }
    }

    fn request(&mut self, index: usize, units: f64) -> bool {
        let draw = self.random().to_bits();
        let now = self.now();
        let host = &mut self.hosts[index];
        if host.is_old {
            return true;
        }
        !matches!(
            host.quotas.charge(now, WORKSPACE, units, draw),
            QuotaDecision::Refused { .. }
        )
    }

    fn group(&self, index: usize) -> u64 {
        (index % self.plan.groups) as u64 + 1
    }

    fn send(&mut self, index: usize) {
        let (time, now) = (self.time(), self.now());
        let group = self.group(index);
        if time >= self.hosts[index].next_report {
            let members = self.members(index, true);
            self.hosts[index].next_report = time + (members.len() as f64 / 150.0).max(0.1);
            self.post(index, &members);
        }
        if time >= self.hosts[index].next_heartbeats {
            let others = self.members(index, false);
            self.hosts[index].next_heartbeats = time + (others.len() as f64 / 50.0).max(0.2);
            self.post(index, &others);
        }
        if time < self.hosts[index].next_group_report || self.plan.groups == 1 {
            return;
        }
        self.hosts[index].next_group_report = time + 0.15;
        let mut members = self.members(index, true);
        members.retain(|&other| !self.is_gone(index, other));
        // The first live member sends the group's digests.
        let is_sender = members.iter().all(|&other| other > index);
        if is_sender {
            let others = self.members(index, false);
            let hosts = members.into_iter().chain([index]).map(|host| host as u64);
            let message = Message {
                from: index,
                group,
                is_group: true,
                hosts: hosts.collect(),
                report: self.hosts[index].quotas.group_report(now),
            };
            self.put_in_transit(&others, message);
        }
    }

    /// Returns whether a host takes another one for gone, which it has not heard for 3 s.
    fn is_gone(&self, index: usize, other: usize) -> bool {
        let is_long_ago = |since: f64| self.time() - since > 3.0;
        let is_cut = self.hosts[index].part != self.hosts[other].part;
        self.hosts[other].silent_since.is_some_and(is_long_ago)
            || is_cut && is_long_ago(self.cut_at)
    }

    /// Returns the other hosts that are, or are not, in a host's group.
    fn members(&self, index: usize, in_group: bool) -> Vec<usize> {
        let group = self.group(index);
        let others = (0..self.hosts.len()).filter(|&other| other != index);
        let others = others.filter(|&other| (self.group(other) == group) == in_group);
        others.collect()
    }

    /// Lets a host stop sending, receiving and serving, or go on.
    pub fn set_silent(&mut self, index: usize, is_silent: bool) {
        self.hosts[index].silent_since = is_silent.then(|| self.time());
    }

    /// Divides the hosts into parts that do not hear each other.
    pub fn cut(&mut self, part: impl Fn(usize) -> usize) {
        self.cut_at = self.time();
        for index in 0..self.hosts.len() {
            self.hosts[index].part = part(index);
        }
    }

    fn post(&mut self, from: usize, to: &[usize]) {
        let now = self.now();
        let message = Message {
            from,
            group: self.group(from),
            is_group: false,
            hosts: Vec::new(),
            report: self.hosts[from].quotas.report(now),
        };
        self.put_in_transit(to, message);
    }

    fn put_in_transit(&mut self, to: &[usize], message: Message) {
        let message = Rc::new(message);
        for &to in to {
            let is_cut = self.hosts[to].part != self.hosts[message.from].part;
            if is_cut || self.random() < LOSS {
                continue;
            }
            let delay = 1 + (self.random() * self.random() * MAX_DELAY_STEPS as f64) as u64;
            let arrivals = self.in_transit.entry(self.step + delay);
            arrivals.or_default().push((to, Rc::clone(&message)));
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        for (to, message) in self.in_transit.remove(&self.step).unwrap_or_default() {
            let (from, group) = (message.from as u64, message.group);
            let is_member = self.group(to) == group;
            let is_old = self.hosts[message.from].is_old;
            let host = &mut self.hosts[to];
            if host.silent_since.is_some() {
                continue;
            }
            if is_old {
                if !message.is_group {
                    host.quotas.on_previous_build(now, from);
                }
                continue;
            }
            let scope = if message.is_group {
                ReportScope::Group(&message.hosts)
            } else if is_member {
                ReportScope::Member
            } else {
                ReportScope::Host
            };
            host.quotas
                .on_report(now, from, group, scope, &message.report);
        }
    }

    /// Returns the largest number of units that ran in any 8 s, relative to the bound.
    pub fn worst(&self) -> f64 {
        let window = (8.0 / STEP_S) as usize;
        let limit = self.plan.limit;
        let bound = (limit.rate_per_s * 8.0 + limit.burst) * 1.1 + 110_000.0;
        let (mut sum, mut worst) = (0.0, 0.0_f64);
        for (index, units) in self.admitted.iter().enumerate() {
            sum += units;
            if index >= window {
                sum -= self.admitted[index - window];
            }
            worst = worst.max(sum);
        }
        worst / bound
    }

    /// Returns the units admitted in the last seconds, relative to what the rate allows.
    pub fn used(&self, seconds: f64) -> f64 {
        let steps = (seconds / STEP_S) as usize;
        let admitted = &self.admitted[self.admitted.len() - steps..];
        admitted.iter().sum::<f64>() / (self.plan.limit.rate_per_s * seconds)
    }
}
