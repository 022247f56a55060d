//! The life of one request at this daemon: found or started, dispatched, retried, moved
//! and ended.

pub mod admission;
pub mod attempt;
pub mod driver;
pub mod once;
pub mod resume;
