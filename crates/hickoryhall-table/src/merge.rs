//! Three-way merge and comparison of tables, cell by cell.

use std::collections::BTreeSet;

use crate::{Row, RowKey, Table};

/// A merge conflict: a cell that both sides changed to different values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellConflict {
    /// Key of the row that the conflict is in.
    pub key: RowKey,
    /// Column, or `(row)` if one side removed the row and the other changed it.
    pub column: &'static str,
    /// Value in the current table; for a whole row its cells joined by commas, or `removed`.
    pub theirs: String,
    /// Value in the change to merge; for a whole row its cells joined by commas, or `removed`.
    pub ours: String,
}

/// One cell that differs between two tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellDifference {
    /// Key of the row that the difference is in.
    pub key: RowKey,
    /// Column, or `(row)` if the row was added or removed.
    pub column: &'static str,
    /// Value in the first table; for a whole row its cells joined by commas, or `removed` if the
    /// table does not have the row.
    pub before: String,
    /// Value in the second table; for a whole row its cells joined by commas, or `removed` if the
    /// table does not have the row.
    pub after: String,
}

/// Column name of a conflict or difference that concerns a row as a whole.
const WHOLE_ROW: &str = "(row)";

impl Table {
    /// Returns the cells that differ between this table and `after`, sorted by row key.
    #[must_use]
    pub fn differences(&self, after: &Self) -> Vec<CellDifference> {
        let mut differences = Vec::new();
        for key in all_keys([self, after]) {
            match (self.rows.get(&key), after.rows.get(&key)) {
                (Some(old), Some(new)) => differences.extend(cell_differences(&key, old, new)),
                (old, new) => differences.push(CellDifference {
                    key,
                    column: WHOLE_ROW,
                    before: row_text(old),
                    after: row_text(new),
                }),
            }
        }
        differences
    }
}

/// Merges `ours` into `theirs`, both derived from `base`.
///
/// # Errors
///
/// Returns all conflicts if both sides changed a cell to different values; nothing is merged then.
pub fn merge(base: &Table, theirs: &Table, ours: &Table) -> Result<Table, Vec<CellConflict>> {
    let mut merged = Table::default();
    let mut conflicts = Vec::new();
    for key in all_keys([base, theirs, ours]) {
        let rows = [base, theirs, ours].map(|table| table.rows.get(&key));
        match merge_row(&key, rows) {
            Ok(Some(row)) => merged.insert(row),
            Ok(None) => {}
            Err(row_conflicts) => conflicts.extend(row_conflicts),
        }
    }
    if conflicts.is_empty() {
        Ok(merged)
    } else {
        Err(conflicts)
    }
}

fn merge_row(key: &RowKey, rows: [Option<&Row>; 3]) -> Result<Option<Row>, Vec<CellConflict>> {
    let [base, theirs, ours] = rows;
    if ours == base || ours == theirs {
        return Ok(theirs.cloned());
    }
    if theirs == base {
        return Ok(ours.cloned());
    }
    let (Some(their_row), Some(our_row)) = (theirs, ours) else {
        let conflict = CellConflict {
            key: key.clone(),
            column: WHOLE_ROW,
            theirs: row_text(theirs),
            ours: row_text(ours),
        };
        return Err(vec![conflict]);
    };
    let empty = Row::new(&key.workspace, &key.target);
    merge_cells(key, base.unwrap_or(&empty), their_row, our_row).map(Some)
}

fn merge_cells(
    key: &RowKey,
    base: &Row,
    theirs: &Row,
    ours: &Row,
) -> Result<Row, Vec<CellConflict>> {
    let mut conflicts = Vec::new();
    let their_changes = cell_differences(key, base, theirs);
    for our_change in cell_differences(key, base, ours) {
        let their_change = their_changes
            .iter()
            .find(|change| change.column == our_change.column);
        if let Some(change) = their_change.filter(|change| change.after != our_change.after) {
            conflicts.push(CellConflict {
                key: key.clone(),
                column: our_change.column,
                theirs: change.after.clone(),
                ours: our_change.after,
            });
        }
    }
    if !conflicts.is_empty() {
        return Err(conflicts);
    }
    Ok(Row {
        workspace: key.workspace.clone(),
        target: key.target.clone(),
        weight: merged_cell(&base.weight, &theirs.weight, &ours.weight),
        requests_per_s: merged_cell(
            &base.requests_per_s,
            &theirs.requests_per_s,
            &ours.requests_per_s,
        ),
        tokens_per_s: merged_cell(&base.tokens_per_s, &theirs.tokens_per_s, &ours.tokens_per_s),
        concurrent: merged_cell(&base.concurrent, &theirs.concurrent, &ours.concurrent),
        priority: merged_cell(&base.priority, &theirs.priority, &ours.priority),
        repeatable: merged_cell(&base.repeatable, &theirs.repeatable, &ours.repeatable),
        weights_version: merged_cell(
            &base.weights_version,
            &theirs.weights_version,
            &ours.weights_version,
        ),
        adapter: merged_cell(&base.adapter, &theirs.adapter, &ours.adapter),
        wait_cost_percent: merged_cell(
            &base.wait_cost_percent,
            &theirs.wait_cost_percent,
            &ours.wait_cost_percent,
        ),
        recompute_cost_percent: merged_cell(
            &base.recompute_cost_percent,
            &theirs.recompute_cost_percent,
            &ours.recompute_cost_percent,
        ),
        eviction_cost_percent: merged_cell(
            &base.eviction_cost_percent,
            &theirs.eviction_cost_percent,
            &ours.eviction_cost_percent,
        ),
        key_hashes: merged_cell(&base.key_hashes, &theirs.key_hashes, &ours.key_hashes),
    })
}

/// Returns the value of the side that changed it; only called where there is no conflict.
fn merged_cell<T: Clone + PartialEq>(base: &T, theirs: &T, ours: &T) -> T {
    if ours == base {
        theirs.clone()
    } else {
        ours.clone()
    }
}

fn cell_differences(key: &RowKey, before: &Row, after: &Row) -> Vec<CellDifference> {
    let cells = before.cells().into_iter().zip(after.cells());
    Row::COLUMNS
        .iter()
        .zip(cells)
        .filter(|(_, (before, after))| before != after)
        .map(|(column, (before, after))| CellDifference {
            key: key.clone(),
            column,
            before,
            after,
        })
        .collect()
}

fn all_keys<const N: usize>(tables: [&Table; N]) -> BTreeSet<RowKey> {
    tables
        .into_iter()
        .flat_map(|table| table.rows.keys().cloned())
        .collect()
}

/// Returns the cells of a row without its key columns, or `removed` if there is no row.
fn row_text(row: Option<&Row>) -> String {
    row.map_or_else(|| "removed".to_owned(), |row| row.cells()[2..].join(","))
}
