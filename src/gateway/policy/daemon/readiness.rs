//! Decides whether the load balancer should send new connections to this daemon.
//!
//! Evaluated on each readiness check of the load balancer from the daemon's state at that moment. A
//! daemon that lacks an input is not ready, because it would only refuse requests.

use derive_more::Display;

use crate::gateway::policy::request::key_freshness::KeyFreshness;

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
    /// The daemon is up to date with its peers (see `peer_contact`).
    pub has_peer_contact: bool,
    /// New connections are accepted (see `client_connections`) rather than left in the listen queue.
    pub accepts_connections: bool,
    /// Freshness of the API keys.
    pub keys: KeyFreshness,
}

/// Whether a daemon is ready for new connections, or the first reason why it isn't.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Readiness {
    /// The daemon is ready.
    #[display("ready")]
    Ready,
    /// It is stopping.
    #[display("stopping")]
    Stopping,
    /// It has no list of endpoints yet.
    #[display("no endpoint list")]
    NoEndpointList,
    /// It has no configuration yet.
    #[display("no configuration")]
    NoConfiguration,
    /// It doesn't know yet how many daemons share the quotas.
    #[display("number of daemons not known")]
    DaemonCountUnknown,
    /// It is not up to date with its peers yet, and may lack quarantined requests.
    #[display("not up to date with peers")]
    NoPeerContact,
    /// Its API keys may be out of date.
    #[display("keys may be out of date")]
    KeysNotFresh,
    /// It has as many connections as it may, and none can be closed for another.
    #[display("connections full")]
    ConnectionsFull,
}

impl Readiness {
    /// Decides from the inputs.
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
