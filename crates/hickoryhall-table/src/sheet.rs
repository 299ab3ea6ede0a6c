//! CSV and JSON forms of the table, with errors that name the line and column.

use std::collections::BTreeSet;
use std::fmt;

use crate::{Row, Table};

/// An error in a sheet, which is a table in CSV or JSON form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SheetError {
    /// Line in the sheet, where line 1 is the header; 0 if the error has no line.
    pub line: u64,
    /// Column, empty if the error concerns the whole row.
    pub column: String,
    /// Description of the error.
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

/// All errors found in a sheet, displayed one per line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct SheetErrors(pub Vec<SheetError>);

impl Table {
    /// Parses a sheet in CSV form and validates every row.
    ///
    /// # Errors
    ///
    /// Returns all errors found, each with its line and column.
    pub fn from_csv(text: &str) -> Result<Self, SheetErrors> {
        let mut reader = csv::ReaderBuilder::new()
            .trim(csv::Trim::All)
            .from_reader(text.as_bytes());
        let headers = match reader.headers() {
            Ok(headers) => headers.clone(),
            Err(error) => {
                let no_headers = csv::StringRecord::new();
                return Err(SheetErrors(vec![csv_error(text, &error, &no_headers)]));
            }
        };
        let mut errors = Vec::new();
        let mut rows = Vec::new();
        for record in reader.records() {
            let parsed = record.and_then(|record| {
                let line = line_of(text, record.position());
                Ok((line, record.deserialize::<Row>(Some(&headers))?))
            });
            match parsed {
                Ok(row) => rows.push(row),
                Err(error) => errors.push(csv_error(text, &error, &headers)),
            }
        }
        Self::validate(rows, errors)
    }

    /// Parses a sheet in JSON form, which is a list of rows, and validates every row.
    ///
    /// # Errors
    ///
    /// Returns the syntax error with its line in the text, or all errors of the rows. The line of a
    /// row is its position in the list, counted from 2 as in the CSV form.
    pub fn from_json(text: &str) -> Result<Self, SheetErrors> {
        let rows = serde_json::from_str::<Vec<Row>>(text).map_err(|error| {
            SheetErrors(vec![SheetError {
                line: error.line() as u64,
                column: String::new(),
                message: error.to_string(),
            }])
        })?;
        let lines = (2..).zip(rows).collect();
        Self::validate(lines, Vec::new())
    }

    /// Returns the table in CSV form, with a header line.
    #[must_use]
    pub fn to_csv(&self) -> String {
        let mut writer = csv::Writer::from_writer(Vec::new());
        writer
            .write_record(Row::COLUMNS)
            .expect("writing to memory does not fail");
        for row in self.rows() {
            writer
                .write_record(row.cells())
                .expect("writing to memory does not fail");
        }
        let bytes = writer
            .into_inner()
            .expect("writing to memory does not fail");
        String::from_utf8(bytes).expect("the cells are UTF-8")
    }

    /// Returns the table in JSON form, as an indented list of rows.
    #[must_use]
    pub fn to_json(&self) -> String {
        let rows = self.rows().collect::<Vec<_>>();
        serde_json::to_string_pretty(&rows).expect("a row serializes to JSON")
    }

    /// Validates rows, each given with its line.
    fn validate(rows: Vec<(u64, Row)>, mut errors: Vec<SheetError>) -> Result<Self, SheetErrors> {
        let mut seen = BTreeSet::new();
        for (line, row) in &rows {
            let line = *line;
            for (column, message) in row.invalid_cells() {
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
            Ok(rows.into_iter().map(|(_, row)| row).collect())
        } else {
            errors.sort_by_key(|error| error.line);
            Err(SheetErrors(errors))
        }
    }
}

impl Row {
    /// Columns of a sheet, in order.
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

    /// Returns the cells as text in the order of [`Row::COLUMNS`]; an empty cell is an empty string.
    #[must_use]
    pub fn cells(&self) -> [String; 14] {
        [
            self.workspace.clone(),
            self.target.clone(),
            cell_text(self.weight.as_ref()),
            cell_text(self.requests_per_s.as_ref()),
            cell_text(self.tokens_per_s.as_ref()),
            cell_text(self.concurrent.as_ref()),
            cell_text(self.priority.as_ref()),
            cell_text(self.repeatable.as_ref()),
            cell_text(self.weights_version.as_ref()),
            cell_text(self.adapter.as_ref()),
            cell_text(self.wait_cost_percent.as_ref()),
            cell_text(self.recompute_cost_percent.as_ref()),
            cell_text(self.eviction_cost_percent.as_ref()),
            cell_text(self.key_hashes.as_ref()),
        ]
    }
}

fn cell_text<T: ToString>(value: Option<&T>) -> String {
    value.map(ToString::to_string).unwrap_or_default()
}

/// Returns the line at which the record at a position starts, 0 without a position. A position is
/// that before the empty lines in front of the record.
fn line_of(text: &str, position: Option<&csv::Position>) -> u64 {
    let Some(position) = position else {
        return 0;
    };
    let start = usize::try_from(position.byte()).unwrap_or(usize::MAX);
    let rest = text.as_bytes().get(start..).unwrap_or_default();
    let blank = rest.iter().take_while(|byte| matches!(byte, b'\r' | b'\n'));
    position.line() + blank.filter(|&&byte| byte == b'\n').count() as u64
}

fn csv_error(text: &str, error: &csv::Error, headers: &csv::StringRecord) -> SheetError {
    let line = line_of(text, error.position());
    let (column, message) = match error.kind() {
        csv::ErrorKind::Deserialize { err, .. } => {
            let index = err.field().and_then(|index| usize::try_from(index).ok());
            let column = index.and_then(|index| headers.get(index)).unwrap_or("");
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
