//! `get`: prints the table in force.

use super::CommandError;
use crate::operator::OperatorClient;

pub(super) fn run(client: &OperatorClient, json: bool) -> Result<String, CommandError> {
    let current = client.table()?;
    Ok(if json {
        current.table.to_json()
    } else {
        current.table.to_csv()
    })
}
