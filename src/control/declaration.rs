//! Declarations: JSON files with the rows that the table should have, for keeping the table under
//! version control. A declaration is compared with the table and applied to it.
//!
//! Each applied row stores the digest of what was applied. A row whose content no longer matches
//! its digest was changed by somebody else since, and applying stops there instead of overwriting
//! the change.

use serde::Serialize;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::table::{EditError, RowConflict, TableClient, without_edit_fields};
use crate::native::options::rows::{TableRow, parse_table};

/// Field of a row with the digest of the applied content.
pub const DIGEST_FIELD: &str = "applied";

/// What applying a declaration does to one row.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum RowChange {
    /// Nothing: the row is as declared.
    Same {
        /// Row.
        name: String,
    },
    /// Creates the row.
    Create {
        /// Row.
        name: String,
        /// Declared.
        to: Value,
    },
    /// Changes the row, which differs from the declaration.
    Update {
        /// Row.
        name: String,
        /// Current content.
        from: Value,
        /// Declared.
        to: Value,
        /// Version it has.
        version: u64,
        /// Whether somebody else changed it since it was applied.
        changed_since: bool,
    },
    /// Deletes the row, which is not declared, if `ApplyScope::prune` is set.
    Undeclared {
        /// Row.
        name: String,
        /// Version it has.
        version: u64,
    },
}

fn digest(row: &Value) -> String {
    let bytes = Sha256::digest(without_edit_fields(row).to_string().as_bytes());
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Row as JSON with all defaults filled in, so that rows that mean the same compare equal.
fn normal_form(row: &TableRow) -> Value {
    // Cannot fail: a row has only text, numbers and flags.
    serde_json::to_value(row).unwrap_or_default()
}

/// Compares a declaration with the table.
pub fn compare(table: &TableClient, text: &str) -> Result<Vec<RowChange>, EditError> {
    let value: Value = serde_json::from_str(text)
        .map_err(|error| EditError::File(format!("declaration: {error}")))?;
    let declared = parse_table(&value)?;
    let mut current = table.list()?;
    let mut changes = Vec::new();
    for row in declared {
        let name = row.object_name();
        let to = normal_form(&row);
        let found = current.iter().position(|entry| *entry.name == *name);
        let change = match found.map(|index| current.swap_remove(index)) {
            None => RowChange::Create { name, to },
            Some(entry) => {
                // Never `None`: a list has no deleted rows.
                let value = entry.value.unwrap_or_default();
                let from = without_edit_fields(&value);
                if from == to {
                    RowChange::Same { name }
                } else {
                    let changed_since = value[DIGEST_FIELD].as_str() != Some(&digest(&from));
                    RowChange::Update { name, from, to, version: entry.version, changed_since }
                }
            }
        };
        changes.push(change);
    }
    let undeclared = current.into_iter().map(|entry| RowChange::Undeclared {
        name: entry.name.to_string(),
        version: entry.version,
    });
    changes.extend(undeclared);
    Ok(changes)
}

/// What applying a declaration may do beyond creating and updating rows.
#[derive(Clone, Copy, Debug, Default)]
pub struct ApplyScope {
    /// Overwrite rows that somebody else changed since.
    pub overwrite: bool,
    /// Delete rows that are not declared.
    pub prune: bool,
}

/// Carries out `changes` in order; returns how many rows were written.
pub fn apply(
    table: &TableClient,
    changes: &[RowChange],
    scope: ApplyScope,
) -> Result<usize, EditError> {
    let mut written = 0;
    for change in changes {
        match change {
            RowChange::Same { .. } => {}
            RowChange::Create { to, .. } => {
                table.write(to, 0, &json!({ DIGEST_FIELD: digest(to) }))?;
                written += 1;
            }
            RowChange::Update { name, from, to, version, changed_since } => {
                if *changed_since && !scope.overwrite {
                    return Err(EditError::Conflict(Box::new(RowConflict {
                        name: name.clone(),
                        yours: to.clone(),
                        theirs: from.clone(),
                        version: *version,
                    })));
                }
                table.write(to, *version, &json!({ DIGEST_FIELD: digest(to) }))?;
                written += 1;
            }
            RowChange::Undeclared { name, version } if scope.prune => {
                table.delete(name, *version)?;
                written += 1;
            }
            RowChange::Undeclared { .. } => {}
        }
    }
    Ok(written)
}
