//! Decision rules of the native path. They do no I/O: the caller passes in events, the current
//! time and a random number generator, and gets decisions back.
//!
//! Each module's documentation states what it decides, from which inputs, how old those may be,
//! and where the gateway decides the same question (`crate::gateway::policy`). The experiments
//! behind the constants are in `benches/decisions`, their results in docs/measurements.

pub mod fair_queue;
pub mod fleet;
pub mod limits;
pub mod prefix;
pub mod reclaim;
pub mod retries;
pub mod routing;
pub mod subset;
