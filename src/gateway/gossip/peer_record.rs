//! What a daemon knows about another one.

use tokio::time::Instant;

use super::messages::DaemonState;
use crate::{gateway::policy::daemon::forwarder_choice::ForwarderReport, ids::IncarnationId};

/// What is known about one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerRecord {
    /// Hash of its address.
    pub address_hash: u64,
    /// Identifies this start of it.
    pub incarnation: IncarnationId,
    /// Sequence number of the newest state that it reported itself; 0 if it is only known from
    /// summaries of others.
    pub sequence: u64,
    /// When any daemon last received a message from it, as far as known.
    pub heard_at: Instant,
    /// When this daemon last received a message from it.
    pub heard_directly_at: Option<Instant>,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// How it carries tunnels to endpoints, if it does.
    pub forwarder: Option<ForwarderReport>,
}

/// The part of a daemon's own report that the peer table needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// Identifies this start of the daemon.
    pub incarnation: IncarnationId,
    /// Sequence number of its state.
    pub sequence: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// How it carries tunnels to endpoints, if it does.
    pub forwarder: Option<ForwarderReport>,
}

impl PeerReport {
    /// Extracts the report from a state.
    pub fn of(state: &DaemonState) -> Self {
        let DaemonState { incarnation, sequence, leaving, forwarder, .. } = *state;
        Self { incarnation, sequence, leaving, forwarder }
    }
}
