//! The current table of a host, and the recent changes that led to it.

use std::collections::VecDeque;
use std::sync::Arc;

use hickoryhall_table::{Row, RowKey, Table, TableHead};
use hickoryhall_types::Revision;

/// Maximum number of recent deltas that are kept for peers that are a few revisions behind.
const MAX_RECENT_DELTAS: usize = 64;

/// Difference between two revisions of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowDelta {
    /// Revision that the delta applies to; 0 if the delta holds the whole table.
    pub from: Revision,
    /// Rows that were added or changed, with their new content.
    pub rows: Vec<Row>,
    /// Keys of the rows that were removed.
    pub removed: Vec<RowKey>,
}

/// Result of offering a table to a [`TableState`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// The offered table is now the current one.
    Adopted,
    /// The offered revision is the current one or, if a delta was offered, not higher than it.
    Known,
    /// The offered table is older than the current one and was ignored.
    Older,
}

/// Error of a delta that cannot be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The delta applies to a revision other than the current one.
    #[error("the delta applies to revision {from}, but the current revision is {current}")]
    WrongBase {
        /// Revision that the delta applies to.
        from: Revision,
        /// Current revision.
        current: Revision,
    },
    /// The resulting table does not have the chunks that the head lists.
    #[error("applying the delta does not produce the table of revision {0}")]
    WrongResult(Revision),
}

#[derive(Clone, Debug)]
struct RecentDelta {
    to: Revision,
    delta: RowDelta,
}

/// The current table of a host; its revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct TableState {
    head: TableHead,
    table: Arc<Table>,
    recent_deltas: VecDeque<RecentDelta>,
    older_offers: u64,
}

impl TableState {
    /// Returns the current revision, or 0 before the first table.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.head.revision
    }

    /// Returns the head of the current table: its revision and the ids of its chunks.
    #[must_use]
    pub fn head(&self) -> &TableHead {
        &self.head
    }

    /// Returns the current table.
    #[must_use]
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Returns the number of whole tables offered to [`TableState::adopt`] that were older than the
    /// current one.
    #[must_use]
    pub fn older_offers(&self) -> u64 {
        self.older_offers
    }

    /// Replaces the current table if the offered one has a higher revision.
    pub fn adopt(&mut self, head: TableHead, table: Table) -> Adoption {
        if head.revision == self.head.revision {
            return Adoption::Known;
        }
        if head.revision < self.head.revision {
            self.older_offers += 1;
            return Adoption::Older;
        }
        let delta = delta_between(self.head.revision, &self.table, &table);
        self.recent_deltas.push_back(RecentDelta {
            to: head.revision,
            delta,
        });
        if self.recent_deltas.len() > MAX_RECENT_DELTAS {
            self.recent_deltas.pop_front();
        }
        self.head = head;
        self.table = Arc::new(table);
        Adoption::Adopted
    }

    /// Applies a delta if it leads to a higher revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the delta does not apply to the current revision or does not produce the
    /// table of `head`; the current table then stays.
    pub fn adopt_delta(
        &mut self,
        head: TableHead,
        delta: &RowDelta,
    ) -> Result<Adoption, DeltaError> {
        if head.revision <= self.head.revision {
            return Ok(Adoption::Known);
        }
        let mut table = match delta.from {
            0 => Table::default(),
            from if from == self.head.revision => (*self.table).clone(),
            from => {
                return Err(DeltaError::WrongBase {
                    from,
                    current: self.head.revision,
                });
            }
        };
        delta.removed.iter().for_each(|key| drop(table.remove(key)));
        delta.rows.iter().for_each(|row| table.insert(row.clone()));
        let chunks = table.to_chunks().into_iter().map(|chunk| chunk.id);
        if !chunks.eq(head.chunks.iter().cloned()) {
            return Err(DeltaError::WrongResult(head.revision));
        }
        Ok(self.adopt(head, table))
    }

    /// Returns the delta from a peer's revision to the current one: the changed rows if the deltas
    /// since that revision are still kept, the whole table otherwise.
    #[must_use]
    pub fn delta_since(&self, peer_revision: Revision) -> RowDelta {
        let is_known = self
            .recent_deltas
            .iter()
            .any(|recent| recent.delta.from == peer_revision);
        if peer_revision == 0 || !is_known {
            return RowDelta {
                from: 0,
                rows: self.table.rows().cloned().collect(),
                removed: vec![],
            };
        }
        let missed = self
            .recent_deltas
            .iter()
            .skip_while(|recent| recent.delta.from != peer_revision);
        let mut changed = std::collections::BTreeSet::new();
        for recent in missed {
            debug_assert!(recent.to <= self.head.revision);
            changed.extend(recent.delta.rows.iter().map(Row::key));
            changed.extend(recent.delta.removed.iter().cloned());
        }
        let row = |key: &RowKey| self.table.row(&key.workspace, &key.target).cloned();
        let rows = changed.iter().filter_map(row).collect();
        let removed = changed
            .iter()
            .filter(|key| row(key).is_none())
            .cloned()
            .collect();
        RowDelta {
            from: peer_revision,
            rows,
            removed,
        }
    }
}

fn delta_between(from: Revision, before: &Table, after: &Table) -> RowDelta {
    let changed = before
        .differences(after)
        .into_iter()
        .map(|difference| difference.key);
    let changed = changed.collect::<std::collections::BTreeSet<_>>();
    let row = |key: &RowKey| after.row(&key.workspace, &key.target).cloned();
    RowDelta {
        from,
        rows: changed.iter().filter_map(row).collect(),
        removed: changed
            .iter()
            .filter(|key| row(key).is_none())
            .cloned()
            .collect(),
    }
}
