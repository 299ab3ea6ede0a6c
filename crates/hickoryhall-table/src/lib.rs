//! The operators' table: rows, validation, three-way merge, and its CSV, JSON and stored forms.
//!
//! ```
//! use hickoryhall_table::Table;
//!
//! let sheet = "workspace,target,weight\nkaroo,model:planner,3\n";
//! let table = Table::from_csv(sheet).expect("valid sheet");
//! assert_eq!(table.row("karoo", "model:planner").map(|row| row.weight), Some(Some(3)));
//! ```

mod access;
mod merge;
mod row;
mod sheet;
mod snapshot;

pub use access::{AccessPolicy, CostWeights};
pub use merge::{CellConflict, CellDifference, merge};
pub use row::{ANY, Row, RowKey};
pub use sheet::{SheetError, SheetErrors};
pub use snapshot::{Change, Chunk, ChunkId, SnapshotError, TableHead, chunk_id};

use std::collections::BTreeMap;

/// The operators' table, with at most one row per workspace and target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    rows: BTreeMap<RowKey, Row>,
}

impl Table {
    /// Returns the row with exactly this workspace and target, either of which may be [`ANY`].
    #[must_use]
    pub fn row(&self, workspace: &str, target: &str) -> Option<&Row> {
        self.rows.get(&RowKey::new(workspace, target))
    }

    /// Returns all rows, sorted by key.
    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    /// Inserts a row, replacing the row with the same key if there is one.
    pub fn insert(&mut self, row: Row) {
        self.rows.insert(row.key(), row);
    }

    /// Removes and returns the row with this key.
    pub fn remove(&mut self, key: &RowKey) -> Option<Row> {
        self.rows.remove(key)
    }

    /// Returns the number of rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the table has no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

impl FromIterator<Row> for Table {
    fn from_iter<I: IntoIterator<Item = Row>>(rows: I) -> Self {
        Self {
            rows: rows.into_iter().map(|row| (row.key(), row)).collect(),
        }
    }
}
