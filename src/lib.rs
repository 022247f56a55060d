//! Willowarch: a serving system on reclaimable VMs.
//!
//! Entry daemons (`willowarchd`) accept callers' requests, choose endpoints, and hold
//! and release VMs, all steered by one table that operators edit. docs/architecture.md
//! has the picture.

pub mod clock;
pub mod cloud_api;
pub mod cluster;
pub mod control;
pub mod counting;
pub mod daemon;
pub mod decide;
pub mod endpoint;
pub mod errors;
pub mod gateway;
pub mod headers;
pub mod http;
pub mod ids;
pub mod kernel;
pub mod logs;
pub mod options;
pub mod peer;
pub mod platform;
pub mod request;
pub mod serve;
pub mod standin;

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
    elapsed.unwrap_or_default().as_millis() as u64
}
