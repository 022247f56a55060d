//! Whether the balancer should send new connections to this daemon.
//!
//! Decided anew at each of the balancer's questions, from what the daemon holds at that
//! moment. A daemon that lacks an input is not ready: requests would only be refused.

use crate::gateway::policy::request::key_freshness::KeyFreshness;

/// Most connections of clients open at once; more wait in the listen queue, and the daemon is not
/// ready. Bounds the memory of a daemon under a flood of connections.
pub const MAX_CLIENT_CONNECTIONS: usize = 2_500;

/// What readiness depends on.
#[derive(Clone, Copy, Debug)]
pub struct ReadinessInputs {
    /// The daemon is stopping.
    pub is_stopping: bool,
    /// A list of endpoints has been read.
    pub has_endpoint_list: bool,
    /// A configuration has been read.
    pub has_configuration: bool,
    /// The number of daemons is known.
    pub knows_daemon_count: bool,
    /// Peers have told which requests crash endpoints.
    pub has_peer_contact: bool,
    /// New connections are accepted, and not left in the listen queue.
    pub accepts_connections: bool,
    /// State of the keys.
    pub keys: KeyFreshness,
}

/// Whether a daemon takes new connections; otherwise the first reason why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It does.
    Ready,
    /// It is stopping.
    Stopping,
    /// It has no list of endpoints yet.
    NoEndpointList,
    /// It has no configuration yet.
    NoConfiguration,
    /// It doesn't know yet how many daemons share the quotas.
    DaemonCountUnknown,
    /// It doesn't know yet which requests crash endpoints.
    NoPeerContact,
    /// Its keys may be out of date.
    KeysNotFresh,
    /// It has as many connections as it accepts.
    ConnectionsFull,
}

impl Readiness {
    /// Decides by the inputs.
    pub fn decide(inputs: ReadinessInputs) -> Self {
        match inputs {
            ReadinessInputs { is_stopping: true, .. } => Self::Stopping,
            ReadinessInputs { has_endpoint_list: false, .. } => Self::NoEndpointList,
            ReadinessInputs { has_configuration: false, .. } => Self::NoConfiguration,
            ReadinessInputs { knows_daemon_count: false, .. } => Self::DaemonCountUnknown,
            ReadinessInputs { has_peer_contact: false, .. } => Self::NoPeerContact,
            ReadinessInputs { keys, .. } if !keys.allows_keys() => Self::KeysNotFresh,
            ReadinessInputs { accepts_connections: false, .. } => Self::ConnectionsFull,
            _ => Self::Ready,
        }
    }
}
