//! Stand-ins for the systems around the native interface: platform, endpoints and clients.
//! Faults of the platform and of the endpoints can be switched on while they run
//! (`POST /faults`). Tests, benchmarks, examples and the program `willow-standin` use the
//! stand-ins; the daemons don't.
//!
//! These stand-ins implement the protocols of `native::{cloud_api, endpoint}` and of
//! docs/native/clients.md. The gateway talks to the users' platform, whose protocol differs in
//! every call; the stand-ins for it are in tests/gateway, because only its tests need them.

pub mod clients;
pub mod endpoint;
mod endpoint_state;
mod engine;
pub mod engine_model;
pub mod object_store;
pub mod platform;
pub mod reply;
