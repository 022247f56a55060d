//! Output, failures and exit codes of the tool's commands.

use std::process::ExitCode;

use derive_more::Display;
use serde_json::{Value, json};

use super::{gateway::FileProblem, table::EditError};
use crate::errors::StepError;

/// Exit code of `diff` when there are differences.
pub const EXIT_DIFFERENT: u8 = 1;
/// Exit code for an edit that conflicts with somebody else's edit.
pub const EXIT_CONFLICT: u8 = 3;
/// Exit code for input that is not allowed.
pub const EXIT_INVALID: u8 = 64;
/// Exit code for a call that failed.
pub const EXIT_UNAVAILABLE: u8 = 69;

/// How a command's results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text for people.
    Text,
    /// One JSON value per line.
    Json,
}

impl OutputFormat {
    /// Prints one result in this format.
    pub fn print(self, value: &Value, text: &str) {
        match self {
            Self::Text => println!("{text}"),
            Self::Json => println!("{value}"),
        }
    }

    /// Prints a failure.
    pub fn print_failure(self, failure: &CommandFailure) {
        match self {
            Self::Text => eprintln!("willowctl: {failure}"),
            Self::Json => {
                println!("{}", json!({ "error": failure.message, "code": failure.code }));
            }
        }
    }
}

/// Why a command ended without doing its work.
#[derive(Debug, Display)]
#[display("{message}")]
pub struct CommandFailure {
    /// Exit code.
    pub code: u8,
    /// Message for the operator.
    pub message: String,
}

impl CommandFailure {
    /// Creates a failure.
    pub fn new(code: u8, message: impl ToString) -> Self {
        Self { code, message: message.to_string() }
    }
}

impl From<EditError> for CommandFailure {
    fn from(error: EditError) -> Self {
        let code = match error {
            EditError::Conflict(_) => EXIT_CONFLICT,
            EditError::Invalid(_) | EditError::Missing(_) | EditError::File(_) => EXIT_INVALID,
            EditError::Call(_) | EditError::OutcomeUnknown(_) => EXIT_UNAVAILABLE,
        };
        Self::new(code, error)
    }
}

impl From<StepError> for CommandFailure {
    fn from(error: StepError) -> Self {
        Self::new(EXIT_UNAVAILABLE, error)
    }
}

impl From<FileProblem> for CommandFailure {
    fn from(problem: FileProblem) -> Self {
        Self::new(EXIT_INVALID, problem)
    }
}

/// Result of a command; the exit code of `Ok` is not always 0 (`diff`, `timeline`).
pub type CommandResult = Result<ExitCode, CommandFailure>;
