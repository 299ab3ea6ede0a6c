//! The table as it lies in the store: one small head and chunks named by their content.
//!
//! A change writes the chunks that differ, then replaces the head by compare-and-swap, so the whole
//! table changes at once although it is larger than one value of the store may be.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Row, Table};
use hickoryhall_types::Revision;

/// Name of a chunk: the blake3 hash of its bytes, in hex.
pub type ChunkId = String;

/// Number of chunks that a table is cut into.
const CHUNK_COUNT: u8 = 16;
/// Changes that a head remembers.
const HISTORY_LEN: usize = 64;

/// Part of a table's rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Hash of `bytes`.
    pub id: ChunkId,
    /// Rows in JSON form.
    pub bytes: Vec<u8>,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Id that the operator's program chose for the change.
    pub id: String,
    /// Revision that the change made.
    pub revision: Revision,
    /// Who made it.
    pub author: String,
    /// Seconds since 1970, by the clock of the host that accepted it.
    pub at_s: u64,
}

/// The value that decides which table is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableHead {
    /// Revision, one more with each change.
    pub revision: Revision,
    /// Chunks of the table, in order.
    pub chunks: Vec<ChunkId>,
    /// The latest changes, newest last.
    pub history: Vec<Change>,
}

/// Chunks that do not make up the table of a head.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// A chunk is missing.
    #[error("chunk {0} is missing")]
    MissingChunk(ChunkId),
    /// A chunk's bytes do not match its name.
    #[error("chunk {0} does not match its hash")]
    WrongHash(ChunkId),
    /// A chunk is no list of rows.
    #[error("chunk {id} is not a list of rows: {source}")]
    BadRows {
        /// Name of the chunk.
        id: ChunkId,
        /// Cause.
        source: serde_json::Error,
    },
}

impl TableHead {
    /// Returns the head that follows this one when `table` replaces it.
    #[must_use]
    pub fn next(&self, table: &Table, mut change: Change) -> Self {
        let revision = self.revision + 1;
        change.revision = revision;
        let mut history = self.history.clone();
        history.push(change);
        let surplus = history.len().saturating_sub(HISTORY_LEN);
        history.drain(..surplus);
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

    /// Tells whether a change is among the latest ones, and with which revision.
    #[must_use]
    pub fn accepted(&self, change_id: &str) -> Option<Revision> {
        self.history
            .iter()
            .find(|change| change.id == change_id)
            .map(|change| change.revision)
    }
}

impl Table {
    /// Cuts the table into chunks, each row always in the same one.
    #[must_use]
    pub fn to_chunks(&self) -> Vec<Chunk> {
        let mut parts = BTreeMap::<u8, Vec<&Row>>::new();
        for row in self.rows() {
            parts.entry(chunk_of(row)).or_default().push(row);
        }
        parts
            .into_values()
            .map(|rows| {
                let bytes = serde_json::to_vec(&rows).expect("rows have string keys");
                Chunk {
                    id: chunk_id(&bytes),
                    bytes,
                }
            })
            .collect()
    }

    /// Puts a table together from chunks.
    ///
    /// # Errors
    ///
    /// Returns an error where a chunk is missing, altered or not a list of rows.
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

/// Returns the name of a chunk with these bytes.
#[must_use]
pub fn chunk_id(bytes: &[u8]) -> ChunkId {
    blake3::hash(bytes).to_hex().to_string()
}

fn chunk_of(row: &Row) -> u8 {
    let key = format!("{}\n{}", row.workspace, row.target);
    blake3::hash(key.as_bytes()).as_bytes()[0] % CHUNK_COUNT
}
