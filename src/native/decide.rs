//! The rules of the native path, without I/O: events and the clock's time in, decisions out,
//! random numbers from a source that is handed in.
//!
//! Each module's head says what it decides, from what, how old its inputs may be, and where
//! the gateway's own rule for the same question stands (`crate::gateway::policy`). The
//! experiments behind the constants are in `benches/decisions`, their results in
//! docs/measurements.

pub mod fair_queue;
pub mod fleet;
pub mod limits;
pub mod prefix;
pub mod reclaim;
pub mod retries;
pub mod routing;
pub mod subset;
