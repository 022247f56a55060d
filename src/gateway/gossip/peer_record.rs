//! What one daemon knows of another.

use tokio::time::Instant;

use super::messages::DaemonState;
use crate::ids::IncarnationId;

/// What is known of one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerRecord {
    /// Hash of its address.
    pub address_hash: u64,
    /// This start of it.
    pub incarnation: IncarnationId,
    /// Sequence of its newest own state; 0 if only others have reported it.
    pub sequence: u64,
    /// When any daemon last heard it, as far as known.
    pub heard_at: Instant,
    /// When this daemon last heard it.
    pub met_at: Option<Instant>,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// What a daemon reports of itself to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// This start of it.
    pub incarnation: IncarnationId,
    /// Sequence of its state.
    pub sequence: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
}

impl PeerReport {
    /// The part of a state that the table needs.
    pub fn of(state: &DaemonState) -> Self {
        let DaemonState { incarnation, sequence, leaving, .. } = *state;
        Self { incarnation, sequence, leaving }
    }
}
