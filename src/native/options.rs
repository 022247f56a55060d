//! Settings and table rows of the native interface: parsed, checked and merged with defaults
//! in one place. The gateway's settings are the platform's (`platform::settings`).
//!
//! Every problem of a file is reported at once, each naming the offending key, its
//! value and what is allowed there.

pub mod check;
pub mod rows;
pub mod settings;
