//! From a client's request to its response.
//!
//! The gateway's path is `crate::gateway::request`; it shares no task or state with this one.

pub mod context;
pub mod listeners;
pub mod planning;
pub mod run;
pub mod services;
pub mod timeline;
