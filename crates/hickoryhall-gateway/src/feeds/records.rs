//! Records of the store as a host keeps them, for itself and for peers that cannot read the store.

use std::collections::BTreeMap;

use crate::interface::{StoreChange, StoreItem, StoreRevision};
use crate::peers::StoreRecords;
use crate::store_position::StorePosition;

/// Unparsed registry entries by key, as of a position of the store; the position is 0 until any
/// were read.
#[derive(Debug, Default)]
pub struct RegistryRecords {
    position: StorePosition,
    items: BTreeMap<String, StoreItem>,
    /// Revision of the last change of each record in the present era, removals included.
    revisions: BTreeMap<String, StoreRevision>,
}

/// Number of removed records whose revisions are kept: far more than are removed while a watch waits
/// for its answer.
const MAX_REMOVED: usize = 1_024;

impl RegistryRecords {
    /// Returns the position up to which the records are complete.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Records that no change up to a position is missing.
    pub fn advance(&mut self, position: StorePosition) {
        self.position = self.position.max(position);
    }

    /// Replaces all records, also by those of a lower position, except the outdated ones among them:
    /// these leave the known record as it is, or absent.
    pub fn replace(&mut self, records: StoreRecords, is_outdated: impl Fn(&StoreItem) -> bool) {
        let mut known = std::mem::take(&mut self.items);
        self.revisions.clear();
        for item in &records.items {
            if !is_outdated(item) {
                self.revisions.insert(item.key.clone(), item.revision);
            }
        }
        let items = records.items.into_iter().filter_map(|item| {
            let item = if is_outdated(&item) {
                known.remove(&item.key)?
            } else {
                item
            };
            Some((item.key.clone(), item))
        });
        self.items = items.collect();
        self.position = records.position;
    }

    /// Applies one change unless a newer one of its record was applied: while a watch waits for its
    /// answer, a peer may bring newer changes. Returns whether it was applied.
    ///
    /// The position does not tell: it may be beyond a change that only the watch brings.
    pub fn apply(&mut self, change: StoreChange) -> bool {
        let known = self.revisions.get(change.key()).copied();
        if known.is_some_and(|known| known >= change.revision()) {
            return false;
        }
        let (key, revision) = (change.key().to_owned(), change.revision());
        self.revisions.insert(key, revision);
        self.forget_removed();
        match change {
            StoreChange::Put(item) => drop(self.items.insert(item.key.clone(), item)),
            StoreChange::Removed { key, .. } => drop(self.items.remove(&key)),
        }
        true
    }

    /// Forgets the revisions of the records that were removed first, if there are too many.
    fn forget_removed(&mut self) {
        if self.revisions.len() <= self.items.len() + MAX_REMOVED {
            return;
        }
        let removed = self.revisions.iter();
        let removed = removed.filter(|(key, _)| !self.items.contains_key(*key));
        let oldest = removed.min_by_key(|(_, revision)| **revision);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.revisions.remove(&key);
        }
    }

    /// Returns all records.
    #[must_use]
    pub fn snapshot(&self) -> StoreRecords {
        StoreRecords {
            position: self.position,
            items: self.items.values().cloned().collect(),
        }
    }
}

/// Operators' records that are in force, by key: of each, the one with the highest version that was
/// ever read. An older copy of the store, and the removal of a record, leave them as they are.
#[derive(Debug, Default)]
pub struct OperatorRecords {
    position: StorePosition,
    newest: BTreeMap<String, (u64, StoreItem)>,
}

impl OperatorRecords {
    /// Returns the position up to which the records are complete.
    #[must_use]
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Records that no change up to a position is missing.
    pub fn advance(&mut self, position: StorePosition) {
        self.position = self.position.max(position);
    }

    /// Keeps a record with its version, unless the known one is as new or newer.
    pub fn record(&mut self, version: u64, item: &StoreItem) {
        let known = self.newest.get(&item.key);
        if known.is_none_or(|(known, _)| version > *known) {
            self.newest
                .insert(item.key.clone(), (version, item.clone()));
        }
    }

    /// Returns all records.
    #[must_use]
    pub fn snapshot(&self) -> StoreRecords {
        let items = self.newest.values().map(|(_, item)| item.clone());
        StoreRecords {
            position: self.position,
            items: items.collect(),
        }
    }
}
