//! Export of the table to a spreadsheet file (CSV), and import of the file after an operator edited
//! it. Each row is written on condition that it still has the version that was exported.

use std::path::Path;

use serde_json::{Map, Value, json};

use super::table::{EditError, RowConflict, TableClient, without_edit_fields};
use crate::native::{cloud_api::messages::ObjectEntry, options::rows::TableRow};

/// Column with the version that a row had when it was exported; 0 for new rows.
const VERSION: &str = "version";
/// Column for the operator's own remarks; ignored by the import.
const NOTE: &str = "note";
/// Columns whose cells are text even if they look like numbers.
const TEXT_COLUMNS: [&str; 4] = ["kind", "name", "api_key", "service_type"];
/// All columns, in the order of the file.
const COLUMNS: [&str; 17] = [
    VERSION,
    "kind",
    "name",
    "api_key",
    "weight",
    "tokens_per_s",
    "service_type",
    "repeatable",
    "concurrency",
    "min_vms",
    "max_vms",
    "target_ms",
    "recompute_weight",
    "shortage_cost",
    "zone_loss_per_hour",
    "replace_minutes",
    NOTE,
];

fn file_error(path: &Path, error: impl std::fmt::Display) -> EditError {
    EditError::File(format!("{}: {error}", path.display()))
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Writes the table to a file; returns the number of rows.
pub fn export_table(table: &TableClient, path: &Path) -> Result<usize, EditError> {
    let rows = table.list()?;
    let mut writer = csv::Writer::from_path(path).map_err(|error| file_error(path, error))?;
    writer.write_record(COLUMNS).map_err(|error| file_error(path, error))?;
    for row in &rows {
        // Never `None`: a list has no deleted rows.
        let value = row.value.clone().unwrap_or_default();
        let cells = COLUMNS.map(|column| match column {
            VERSION => row.version.to_string(),
            column => cell(&value[column]),
        });
        writer.write_record(&cells).map_err(|error| file_error(path, error))?;
    }
    writer.flush().map_err(|error| file_error(path, error))?;
    Ok(rows.len())
}

/// Row of a file: its version, and its fields as JSON.
struct SheetRow {
    version: u64,
    value: Value,
}

fn read_cell(column: &str, text: &str) -> Option<Value> {
    if text.is_empty() {
        return None;
    }
    if TEXT_COLUMNS.contains(&column) {
        return Some(json!(text));
    }
    // A cell that is neither a number nor a boolean is kept as text; the validation of the row then
    // reports it.
    let lower = text.to_ascii_lowercase();
    Some(serde_json::from_str(&lower).unwrap_or_else(|_| json!(text)))
}

fn read_sheet(path: &Path) -> Result<Vec<SheetRow>, EditError> {
    let mut reader = csv::Reader::from_path(path).map_err(|error| file_error(path, error))?;
    let columns = reader.headers().map_err(|error| file_error(path, error))?.clone();
    let mut rows = Vec::new();
    for record in reader.records() {
        let record = record.map_err(|error| file_error(path, error))?;
        let mut version = 0;
        let mut object = Map::new();
        for (column, text) in columns.iter().zip(&record) {
            if column == VERSION {
                version = if text.is_empty() {
                    0
                } else {
                    text.parse().map_err(|_| file_error(path, format!("version: {text}")))?
                };
            } else if let Some(value) = read_cell(column, text).filter(|_| column != NOTE) {
                object.insert(column.to_owned(), value);
            }
        }
        rows.push(SheetRow { version, value: Value::Object(object) });
    }
    Ok(rows)
}

/// Writes each row of an edited file that differs from the table, on condition that the row still
/// has the version that was exported. All rows are validated before the first is written. Returns
/// the names of the rows written.
pub fn import_table(table: &TableClient, path: &Path) -> Result<Vec<String>, EditError> {
    let sheet = read_sheet(path)?;
    let mut errors = Vec::new();
    let mut checked = Vec::new();
    for (index, row) in sheet.into_iter().enumerate() {
        match TableRow::parse(&row.value, &format!("rows[{index}]")) {
            Ok(parsed) => checked.push((row.version, parsed)),
            Err(found) => errors.extend(found),
        }
    }
    if !errors.is_empty() {
        return Err(EditError::Invalid(errors));
    }
    let current = table.list()?;
    let mut written = Vec::new();
    for (version, row) in checked {
        let name = row.object_name();
        // Cannot fail: a row has only text, numbers and flags.
        let value = serde_json::to_value(&row).unwrap_or_default();
        let entry = current.iter().find(|entry| *entry.name == *name);
        if entry.is_some_and(|entry| {
            entry.value.as_ref().map(without_edit_fields) == Some(value.clone())
        }) {
            continue;
        }
        check_version(&name, &value, version, entry)?;
        table.write(&value, version, &json!({}))?;
        written.push(name);
    }
    Ok(written)
}

fn check_version(
    name: &str,
    yours: &Value,
    version: u64,
    entry: Option<&ObjectEntry>,
) -> Result<(), EditError> {
    let known = entry.map_or(0, |entry| entry.version);
    if known == version {
        return Ok(());
    }
    let theirs =
        entry.and_then(|entry| entry.value.as_ref()).map_or(Value::Null, without_edit_fields);
    Err(EditError::Conflict(Box::new(RowConflict {
        name: name.into(),
        yours: yours.clone(),
        theirs,
        version: known,
    })))
}
