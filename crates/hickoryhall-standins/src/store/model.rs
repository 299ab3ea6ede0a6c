//! Keys, revisions and leases under a given clock.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Number of a change of the store.
pub type StoreRevision = u64;
/// Id of a lease.
pub type LeaseId = u64;

/// Largest value that the store takes.
const VALUE_LIMIT_BYTES: usize = 1 << 20;
/// Older values kept of each key.
const OLD_VALUES: usize = 8;

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// Content.
    pub value: String,
    /// Revision of the last change of this key.
    pub revision: StoreRevision,
    /// Lease that keeps the key, if any.
    #[serde(default)]
    pub lease: Option<LeaseId>,
}

/// When a put takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutCondition {
    /// Always.
    Always,
    /// Only while the key does not exist.
    Absent,
    /// Only while the key's revision is this one.
    Revision(StoreRevision),
}

/// A call that the store refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The condition does not hold; the key's revision now, 0 while it does not exist.
    #[error("the revision is {0}")]
    Conflict(StoreRevision),
    /// No such lease, or it has lapsed.
    #[error("no such lease")]
    NoLease,
    /// The value is larger than the store takes.
    #[error("the value is larger than {VALUE_LIMIT_BYTES} bytes")]
    TooLarge,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    until: Instant,
}

/// The store.
#[derive(Clone, Debug, Default)]
pub struct StoreModel {
    revision: StoreRevision,
    keys: BTreeMap<String, Value>,
    old: BTreeMap<String, Vec<Value>>,
    leases: BTreeMap<LeaseId, Lease>,
    next_lease: LeaseId,
}

impl StoreModel {
    /// Returns a value.
    #[must_use]
    pub fn get(&mut self, now: Instant, key: &str) -> Option<Value> {
        self.expire(now);
        self.keys.get(key).cloned()
    }

    /// Returns the oldest value of a key that is still known, as a lagging replica would.
    #[must_use]
    pub fn get_stale(&self, key: &str) -> Option<Value> {
        self.old
            .get(key)
            .and_then(|old| old.first())
            .or_else(|| self.keys.get(key))
            .cloned()
    }

    /// Sets a value.
    ///
    /// # Errors
    ///
    /// Returns an error where the condition does not hold, the lease has lapsed or the value is
    /// too large; nothing changes then.
    pub fn put(
        &mut self,
        now: Instant,
        key: &str,
        value: String,
        condition: PutCondition,
        lease: Option<LeaseId>,
    ) -> Result<StoreRevision, StoreError> {
        self.expire(now);
        if value.len() > VALUE_LIMIT_BYTES {
            return Err(StoreError::TooLarge);
        }
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err(StoreError::NoLease);
        }
        let current = self.keys.get(key).map_or(0, |value| value.revision);
        let holds = match condition {
            PutCondition::Always => true,
            PutCondition::Absent => current == 0,
            PutCondition::Revision(expected) => current == expected,
        };
        if !holds {
            return Err(StoreError::Conflict(current));
        }
        self.revision += 1;
        let new = Value {
            value,
            revision: self.revision,
            lease,
        };
        if let Some(old) = self.keys.insert(key.to_owned(), new) {
            let kept = self.old.entry(key.to_owned()).or_default();
            kept.push(old);
            let surplus = kept.len().saturating_sub(OLD_VALUES);
            kept.drain(..surplus);
        }
        Ok(self.revision)
    }

    /// Removes a key.
    pub fn delete(&mut self, now: Instant, key: &str) {
        self.expire(now);
        if self.keys.remove(key).is_some() {
            self.revision += 1;
        }
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: Instant, ttl: Duration) -> LeaseId {
        self.next_lease += 1;
        self.leases.insert(
            self.next_lease,
            Lease {
                ttl,
                until: now + ttl,
            },
        );
        self.next_lease
    }

    /// Renews a lease for its full time.
    ///
    /// # Errors
    ///
    /// Returns an error where the lease has lapsed.
    pub fn renew(&mut self, now: Instant, id: LeaseId) -> Result<(), StoreError> {
        self.expire(now);
        let lease = self.leases.get_mut(&id).ok_or(StoreError::NoLease)?;
        lease.until = now + lease.ttl;
        Ok(())
    }

    /// Returns the keys below a prefix that changed after a revision.
    #[must_use]
    pub fn changed(
        &mut self,
        now: Instant,
        prefix: &str,
        after: StoreRevision,
    ) -> Vec<(String, Value)> {
        self.expire(now);
        self.keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, value)| value.revision > after)
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect()
    }

    /// Returns the revision of the last change.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    fn expire(&mut self, now: Instant) {
        let before = self.leases.len();
        self.leases.retain(|_, lease| now < lease.until);
        if self.leases.len() < before {
            let leases = &self.leases;
            self.keys
                .retain(|_, value| value.lease.is_none_or(|id| leases.contains_key(&id)));
            self.revision += 1;
        }
    }
}
