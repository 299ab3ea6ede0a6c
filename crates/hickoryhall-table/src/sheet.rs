//! CSV and JSON forms of the table, with errors that name row and column.

use std::collections::BTreeSet;
use std::fmt;

use crate::{Row, Table};

/// One problem in a sheet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SheetError {
    /// Line of the sheet, the header being line 1; 0 for the sheet as a whole.
    pub line: u64,
    /// Column, empty for the row as a whole.
    pub column: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for SheetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.column.as_str() {
            "" => write!(f, "line {}: {}", self.line, self.message),
            column => write!(f, "line {}, column {column}: {}", self.line, self.message),
        }
    }
}

/// All problems of a sheet.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct SheetErrors(pub Vec<SheetError>);

impl Table {
    /// Reads a sheet in CSV form and checks every row.
    ///
    /// # Errors
    ///
    /// Returns every problem found, each with its line and column.
    pub fn from_csv(text: &str) -> Result<Self, SheetErrors> {
        let mut reader = csv::ReaderBuilder::new()
            .trim(csv::Trim::All)
            .from_reader(text.as_bytes());
        let mut errors = Vec::new();
        let mut rows = Vec::new();
        for record in reader.deserialize::<Row>() {
            match record {
                Ok(row) => rows.push(row),
                Err(error) => errors.push(csv_error(&error)),
            }
        }
        Self::check(rows, errors)
    }

    /// Reads a sheet in JSON form, a list of rows, and checks every row.
    ///
    /// # Errors
    ///
    /// Returns every problem found; the line of a row is its place in the list, from 2 as in CSV.
    pub fn from_json(text: &str) -> Result<Self, SheetErrors> {
        let rows = serde_json::from_str::<Vec<Row>>(text).map_err(|error| {
            SheetErrors(vec![SheetError {
                line: error.line() as u64,
                column: String::new(),
                message: error.to_string(),
            }])
        })?;
        Self::check(rows, Vec::new())
    }

    /// Writes the sheet in CSV form.
    #[must_use]
    pub fn to_csv(&self) -> String {
        let mut writer = csv::Writer::from_writer(Vec::new());
        writer
            .write_record(Row::COLUMNS)
            .expect("writing to memory");
        for row in self.rows() {
            writer.write_record(row.cells()).expect("writing to memory");
        }
        let bytes = writer.into_inner().expect("writing to memory");
        String::from_utf8(bytes).expect("cells are text")
    }

    /// Writes the sheet in JSON form.
    #[must_use]
    pub fn to_json(&self) -> String {
        let rows = self.rows().collect::<Vec<_>>();
        serde_json::to_string_pretty(&rows).expect("rows have string keys")
    }

    fn check(rows: Vec<Row>, mut errors: Vec<SheetError>) -> Result<Self, SheetErrors> {
        let mut seen = BTreeSet::new();
        for (index, row) in rows.iter().enumerate() {
            let line = index as u64 + 2;
            for (column, message) in row.problems() {
                errors.push(SheetError {
                    line,
                    column: column.to_owned(),
                    message,
                });
            }
            if !seen.insert(row.key()) {
                let message = format!("{} {} stands twice", row.workspace, row.target);
                errors.push(SheetError {
                    line,
                    column: String::new(),
                    message,
                });
            }
        }
        if errors.is_empty() {
            Ok(rows.into_iter().collect())
        } else {
            Err(SheetErrors(errors))
        }
    }
}

impl Row {
    /// Columns of the sheet, in order.
    pub const COLUMNS: [&'static str; 14] = [
        "workspace",
        "target",
        "weight",
        "requests_per_s",
        "tokens_per_s",
        "concurrent",
        "priority",
        "repeatable",
        "weights_version",
        "adapter",
        "wait_cost_percent",
        "recompute_cost_percent",
        "eviction_cost_percent",
        "key_hashes",
    ];

    /// Returns the cells in the order of [`Row::COLUMNS`]; an empty cell is an empty text.
    #[must_use]
    pub fn cells(&self) -> [String; 14] {
        [
            self.workspace.clone(),
            self.target.clone(),
            cell(self.weight.as_ref()),
            cell(self.requests_per_s.as_ref()),
            cell(self.tokens_per_s.as_ref()),
            cell(self.concurrent.as_ref()),
            cell(self.priority.as_ref()),
            cell(self.repeatable.as_ref()),
            cell(self.weights_version.as_ref()),
            cell(self.adapter.as_ref()),
            cell(self.wait_cost_percent.as_ref()),
            cell(self.recompute_cost_percent.as_ref()),
            cell(self.eviction_cost_percent.as_ref()),
            cell(self.key_hashes.as_ref()),
        ]
    }
}

fn cell<T: ToString>(value: Option<&T>) -> String {
    value.map(ToString::to_string).unwrap_or_default()
}

fn csv_error(error: &csv::Error) -> SheetError {
    let line = error.position().map_or(0, csv::Position::line);
    let (column, message) = match error.kind() {
        csv::ErrorKind::Deserialize { err, .. } => {
            let field = err.field().and_then(|field| usize::try_from(field).ok());
            let column = field
                .and_then(|field| Row::COLUMNS.get(field))
                .copied()
                .unwrap_or("");
            (column, err.kind().to_string())
        }
        _ => ("", error.to_string()),
    };
    SheetError {
        line,
        column: column.to_owned(),
        message,
    }
}
