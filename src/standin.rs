//! Small stand-ins for what lies outside willowarch, each with fault switches that
//! can be thrown while it runs (`POST /faults`). Used by tests, benchmarks and the
//! examples; nothing of the daemon depends on them.

pub mod callers;
pub mod endpoint;
pub mod engine;
pub mod engine_model;
pub mod object_store;
pub mod platform;
pub mod reply;
