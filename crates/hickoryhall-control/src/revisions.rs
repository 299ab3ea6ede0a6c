//! The table in force at a host, and the changes that led to it.

use std::collections::VecDeque;
use std::sync::Arc;

use hickoryhall_table::{Row, RowKey, Table, TableHead};
use hickoryhall_types::Revision;

/// Changes kept for peers that are a few revisions behind.
const KEPT_DELTAS: usize = 64;

/// Rows that a change adds, alters and removes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowDelta {
    /// Revision that the change applies to, 0 for a whole table.
    pub from: Revision,
    /// Rows added or altered.
    pub rows: Vec<Row>,
    /// Rows removed.
    pub removed: Vec<RowKey>,
}

/// What became of a table that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// It is in force now.
    Adopted,
    /// It is in force already.
    Known,
    /// It is older than the one in force and was not taken.
    Older,
}

/// A delta that does not lead to the table of its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// It applies to another revision than the one in force.
    #[error("the delta applies to revision {from}, {have} is in force")]
    WrongBase {
        /// Revision that it applies to.
        from: Revision,
        /// Revision in force.
        have: Revision,
    },
    /// The result does not have the chunks that the head names.
    #[error("the delta does not lead to the table of revision {0}")]
    WrongResult(Revision),
}

#[derive(Clone, Debug)]
struct Step {
    to: Revision,
    delta: RowDelta,
}

/// The table in force; a revision never goes back.
#[derive(Clone, Debug, Default)]
pub struct TableState {
    head: TableHead,
    table: Arc<Table>,
    steps: VecDeque<Step>,
    older_offers: u64,
}

impl TableState {
    /// Returns the revision in force, 0 before the first one.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.head.revision
    }

    /// Returns the head in force.
    #[must_use]
    pub fn head(&self) -> &TableHead {
        &self.head
    }

    /// Returns the table in force.
    #[must_use]
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Returns how often an older table was offered.
    #[must_use]
    pub fn older_offers(&self) -> u64 {
        self.older_offers
    }

    /// Takes a whole table where its revision is higher.
    pub fn adopt(&mut self, head: TableHead, table: Table) -> Adoption {
        if head.revision == self.head.revision {
            return Adoption::Known;
        }
        if head.revision < self.head.revision {
            self.older_offers += 1;
            return Adoption::Older;
        }
        let delta = delta_between(self.head.revision, &self.table, &table);
        self.steps.push_back(Step {
            to: head.revision,
            delta,
        });
        if self.steps.len() > KEPT_DELTAS {
            self.steps.pop_front();
        }
        self.head = head;
        self.table = Arc::new(table);
        Adoption::Adopted
    }

    /// Takes a delta where it leads to a higher revision.
    ///
    /// # Errors
    ///
    /// Returns an error where the delta does not fit; the table in force stays.
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
                    have: self.head.revision,
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

    /// Returns the rows that lead a peer from its revision to the one in force: the changes where
    /// they are still known, the whole table otherwise.
    #[must_use]
    pub fn delta_since(&self, have: Revision) -> RowDelta {
        let is_known = self.steps.iter().any(|step| step.delta.from == have);
        if have == 0 || !is_known {
            return RowDelta {
                from: 0,
                rows: self.table.rows().cloned().collect(),
                removed: vec![],
            };
        }
        let steps = self.steps.iter().skip_while(|step| step.delta.from != have);
        let mut changed = std::collections::BTreeSet::new();
        for step in steps {
            debug_assert!(step.to <= self.head.revision);
            changed.extend(step.delta.rows.iter().map(Row::key));
            changed.extend(step.delta.removed.iter().cloned());
        }
        let row = |key: &RowKey| self.table.row(&key.workspace, &key.target).cloned();
        let rows = changed.iter().filter_map(row).collect();
        let removed = changed
            .iter()
            .filter(|key| row(key).is_none())
            .cloned()
            .collect();
        RowDelta {
            from: have,
            rows,
            removed,
        }
    }
}

fn delta_between(from: Revision, before: &Table, after: &Table) -> RowDelta {
    let changed = before
        .difference(after)
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
