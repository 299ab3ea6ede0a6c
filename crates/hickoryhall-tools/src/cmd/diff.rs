//! `diff`: shows how a sheet differs from the table in force.

use std::path::Path;

use hickoryhall_table::{CellDifference, Table};

use super::{CommandError, read_sheet};
use crate::operator::OperatorClient;

pub(super) fn run(client: &OperatorClient, sheet: &Path) -> Result<String, CommandError> {
    let wanted = read_sheet(sheet)?;
    Ok(render(&client.table()?.table, &wanted))
}

/// Renders the difference between two tables, one line for each cell.
pub(super) fn render(before: &Table, after: &Table) -> String {
    let differences = before.differences(after);
    if differences.is_empty() {
        return "No difference.\n".to_owned();
    }
    differences.iter().map(line).collect()
}

fn line(difference: &CellDifference) -> String {
    let CellDifference {
        key,
        column,
        before,
        after,
    } = difference;
    format!(
        "{} {} {column}: '{before}' -> '{after}'\n",
        key.workspace, key.target
    )
}
