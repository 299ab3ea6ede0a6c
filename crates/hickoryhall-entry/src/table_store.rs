//! The table in the platform's store: reading it, and accepting changes.

use std::collections::BTreeMap;

use hickoryhall_clients::{ClientError, ClientErrorKind, PutCondition, StoreClient};
use hickoryhall_table::{Change, Clash, SnapshotError, Table, TableHead, merge};
use hickoryhall_types::Revision;

/// Key of the table's head.
pub(crate) const HEAD_KEY: &str = "table/head";
/// Tries to get a change accepted while others change the table too.
const TRIES: u32 = 16;

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableChange {
    /// Id of the change, chosen by the operator's program.
    pub id: String,
    /// Who asks for it.
    pub author: String,
    /// Table that the operator started from.
    pub base: Table,
    /// Table that the operator wants.
    pub wanted: Table,
    /// Seconds since 1970.
    pub at_s: u64,
}

/// A change that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Head in force from now on.
    pub head: TableHead,
    /// Revision that the change made.
    pub revision: Revision,
    /// Table in force from now on.
    pub table: Table,
}

/// A change that did not take effect, or of which nobody knows.
#[derive(Debug, thiserror::Error)]
pub enum AcceptError {
    /// The store failed before the change took effect.
    #[error("the change did not take effect: {0}")]
    NotAccepted(ClientError),
    /// The store failed and did not say whether the change took effect.
    #[error("the change may have taken effect; apply it again under the same id: {0}")]
    InDoubt(ClientError),
    /// Cells that others have changed meanwhile.
    #[error("the change clashes with another one in {} cells", .0.len())]
    Clash(Vec<Clash>),
    /// The table in the store cannot be read.
    #[error("the table in the store: {0}")]
    Snapshot(#[from] SnapshotError),
    /// The head in the store cannot be read.
    #[error("the head in the store: {0}")]
    Head(serde_json::Error),
    /// Others changed the table each time.
    #[error("the table changed {TRIES} times meanwhile; apply the change again")]
    Contended,
}

/// The table in a store.
#[derive(Clone, Debug)]
pub struct TableStore {
    store: StoreClient,
}

impl TableStore {
    /// Creates access to a store.
    #[must_use]
    pub fn new(store: StoreClient) -> Self {
        Self { store }
    }

    /// Reads head and table; revision 0 and an empty table where there is none yet.
    ///
    /// # Errors
    ///
    /// Returns an error where the store cannot be reached or holds no whole table.
    pub fn read(&self) -> Result<(TableHead, Table), AcceptError> {
        let (head, table, _) = self.read_with_revision()?;
        Ok((head, table))
    }

    /// Merges a change into the table and makes the result its next revision.
    ///
    /// A change that took effect already, by its id, is not made again.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the change may have taken effect.
    pub fn accept(&self, change: &TableChange) -> Result<Accepted, AcceptError> {
        let mut in_doubt = false;
        for _ in 0..TRIES {
            let (head, table, store_revision) = match self.read_with_revision() {
                Err(AcceptError::NotAccepted(error)) if in_doubt => {
                    return Err(AcceptError::InDoubt(error));
                }
                result => result?,
            };
            if let Some(revision) = head.accepted(&change.id) {
                return Ok(Accepted {
                    head,
                    revision,
                    table,
                });
            }
            let merged = merge(&change.base, &table, &change.wanted).map_err(AcceptError::Clash)?;
            let next = head.next(&merged, change.as_record());
            match self.write(&head, &next, &merged, store_revision) {
                Ok(()) => {
                    let revision = next.revision;
                    return Ok(Accepted {
                        head: next,
                        revision,
                        table: merged,
                    });
                }
                Err(error) if matches!(error.kind, ClientErrorKind::Conflict(_)) => {}
                // The next round reads back whether the write took effect; if it did not yet, its
                // condition fails as soon as another write does.
                Err(error) if error.is_in_doubt() => in_doubt = true,
                Err(error) => return Err(AcceptError::NotAccepted(error)),
            }
        }
        Err(AcceptError::Contended)
    }

    fn read_with_revision(&self) -> Result<(TableHead, Table, u64), AcceptError> {
        let stored = self.store.get(HEAD_KEY).map_err(AcceptError::NotAccepted)?;
        let Some(stored) = stored else {
            return Ok((TableHead::default(), Table::default(), 0));
        };
        let head = serde_json::from_str::<TableHead>(&stored.value).map_err(AcceptError::Head)?;
        let mut chunks = BTreeMap::new();
        for id in &head.chunks {
            let chunk = self
                .store
                .get(&chunk_key(id))
                .map_err(AcceptError::NotAccepted)?;
            if let Some(chunk) = chunk {
                chunks.insert(id.clone(), chunk.value.into_bytes());
            }
        }
        let table = Table::from_chunks(&head, &chunks)?;
        Ok((head, table, stored.revision))
    }

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
                // A chunk is named by its content, so writing it twice changes nothing.
                self.store
                    .put(&chunk_key(&chunk.id), &value, PutCondition::Always, None)?;
            }
        }
        let value = serde_json::to_string(next).expect("a head has string keys");
        let condition = match store_revision {
            0 => PutCondition::Absent,
            revision => PutCondition::Revision(revision),
        };
        self.store.put(HEAD_KEY, &value, condition, None).map(drop)
    }
}

impl TableChange {
    fn as_record(&self) -> Change {
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
