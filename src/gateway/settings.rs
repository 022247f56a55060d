//! Settings of a gateway daemon, as the product names them.

use std::{net::SocketAddr, time::Duration};

use crate::ids::SharedName;

/// Duty that one daemon at a time has towards the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderTask {
    /// Reports what each account has used.
    UsageReports,
    /// Orders the number of endpoints.
    EndpointOrders,
}

/// Checked settings of one gateway daemon.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the daemon's VM, unique within the deployment.
    pub name: SharedName,
    /// Availability zone of the daemon.
    pub zone: SharedName,
    /// Where clients connect.
    pub client_address: SocketAddr,
    /// Where the balancer asks whether the daemon takes new connections.
    pub readiness_address: SocketAddr,
    /// Where other daemons connect.
    pub peer_address: SocketAddr,
    /// Where metrics are read.
    pub metrics_address: SocketAddr,
    /// Daemons to greet first; some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// The metadata store.
    pub store_address: SocketAddr,
    /// The cloud's API, where duties are carried out.
    pub cloud_address: Option<SocketAddr>,
    /// Duties that the cloud expects.
    pub duties: Vec<LeaderTask>,
    /// Time bounds and shares that the deployment promises.
    pub bounds: ServiceBounds,
}

/// Time bounds and shares that the deployment promises.
#[derive(Clone, Copy, Debug)]
pub struct ServiceBounds {
    /// A daemon without a newer proof that its keys are valid refuses them after this time;
    /// none where keys may be used while the store cannot be reached.
    pub key_freshness: Option<Duration>,
    /// A planned stop ends after this time.
    pub stop_grace: Duration,
    /// Share of a service's requests that may be repeated at other endpoints.
    pub retry_share: f64,
    /// Repeats beyond that share, over all daemons.
    pub retry_reserve: f64,
    /// Span over which repeats are counted.
    pub retry_window: Duration,
    /// Time for which a lapsed lease may not be taken by another.
    pub lease: Duration,
    /// Part of a quota by which it may be overdrawn over all daemons.
    pub quota_overage: f64,
    /// Units by which a quota may be overdrawn beyond that.
    pub quota_slack: f64,
    /// Length of a usage window.
    pub usage_window: Duration,
}
