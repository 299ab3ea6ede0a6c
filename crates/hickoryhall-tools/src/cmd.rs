//! Subcommands of the program `hickoryhall-table`, one module each.

mod apply;
mod diff;
mod get;
mod history;
mod set;
mod status;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use bpaf::Bpaf;
use hickoryhall_table::Table;

use crate::operator::{OperatorClient, OperatorError};

/// Exit code for invalid input, and for a call that the host refused.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for a conflict with another operator's change.
pub const EXIT_CONFLICT: u8 = 3;
/// Exit code if the host did not respond, so that a change may have taken effect.
pub const EXIT_NO_RESPONSE: u8 = 4;
/// Exit code of `status` if a host has an older revision in force or does not respond.
pub const EXIT_BEHIND: u8 = 5;

/// Command-line options of `hickoryhall-table`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct TableOptions {
    /// Address of the entry host to call
    #[bpaf(argument("ADDRESS"), env("HICKORYHALL_HOST"))]
    host: SocketAddr,
    /// Key of the operators' API
    #[bpaf(argument("KEY"), env("HICKORYHALL_OPERATOR_KEY"))]
    key: String,
    #[bpaf(external(table_command))]
    command: TableCommand,
}

/// Commands that read and change the table.
#[derive(Clone, Debug, Bpaf)]
pub enum TableCommand {
    /// Print the table in force
    #[bpaf(command)]
    Get {
        /// Print JSON instead of CSV
        json: bool,
    },
    /// Change cells of one row
    #[bpaf(command)]
    Set {
        /// Author of the change
        #[bpaf(argument("NAME"), fallback(default_author()))]
        author: String,
        /// Workspace of the row, or '*'
        #[bpaf(positional("WORKSPACE"))]
        workspace: String,
        /// Target of the row: 'model:NAME', 'service:NAME' or '*'
        #[bpaf(positional("TARGET"))]
        target: String,
        /// Cells as COLUMN=VALUE; an empty value clears the cell
        #[bpaf(
            positional("COLUMN=VALUE"),
            some("at least one COLUMN=VALUE is needed")
        )]
        cells: Vec<String>,
    },
    /// Replace the table with a sheet, merging changes made in the meantime
    #[bpaf(command)]
    Apply {
        /// Author of the change
        #[bpaf(argument("NAME"), fallback(default_author()))]
        author: String,
        /// Sheet that the edited one was made from; default: the table in force
        #[bpaf(argument("FILE"))]
        base: Option<PathBuf>,
        /// Show the difference without changing the table
        dry_run: bool,
        /// Edited sheet; JSON if the file name ends in '.json', otherwise CSV
        #[bpaf(positional("FILE"))]
        sheet: PathBuf,
    },
    /// Show how a sheet differs from the table in force
    #[bpaf(command)]
    Diff {
        /// Sheet; JSON if the file name ends in '.json', otherwise CSV
        #[bpaf(positional("FILE"))]
        sheet: PathBuf,
    },
    /// Show the revision that each host has in force
    #[bpaf(command)]
    Status,
    /// Show the latest changes
    #[bpaf(command)]
    History,
}

/// Error of a subcommand.
#[derive(Debug, thiserror::Error)]
#[error("{message}")]
pub struct CommandError {
    /// Exit code of the program, one of the `EXIT_` constants.
    pub exit_code: u8,
    /// Message for the operator, of one or more lines.
    pub message: String,
}

impl CommandError {
    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self {
            exit_code: EXIT_USAGE,
            message: message.into(),
        }
    }
}

impl From<OperatorError> for CommandError {
    fn from(error: OperatorError) -> Self {
        let exit_code = match &error {
            OperatorError::Conflict(_) => EXIT_CONFLICT,
            OperatorError::Refused { .. } => EXIT_USAGE,
            OperatorError::NoResponse { .. } => EXIT_NO_RESPONSE,
        };
        let mut message = error.to_string();
        if let OperatorError::Conflict(cells) = &error {
            for cell in cells {
                message.push_str(&format!(
                    "\n{} {} {}: now '{}', yours '{}'",
                    cell.workspace, cell.target, cell.column, cell.theirs, cell.ours
                ));
            }
        }
        Self { exit_code, message }
    }
}

/// Runs a subcommand and returns the text to print.
///
/// # Errors
///
/// Returns an error with the exit code if the input is invalid, the call fails, or a host is
/// behind in `status`.
pub fn run(options: TableOptions) -> Result<String, CommandError> {
    let client = OperatorClient::new(options.host, &options.key);
    match options.command {
        TableCommand::Get { json } => get::run(&client, json),
        TableCommand::Set {
            author,
            workspace,
            target,
            cells,
        } => set::run(&client, &author, &workspace, &target, &cells),
        TableCommand::Apply {
            author,
            base,
            dry_run,
            sheet,
        } => apply::run(&client, &author, base.as_deref(), &sheet, dry_run),
        TableCommand::Diff { sheet } => diff::run(&client, &sheet),
        TableCommand::Status => status::run(&client),
        TableCommand::History => history::run(&client),
    }
}

/// Returns the parser of the command line.
#[must_use]
pub fn options() -> bpaf::OptionParser<TableOptions> {
    table_options().descr("Reads and changes the operators' table through any entry host.")
}

fn default_author() -> String {
    std::env::var("USER").unwrap_or_else(|_| "operator".to_owned())
}

/// Reads a sheet from a file: JSON if its extension is `json`, otherwise CSV.
fn read_sheet(path: &Path) -> Result<Table, CommandError> {
    let name = path.display();
    let text = std::fs::read_to_string(path)
        .map_err(|error| CommandError::usage(format!("cannot read {name}: {error}")))?;
    let is_json = path
        .extension()
        .is_some_and(|extension| extension == "json");
    let table = if is_json {
        Table::from_json(&text)
    } else {
        Table::from_csv(&text)
    };
    table.map_err(|errors| CommandError::usage(format!("{name} is not a valid sheet:\n{errors}")))
}

/// Returns a unique id for a change, made of the author, the time and the process id.
fn change_id(author: &str) -> String {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("{author}-{}-{}", since.as_nanos(), std::process::id())
}
