//! The tool's commands, one function each: they read files, make the calls and print results.

pub mod daemons;
pub mod gateway;
pub mod table;

use std::path::Path;

use super::output::{CommandFailure, EXIT_INVALID};

fn read_file(path: &Path) -> Result<String, CommandFailure> {
    std::fs::read_to_string(path)
        .map_err(|error| CommandFailure::new(EXIT_INVALID, format!("{}: {error}", path.display())))
}
