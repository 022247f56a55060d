//! Settings of one gateway daemon, decoded and checked by the platform's adapter at the start;
//! they don't change while the process runs.

use std::{net::SocketAddr, time::Duration};

use crate::ids::SharedName;

/// Task that only the holder of the leader lease carries out.
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
    /// Address that clients connect to.
    pub client_address: SocketAddr,
    /// Address of the balancer's readiness checks.
    pub readiness_address: SocketAddr,
    /// Address that other daemons connect to.
    pub peer_address: SocketAddr,
    /// Address of metrics and state.
    pub metrics_address: SocketAddr,
    /// Daemons to contact first; some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// The metadata store.
    pub store_address: SocketAddr,
    /// The cloud's API, for the leader tasks.
    pub cloud_address: Option<SocketAddr>,
    /// Leader tasks of this deployment.
    pub leader_tasks: Vec<LeaderTask>,
    /// Time after which the store drops the entry of an endpoint that no longer writes it.
    pub entry_lapse: Duration,
    /// Bounds that the deployment promises.
    pub bounds: ServiceBounds,
}

/// Bounds that the deployment promises.
#[derive(Clone, Copy, Debug)]
pub struct ServiceBounds {
    /// Time within which every daemon has to apply a change of the configuration.
    pub apply_limit: Duration,
    /// Greatest age of a freshness proof with which keys may be used; none where they may be
    /// used however long the store cannot be reached.
    pub key_freshness: Option<Duration>,
    /// A planned stop ends after this time.
    pub stop_grace: Duration,
    /// Fraction of a service's requests that may be retried.
    pub retry_share: f64,
    /// Retries allowed beyond that fraction in a window, over all daemons.
    pub retry_reserve: f64,
    /// Window over which requests and retries are counted.
    pub retry_window: Duration,
    /// Duration of the leader lease, from its renewal.
    pub lease: Duration,
    /// Fraction of a quota by which it may be overspent over all daemons.
    pub quota_overage: f64,
    /// Units by which a quota may be overspent beyond that.
    pub quota_slack: f64,
    /// Length of a usage window.
    pub usage_window: Duration,
}
