//! Edits of rows of the native interface's table. Each edit is conditional on the version that it
//! is based on, and stores a random `edit_id` in the row: if the response to a write is lost,
//! reading the row back shows whether the write took effect.

use std::{net::SocketAddr, time::Duration};

use derive_more::{Display, Error, From};
use serde_json::{Value, json};

use super::calls::ControlClient;
use crate::{
    errors::{FailureCause, StepError},
    native::{
        cloud_api::messages::ObjectEntry,
        options::{
            check::OptionError,
            rows::{EDIT_FIELDS, TableRow},
        },
        serve::planning::platform_watch::ROW_KIND,
    },
};

/// Attempts to read a row back after the response to a write was lost: about three seconds in
/// total.
const READ_BACK_TRIES: u32 = 10;
/// Pause between these attempts.
const READ_BACK_PAUSE: Duration = Duration::from_millis(300);
/// Bits of an edit id: other programs may handle JSON numbers as doubles, which are exact up to 53
/// bits.
const EXACT_BITS: u32 = 53;

/// Why an edit failed.
#[derive(Debug, Display, Error, From)]
pub enum EditError {
    /// The row is not valid.
    #[display("{}", _0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    #[from]
    Invalid(#[error(not(source))] Vec<OptionError>),
    /// Somebody else changed the row.
    #[display("{_0}")]
    Conflict(Box<RowConflict>),
    /// A call failed; nothing was written.
    #[display("{_0}")]
    #[from]
    Call(StepError),
    /// The response to the write was lost, and the row could not be read back.
    #[display("{_0}; the row may have been written, run the command again to see")]
    OutcomeUnknown(StepError),
    /// The row does not exist.
    #[display("there is no row {_0}")]
    Missing(#[error(not(source))] String),
    /// A file could not be read or written.
    #[display("{_0}")]
    File(#[error(not(source))] String),
}

/// An edit that conflicts with the current row.
#[derive(Debug, Display, Error)]
#[display(
    "row {name} was changed by somebody else\n  yours:  {yours}\n  theirs: {theirs} (version {version})"
)]
pub struct RowConflict {
    /// Name of the row.
    pub name: String,
    /// Content that should have been written.
    pub yours: Value,
    /// Current content.
    pub theirs: Value,
    /// Current version.
    pub version: u64,
}

/// Client of the table that an object API stores.
#[derive(Clone, Debug)]
pub struct TableClient {
    client: ControlClient,
    api: SocketAddr,
}

/// Returns a row's value without the fields in [`EDIT_FIELDS`].
pub fn without_edit_fields(value: &Value) -> Value {
    let mut plain = value.clone();
    if let Some(object) = plain.as_object_mut() {
        for field in EDIT_FIELDS {
            object.remove(field);
        }
    }
    plain
}

impl TableClient {
    /// Creates a client of the table at `api`.
    pub fn new(api: SocketAddr) -> Self {
        Self { client: ControlClient::default(), api }
    }

    /// All rows.
    pub fn list(&self) -> Result<Vec<ObjectEntry>, StepError> {
        Ok(self.client.list(self.api, ROW_KIND)?.entries)
    }

    /// One row; the value is `None` if the row does not exist.
    pub fn read(&self, name: &str) -> Result<ObjectEntry, StepError> {
        self.client.read(self.api, ROW_KIND, name)
    }

    /// Validates and writes a row, on condition that its version is `version` (0: it does not
    /// exist). `extra_fields` are stored in addition to the row's.
    pub fn write(&self, row: &Value, version: u64, extra_fields: &Value) -> Result<u64, EditError> {
        let name = TableRow::parse(&without_edit_fields(row), "row")?.object_name();
        let edit_id = rand::random::<u64>() >> (u64::BITS - EXACT_BITS);
        let mut value = without_edit_fields(row);
        value["edit_id"] = json!(edit_id);
        for (key, extra) in extra_fields.as_object().into_iter().flatten() {
            value[key] = extra.clone();
        }
        let written = self.client.write(self.api, ROW_KIND, &name, Some(&value), version);
        match written {
            Ok(receipt) => Ok(receipt.version),
            Err(error) if is_certainly_unwritten(&error) => Err(error.into()),
            Err(error) => self.read_back(&name, row, edit_id, error),
        }
    }

    /// Deletes a row, on condition that its version is `version`.
    pub fn delete(&self, name: &str, version: u64) -> Result<(), EditError> {
        let written = self.client.write(self.api, ROW_KIND, name, None, version);
        match written {
            Err(error) if error.cause == FailureCause::Conflict => {
                let current = self.read(name)?;
                Err(conflict(name, &Value::Null, current))
            }
            other => other.map(|_| ()).map_err(EditError::from),
        }
    }

    /// Reads the row back to find out whether a write took effect: it did if the row has its edit
    /// id. With another edit id, the write may have failed or a later edit may have replaced it;
    /// both are reported as a conflict.
    fn read_back(
        &self,
        name: &str,
        row: &Value,
        edit_id: u64,
        error: StepError,
    ) -> Result<u64, EditError> {
        for _ in 0..READ_BACK_TRIES {
            if let Ok(current) = self.read(name) {
                let found = current.value.as_ref().and_then(|value| value["edit_id"].as_u64());
                if found == Some(edit_id) {
                    return Ok(current.version);
                }
                return Err(conflict(name, row, current));
            }
            std::thread::sleep(READ_BACK_PAUSE);
        }
        Err(EditError::OutcomeUnknown(error))
    }
}

/// Whether this failure guarantees that nothing was written.
fn is_certainly_unwritten(error: &StepError) -> bool {
    match error.cause {
        FailureCause::Unreachable(_) => true,
        // The object API returns these statuses before it writes.
        FailureCause::Status(status) => [400, 429].contains(&status),
        _ => false,
    }
}

fn conflict(name: &str, yours: &Value, current: ObjectEntry) -> EditError {
    // A row that was deleted in the meantime is shown as null.
    EditError::Conflict(Box::new(RowConflict {
        name: name.into(),
        yours: without_edit_fields(yours),
        theirs: current.value.as_ref().map_or(Value::Null, without_edit_fields),
        version: current.version,
    }))
}
