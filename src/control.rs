//! What `willowctl` does: table edits, declarations, status, time line.

pub mod calls;
pub mod declaration;
pub mod gateway;
pub mod spreadsheet;
pub mod table;
pub mod views;
