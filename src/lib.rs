//! Willowarch: a serving system on reclaimable VMs.
//!
//! Entry daemons (`willowarchd`) accept clients' requests, choose endpoints, and start and release
//! VMs. A daemon runs one of two implementations, which share the other modules here:
//!
//! - [`gateway`], started with `--gateway`, on the users' platform, through the adapter
//!   [`platform`];
//! - [`native`], with protocols of its own, configured by a table that operators edit.
//!
//! [`control`] is the operators' tool; [`standin`] simulates the platform, endpoints and clients of
//! the native interface for tests and examples. See docs/architecture.md for an overview.

pub mod boot_clock;
pub mod control;
pub mod counting;
pub mod endpoint_health;
pub mod errors;
pub mod gateway;
pub mod http;
pub mod ids;
pub mod kernel;
pub mod logs;
pub mod metrics;
pub mod native;
pub mod platform;
pub mod response_memory;
pub mod rpc_transport;
pub mod standin;
pub mod store_position;
pub mod timeouts;

/// Code generated from schema/peer.capnp by schema/generate.sh.
#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::restriction)]
#[path = "peer/peer_capnp.rs"]
pub mod peer_capnp;

/// Code generated from schema/exchange.capnp by schema/generate.sh.
#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::restriction)]
#[path = "peer/exchange_capnp.rs"]
pub mod exchange_capnp;

/// Wall-clock time in milliseconds since 1970. For times shown to people and for comparison with
/// times from the platform; never for ordering events.
pub fn wall_clock_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    // A clock before 1970 counts as 1970.
    elapsed.unwrap_or_default().as_millis() as u64
}
