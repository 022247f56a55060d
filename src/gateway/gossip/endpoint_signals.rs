//! Sends the warnings and request limits of endpoints to other daemons, and applies those that
//! other daemons report.

pub mod brittle;
pub mod limits;
pub mod warnings;
