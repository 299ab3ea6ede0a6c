//! `set`: changes cells of one row.

use hickoryhall_table::{Row, Table};

use super::{CommandError, change_id};
use crate::operator::OperatorClient;

pub(super) fn run(
    client: &OperatorClient,
    author: &str,
    workspace: &str,
    target: &str,
    cells: &[String],
) -> Result<String, CommandError> {
    let base = client.table()?.table;
    let row = base.row(workspace, target).cloned();
    let row = row.unwrap_or_else(|| Row::new(workspace, target));
    let changed = with_cells(&row, cells)?;
    let mut wanted = base.clone();
    wanted.insert(changed);
    let revision = client.apply(&change_id(author), author, &base, &wanted)?;
    Ok(format!("Revision {revision} is accepted.\n"))
}

/// Returns the row with these cells set, parsed in the same way as a sheet.
fn with_cells(row: &Row, cells: &[String]) -> Result<Row, CommandError> {
    let mut values = row.cells();
    for cell in cells {
        let (column, value) = cell.split_once('=').ok_or_else(|| {
            CommandError::usage(format!("'{cell}' is not of the form COLUMN=VALUE"))
        })?;
        let index = Row::COLUMNS
            .iter()
            .position(|name| *name == column)
            .ok_or_else(|| CommandError::usage(format!("column '{column}' does not exist")))?;
        value.clone_into(&mut values[index]);
    }
    let sheet = [Row::COLUMNS.join(","), values.join(",")].join("\n");
    let table =
        Table::from_csv(&sheet).map_err(|errors| CommandError::usage(errors.to_string()))?;
    let row = table.rows().next().cloned();
    row.ok_or_else(|| CommandError::usage("the row has no cells"))
}
