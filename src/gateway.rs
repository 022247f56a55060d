//! The gateway: forwards clients' requests to endpoints and streams the responses back, according to the
//! operators' configuration, and performs the leader tasks of its deployment.
//!
//! `request` handles requests, `policy` contains the decision rules (no I/O), `forwarding` opens connections
//! to endpoints through other daemons, `gossip` exchanges reports between daemons, and `leader` performs
//! the tasks of the leader lease's holder. `call`, `configuration`
//! and `endpoint` define the data that these share; `context` is the state of one daemon.
//! docs/architecture.md shows how they work together.

pub mod call;
pub mod configuration;
pub mod configuration_state;
pub mod context;
pub mod daemon;
pub mod endpoint;
pub mod forwarding;
pub mod gossip;
pub mod leader;
pub mod policy;
pub mod request;
pub mod settings;
pub mod state;
pub mod status_listeners;
pub mod store_watch;
