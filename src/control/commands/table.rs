//! Commands for the table: rows, spreadsheet files, declarations.

use std::{path::Path, process::ExitCode};

use serde_json::json;

use super::read_file;
use crate::control::{
    declaration::{self, ApplyScope, DIGEST_FIELD, RowChange},
    output::{CommandFailure, CommandResult, EXIT_DIFFERENT, EXIT_INVALID, OutputFormat},
    spreadsheet,
    table::{EditError, TableClient, without_edit_fields},
};

/// Shows one row, or all rows.
pub fn show_rows(table: &TableClient, name: Option<&str>, format: OutputFormat) -> CommandResult {
    let rows = match name {
        None => table.list()?,
        Some(name) => vec![table.read(name)?],
    };
    for row in rows {
        let Some(value) = &row.value else {
            return Err(EditError::Missing(row.name.to_string()).into());
        };
        let text = format!("{} (version {}) {}", row.name, row.version, without_edit_fields(value));
        format.print(&json!({ "name": row.name, "version": row.version, "row": value }), &text);
    }
    Ok(ExitCode::SUCCESS)
}

/// Sets `fields` (KEY=VALUE) of one row, on condition that nobody else changes it.
pub fn set_fields(
    table: &TableClient,
    name: &str,
    fields: &[String],
    format: OutputFormat,
) -> CommandResult {
    let entry = table.read(name)?;
    let Some(mut value) = entry.value else {
        return Err(EditError::Missing(name.to_owned()).into());
    };
    for field in fields {
        let Some((key, text)) = field.split_once('=') else {
            let message = format!("{field}: allowed: KEY=VALUE");
            return Err(CommandFailure::new(EXIT_INVALID, message));
        };
        // A value that is not JSON is taken as text; the validation of the row reports it where
        // text is not allowed.
        value[key] = serde_json::from_str(text).unwrap_or_else(|_| json!(text));
    }
    // Keeps the digest of the last applied declaration, so that `apply` detects this edit.
    let applied =
        value.get(DIGEST_FIELD).map_or(json!({}), |digest| json!({ DIGEST_FIELD: digest }));
    let version = table.write(&value, entry.version, &applied)?;
    format.print(&json!({ "version": version }), &format!("{name} is now version {version}"));
    Ok(ExitCode::SUCCESS)
}

/// Writes the table to a spreadsheet file.
pub fn export_table(table: &TableClient, path: &Path, format: OutputFormat) -> CommandResult {
    let rows = spreadsheet::export_table(table, path)?;
    format.print(&json!({ "rows": rows }), &format!("{rows} rows exported"));
    Ok(ExitCode::SUCCESS)
}

/// Writes the changes of an edited spreadsheet file to the table.
pub fn import_table(table: &TableClient, path: &Path, format: OutputFormat) -> CommandResult {
    let names = spreadsheet::import_table(table, path)?;
    let text = format!("{} rows changed: {}", names.len(), names.join(", "));
    format.print(&json!({ "changed": names }), &text);
    Ok(ExitCode::SUCCESS)
}

/// Shows what applying a declaration would change.
pub fn show_difference(table: &TableClient, path: &Path, format: OutputFormat) -> CommandResult {
    let changes = declaration::compare(table, &read_file(path)?)?;
    for change in &changes {
        format.print(&json!(change), &render_change(change));
    }
    let same = changes.iter().all(|change| matches!(change, RowChange::Same { .. }));
    Ok(if same { ExitCode::SUCCESS } else { ExitCode::from(EXIT_DIFFERENT) })
}

/// Applies a declaration.
pub fn apply_file(
    table: &TableClient,
    path: &Path,
    scope: ApplyScope,
    format: OutputFormat,
) -> CommandResult {
    let changes = declaration::compare(table, &read_file(path)?)?;
    let written = declaration::apply(table, &changes, scope)?;
    format.print(&json!({ "written": written }), &format!("{written} rows written"));
    Ok(ExitCode::SUCCESS)
}

fn render_change(change: &RowChange) -> String {
    match change {
        RowChange::Same { name } => format!("  {name}"),
        RowChange::Create { name, to } => format!("+ {name} {to}"),
        RowChange::Update { name, from, to, changed_since, .. } => {
            let warning = if *changed_since { " (changed by somebody else since)" } else { "" };
            format!("~ {name}{warning}\n    is:       {from}\n    declared: {to}")
        }
        RowChange::Undeclared { name, .. } => format!("? {name} is not declared"),
    }
}
