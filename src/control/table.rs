//! Edits of the rows of the native interface's table. Each edit is conditional on the version
//! that it was made from, and carries a random `edit_id`: when the response to a write is
//! lost, reading the row back tells whether the write took effect.

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

/// Tries to read back a write whose response was lost: about three seconds together.
const READ_BACK_TRIES: u32 = 10;
/// Pause between these tries.
const READ_BACK_PAUSE: Duration = Duration::from_millis(300);
/// Bits of an edit id: JSON numbers travel through other programs as doubles, which are exact to 53
/// bits.
const EXACT_BITS: u32 = 53;

/// An edit that was not made.
#[derive(Debug, Display, Error, From)]
pub enum EditError {
    /// The row is not allowed.
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
    /// The write's response was lost and it could not be read back.
    #[display("{_0}; the row may have been written, run the command again to see")]
    Unsettled(StepError),
    /// There is no such row.
    #[display("there is no row {_0}")]
    Missing(#[error(not(source))] String),
    /// A file could not be read or written.
    #[display("{_0}")]
    File(#[error(not(source))] String),
}

/// Two versions of a row that clash.
#[derive(Debug, Display, Error)]
#[display(
    "row {name} was changed by somebody else\n  yours:  {yours}\n  theirs: {theirs} (version {version})"
)]
pub struct RowConflict {
    /// Row.
    pub name: String,
    /// What was to be written.
    pub yours: Value,
    /// What is there.
    pub theirs: Value,
    /// Version of what is there.
    pub version: u64,
}

/// The table behind an object API.
#[derive(Clone, Debug)]
pub struct TableClient {
    client: ControlClient,
    api: SocketAddr,
}

/// A row's value without the fields that mark edits.
pub fn plain_row(value: &Value) -> Value {
    let mut plain = value.clone();
    if let Some(object) = plain.as_object_mut() {
        for field in EDIT_FIELDS {
            object.remove(field);
        }
    }
    plain
}

impl TableClient {
    /// Table at `api`.
    pub fn new(api: SocketAddr) -> Self {
        Self { client: ControlClient::default(), api }
    }

    /// All rows.
    pub fn list(&self) -> Result<Vec<ObjectEntry>, StepError> {
        Ok(self.client.list(self.api, ROW_KIND)?.entries)
    }

    /// One row; a missing one has no value.
    pub fn read(&self, name: &str) -> Result<ObjectEntry, StepError> {
        self.client.read(self.api, ROW_KIND, name)
    }

    /// Writes a checked row over `version` (0: it must not exist). `marks` are added
    /// beside the row's own fields.
    pub fn write(&self, row: &Value, version: u64, marks: &Value) -> Result<u64, EditError> {
        let name = TableRow::parse(&plain_row(row), "row")?.object_name();
        let edit_id = rand::random::<u64>() >> (u64::BITS - EXACT_BITS);
        let mut value = plain_row(row);
        value["edit_id"] = json!(edit_id);
        for (key, mark) in marks.as_object().into_iter().flatten() {
            value[key] = mark.clone();
        }
        let written = self.client.write(self.api, ROW_KIND, &name, Some(&value), version);
        match written {
            Ok(receipt) => Ok(receipt.version),
            Err(error) if is_settled(&error) => Err(error.into()),
            Err(error) => self.settle(&name, row, edit_id, error),
        }
    }

    /// Deletes a row that is at `version`.
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

    /// Finds out by reading the row back whether a write took effect: it did if its edit id is
    /// there. Another one may also mean that a later edit replaced it; that is a conflict too.
    fn settle(
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
        Err(EditError::Unsettled(error))
    }
}

/// Whether the failure itself means that nothing was written.
fn is_settled(error: &StepError) -> bool {
    match error.cause {
        FailureCause::Unreachable(_) => true,
        // The object API responds with these before it writes.
        FailureCause::Status(status) => [400, 429].contains(&status),
        _ => false,
    }
}

fn conflict(name: &str, yours: &Value, current: ObjectEntry) -> EditError {
    // A row that was deleted meanwhile is shown as null.
    EditError::Conflict(Box::new(RowConflict {
        name: name.into(),
        yours: plain_row(yours),
        theirs: current.value.as_ref().map_or(Value::Null, plain_row),
        version: current.version,
    }))
}
