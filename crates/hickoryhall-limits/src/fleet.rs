//! Limits over the whole fleet, held without agreement between failure domains.
//!
//! A limit is cut into equal parts, one for each failure domain. In a domain, a fixed fraction of
//! the part belongs to its hosts for good, so that a host without any peer still serves; the rest
//! is granted on demand by the domain's bucket host. However hosts are cut off, the parts add up
//! to the limit, so the fleet exceeds it only by what bursts and a second bucket host allow:
//!
//! `units in T seconds <= limit x (T + B) + (bucket hosts - domains) x limit / domains x (T + B)`
//!
//! with `B` the burst of [`BURST`], counted from the start; in any later window, units granted up to
//! 3 s before it may be spent too. Two bucket hosts of one domain exist only while its hosts
//! disagree about who is live.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::TokenBucket;

/// Key of a limit: hash of the row and the column.
pub type LimitKey = u64;

/// Time whose units may be saved up, at each bucket and each host.
pub const BURST: Duration = Duration::from_secs(1);
/// Time after which granted units are void.
const GRANT_TTL: Duration = Duration::from_secs(3);
/// Fraction of a domain's part that its hosts own for good.
const STATIC_FRACTION: f64 = 0.25;
/// Time after which an unused bucket is dropped.
const IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Time after its last question in which a host's share is kept for it.
const ASKER_LIMIT: Duration = Duration::from_secs(2);
/// Time of demand below which a host asks for more, in seconds.
const ASK_BELOW_S: f64 = 0.5;
/// Time of demand that a host asks up to, in seconds.
const ASK_UP_TO_S: f64 = 1.5;

/// Size of the fleet, from the settings that all hosts share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetShape {
    /// Failure domains.
    pub domains: u32,
    /// Entry hosts of each failure domain.
    pub hosts_per_domain: u32,
}

impl FleetShape {
    /// Returns the part of a limit that a failure domain has.
    #[must_use]
    pub fn domain_units_per_s(&self, limit: u32) -> f64 {
        f64::from(limit) / f64::from(self.domains.max(1))
    }

    /// Returns the part of a limit that a host owns for good.
    #[must_use]
    pub fn host_units_per_s(&self, limit: u32) -> f64 {
        let hosts = f64::from(self.hosts_per_domain.max(1));
        self.domain_units_per_s(limit) * STATIC_FRACTION / hosts
    }

    /// Returns the part of a limit that a domain's bucket grants.
    #[must_use]
    pub fn bucket_units_per_s(&self, limit: u32) -> f64 {
        self.domain_units_per_s(limit) * (1.0 - STATIC_FRACTION)
    }

    /// Returns the places of a concurrency limit that a host has, at least one.
    #[must_use]
    pub fn host_places(&self, limit: u32) -> u32 {
        (limit / (self.domains.max(1) * self.hosts_per_domain.max(1))).max(1)
    }
}

/// Id of a host that asks for units.
pub type AskerId = u64;

/// A host's question for units of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnitAsk {
    /// Limit.
    pub key: LimitKey,
    /// The whole fleet's limit, in units a second.
    pub limit: u32,
    /// Host that asks.
    pub asker: AskerId,
    /// Units wanted.
    pub wanted: u32,
}

/// Units granted to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnitGrant {
    /// Units.
    pub units: u32,
    /// Time after which they are void.
    pub ttl: Duration,
}

/// Units of a bucket that one host may count on while others ask too.
#[derive(Clone, Copy, Debug)]
struct Share {
    bucket: TokenBucket,
    asked_at: Instant,
}

#[derive(Clone, Debug)]
struct Held {
    bucket: TokenBucket,
    shares: HashMap<AskerId, Share>,
    used_at: Instant,
}

impl Held {
    fn new(now: Instant) -> Self {
        // It starts empty, so that a bucket that moves to another host brings no second burst.
        let bucket = TokenBucket::new(now, 0.0, 0.0);
        Self {
            bucket,
            shares: HashMap::new(),
            used_at: now,
        }
    }

    /// Takes units for a host: its own share, and what the others' shares leave over.
    fn take(&mut self, now: Instant, asker: AskerId, rate: f64, wanted: u32) -> u32 {
        let burst = rate * BURST.as_secs_f64();
        self.used_at = now;
        self.bucket.resize(now, rate, burst);
        self.shares
            .retain(|_, s| now.saturating_duration_since(s.asked_at) < ASKER_LIMIT);
        self.shares.entry(asker).or_insert_with(|| Share {
            bucket: TokenBucket::new(now, 0.0, 0.0),
            asked_at: now,
        });
        let count = self.shares.len() as f64;
        for share in self.shares.values_mut() {
            share.bucket.resize(now, rate / count, burst / count);
        }
        let others = self.shares.iter_mut().filter(|(other, _)| **other != asker);
        let reserved = others.map(|(_, share)| share.bucket.left(now)).sum::<f64>();
        let Some(share) = self.shares.get_mut(&asker) else {
            return 0;
        };
        share.asked_at = now;
        let spare = self.bucket.left(now) - reserved;
        let allowed = share.bucket.left(now).max(spare).max(0.0);
        let units = self.bucket.take_up_to(now, wanted.min(allowed as u32));
        share.bucket.take_up_to(now, units);
        units
    }
}

/// Buckets that this host holds for its failure domain.
#[derive(Clone, Debug, Default)]
pub struct BucketServer {
    held: HashMap<LimitKey, Held>,
}

impl BucketServer {
    /// Grants units of a limit to a host, fairly among the hosts that ask.
    pub fn grant(&mut self, now: Instant, ask: &UnitAsk, shape: FleetShape) -> UnitGrant {
        let rate = shape.bucket_units_per_s(ask.limit);
        let held = self.held.entry(ask.key).or_insert_with(|| Held::new(now));
        UnitGrant {
            units: held.take(now, ask.asker, rate, ask.wanted),
            ttl: GRANT_TTL,
        }
    }

    /// Drops buckets that nobody used for a while.
    pub fn expire(&mut self, now: Instant) {
        self.held
            .retain(|_, held| now.saturating_duration_since(held.used_at) < IDLE_LIMIT);
    }

    /// Returns the number of buckets held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Tells whether no bucket is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

/// Answer to a request for units of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Take {
    /// The units are taken.
    Taken,
    /// The units are not there; come back after this time.
    Refused {
        /// Time until the host's own part has the units.
        retry_after: Duration,
    },
}

/// One limit as a host sees it: its own part and what the bucket granted.
#[derive(Clone, Copy, Debug)]
pub struct HostLimit {
    own: TokenBucket,
    granted: f64,
    granted_until: Instant,
    demand_per_s: f64,
    demand_at: Instant,
}

impl HostLimit {
    /// Creates the view of a host that has been granted nothing yet.
    #[must_use]
    pub fn new(now: Instant, limit: u32, shape: FleetShape) -> Self {
        let (rate, burst) = own_part(limit, shape);
        Self {
            own: TokenBucket::new(now, rate, burst),
            granted: 0.0,
            granted_until: now,
            demand_per_s: 0.0,
            demand_at: now,
        }
    }

    /// Takes a change of the limit in.
    pub fn resize(&mut self, now: Instant, limit: u32, shape: FleetShape) {
        let (rate, burst) = own_part(limit, shape);
        self.own.resize(now, rate, burst);
    }

    /// Takes units, granted ones first.
    pub fn take(&mut self, now: Instant, units: u32) -> Take {
        let units = f64::from(units);
        self.record_demand(now, units);
        self.void_expired(now);
        if self.granted >= units {
            self.granted -= units;
            return Take::Taken;
        }
        let missing = units - self.granted;
        if self.own.take(now, missing) {
            self.granted = 0.0;
            return Take::Taken;
        }
        Take::Refused {
            retry_after: self.own.wait_for(missing),
        }
    }

    /// Returns the units to ask the bucket for now, 0 where there are enough.
    pub fn wanted(&mut self, now: Instant) -> u32 {
        self.void_expired(now);
        self.record_demand(now, 0.0);
        if self.granted >= self.demand_per_s * ASK_BELOW_S {
            return 0;
        }
        let wanted = self.demand_per_s * ASK_UP_TO_S - self.granted;
        // A demand of less than a unit in ten minutes is over.
        if wanted < 0.002 {
            0
        } else {
            wanted.ceil() as u32
        }
    }

    /// Takes a grant in.
    pub fn add(&mut self, now: Instant, grant: UnitGrant) {
        self.void_expired(now);
        self.granted += f64::from(grant.units);
        self.granted_until = now + grant.ttl;
    }

    fn void_expired(&mut self, now: Instant) {
        if now >= self.granted_until {
            self.granted = 0.0;
        }
    }

    fn record_demand(&mut self, now: Instant, units: f64) {
        let age = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand_per_s = self.demand_per_s * 0.5_f64.powf(age) + units * 0.5_f64.ln().abs();
        self.demand_at = now;
    }
}

/// Rate and burst of a host's own part; a burst below one unit would never let a request pass.
fn own_part(limit: u32, shape: FleetShape) -> (f64, f64) {
    let rate = shape.host_units_per_s(limit);
    (rate, (rate * BURST.as_secs_f64()).max(1.0))
}
