//! The operators' tool `willowctl`. The commands (`commands`) print through `output` and use the
//! other modules: edits of the native interface's table (`table`, `declaration`, `spreadsheet`),
//! the state of daemons (`views`, `gateway`), and the HTTP calls for both (`calls`).
//!
//! The tool runs one command and exits, so its calls block.

pub mod calls;
pub mod commands;
pub mod declaration;
pub mod gateway;
pub mod output;
pub mod spreadsheet;
pub mod table;
pub mod views;
