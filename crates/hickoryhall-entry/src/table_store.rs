//! Reads the routing table from the platform's store and applies changes of operators to it.

use std::collections::BTreeMap;

use hickoryhall_clients::{ClientError, ClientErrorKind, PutCondition, StoreClient};
use hickoryhall_table::{CellConflict, Change, SnapshotError, Table, TableHead, merge};
use hickoryhall_types::Revision;

/// Store key of the table head, which names the revision and its chunks.
pub(crate) const TABLE_HEAD_KEY: &str = "table/head";
/// Number of attempts to apply a change, each of which fails if another change is stored first.
const MAX_ATTEMPTS: u32 = 16;

/// A change of the table that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableChange {
    /// Id chosen by the operator's program; a resend with the same id is not applied again.
    pub id: String,
    /// Name of the operator, kept in the table's history.
    pub author: String,
    /// Table that the operator edited, the base of the merge.
    pub base: Table,
    /// Table after the operator's edits.
    pub edited: Table,
    /// Time of the request in seconds since the Unix epoch.
    pub at_s: u64,
}

/// A change that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AppliedChange {
    /// Head of the table that includes the change.
    pub head: TableHead,
    /// Revision that the change created; for a resent change, may be older than that of `head`.
    pub revision: Revision,
    /// Table that belongs to `head`.
    pub table: Table,
}

/// Error from reading the table or applying a change.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// The store failed before the change took effect, or while the table was read.
    #[error("the change did not take effect: {0}")]
    NotApplied(ClientError),
    /// The store failed and it is unknown whether the change took effect.
    #[error("the change may have taken effect; apply it again under the same id: {0}")]
    InDoubt(ClientError),
    /// Other operators changed the same cells to different values since the base.
    #[error("the change clashes with another one in {} cells", .0.len())]
    Conflict(Vec<CellConflict>),
    /// The chunks in the store do not form a valid table.
    #[error("the table in the store: {0}")]
    Snapshot(#[from] SnapshotError),
    /// The head in the store is not valid JSON.
    #[error("the head in the store: {0}")]
    Head(serde_json::Error),
    /// The table was changed concurrently during every attempt.
    #[error("the table changed {MAX_ATTEMPTS} times meanwhile; apply the change again")]
    Contended,
}

/// Client for the table in the platform's store.
#[derive(Clone, Debug)]
pub struct TableStore {
    store: StoreClient,
}

impl TableStore {
    /// Creates a client that uses `store`.
    #[must_use]
    pub fn new(store: StoreClient) -> Self {
        Self { store }
    }

    /// Reads the table and its head.
    ///
    /// Returns revision 0 and an empty table where the store has none yet.
    ///
    /// # Errors
    ///
    /// Returns an error where the store is unreachable or holds an incomplete table.
    pub fn read(&self) -> Result<(TableHead, Table), ApplyError> {
        let (head, table, _) = self.read_with_revision()?;
        Ok((head, table))
    }

    /// Merges a change into the table and stores the result as the next revision.
    ///
    /// A change whose id is in the table's history has taken effect and is not applied again.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the change may have taken effect.
    pub fn apply(&self, change: &TableChange) -> Result<AppliedChange, ApplyError> {
        // Error of a write that may still take effect.
        let mut doubt = None;
        for _ in 0..MAX_ATTEMPTS {
            let (head, table, store_revision) = match self.read_with_revision() {
                Err(ApplyError::NotApplied(error)) if doubt.is_some() => {
                    return Err(ApplyError::InDoubt(error));
                }
                result => result?,
            };
            if let Some(revision) = head.accepted_revision(&change.id) {
                return Ok(AppliedChange {
                    head,
                    revision,
                    table,
                });
            }
            let merged =
                merge(&change.base, &table, &change.edited).map_err(ApplyError::Conflict)?;
            let next = head.next(&merged, change.to_record());
            match self.write(&head, &next, &merged, store_revision) {
                Ok(()) => {
                    let revision = next.revision;
                    return Ok(AppliedChange {
                        head: next,
                        revision,
                        table: merged,
                    });
                }
                Err(error) if matches!(error.kind, ClientErrorKind::Conflict(_)) => {}
                // The next iteration reads back whether the write took effect. If it is still on
                // its way, its condition fails once another write takes effect.
                Err(error) if error.is_in_doubt() => doubt = Some(error),
                Err(error) if doubt.is_some() => return Err(ApplyError::InDoubt(error)),
                Err(error) => return Err(ApplyError::NotApplied(error)),
            }
        }
        Err(doubt.map_or(ApplyError::Contended, ApplyError::InDoubt))
    }

    /// Reads head and table with the store revision of the head, 0 where there is none yet.
    fn read_with_revision(&self) -> Result<(TableHead, Table, u64), ApplyError> {
        let stored = self
            .store
            .get(TABLE_HEAD_KEY)
            .map_err(ApplyError::NotApplied)?;
        let Some(stored) = stored else {
            return Ok((TableHead::default(), Table::default(), 0));
        };
        let head = serde_json::from_str::<TableHead>(&stored.value).map_err(ApplyError::Head)?;
        let mut chunks = BTreeMap::new();
        for id in &head.chunks {
            let chunk = self
                .store
                .get(&chunk_key(id))
                .map_err(ApplyError::NotApplied)?;
            if let Some(chunk) = chunk {
                chunks.insert(id.clone(), chunk.value.into_bytes());
            }
        }
        let table = Table::from_chunks(&head, &chunks)?;
        Ok((head, table, stored.revision))
    }

    /// Writes the chunks that the old head lacks, then replaces the head if it is unchanged.
    fn write(
        &self,
        head: &TableHead,
        next: &TableHead,
        table: &Table,
        store_revision: u64,
    ) -> Result<(), ClientError> {
        for chunk in table.to_chunks() {
            if !head.chunks.contains(&chunk.id) {
                let value = String::from_utf8_lossy(&chunk.bytes);
                // Chunk ids are content hashes, so writing a chunk twice changes nothing.
                self.store
                    .put(&chunk_key(&chunk.id), &value, PutCondition::Always, None)?;
            }
        }
        let value = serde_json::to_string(next).expect("a head has string keys");
        let condition = match store_revision {
            0 => PutCondition::Absent,
            revision => PutCondition::Revision(revision),
        };
        self.store
            .put(TABLE_HEAD_KEY, &value, condition, None)
            .map(drop)
    }
}

impl TableChange {
    fn to_record(&self) -> Change {
        Change {
            id: self.id.clone(),
            revision: 0,
            author: self.author.clone(),
            at_s: self.at_s,
        }
    }
}

fn chunk_key(id: &str) -> String {
    format!("table/chunk/{id}")
}
