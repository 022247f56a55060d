//! The protocol between daemons of the native interface: Cap'n Proto RPC over TCP
//! (schema/peer.capnp). The gateway's daemons use a different protocol (`gateway::gossip`).
//!
//! `server` and `served_calls` are the server side, `client` (connections) and `calls` the client
//! side; `codec` converts between Cap'n Proto and typed messages. The state that the calls read
//! and change belongs to the services of `native::{cluster, serve}`.

pub mod calls;
pub mod client;
pub mod codec;
mod served_calls;
pub mod server;

use crate::{
    ids::{IncarnationId, SharedName},
    kernel::SendError,
};

/// Protocol version of this build.
pub const PROTOCOL_VERSION: u32 = 1;

/// Whether daemons with these protocol versions can work together. Rolling upgrades need adjacent
/// versions to be compatible.
pub fn is_compatible(own: u32, theirs: u32) -> bool {
    theirs.abs_diff(own) <= 1
}

/// What this daemon sends about itself in its hello.
#[derive(Clone, Debug)]
pub struct LocalIdentity {
    /// Name of the deployment.
    pub deployment: SharedName,
    /// Incarnation of this process.
    pub incarnation: IncarnationId,
    /// Address that peers connect to.
    pub address: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Protocol version.
    pub version: u32,
}

/// Error returned to a peer when the service's inbox did not accept its call.
fn overloaded(error: SendError) -> capnp::Error {
    capnp::Error::overloaded(error.to_string())
}
