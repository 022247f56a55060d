//! Stand-ins for what lies outside the native interface: platform, endpoints, clients, each
//! with fault switches that can be thrown while it runs (`POST /faults`). Tests, benchmarks,
//! examples and the program `willow-standin` use them; nothing of the daemons does.
//!
//! There are two sets. These speak the wires of `native::{cloud_api, endpoint}` and of
//! docs/native/clients.md. The gateway meets the users' platform, whose wires differ in every call;
//! its stand-ins are in tests/gateway, since only its tests need them.

pub mod clients;
pub mod endpoint;
mod endpoint_state;
mod engine;
pub mod engine_model;
pub mod object_store;
pub mod platform;
pub mod reply;
