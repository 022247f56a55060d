//! The operators' tool `willowctl`. Its commands (`commands`) print through `output`; the
//! other modules do the work: edits of the native interface's table (`table`, `declaration`,
//! `spreadsheet`), views of daemons (`views`, `gateway`), and calls to both (`calls`).
//!
//! The tool runs one command and ends, so its calls block.

pub mod calls;
pub mod commands;
pub mod declaration;
pub mod gateway;
pub mod output;
pub mod spreadsheet;
pub mod table;
pub mod views;
