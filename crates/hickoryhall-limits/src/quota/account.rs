//! Balance of one workspace, as one host estimates it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::{Peer, PeerState, QuotaDecision, QuotaLimit, QuotaStatement};

/// Time constant of the demand that hosts report.
const DEMAND_S: f64 = 0.5;
/// Time constant of the demand by which the shares of late peers are reserved. A rise of the demand during
/// a partition must hardly change them before the partition is noticed.
const SHARE_S: f64 = 20.0;
/// Time constant of the rate that is assumed of a peer between its reports.
const RATE_S: f64 = 0.5;
/// Fraction of the burst that stays in the balance while requests are refused.
const RESERVE: f64 = 0.15;
/// Fraction of the burst above which every request is admitted, whatever the demand.
const FREE_ABOVE: f64 = 0.6;
/// Fraction of the demand that other hosts may have without being heeded.
const NEGLIGIBLE: f64 = 0.01;
/// Time in which the balance approaches the reserve. Shorter times than the delay of reports oscillate.
const APPROACH_S: f64 = 0.5;
/// Demand of all hosts, as a fraction of the rate, that is divided among them by their number when
/// shares are computed. It decides where the workspace was not used before.
const EQUAL_DEMAND: f64 = 0.05;
/// Longest silence of a peer for which a rise of its use is assumed.
const MAX_UNHEARD_S: f64 = 1.0;
/// Weight of a peer's balance in the own one for each report, so that errors do not last.
const AVERAGE: f64 = 0.02;
/// Time after its creation in which an account takes over the balance of a peer.
const ADOPTION_TIME: Duration = Duration::from_secs(3);
/// Bounds of the time until a refused request is worth repeating.
const MIN_RETRY_S: f64 = 0.05;
const MAX_RETRY_S: f64 = 3.0;
/// Fraction by which these times are spread, so that callers do not return at once.
const RETRY_SPREAD: f64 = 0.2;

/// What is known of a peer's use of the workspace.
#[derive(Clone, Copy, Debug)]
struct PeerUse {
    /// Units that the peer had admitted by its last report.
    admitted: Option<u64>,
    reported_at: Instant,
    /// Units admitted and requested per second.
    rate: f64,
    demand: f64,
    share_demand: f64,
    /// Units deducted for the peer since its last report.
    assumed: f64,
    /// Fraction of the quota that is reserved for the peer while it is late.
    reserved: Option<f64>,
    is_member: bool,
    /// Units of `assumed` that were counted for this host's group, as the peer was late.
    group_assumed: f64,
}

#[derive(Clone, Debug)]
pub(super) struct Account {
    limit: QuotaLimit,
    balance: f64,
    advanced_at: Instant,
    created_at: Instant,
    is_adopting: bool,
    starts_empty: bool,
    used_at: Option<Instant>,
    /// Time of the last report of a member of this host's group that listed the workspace.
    listed_at: Option<Instant>,
    admitted: f64,
    /// Units that this host and the members of its group have admitted, as it has counted them.
    group_admitted: f64,
    rate: f64,
    demand: f64,
    share_demand: f64,
    /// Admissions owed to the fraction of requests that is admitted.
    credit: f64,
    draws: u64,
    peers: HashMap<Peer, PeerUse>,
    /// Fraction of the quota that is not reserved for late peers.
    free: f64,
    /// Hosts that do not report, for each one that does.
    unreported: f64,
}

impl Account {
    pub fn new(now: Instant, limit: QuotaLimit, is_empty: bool) -> Self {
        Self {
            limit,
            balance: if is_empty { 0.0 } else { limit.burst },
            advanced_at: now,
            created_at: now,
            is_adopting: true,
            starts_empty: is_empty,
            used_at: None,
            listed_at: None,
            admitted: 0.0,
            group_admitted: 0.0,
            rate: 0.0,
            demand: 0.0,
            share_demand: 0.0,
            credit: 0.0,
            draws: 0,
            peers: HashMap::new(),
            free: 1.0,
            unreported: 0.0,
        }
    }

    /// Changes the limit; the balance is cut to the new burst.
    pub fn resize(&mut self, now: Instant, limit: QuotaLimit) {
        self.advance(now);
        self.limit = limit;
        self.limit_balance();
    }

    /// Returns when this host last got a request of the workspace.
    pub fn used_at(&self) -> Option<Instant> {
        self.used_at
    }

    /// Returns the same for this host and the members of its group.
    pub fn group_used_at(&self) -> Option<Instant> {
        self.used_at.max(self.listed_at)
    }

    pub fn balance(&mut self, now: Instant) -> f64 {
        self.advance(now);
        self.balance
    }

    /// Returns the units that this host has admitted and the demand per second.
    pub fn own_statement(&self) -> (f64, f64) {
        (self.admitted, self.demand)
    }

    /// Returns the same for this host and the members of its group.
    pub fn group_statement(&self) -> (f64, f64) {
        let members = self.peers.values().filter(|known| known.is_member);
        let demand = members.map(|known| match known.reserved {
            Some(share) => share * self.limit.rate_per_s,
            None => known.demand,
        });
        let demand = demand.sum::<f64>();
        (self.group_admitted, self.demand + demand)
    }

    pub fn charge(&mut self, now: Instant, units: f64, draw: u64) -> QuotaDecision {
        self.advance(now);
        self.used_at = Some(now);
        self.demand += units / DEMAND_S;
        self.share_demand += units / SHARE_S;
        self.draws += 1;
        let draw = uniform(draw, self.draws);
        let capacity = self.limit.burst * self.free;
        let rate = self.limit.rate_per_s * self.free;
        let others = self.others_demand();
        let total = self.demand + others;
        // Where nearly all demand is this host's own, it knows the balance.
        let has_others = others > NEGLIGIBLE * total;
        let is_contended = has_others && total > rate && self.balance < FREE_ABOVE * capacity;
        let is_admitted = if is_contended {
            let excess = self.balance - RESERVE * capacity;
            let fraction = ((rate + excess / APPROACH_S) / total).clamp(0.0, 1.0);
            let owed = (self.credit / units.max(1e-9)).clamp(-fraction / 2.0, fraction / 2.0);
            // The balance stays near the reserve, which must not shut out large requests.
            let is_covered = self.balance >= units.min(RESERVE * capacity);
            let is_admitted = is_covered && draw < fraction + owed;
            let admitted = if is_admitted { units } else { 0.0 };
            // A long debt would delay requests after the demand has changed.
            self.credit =
                (self.credit + fraction * units - admitted).clamp(-2.0 * units, 2.0 * units);
            is_admitted
        } else {
            self.credit = 0.0;
            // A request over the burst is admitted at a full balance, as it would never be otherwise.
            self.balance >= units.min(capacity)
        };
        if !is_admitted {
            return QuotaDecision::Refused {
                retry_after: self.retry_after(units, total, draw, is_contended),
            };
        }
        self.deduct(units);
        QuotaDecision::Charged
    }

    pub fn give_back(&mut self, now: Instant, units: f64) {
        self.advance(now);
        self.deduct(-units);
        self.limit_balance();
    }

    fn deduct(&mut self, units: f64) {
        self.balance -= units;
        self.admitted += units;
        self.group_admitted += units;
        self.rate = (self.rate + units / RATE_S).max(0.0);
    }

    /// Returns the time until the balance admits the request if no other one is admitted.
    fn retry_after(&self, units: f64, demand: f64, draw: f64, is_contended: bool) -> Duration {
        let capacity = self.limit.burst * self.free;
        let rate = self.limit.rate_per_s * self.free;
        let covered = units.min(capacity);
        let needed = if is_contended {
            let fraction_is_one = RESERVE * capacity + (demand - rate) * APPROACH_S;
            covered.max(fraction_is_one.min(FREE_ABOVE * capacity))
        } else {
            covered
        };
        let wait = (needed - self.balance).max(0.0) / rate.max(1e-9);
        let wait = wait.max(MIN_RETRY_S) * (1.0 + RETRY_SPREAD * draw);
        Duration::from_secs_f64(wait.min(MAX_RETRY_S))
    }

    /// Records that a peer's report of this moment does not list the workspace.
    pub fn on_unlisted(&mut self, now: Instant, peer: Peer, is_new_process: bool, is_member: bool) {
        let known = self.peers.get(&peer);
        if known.is_some_and(|known| known.reported_at != now) {
            self.on_statement(now, peer, None, is_new_process, is_member);
        }
    }

    /// Merges what a peer reports; `None` if it does not list the workspace. The first report of a process
    /// only sets the counter from which later ones are counted.
    pub fn on_statement(
        &mut self,
        now: Instant,
        peer: Peer,
        statement: Option<QuotaStatement>,
        is_new_process: bool,
        is_member: bool,
    ) {
        self.advance(now);
        let known = self.peers.entry(peer).or_insert(PeerUse::new(now));
        known.is_member = is_member;
        let elapsed = now
            .saturating_duration_since(known.reported_at)
            .as_secs_f64()
            .max(0.001);
        known.reported_at = now;
        known.reserved = None;
        if is_new_process {
            known.admitted = None;
        }
        let demand = statement.map_or(0.0, |statement| f64::from(statement.demand_per_s.max(0.0)));
        known.demand = if demand.is_finite() { demand } else { 0.0 };
        known.share_demand +=
            (known.demand - known.share_demand) * (1.0 - (-elapsed / SHARE_S).exp());
        let admitted = statement
            .map(|statement| statement.admitted)
            .or(known.admitted);
        let units = match (known.admitted, admitted) {
            (Some(before), Some(admitted)) => Some(admitted as f64 - before as f64),
            // The workspace was idle so far: most of its units are recent, as the demand is.
            (None, Some(admitted)) if !is_new_process => {
                Some((admitted as f64).min(known.demand * DEMAND_S))
            }
            // What was assumed of the process before stays deducted.
            _ => None,
        };
        if let Some(units) = units {
            self.balance += known.assumed - units;
            known.rate += (units / elapsed - known.rate) * (1.0 - (-elapsed / RATE_S).exp());
            known.rate = known.rate.max(0.0);
            if is_member {
                self.group_admitted += units - known.group_assumed;
            }
        }
        (known.assumed, known.group_assumed) = (0.0, 0.0);
        known.admitted = admitted;
        if let Some(statement) = statement {
            if is_member {
                self.listed_at = Some(now);
            }
            self.merge_balance(now, statement.balance as f64);
        }
        self.limit_balance();
    }

    /// Takes over a peer's balance soon after the start, and a little of it later.
    fn merge_balance(&mut self, now: Instant, balance: f64) {
        if self.is_adopting {
            self.is_adopting = false;
            if now.saturating_duration_since(self.created_at) < ADOPTION_TIME {
                self.balance = if self.starts_empty {
                    balance
                } else {
                    self.balance.min(balance)
                };
            }
        } else if self.free > 0.9 {
            self.balance += AVERAGE * (balance - self.balance);
        }
    }

    pub fn remove_peer(&mut self, now: Instant, peer: Peer) {
        self.advance(now);
        self.peers.remove(&peer);
    }

    /// Returns the fraction of the quota that is reserved for late peers.
    pub fn reserved(&self) -> f64 {
        1.0 - self.free
    }

    /// Reserves the shares of late peers. `alone_share` is the share of a host without peers.
    pub fn set_peers(
        &mut self,
        now: Instant,
        peers: &HashMap<Peer, PeerState>,
        hosts: f64,
        alone_share: f64,
        unreported: f64,
    ) {
        self.advance(now);
        self.unreported = unreported;
        let equal = EQUAL_DEMAND * self.limit.rate_per_s / hosts;
        let total = self.share_demand
            + equal * hosts
            + self
                .peers
                .values()
                .map(|known| known.share_demand)
                .sum::<f64>();
        let live_rate = self.rate + self.fresh_peers().map(|known| known.rate).sum::<f64>();
        let live_share = (total - self.late_share_demand(peers, equal)) / total.max(1e-9);
        let mut reserved = 0.0;
        for (&peer, state) in peers.iter().filter(|(_, state)| state.is_late) {
            let known = self.peers.entry(peer).or_insert(PeerUse::new(now));
            known.is_member = state.is_member;
            let share = known.reserved.unwrap_or_else(|| {
                let share = (known.share_demand + equal * state.hosts) / total.max(1e-9);
                // If the use rose here after the peer's last report, it rose there too.
                let rate = share * live_rate / live_share.max(share);
                let silence = now.saturating_duration_since(state.heard_at).as_secs_f64();
                let unheard = (rate - known.rate).max(0.0) * silence.min(MAX_UNHEARD_S);
                known.assumed += unheard;
                self.balance -= unheard;
                share
            });
            known.reserved = Some(share);
            reserved += share;
        }
        let free = (1.0 - reserved).clamp(0.5 / hosts, 1.0).min(alone_share);
        if free < self.free {
            self.balance *= free / self.free;
        }
        self.free = free;
        self.limit_balance();
    }

    /// Returns the long-term demand of the late peers.
    fn late_share_demand(&self, peers: &HashMap<Peer, PeerState>, equal: f64) -> f64 {
        let late = peers.iter().filter(|(_, state)| state.is_late);
        let demand = late.map(|(peer, state)| {
            let known = self.peers.get(peer);
            known.map_or(0.0, |known| known.share_demand) + equal * state.hosts
        });
        demand.sum()
    }

    fn fresh_peers(&self) -> impl Iterator<Item = &PeerUse> {
        self.peers.values().filter(|known| known.reserved.is_none())
    }

    /// Returns the demand per second of the hosts that report in time, and of those that never do.
    fn others_demand(&self) -> f64 {
        let demand = self.fresh_peers().map(|known| known.demand).sum::<f64>();
        demand + (demand + self.demand) * self.unreported
    }

    /// Refills the balance, and deducts what peers are assumed to admit.
    fn advance(&mut self, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.advanced_at)
            .as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.advanced_at = now;
        let mut others = 0.0;
        for known in self.peers.values_mut() {
            if let Some(share) = known.reserved {
                let units = share * self.limit.rate_per_s * elapsed;
                known.assumed += units;
                // Other groups hear of the reserved share by the group's digest only.
                if known.is_member {
                    known.group_assumed += units;
                    self.group_admitted += units;
                }
            } else {
                known.assumed += known.rate * elapsed;
                others += known.rate;
            }
        }
        others += (others + self.rate) * self.unreported;
        let refill = self.limit.rate_per_s * self.free - others;
        self.balance += refill * elapsed;
        self.limit_balance();
        self.demand *= (-elapsed / DEMAND_S).exp();
        self.rate *= (-elapsed / RATE_S).exp();
        self.share_demand *= (-elapsed / SHARE_S).exp();
    }

    /// Limits the balance to the burst. The lower limit keeps a report after a long silence from blocking
    /// the workspace for more than about a second.
    fn limit_balance(&mut self) {
        let capacity = self.limit.burst * self.free;
        let lowest = -self.limit.burst.max(self.limit.rate_per_s);
        self.balance = self.balance.clamp(lowest.min(capacity), capacity);
    }
}

impl PeerUse {
    fn new(now: Instant) -> Self {
        Self {
            admitted: None,
            reported_at: now,
            rate: 0.0,
            demand: 0.0,
            share_demand: 0.0,
            assumed: 0.0,
            reserved: None,
            is_member: false,
            group_assumed: 0.0,
        }
    }
}

/// Returns a number from 0 to 1 that differs for each repetition of a request.
fn uniform(draw: u64, count: u64) -> f64 {
    let mixed = hickoryhall_types::rendezvous_score(draw, count);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}
