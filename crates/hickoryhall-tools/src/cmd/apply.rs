//! `apply`: replaces the table with a sheet.

use std::path::Path;

use super::{CommandError, change_id, diff, read_sheet};
use crate::operator::OperatorClient;

pub(super) fn run(
    client: &OperatorClient,
    author: &str,
    base: Option<&Path>,
    sheet: &Path,
    dry_run: bool,
) -> Result<String, CommandError> {
    let wanted = read_sheet(sheet)?;
    let current = client.table()?.table;
    let base = base.map(read_sheet).transpose()?.unwrap_or(current);
    let mut output = diff::render(&base, &wanted);
    if dry_run || base == wanted {
        return Ok(output);
    }
    let revision = client.apply(&change_id(author), author, &base, &wanted)?;
    output.push_str(&format!("Revision {revision} is accepted.\n"));
    Ok(output)
}
