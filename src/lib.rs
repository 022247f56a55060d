//! Willowarch: a serving system on reclaimable VMs.
//!
//! Entry daemons (`willowarchd`) accept clients' requests, choose endpoints, and hold and
//! release VMs. They run on one of two paths, which share the modules beside them:
//!
//! - [`gateway`], started with `--gateway`, on the users' platform, which [`platform`] adapts;
//! - [`native`], the product's own interface, steered by one table that operators edit.
//!
//! [`control`] is the operators' tool, [`standin`] what stands in for the outside of the
//! native interface in tests and examples. docs/architecture.md has the picture.

pub mod clock;
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
pub mod rpc_transport;
pub mod standin;
pub mod store_position;
pub mod true_time;

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

/// Wall-clock time in milliseconds since 1970; for what people read and for what the
/// platform dates, never for ordering.
pub fn wall_clock_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    // A clock before 1970 counts as 1970.
    elapsed.unwrap_or_default().as_millis() as u64
}
