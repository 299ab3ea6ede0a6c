//! Quotas of workspaces, enforced by all hosts of a fleet together.
//!
//! Each host keeps an estimate of the fleet's balance of each workspace: a bucket that refills at the
//! rate of the quota, up to its burst. It deducts its own admissions at once and those of other hosts
//! as they report them; between two reports of a peer it assumes the peer's last rate. While all hosts
//! together request more than the rate, a host admits only the fraction of the requests that the rate and
//! the balance allow, so that hosts do not all spend the same balance between two reports.
//!
//! A peer (a host, or a group of hosts that reports its sum) that misses about three reports is *late*. Its
//! share of balance and rate, by the demand known before, is reserved for it, because it may spend that on
//! the other side of a partition. Hosts that hear of nobody thus use their own share only.

mod account;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use account::Account;

/// Reports that a peer may miss before its share is reserved.
const LATE_AFTER_INTERVALS: f64 = 3.0;
/// Time between two reports that is assumed of a new peer.
const INITIAL_INTERVAL_S: f64 = 0.5;
/// Bounds of the time after which a peer is late.
const MIN_LATE_S: f64 = 0.45;
const MAX_LATE_S: f64 = 3.0;
/// Time after which a small share of silent hosts is free again: they are taken to be gone.
const FORGET_SMALL_AFTER: Duration = Duration::from_secs(10);
/// Share of a quota that counts as small. The bound leaves a tenth above the quota, which covers it if the
/// hosts are alive after all.
const SMALL_SHARE: f64 = 0.08;
/// Time after which the share of any number of silent hosts is free again; longer than a partition.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Time after the last digest of its group for which a host's own reports stay uncounted. A new sender
/// of a group's digests takes over within 3 s.
const COVERED_FOR: Duration = Duration::from_secs(5);
/// Time for which the sender of a group's digests is kept although another host sends some.
const SENDER_KEPT_FOR: Duration = Duration::from_millis(500);
/// Time after its last heartbeat for which a host of the previous build counts as live; a rotation
/// of heartbeats takes 10.4 s in a fleet of 520 hosts.
const PREVIOUS_BUILD_TTL: Duration = Duration::from_secs(12);
/// Hosts that a restarted host assumes until it has heard of one, the smallest deployment.
const MIN_HOSTS: f64 = 6.0;
/// Shortest time between two checks of which peers are late.
const REVIEW_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a used workspace is listed in reports.
const LISTED_FOR: Duration = Duration::from_secs(10);
/// Maximum number of workspaces in a report; those used last are listed.
pub const MAX_REPORTED_WORKSPACES: usize = 32;

/// Quota of a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Units per second; positive.
    pub rate_per_s: f64,
    /// Units that may be used at once.
    pub burst: f64,
}

/// Whether a request is within the quota of its workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The workspace has no quota.
    Unlimited,
    /// The units were charged.
    Charged,
    /// The request is over the quota; nothing was charged.
    Refused {
        /// Time after which the balance covers the request if no other is admitted.
        retry_after: Duration,
    },
}

/// What a host, or a group, reports of one workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaStatement {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Units admitted since the sender's start, less those given back.
    pub admitted: u64,
    /// Units requested per second, admitted or not.
    pub demand_per_s: f32,
    /// Balance of the fleet as the sender estimates it.
    pub balance: i64,
}

/// Report of a host about the quotas, with the number of its process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaReport {
    /// Distinguishes the process from others of the same host; not 0.
    pub process: u64,
    /// Workspaces that were used lately.
    pub statements: Vec<QuotaStatement>,
}

/// Whose admissions a report counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportScope<'a> {
    /// Those of the sender, a member of this host's group.
    Member,
    /// Those of the sender, a host of another group.
    Host,
    /// Those of the listed hosts, the sender included.
    Group(&'a [u64]),
}

/// A host, or a group of hosts, that reports its admissions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Peer {
    Host(u64),
    Group(u64),
}

#[derive(Clone, Copy, Debug)]
struct PeerState {
    /// Process that sent the last report.
    process: u64,
    heard_at: Instant,
    /// Usual time between two reports.
    interval_s: f64,
    hosts: f64,
    /// Whether it is a member of this host's group.
    is_member: bool,
    is_late: bool,
}

/// Balances of all workspaces with a quota, on one host.
#[derive(Clone, Debug)]
pub struct FleetQuotas {
    process: u64,
    started_at: Instant,
    /// Whether this host replaces or joins others, so that its balances start empty.
    is_restart: bool,
    accounts: HashMap<u64, Account>,
    peers: HashMap<Peer, PeerState>,
    /// Groups whose digests count the admissions of a host.
    covered: HashMap<u64, (u64, Instant)>,
    /// Live hosts of the previous build, which report nothing and enforce no quota.
    previous_build: HashMap<u64, Instant>,
    reviewed_at: Instant,
}

impl FleetQuotas {
    /// Creates the state of a host without quotas. `process` differs for each process of a host and is
    /// not 0; `is_restart` is false only if the whole fleet starts for the first time.
    #[must_use]
    pub fn new(now: Instant, process: u64, is_restart: bool) -> Self {
        Self {
            process: process.max(1),
            started_at: now,
            is_restart,
            accounts: HashMap::new(),
            peers: HashMap::new(),
            covered: HashMap::new(),
            previous_build: HashMap::new(),
            reviewed_at: now,
        }
    }

    /// Applies the quotas of a table, by the hash of the workspace's name; the state of other workspaces
    /// is dropped.
    pub fn set_limits(&mut self, now: Instant, limits: &HashMap<u64, QuotaLimit>) {
        self.accounts
            .retain(|workspace, _| limits.contains_key(workspace));
        let is_empty = self.is_restart;
        for (&workspace, &limit) in limits {
            let account = self.accounts.entry(workspace);
            account
                .or_insert_with(|| Account::new(now, limit, is_empty))
                .resize(now, limit);
        }
        self.update_reserves(now);
    }

    /// Returns the number of workspaces with a quota.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no workspace has a quota.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Charges the units of a request, unless it is over the quota of its workspace. `draw` is the hash of
    /// the request and spreads the refusals and the times of their repetitions.
    pub fn charge(&mut self, now: Instant, workspace: u64, units: f64, draw: u64) -> QuotaDecision {
        if units <= 0.0 || !self.accounts.contains_key(&workspace) {
            return QuotaDecision::Unlimited;
        }
        self.review(now);
        match self.accounts.get_mut(&workspace) {
            Some(account) => account.charge(now, units, draw),
            None => QuotaDecision::Unlimited,
        }
    }

    /// Gives back the units of a request that has not run.
    pub fn give_back(&mut self, now: Instant, workspace: u64, units: f64) {
        if let Some(account) = self.accounts.get_mut(&workspace) {
            account.give_back(now, units);
        }
    }

    /// Returns the estimated balance of a workspace.
    pub fn balance(&mut self, now: Instant, workspace: u64) -> Option<f64> {
        self.review(now);
        let account = self.accounts.get_mut(&workspace)?;
        Some(account.balance(now))
    }

    /// Returns the report of this host's own admissions.
    pub fn report(&mut self, now: Instant) -> QuotaReport {
        self.build_report(now, Account::used_at, Account::own_statement)
    }

    /// Returns the report of the admissions of this host and the members of its group.
    pub fn group_report(&mut self, now: Instant) -> QuotaReport {
        self.build_report(now, Account::group_used_at, Account::group_statement)
    }

    fn build_report(
        &mut self,
        now: Instant,
        used_at: impl Fn(&Account) -> Option<Instant>,
        state: impl Fn(&Account) -> (f64, f64),
    ) -> QuotaReport {
        self.review(now);
        let accounts = self.accounts.iter_mut();
        let used = accounts.filter_map(|(&workspace, account)| {
            let used_at = used_at(account)?;
            let is_listed = now.saturating_duration_since(used_at) < LISTED_FOR;
            is_listed.then_some((used_at, workspace, account))
        });
        let mut used = used.collect::<Vec<_>>();
        if used.len() > MAX_REPORTED_WORKSPACES {
            used.sort_by_key(|(used_at, workspace, _)| (std::cmp::Reverse(*used_at), *workspace));
            used.truncate(MAX_REPORTED_WORKSPACES);
        }
        let statements = used.into_iter().map(|(_, workspace, account)| {
            let balance = account.balance(now);
            let (admitted, demand) = state(account);
            QuotaStatement {
                workspace,
                admitted: admitted.max(0.0).round() as u64,
                demand_per_s: demand as f32,
                balance: balance.round() as i64,
            }
        });
        QuotaReport {
            process: self.process,
            statements: statements.collect(),
        }
    }

    /// Records that a host of the previous build is live, which sends no reports.
    pub fn on_previous_build(&mut self, now: Instant, host: u64) {
        if self.previous_build.insert(host, now).is_none() {
            self.update_reserves(now);
        }
    }

    /// Merges a report; `group` is the group that its sender states.
    pub fn on_report(
        &mut self,
        now: Instant,
        host: u64,
        group: u64,
        scope: ReportScope<'_>,
        report: &QuotaReport,
    ) {
        let (peer, hosts) = match scope {
            ReportScope::Group(hosts) => {
                let peer = Peer::Group(group);
                if let Some(state) = self.peers.get(&peer)
                    && state.process != report.process
                    && now.saturating_duration_since(state.heard_at) < SENDER_KEPT_FOR
                {
                    return;
                }
                self.cover(now, group, hosts);
                (peer, hosts.len() as f64)
            }
            ReportScope::Member | ReportScope::Host => {
                if self.previous_build.remove(&host).is_some() {
                    self.update_reserves(now);
                }
                if self.is_covered(now, host, group) {
                    return;
                }
                (Peer::Host(host), 1.0)
            }
        };
        self.review(now);
        let is_member = scope == ReportScope::Member;
        let before = self.peers.get(&peer).copied();
        let is_new_process = before.is_none_or(|state| state.process != report.process);
        self.record_heard(now, peer, report.process, hosts, is_member);
        if before.is_none_or(|state| state.is_late || state.hosts != hosts) {
            self.update_reserves(now);
        }
        for statement in &report.statements {
            if let Some(account) = self.accounts.get_mut(&statement.workspace) {
                account.on_statement(now, peer, Some(*statement), is_new_process, is_member);
            }
        }
        for account in self.accounts.values_mut() {
            account.on_unlisted(now, peer, is_new_process, is_member);
        }
    }

    /// Records that a peer reported.
    fn record_heard(
        &mut self,
        now: Instant,
        peer: Peer,
        process: u64,
        hosts: f64,
        is_member: bool,
    ) {
        let state = self.peers.entry(peer).or_insert(PeerState {
            process,
            heard_at: now,
            interval_s: INITIAL_INTERVAL_S,
            hosts,
            is_member,
            is_late: false,
        });
        let elapsed = now.saturating_duration_since(state.heard_at);
        // Longer silences are faults; shorter ones are usual for the heartbeats of a host whose group
        // sends no digests.
        if elapsed.as_secs_f64() < MAX_LATE_S {
            state.interval_s += (elapsed.as_secs_f64() - state.interval_s) * 0.2;
        }
        (state.process, state.heard_at, state.hosts) = (process, now, hosts);
        (state.is_member, state.is_late) = (is_member, false);
    }

    /// Records that the digests of a group count the admissions of its hosts.
    fn cover(&mut self, now: Instant, group: u64, hosts: &[u64]) {
        for &host in hosts {
            self.covered.insert(host, (group, now));
            let peer = Peer::Host(host);
            if self.peers.remove(&peer).is_some() {
                for account in self.accounts.values_mut() {
                    account.remove_peer(now, peer);
                }
            }
        }
        self.covered
            .retain(|host, (other, _)| *other != group || hosts.contains(host));
    }

    /// Returns whether the digests of a group count the admissions of a host, which states its group.
    fn is_covered(&mut self, now: Instant, host: u64, group: u64) -> bool {
        let Some(&(by, at)) = self.covered.get(&host) else {
            return false;
        };
        let is_fresh = now.saturating_duration_since(at) < COVERED_FOR;
        if is_fresh && by == group {
            return true;
        }
        self.covered.remove(&host);
        let peer = Peer::Group(by);
        let is_last = self.peers.get_mut(&peer).is_some_and(|state| {
            state.hosts -= 1.0;
            state.hosts < 0.5
        });
        if is_last || !is_fresh {
            self.remove_peer(now, peer);
        }
        false
    }

    fn remove_peer(&mut self, now: Instant, peer: Peer) {
        self.peers.remove(&peer);
        for account in self.accounts.values_mut() {
            account.remove_peer(now, peer);
        }
    }

    /// Finds out which peers are late or gone.
    fn review(&mut self, now: Instant) {
        if now.saturating_duration_since(self.reviewed_at) < REVIEW_INTERVAL {
            return;
        }
        self.reviewed_at = now;
        let silence = |state: &PeerState| now.saturating_duration_since(state.heard_at);
        let mut accounts = self.accounts.values();
        // Other groups may miss as many hosts, so a group forgets its part only.
        let members = self.peers.values().filter(|state| state.is_member).count();
        let small_share = SMALL_SHARE * (1 + members) as f64 / self.host_count();
        let is_small = accounts.all(|account| account.reserved() <= small_share);
        let gone = self.peers.iter().filter(|(_, state)| {
            let silence = silence(state);
            silence > FORGET_AFTER || (is_small && silence > FORGET_SMALL_AFTER)
        });
        let gone = gone.map(|(&peer, _)| peer).collect::<Vec<_>>();
        // A restarted host without peers gets a larger share only with time.
        let mut is_changed = !gone.is_empty() || self.is_restart && self.peers.is_empty();
        for peer in gone {
            self.remove_peer(now, peer);
        }
        for state in self.peers.values_mut() {
            let limit = (state.interval_s * LATE_AFTER_INTERVALS).clamp(MIN_LATE_S, MAX_LATE_S);
            let silence = now.saturating_duration_since(state.heard_at);
            let is_late = silence.as_secs_f64() > limit;
            is_changed |= is_late && !state.is_late;
            state.is_late |= is_late;
        }
        let previous_build = self.previous_build.len();
        self.previous_build
            .retain(|_, at| now.saturating_duration_since(*at) < PREVIOUS_BUILD_TTL);
        is_changed |= self.previous_build.len() != previous_build;
        if is_changed {
            self.update_reserves(now);
        }
    }

    /// Tells the accounts which peers are late, and how many hosts report nothing.
    fn update_reserves(&mut self, now: Instant) {
        let hosts = self.host_count();
        // A restarted host that has heard of nobody may be cut off from a whole fleet.
        let is_alone = self.is_restart
            && self.peers.is_empty()
            && self.previous_build.is_empty()
            && now.saturating_duration_since(self.started_at) < FORGET_AFTER;
        let alone_share = if is_alone { 1.0 / MIN_HOSTS } else { 1.0 };
        let reporting = self.reporting_hosts();
        let unreported = self.previous_build.len() as f64 / reporting;
        for account in self.accounts.values_mut() {
            account.set_peers(now, &self.peers, hosts, alone_share, unreported);
        }
    }

    /// Returns the number of hosts known, this one included.
    fn host_count(&self) -> f64 {
        let peers = self.peers.values();
        1.0 + peers.map(|state| state.hosts).sum::<f64>()
    }

    /// Returns the number of hosts that report in time, this one included.
    fn reporting_hosts(&self) -> f64 {
        let peers = self.peers.values().filter(|state| !state.is_late);
        1.0 + peers.map(|state| state.hosts).sum::<f64>()
    }
}
