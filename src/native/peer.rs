//! The protocol between daemons of the native interface: Cap'n Proto RPC over TCP
//! (schema/peer.capnp). The gateway's daemons speak another one (`gateway::gossip`).
//!
//! `server` and `served_calls` are the serving side, `client` (connections) and `calls` the
//! calling side; `codec` translates between wire and typed messages. The state behind the
//! calls belongs to the services of `native::{cluster, serve}`.

pub mod calls;
pub mod client;
pub mod codec;
mod served_calls;
pub mod server;

use crate::{
    ids::{IncarnationId, SharedName},
    kernel::SendError,
};

/// Protocol version that this build speaks.
pub const PROTOCOL_VERSION: u32 = 1;

/// Whether peers of these protocol versions work together: rolling upgrades need adjacent
/// versions to understand each other.
pub fn is_compatible(own: u32, theirs: u32) -> bool {
    theirs.abs_diff(own) <= 1
}

/// What this daemon says of itself in its hello.
#[derive(Clone, Debug)]
pub struct LocalIdentity {
    /// Deployment.
    pub deployment: SharedName,
    /// Incarnation.
    pub incarnation: IncarnationId,
    /// Address at which peers connect to it.
    pub address: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Protocol version that it speaks.
    pub version: u32,
}

/// Error for a peer whose call a service could not take.
fn overloaded(error: SendError) -> capnp::Error {
    capnp::Error::overloaded(error.to_string())
}
