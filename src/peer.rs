//! The protocol between daemons: Cap'n Proto RPC over TCP (schema/peer.capnp).

pub mod calls;
pub mod client;
pub mod codec;
pub mod server;
pub mod transport;

/// Protocol version that this build speaks.
pub const PROTOCOL_VERSION: u32 = 1;

/// Whether a peer of protocol version `theirs` can be worked with: rolling upgrades
/// need adjacent versions to understand each other.
pub fn is_compatible(theirs: u32) -> bool {
    theirs.abs_diff(PROTOCOL_VERSION) <= 1
}
