//! Stored form of the table: a small head and content-addressed chunks of rows.
//!
//! A change writes the chunks that differ, then replaces the head by compare-and-swap. This changes
//! the whole table atomically although it may exceed the size limit of a stored value.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Row, Table};
use hickoryhall_types::Revision;

/// Id of a chunk: the blake3 hash of its bytes, in hex.
pub type ChunkId = String;

/// Maximum number of chunks of a table; chunks without rows are left out.
const MAX_CHUNKS: u8 = 16;
/// Maximum number of changes in the history of a head.
const MAX_HISTORY_LEN: usize = 64;

/// A subset of a table's rows, serialized.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Hash of `bytes`, as [`chunk_id`] returns it.
    pub id: ChunkId,
    /// Rows, as a JSON list.
    pub bytes: Vec<u8>,
}

/// Record of an accepted change of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Id that the operator's tool chose; a change that is sent again is recognized by it.
    pub id: String,
    /// Revision that the change created.
    pub revision: Revision,
    /// Author of the change, as the operator's tool states it.
    pub author: String,
    /// Time of acceptance in seconds since 1970, by the clock of the accepting host.
    pub at_s: u64,
}

/// Head of the stored table, which determines the table in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableHead {
    /// Revision of the table, which grows by one with each change; 0 before the first one.
    pub revision: Revision,
    /// Ids of the table's chunks, in the order of [`Table::to_chunks`].
    pub chunks: Vec<ChunkId>,
    /// Latest changes, newest last.
    pub history: Vec<Change>,
}

/// Reason why chunks could not be assembled into the table of a head.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// A chunk that the head lists is missing.
    #[error("chunk {0} is missing")]
    MissingChunk(ChunkId),
    /// The bytes of a chunk do not match its id.
    #[error("chunk {0} does not match its hash")]
    WrongHash(ChunkId),
    /// The content of a chunk is not a list of rows.
    #[error("chunk {id} is not a list of rows: {source}")]
    BadRows {
        /// Id of the chunk.
        id: ChunkId,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

impl TableHead {
    /// Returns the head that replaces this one when `change` puts `table` in force.
    ///
    /// The revision of `change` is set to that of the new head.
    #[must_use]
    pub fn next(&self, table: &Table, mut change: Change) -> Self {
        let revision = self.revision + 1;
        change.revision = revision;
        let mut history = self.history.clone();
        history.push(change);
        let excess = history.len().saturating_sub(MAX_HISTORY_LEN);
        history.drain(..excess);
        let chunks = table
            .to_chunks()
            .into_iter()
            .map(|chunk| chunk.id)
            .collect();
        Self {
            revision,
            chunks,
            history,
        }
    }

    /// Returns the revision that a change created, or `None` if the history does not contain it.
    #[must_use]
    pub fn accepted_revision(&self, change_id: &str) -> Option<Revision> {
        self.history
            .iter()
            .find(|change| change.id == change_id)
            .map(|change| change.revision)
    }
}

impl Table {
    /// Splits the table into chunks.
    ///
    /// The hash of a row's key selects its chunk, so a change of one row changes only one chunk.
    #[must_use]
    pub fn to_chunks(&self) -> Vec<Chunk> {
        let mut rows_by_chunk = BTreeMap::<u8, Vec<&Row>>::new();
        for row in self.rows() {
            rows_by_chunk.entry(chunk_index(row)).or_default().push(row);
        }
        rows_by_chunk
            .into_values()
            .map(|rows| {
                let bytes = serde_json::to_vec(&rows).expect("a row serializes to JSON");
                Chunk {
                    id: chunk_id(&bytes),
                    bytes,
                }
            })
            .collect()
    }

    /// Assembles a table from the chunks that `head` lists.
    ///
    /// # Errors
    ///
    /// Returns an error if a chunk is missing, does not match its id or is not a list of rows.
    pub fn from_chunks(
        head: &TableHead,
        chunks: &BTreeMap<ChunkId, Vec<u8>>,
    ) -> Result<Self, SnapshotError> {
        let mut table = Self::default();
        for id in &head.chunks {
            let bytes = chunks
                .get(id)
                .ok_or_else(|| SnapshotError::MissingChunk(id.clone()))?;
            if chunk_id(bytes) != *id {
                return Err(SnapshotError::WrongHash(id.clone()));
            }
            let rows = serde_json::from_slice::<Vec<Row>>(bytes).map_err(|source| {
                SnapshotError::BadRows {
                    id: id.clone(),
                    source,
                }
            })?;
            rows.into_iter().for_each(|row| table.insert(row));
        }
        Ok(table)
    }
}

/// Returns the id of the chunk with these bytes.
#[must_use]
pub fn chunk_id(bytes: &[u8]) -> ChunkId {
    blake3::hash(bytes).to_hex().to_string()
}

fn chunk_index(row: &Row) -> u8 {
    let key = format!("{}\n{}", row.workspace, row.target);
    blake3::hash(key.as_bytes()).as_bytes()[0] % MAX_CHUNKS
}
