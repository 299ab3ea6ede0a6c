//! State of the store: keys, revisions and leases; the caller passes the time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Number of a change in the store, counted from 1; 0 stands for no change.
pub type StoreRevision = u64;
/// Id of a lease, counted from 1.
pub type LeaseId = u64;

/// Maximum size of a value.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Number of previous values kept for each key, for stale reads.
const MAX_PREVIOUS_VALUES: usize = 8;

/// A value in the store, with its revision and lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// Stored text.
    pub value: String,
    /// Revision of the last change to this key.
    pub revision: StoreRevision,
    /// Lease that the key is bound to; the key is removed when the lease expires.
    #[serde(default)]
    pub lease: Option<LeaseId>,
}

/// Condition under which a put takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutCondition {
    /// Unconditionally.
    Always,
    /// Only if the key does not exist.
    Absent,
    /// Only if the revision of the key is this one.
    Revision(StoreRevision),
}

/// Reason for which the store refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The condition does not hold. Contains the current revision of the key, 0 if the key does not
    /// exist.
    #[error("condition failed: the revision of the key is {0}")]
    Conflict(StoreRevision),
    /// The lease does not exist or has expired.
    #[error("the lease does not exist or has expired")]
    NoLease,
    /// The value exceeds the maximum size.
    #[error("the value is larger than {MAX_VALUE_BYTES} bytes")]
    TooLarge,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// Simulated key-value store; the caller passes the current time.
#[derive(Clone, Debug, Default)]
pub struct SimulatedStore {
    revision: StoreRevision,
    keys: BTreeMap<String, Value>,
    previous_values: BTreeMap<String, Vec<Value>>,
    leases: BTreeMap<LeaseId, Lease>,
    next_lease: LeaseId,
}

impl SimulatedStore {
    /// Returns the current value of a key.
    #[must_use]
    pub fn get(&mut self, now: Instant, key: &str) -> Option<Value> {
        self.expire_leases(now);
        self.keys.get(key).cloned()
    }

    /// Returns the oldest value of a key that is still kept, as a replica that lags behind would.
    #[must_use]
    pub fn get_stale(&self, key: &str) -> Option<Value> {
        self.previous_values
            .get(key)
            .and_then(|values| values.first())
            .or_else(|| self.keys.get(key))
            .cloned()
    }

    /// Sets the value of a key, binds it to a lease if one is given, and returns the new revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition does not hold, the lease has expired or the value is too
    /// large; the store then stays unchanged.
    pub fn put(
        &mut self,
        now: Instant,
        key: &str,
        value: String,
        condition: PutCondition,
        lease: Option<LeaseId>,
    ) -> Result<StoreRevision, StoreError> {
        self.expire_leases(now);
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge);
        }
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err(StoreError::NoLease);
        }
        let current = self.keys.get(key).map_or(0, |value| value.revision);
        let condition_holds = match condition {
            PutCondition::Always => true,
            PutCondition::Absent => current == 0,
            PutCondition::Revision(expected) => current == expected,
        };
        if !condition_holds {
            return Err(StoreError::Conflict(current));
        }
        self.revision += 1;
        let new = Value {
            value,
            revision: self.revision,
            lease,
        };
        if let Some(old) = self.keys.insert(key.to_owned(), new) {
            let previous = self.previous_values.entry(key.to_owned()).or_default();
            previous.push(old);
            let surplus = previous.len().saturating_sub(MAX_PREVIOUS_VALUES);
            previous.drain(..surplus);
        }
        Ok(self.revision)
    }

    /// Removes a key, if it exists.
    pub fn delete(&mut self, now: Instant, key: &str) {
        self.expire_leases(now);
        if self.keys.remove(key).is_some() {
            self.revision += 1;
        }
    }

    /// Grants a lease that expires after `ttl` unless it is renewed.
    pub fn grant(&mut self, now: Instant, ttl: Duration) -> LeaseId {
        self.next_lease += 1;
        self.leases.insert(
            self.next_lease,
            Lease {
                ttl,
                expires_at: now + ttl,
            },
        );
        self.next_lease
    }

    /// Renews a lease for its full duration.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease does not exist or has expired.
    pub fn renew(&mut self, now: Instant, id: LeaseId) -> Result<(), StoreError> {
        self.expire_leases(now);
        let lease = self.leases.get_mut(&id).ok_or(StoreError::NoLease)?;
        lease.expires_at = now + lease.ttl;
        Ok(())
    }

    /// Returns the existing keys with a prefix that changed after a revision; removed keys are not
    /// reported.
    #[must_use]
    pub fn changed_since(
        &mut self,
        now: Instant,
        prefix: &str,
        after: StoreRevision,
    ) -> Vec<(String, Value)> {
        self.expire_leases(now);
        self.keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, value)| value.revision > after)
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect()
    }

    /// Returns the revision of the last change to any key.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        self.revision
    }

    fn expire_leases(&mut self, now: Instant) {
        let before = self.leases.len();
        self.leases.retain(|_, lease| now < lease.expires_at);
        if self.leases.len() < before {
            let leases = &self.leases;
            self.keys
                .retain(|_, value| value.lease.is_none_or(|id| leases.contains_key(&id)));
            self.revision += 1;
        }
    }
}
