//! Decides which requests leave the failure domain of their host.
//!
//! Traffic between domains is slower and costs money. A request therefore stays in its host's domain
//! where it meets its objective there. Otherwise it may leave, if the time that it gains is worth the
//! bytes that cross. All hosts know equally outdated loads, so each one sends only its part of the room
//! that another domain has; that part follows the room slowly, so that hosts neither oscillate between
//! domains nor send everything to one.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::{DomainHash, ServiceHash};

/// Part of another domain's room that all hosts together may fill between two load reports. The
/// domain's own hosts need the rest; with all of it, loads overshoot because reports are late.
const SPARE_FRACTION: f64 = 0.6;
/// Time between two load reports of the same host.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time constant with which a share rises.
const RISE: Duration = Duration::from_millis(1_000);
/// Time constant with which a share falls.
const FALL: Duration = Duration::from_millis(400);
/// Age of the news from a domain from which its room counts less.
const FRESH: Duration = Duration::from_millis(600);
/// Age of the news from a domain from which its room counts nothing: loads reported by its hosts expire
/// then, and its servers seem idle.
const STALE: Duration = Duration::from_millis(2_000);
/// Time without any answer from a domain to which requests were sent from which only probes go there.
/// Objectives are at most 800 ms.
const SILENCE: Duration = Duration::from_millis(1_000);
/// Time between two requests to a domain that does not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Part of the time left that the estimate at home may take for the request to count as on time there.
/// Loads are some tenths of a second old: requests that other hosts have sent since make it later.
const HOME_PART: f64 = 0.7;
/// Time that a request must gain by leaving, in addition to what it costs. Estimates for both domains
/// change by a few milliseconds from one report to the next.
const MIN_GAIN_MS: f64 = 5.0;
/// The same for a request that misses its objective in either domain.
const MIN_LATE_GAIN_MS: f64 = 50.0;
/// Part of the largest credit that each step of rank leaves to more urgent requests.
const RANK_RESERVE: f64 = 0.25;
/// Ranks that are told apart.
const MAX_RANK: u8 = 2;
/// Cost that a request without a server at home pays for a domain whose share is used up, per debt of one
/// share, so that such requests are divided by the room of the other domains.
const DEBT_COST_MS: f64 = 10.0;
/// Largest debt, in shares, that requests without a server at home leave to later ones.
const MAX_DEBT_SHARES: f64 = 4.0;
/// Least share for which debt is weighed and a request may pass: a thousandth of a server's time.
const MIN_SHARE_MS: f64 = 0.25;
/// Additional cost of a domain that does not answer, for a request without a server at home.
const SILENT_COST_MS: f64 = 1_000.0;

/// Prices of traffic between failure domains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrossingConfig {
    /// Price of a megabyte, as time that a caller waits.
    pub ms_per_mb: f64,
    /// Round trip to a server in another domain.
    pub round_trip: Duration,
}

impl CrossingConfig {
    /// Returns the price of bytes that cross, in milliseconds.
    #[must_use]
    pub fn price_ms(&self, bytes: f64) -> f64 {
        bytes / 1e6 * self.ms_per_mb
    }

    /// Returns the cost of a request in another domain: the round trip and the price of its bytes.
    #[must_use]
    pub fn cost_ms(&self, bytes: f64) -> f64 {
        self.round_trip.as_secs_f64() * 1_000.0 + self.price_ms(bytes)
    }
}

/// What the decision depends on besides the servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrossingRequest {
    /// Service that the request is for.
    pub service: ServiceHash,
    /// Time left to the objective; 0 if it is missed already.
    pub time_left_ms: f64,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
}

/// The best server of one domain for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrossingOffer {
    /// Domain of the server.
    pub domain: DomainHash,
    /// Estimated time to the first event, without the network.
    pub estimate_ms: f64,
    /// Cost at that server. In another domain it includes [`CrossingConfig::cost_ms`].
    pub cost_ms: f64,
}

/// What the home domain can do for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HomeOffer {
    /// No server is in service.
    NoServer,
    /// Servers are in service, but none takes a request now.
    Full,
    /// The best server.
    Offer(CrossingOffer),
}

/// Why a request leaves the domain of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrossingReason {
    /// No server of the home domain is in service.
    NoHomeServer,
    /// No server of the home domain takes a request now.
    HomeFull,
    /// The request misses its objective at home and meets it elsewhere.
    HomeLate,
    /// The request misses its objective in any domain, and is answered much earlier elsewhere.
    Earlier,
}

impl CrossingReason {
    /// Returns the name of the reason in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoHomeServer => "no_home_server",
            Self::HomeFull => "home_full",
            Self::HomeLate => "home_late",
            Self::Earlier => "earlier",
        }
    }
}

/// What a host knows about the room that another domain has for a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DomainRoom {
    /// Work that the domain's servers could take until the next load report, in milliseconds.
    pub spare_ms: f64,
    /// Number of hosts that may send requests there from other domains.
    pub senders: usize,
    /// Time since a host of that domain was last heard from; `None` if none ever was.
    pub news_age: Option<Duration>,
}

/// Requests of one service from this host to one other domain.
#[derive(Clone, Copy, Debug)]
struct Flow {
    /// Work that this host may send between two load reports, in milliseconds.
    share_ms: f64,
    /// Work that it may send at `updated_at`; negative after a request with more work than the credit.
    credit_ms: f64,
    updated_at: Instant,
    /// Requests sent that have neither been answered nor ended.
    unanswered: u32,
    /// Time since when requests were sent there, and none was answered.
    unanswered_since: Option<Instant>,
    /// Time at which the next request may go to the domain while it does not answer.
    probe_at: Instant,
}

impl Flow {
    fn new(now: Instant) -> Self {
        Self {
            share_ms: 0.0,
            credit_ms: 0.0,
            updated_at: now,
            unanswered: 0,
            unanswered_since: None,
            probe_at: now,
        }
    }

    /// Returns the credit, which is at most one share.
    fn credit_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let earned_ms = self.share_ms * elapsed.div_duration_f64(REPORT_INTERVAL);
        (self.credit_ms + earned_ms).min(self.share_ms)
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.saturating_duration_since(since) >= SILENCE)
    }

    /// Returns whether a request may go there. Less urgent requests leave part of the credit.
    fn allows(&self, now: Instant, rank: u8) -> bool {
        if self.is_silent(now) {
            return now >= self.probe_at;
        }
        let reserve_ms = self.share_ms * RANK_RESERVE * f64::from(rank.min(MAX_RANK));
        self.share_ms >= MIN_SHARE_MS && self.credit_at(now) > reserve_ms
    }

    fn advance(&mut self, now: Instant) {
        self.credit_ms = self.credit_at(now);
        self.updated_at = self.updated_at.max(now);
    }

    fn follow(&mut self, now: Instant, target_ms: f64) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.advance(now);
        let is_rising = target_ms > self.share_ms;
        let time_constant = if is_rising { RISE } else { FALL };
        let part = 1.0 - (-elapsed.div_duration_f64(time_constant)).exp();
        self.share_ms += (target_ms - self.share_ms) * part;
        self.credit_ms = self.credit_ms.min(self.share_ms);
    }
}

/// Decides which requests of a host leave its failure domain.
#[derive(Clone, Debug)]
pub struct CrossingPolicy {
    config: CrossingConfig,
    flows: HashMap<(ServiceHash, DomainHash), Flow>,
}

impl CrossingPolicy {
    /// Creates the policy of a host that knows nothing of other domains yet.
    #[must_use]
    pub fn new(config: CrossingConfig) -> Self {
        Self {
            config,
            flows: HashMap::new(),
        }
    }

    /// Returns the prices.
    #[must_use]
    pub fn config(&self) -> &CrossingConfig {
        &self.config
    }

    /// Records the room of another domain, to be called several times a second.
    pub fn record_room(
        &mut self,
        now: Instant,
        service: ServiceHash,
        domain: DomainHash,
        room: &DomainRoom,
    ) {
        let flow = self.flow(now, service, domain);
        let target = if flow.is_silent(now) {
            0.0
        } else {
            let part = room.spare_ms.max(0.0) * SPARE_FRACTION / room.senders.max(1) as f64;
            part * freshness(room.news_age)
        };
        flow.follow(now, target);
    }

    /// Returns the work in milliseconds that this host may send to a domain between two load reports.
    #[must_use]
    pub fn share_ms(&self, service: ServiceHash, domain: DomainHash) -> f64 {
        let flow = self.flows.get(&(service, domain));
        flow.map_or(0.0, |flow| flow.share_ms)
    }

    /// Returns whether a request misses its objective at home, or has no server there.
    #[must_use]
    pub fn may_leave(&self, request: &CrossingRequest, home: &HomeOffer) -> bool {
        match home {
            HomeOffer::NoServer | HomeOffer::Full => true,
            HomeOffer::Offer(offer) => offer.estimate_ms > HOME_PART * request.time_left_ms,
        }
    }

    /// Chooses among the best servers of the other domains, given that of the home domain.
    ///
    /// Returns the index of the chosen one and the reason, or `None` if the request stays.
    #[must_use]
    pub fn choose(
        &self,
        now: Instant,
        request: &CrossingRequest,
        home: &HomeOffer,
        away: &[CrossingOffer],
    ) -> Option<(usize, CrossingReason)> {
        if !self.may_leave(request, home) {
            return None;
        }
        let must_leave = *home == HomeOffer::NoServer;
        let allowed = away.iter().enumerate();
        let allowed = allowed.filter(|(_, offer)| must_leave || self.allows(now, request, offer));
        let cost_ms = |offer: &CrossingOffer| {
            let debt_ms = if must_leave {
                self.debt_cost_ms(now, request, offer)
            } else {
                0.0
            };
            offer.cost_ms + debt_ms
        };
        let best = allowed.min_by(|(_, one), (_, other)| cost_ms(one).total_cmp(&cost_ms(other)));
        let (index, best) = best?;
        let reason = match home {
            HomeOffer::NoServer => CrossingReason::NoHomeServer,
            HomeOffer::Full => CrossingReason::HomeFull,
            HomeOffer::Offer(home) => {
                let gain_ms = home.cost_ms - best.cost_ms;
                let round_trip_ms = self.config.cost_ms(0.0);
                let is_on_time = best.estimate_ms + round_trip_ms <= request.time_left_ms;
                match is_on_time {
                    true if gain_ms >= MIN_GAIN_MS => CrossingReason::HomeLate,
                    false if gain_ms >= MIN_LATE_GAIN_MS => CrossingReason::Earlier,
                    _ => return None,
                }
            }
        };
        Some((index, reason))
    }

    fn allows(&self, now: Instant, request: &CrossingRequest, offer: &CrossingOffer) -> bool {
        let flow = self.flows.get(&(request.service, offer.domain));
        flow.is_some_and(|flow| flow.allows(now, request.rank))
    }

    fn debt_cost_ms(&self, now: Instant, request: &CrossingRequest, offer: &CrossingOffer) -> f64 {
        let Some(flow) = self.flows.get(&(request.service, offer.domain)) else {
            return 0.0;
        };
        if flow.is_silent(now) && now < flow.probe_at {
            return SILENT_COST_MS;
        }
        -flow.credit_at(now).min(0.0) / flow.share_ms.max(MIN_SHARE_MS) * DEBT_COST_MS
    }

    /// Records that a request is sent to another domain, with its work there.
    pub fn record_sent(
        &mut self,
        now: Instant,
        service: ServiceHash,
        domain: DomainHash,
        work_ms: f64,
    ) {
        let flow = self.flow(now, service, domain);
        flow.advance(now);
        let max_debt_ms = MAX_DEBT_SHARES * flow.share_ms + work_ms;
        flow.credit_ms = (flow.credit_ms - work_ms).max(-max_debt_ms);
        if flow.is_silent(now) {
            flow.probe_at = now + PROBE_INTERVAL;
        }
        flow.unanswered += 1;
        flow.unanswered_since.get_or_insert(now);
    }

    /// Records that a request sent to another domain was answered.
    pub fn record_answer(&mut self, now: Instant, service: ServiceHash, domain: DomainHash) {
        let flow = self.flow(now, service, domain);
        flow.unanswered = flow.unanswered.saturating_sub(1);
        flow.unanswered_since = (flow.unanswered > 0).then_some(now);
    }

    /// Records that a request sent to another domain ended before an answer for a reason that says
    /// nothing about the network.
    pub fn record_released(&mut self, now: Instant, service: ServiceHash, domain: DomainHash) {
        let flow = self.flow(now, service, domain);
        flow.unanswered = flow.unanswered.saturating_sub(1);
        if flow.unanswered == 0 && !flow.is_silent(now) {
            flow.unanswered_since = None;
        }
    }

    /// Records that a request sent to another domain got no answer, or that its server was unreachable.
    /// Only an answer ends the silence of the domain.
    pub fn record_failure(
        &mut self,
        now: Instant,
        service: ServiceHash,
        domain: DomainHash,
        is_unreachable: bool,
    ) {
        let flow = self.flow(now, service, domain);
        flow.advance(now);
        flow.unanswered = flow.unanswered.saturating_sub(1);
        flow.share_ms = if is_unreachable {
            0.0
        } else {
            flow.share_ms / 2.0
        };
        flow.credit_ms = flow.credit_ms.min(0.0);
    }

    fn flow(&mut self, now: Instant, service: ServiceHash, domain: DomainHash) -> &mut Flow {
        let flow = self.flows.entry((service, domain));
        flow.or_insert_with(|| Flow::new(now))
    }
}

/// Returns the part of a domain's room that counts, by the age of the news from there.
fn freshness(age: Option<Duration>) -> f64 {
    let Some(age) = age else {
        return 1.0;
    };
    let left = STALE.saturating_sub(age);
    left.div_duration_f64(STALE.saturating_sub(FRESH)).min(1.0)
}
