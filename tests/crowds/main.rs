//! Crowds of clients that don't behave, at a daemon on a VM with little memory. These tests run one at a time, so
//! that nothing else loads the daemon, and check nothing that depends on the machine's speed. `ended_connections` has
//! daemons with room for few connections.

mod crowd_client;
mod crowd_site;

mod body_crowds;
mod connection_crowds;
mod crowd_soak;
mod ended_connections;
mod event_crowds;
mod large_entries;
mod refused_bodies;
mod whole_bodies;

// Shared with the tests of the gateway, which use more of them.
#[allow(dead_code)]
#[path = "../gateway/endless_endpoint.rs"]
mod endless_endpoint;
#[allow(dead_code)]
#[path = "../gateway/endpoint_standin.rs"]
mod endpoint_standin;
#[allow(dead_code)]
#[path = "../gateway/gateway_site.rs"]
mod gateway_site;
#[allow(dead_code)]
#[path = "../gateway/paused_responses.rs"]
mod paused_responses;
#[allow(dead_code)]
#[path = "../gateway/pausing_endpoint.rs"]
mod pausing_endpoint;
#[allow(dead_code)]
#[path = "../gateway/platform_standin.rs"]
mod platform_standin;
