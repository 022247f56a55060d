//! Settings and table rows of the native interface: parsing, validation and defaults. The
//! gateway's settings are in `platform::settings`.
//!
//! All problems of a file are reported together, each with the key, its value and what is allowed
//! there.

pub mod check;
pub mod rows;
pub mod settings;
