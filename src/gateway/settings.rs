//! Settings of one gateway daemon. `platform::settings` decodes and checks them at the start; but for
//! the seeds (`reload`) they don't change while the process runs.

pub mod reload;

use std::{net::SocketAddr, time::Duration};

use crate::{gateway::policy::rollout::traffic_plan::ExposureBounds, ids::SharedName};

/// A task that only the holder of the leader lease performs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderTask {
    /// Reports the usage of each account to the cloud.
    UsageReports,
    /// Orders endpoints from the cloud.
    EndpointOrders,
}

/// Checked settings of one gateway daemon.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the daemon's VM, unique within the deployment.
    pub name: SharedName,
    /// Availability zone of the daemon.
    pub zone: SharedName,
    /// Address for clients.
    pub client_address: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub readiness_address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Address for tunnels of other daemons.
    pub tunnel_address: SocketAddr,
    /// Address for metrics and the daemon's state.
    pub metrics_address: SocketAddr,
    /// Addresses of daemons to contact first; some may no longer exist.
    pub seeds: Vec<SocketAddr>,
    /// Address of the metadata store.
    pub store_address: SocketAddr,
    /// Address of the cloud's API, used by the leader tasks.
    pub cloud_address: Option<SocketAddr>,
    /// Leader tasks to perform in this deployment.
    pub leader_tasks: Vec<LeaderTask>,
    /// Time after which the store deletes an endpoint's entry that is no longer rewritten.
    pub entry_ttl: Duration,
    /// Time limits and tolerances of the deployment.
    pub bounds: ServiceBounds,
    /// Size of the daemon's VM.
    pub vm: VmSize,
}

/// Size of a VM; the daemon's limits for clients follow from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmSize {
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Files and sockets that the process may have open.
    pub descriptors: u64,
}

/// Time limits and tolerances that the deployment guarantees.
#[derive(Clone, Copy, Debug)]
pub struct ServiceBounds {
    /// Time within which every daemon has to apply a change of the configuration.
    pub apply_limit: Duration,
    /// Greatest age of a freshness proof with which API keys may be used; none if they may be used
    /// however long the store cannot be reached.
    pub key_freshness: Option<Duration>,
    /// Time within which a planned stop must end.
    pub stop_grace: Duration,
    /// Fraction of a service's requests that may be retried.
    pub retry_share: f64,
    /// Retries allowed beyond that fraction in a window, for all daemons together.
    pub retry_reserve: f64,
    /// Window over which requests and retries are counted.
    pub retry_window: Duration,
    /// Duration of the leader lease, counted from its last renewal.
    pub lease_duration: Duration,
    /// Fraction of a quota by which all daemons together may exceed it.
    pub quota_overage: f64,
    /// Units by which a quota may be exceeded beyond that.
    pub quota_slack: f64,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// How many requests a bad version may get during a roll-out; none if the deployment has no roll-outs.
    pub exposure: Option<ExposureBounds>,
}
