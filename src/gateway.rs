//! The gateway: passes clients' requests through to endpoints, with their streams, under
//! the operators' configuration, and carries out the leader's tasks of its deployment.
//!
//! `request` is the path of a request, `policy` holds the rules that decide (no I/O),
//! `gossip` is how daemons exchange reports, `leader` does the tasks of the leader lease's
//! holder. `call`, `configuration` and `endpoint` are the data that these share; `context`
//! is the state of one daemon. docs/architecture.md shows how they work together.

pub mod call;
pub mod configuration;
pub mod configuration_check;
pub mod configuration_state;
pub mod context;
pub mod daemon;
pub mod endpoint;
pub mod gossip;
pub mod leader;
pub mod policy;
pub mod request;
pub mod settings;
pub mod state;
pub mod status_listeners;
pub mod store_watch;
