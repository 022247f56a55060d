//! The lifecycle of a request: received, accepted, dispatched, and exactly one final outcome.

pub mod call;
pub mod copy;
pub mod outcome;
pub mod response_log;
pub mod store;
pub mod tickets;
