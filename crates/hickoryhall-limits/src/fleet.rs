//! Fleet-wide rate limits, enforced without coordination between failure domains.
//!
//! A limit is divided equally among the failure domains. Within a domain, a fixed fraction of its
//! share is assigned to its hosts permanently, so that a host without any reachable peer can still
//! serve requests; the rest is granted on demand by the domain's bucket host, the host that keeps
//! the token bucket of the limit. Whichever hosts are partitioned, the shares add up to the limit,
//! so the fleet exceeds it only by what bursts and a second bucket host allow:
//!
//! `units in T seconds <= limit x (T + B) + (bucket hosts - domains) x limit / domains x (T + B)`
//!
//! Here `B` is the burst duration [`BURST`], and `T` is counted from the start. In any later
//! window, units granted up to 3 s before the window may be spent in addition. A domain has two
//! bucket hosts only while its hosts disagree about which hosts are live.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::TokenBucket;

/// Key of a limit: hash of the table row and column that set it.
pub type LimitKey = u64;

/// Burst of each domain bucket and each host, as the time in which the rate refills it.
pub const BURST: Duration = Duration::from_secs(1);
/// Time after which unused granted units expire.
const GRANT_TTL: Duration = Duration::from_secs(3);
/// Fraction of a domain's share that is assigned permanently to its hosts.
const PERMANENT_FRACTION: f64 = 0.25;
/// Idle time after which a bucket is dropped.
const BUCKET_IDLE_TTL: Duration = Duration::from_secs(60);
/// Time for which a host's share of a bucket stays reserved after its last request for units.
const SHARE_TTL: Duration = Duration::from_secs(2);
/// Supply, in seconds of the current demand, below which a host requests more units.
const REQUEST_BELOW_S: f64 = 0.5;
/// Supply, in seconds of the current demand, up to which a host requests units.
const REQUEST_UP_TO_S: f64 = 1.5;

/// Size of the fleet, from the settings, which must be the same on all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetShape {
    /// Number of failure domains; 0 counts as 1.
    pub domains: u32,
    /// Number of entry hosts in each failure domain; 0 counts as 1.
    pub hosts_per_domain: u32,
}

impl FleetShape {
    /// Returns the share of a limit that belongs to each failure domain.
    #[must_use]
    pub fn domain_units_per_s(&self, limit: u32) -> f64 {
        f64::from(limit) / f64::from(self.domains.max(1))
    }

    /// Returns the share of a limit that is assigned permanently to each host.
    #[must_use]
    pub fn host_units_per_s(&self, limit: u32) -> f64 {
        let hosts = f64::from(self.hosts_per_domain.max(1));
        self.domain_units_per_s(limit) * PERMANENT_FRACTION / hosts
    }

    /// Returns the share of a limit that each domain's bucket grants on demand.
    #[must_use]
    pub fn bucket_units_per_s(&self, limit: u32) -> f64 {
        self.domain_units_per_s(limit) * (1.0 - PERMANENT_FRACTION)
    }

    /// Returns each host's fixed share of a concurrency limit, which is at least 1.
    #[must_use]
    pub fn host_slots(&self, limit: u32) -> u32 {
        (limit / (self.domains.max(1) * self.hosts_per_domain.max(1))).max(1)
    }
}

/// Id of a host that requests units; distinguishes the hosts of one domain.
pub type RequesterId = u64;

/// A host's request for units of a limit, sent to the bucket host of its domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnitRequest {
    /// Key of the limit.
    pub key: LimitKey,
    /// Fleet-wide limit in units per second, as the requesting host knows it.
    pub limit: u32,
    /// Host that requests the units.
    pub requester: RequesterId,
    /// Number of units requested.
    pub wanted: u32,
}

/// Units that a bucket granted to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnitGrant {
    /// Number of units; 0 if the bucket has none left.
    pub units: u32,
    /// Time after which unused units expire.
    pub ttl: Duration,
}

/// One host's equal share of a bucket, reserved for it while other hosts request units too.
#[derive(Clone, Copy, Debug)]
struct RequesterShare {
    bucket: TokenBucket,
    requested_at: Instant,
}

/// Bucket of one limit, with the shares of the hosts that request units of it.
#[derive(Clone, Debug)]
struct GrantBucket {
    bucket: TokenBucket,
    shares: HashMap<RequesterId, RequesterShare>,
    used_at: Instant,
}

impl GrantBucket {
    fn new(now: Instant) -> Self {
        // Starts empty, so that moving a bucket to another host does not allow a second burst.
        let bucket = TokenBucket::new(now, 0.0, 0.0);
        Self {
            bucket,
            shares: HashMap::new(),
            used_at: now,
        }
    }

    /// Takes up to `wanted` units for a host: from its reserved share, or from what the shares of
    /// the other hosts leave unreserved, whichever is more.
    fn take(&mut self, now: Instant, requester: RequesterId, rate: f64, wanted: u32) -> u32 {
        let burst = rate * BURST.as_secs_f64();
        self.used_at = now;
        self.bucket.resize(now, rate, burst);
        self.shares
            .retain(|_, s| now.saturating_duration_since(s.requested_at) < SHARE_TTL);
        self.shares
            .entry(requester)
            .or_insert_with(|| RequesterShare {
                bucket: TokenBucket::new(now, 0.0, 0.0),
                requested_at: now,
            });
        let count = self.shares.len() as f64;
        for share in self.shares.values_mut() {
            share.bucket.resize(now, rate / count, burst / count);
        }
        let others = self
            .shares
            .iter_mut()
            .filter(|(other, _)| **other != requester);
        let reserved = others
            .map(|(_, share)| share.bucket.available(now))
            .sum::<f64>();
        let Some(share) = self.shares.get_mut(&requester) else {
            return 0;
        };
        share.requested_at = now;
        let unreserved = self.bucket.available(now) - reserved;
        let allowed = share.bucket.available(now).max(unreserved).max(0.0);
        let units = self.bucket.take_up_to(now, wanted.min(allowed as u32));
        share.bucket.take_up_to(now, units);
        units
    }
}

/// Buckets that this host keeps as the bucket host of its failure domain.
#[derive(Clone, Debug, Default)]
pub struct DomainBuckets {
    buckets: HashMap<LimitKey, GrantBucket>,
}

impl DomainBuckets {
    /// Grants units of a limit to a host, dividing them fairly among the requesting hosts.
    pub fn grant(&mut self, now: Instant, request: &UnitRequest, shape: FleetShape) -> UnitGrant {
        let rate = shape.bucket_units_per_s(request.limit);
        let bucket = self
            .buckets
            .entry(request.key)
            .or_insert_with(|| GrantBucket::new(now));
        UnitGrant {
            units: bucket.take(now, request.requester, rate, request.wanted),
            ttl: GRANT_TTL,
        }
    }

    /// Drops idle buckets.
    pub fn expire(&mut self, now: Instant) {
        self.buckets
            .retain(|_, bucket| now.saturating_duration_since(bucket.used_at) < BUCKET_IDLE_TTL);
    }

    /// Returns the number of buckets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether there are no buckets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}

/// Result of taking units of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeOutcome {
    /// The units were taken.
    Taken,
    /// Not enough units are available; none were taken.
    Refused {
        /// Time until the host's permanent share has enough units.
        retry_after: Duration,
    },
}

/// State of one limit on a host: its permanent share and the units granted by the bucket host.
#[derive(Clone, Copy, Debug)]
pub struct HostLimit {
    permanent: TokenBucket,
    granted: f64,
    granted_until: Instant,
    demand_per_s: f64,
    demand_at: Instant,
}

impl HostLimit {
    /// Creates the state of a host without granted units.
    #[must_use]
    pub fn new(now: Instant, limit: u32, shape: FleetShape) -> Self {
        let (rate, burst) = permanent_share(limit, shape);
        Self {
            permanent: TokenBucket::new(now, rate, burst),
            granted: 0.0,
            granted_until: now,
            demand_per_s: 0.0,
            demand_at: now,
        }
    }

    /// Applies a change of the limit or of the fleet's size.
    pub fn resize(&mut self, now: Instant, limit: u32, shape: FleetShape) {
        let (rate, burst) = permanent_share(limit, shape);
        self.permanent.resize(now, rate, burst);
    }

    /// Takes units, using granted ones before the host's permanent share.
    pub fn take(&mut self, now: Instant, units: u32) -> TakeOutcome {
        let units = f64::from(units);
        self.record_demand(now, units);
        self.expire_granted(now);
        if self.granted >= units {
            self.granted -= units;
            return TakeOutcome::Taken;
        }
        let missing = units - self.granted;
        if self.permanent.take(now, missing) {
            self.granted = 0.0;
            return TakeOutcome::Taken;
        }
        TakeOutcome::Refused {
            retry_after: self.permanent.time_until_available(missing),
        }
    }

    /// Returns how many units to request from the bucket host now; 0 if there are enough.
    pub fn units_to_request(&mut self, now: Instant) -> u32 {
        self.expire_granted(now);
        self.record_demand(now, 0.0);
        if self.granted >= self.demand_per_s * REQUEST_BELOW_S {
            return 0;
        }
        let wanted = self.demand_per_s * REQUEST_UP_TO_S - self.granted;
        // A demand of less than about one unit in ten minutes counts as none.
        if wanted < 0.002 {
            0
        } else {
            wanted.ceil() as u32
        }
    }

    /// Adds granted units and extends the expiry of all of them.
    pub fn add_grant(&mut self, now: Instant, grant: UnitGrant) {
        self.expire_granted(now);
        self.granted += f64::from(grant.units);
        self.granted_until = now + grant.ttl;
    }

    fn expire_granted(&mut self, now: Instant) {
        if now >= self.granted_until {
            self.granted = 0.0;
        }
    }

    /// Adds units to the demand, an exponentially decaying rate with a half-life of one second.
    ///
    /// The factor of ln 2 makes a constant rate of requests converge to that rate.
    fn record_demand(&mut self, now: Instant, units: f64) {
        let age = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand_per_s = self.demand_per_s * 0.5_f64.powf(age) + units * 0.5_f64.ln().abs();
        self.demand_at = now;
    }
}

/// Returns the rate and burst of a host's permanent share.
///
/// The burst is at least one unit, as no request would ever pass with less.
fn permanent_share(limit: u32, shape: FleetShape) -> (f64, f64) {
    let rate = shape.host_units_per_s(limit);
    (rate, (rate * BURST.as_secs_f64()).max(1.0))
}
