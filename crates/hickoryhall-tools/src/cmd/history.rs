//! `history`: shows the latest changes, newest first.

use super::CommandError;
use crate::operator::OperatorClient;

pub(super) fn run(client: &OperatorClient) -> Result<String, CommandError> {
    let history = client.history()?;
    let line = |change: &hickoryhall_table::Change| {
        let hickoryhall_table::Change {
            revision,
            author,
            at_s,
            id,
        } = change;
        format!("{revision}\t{at_s}\t{author}\t{id}\n")
    };
    Ok(history.iter().rev().map(line).collect())
}
