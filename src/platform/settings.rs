//! Parses the platform's settings file into the gateway's settings. Unknown keys are ignored. A duration
//! that is not above 0 or a missing address is an error that names the key.

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use derive_more::{Display, Error};
use serde::Deserialize;

use crate::{
    gateway::{
        policy::rollout::traffic_plan::ExposureBounds,
        settings::{GatewaySettings, LeaderTask, ServiceBounds, VmSize},
    },
    ids::SharedName,
};

/// Environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "WILLOWARCH_BOOT";
/// Default port for metrics if `port-range` is empty; tunnels use the next one. The IP address is that of
/// the peer listener.
const METRICS_PORT: u16 = 7699;
/// Bounds in the file must be below this number, in their own unit. In seconds it is 30 years, far below
/// the largest `Duration`.
const BOUND_LIMIT: f64 = 1e9;
/// Bytes in a MB.
const BYTES_PER_MB: f64 = 1e6;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;
/// Default interval between writes of an endpoint's entry, in milliseconds.
const DEFAULT_HEARTBEAT_MS: f64 = 1_200.0;
/// Number of missed heartbeats after which the store deletes an entry.
const HEARTBEATS_TO_EXPIRY: f64 = 3.0;

/// Error in the settings file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// The file can't be read.
    #[display("settings file: {_0}")]
    Unreadable(#[error(not(source))] String),
    /// Not valid JSON, or a key is missing or has the wrong type; the text names the key.
    #[display("settings: {_0}")]
    Malformed(#[error(not(source))] String),
    /// A value is out of range.
    #[display("settings: {key} must be {allowed}, not {value}")]
    NotAllowed {
        /// Key.
        key: &'static str,
        /// Value in the file.
        value: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
}

/// The settings file, which may change while the daemon runs.
#[derive(Clone, Debug)]
pub struct SettingsSource {
    path: PathBuf,
}

impl SettingsSource {
    /// The file at `path`.
    pub fn new(path: PathBuf) -> Self {
        Self { path }
    }

    /// Reads and checks the file.
    ///
    /// # Errors
    ///
    /// The file can't be read, or a value is missing or not allowed.
    pub fn read(&self) -> Result<GatewaySettings, SettingsError> {
        let text = fs::read_to_string(&self.path)
            .map_err(|error| SettingsError::Unreadable(error.to_string()))?;
        parse(&text)
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct SettingsFile {
    /// Name of the VM.
    node: SharedName,
    zone: SharedName,
    listen: ListenSection,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default)]
    port_range: Vec<u16>,
    /// Interval between writes of an endpoint's entry.
    #[serde(default = "default_heartbeat_ms")]
    heartbeat_ms: f64,
    bounds: BoundsSection,
    #[serde(default)]
    limits: LimitsSection,
    /// The metadata store.
    platform: AddressSection,
    #[serde(default)]
    cloud_api: Option<CloudSection>,
}

fn default_heartbeat_ms() -> f64 {
    DEFAULT_HEARTBEAT_MS
}

#[derive(Deserialize)]
struct ListenSection {
    /// For clients.
    front: SocketAddr,
    /// For the load balancer's readiness checks.
    readiness: SocketAddr,
    /// For other daemons.
    control: SocketAddr,
}

/// Size of the VM.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct LimitsSection {
    /// Memory of the process, in MB.
    memory_mb: f64,
    /// Descriptors of the process.
    max_fds: f64,
}

/// Values for keys that are missing in the file: those of the smallest VMs.
impl Default for LimitsSection {
    fn default() -> Self {
        Self { memory_mb: 160.0, max_fds: 4_100.0 }
    }
}

#[derive(Deserialize)]
struct AddressSection {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct CloudSection {
    address: SocketAddr,
    /// Leader tasks that the cloud expects.
    #[serde(default)]
    duties: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct BoundsSection {
    /// Time within which a planned stop must end.
    grace_s: f64,
    /// Whether keys without a recent freshness proof are refused; see `revoke_ms`.
    strict_revoke: bool,
    /// Longest time that a revoked key may still be used.
    revoke_ms: f64,
    /// Time within which every daemon has to apply a change of the configuration.
    config_apply_ms: f64,
    /// Retries allowed, as a fraction of requests.
    retry_ratio: f64,
    /// Time over which retries are counted.
    retry_window_s: f64,
    /// Retries allowed beyond that fraction.
    retry_slack: f64,
    /// Duration of the leader lease.
    lease_ms: f64,
    /// Fraction of a quota by which all daemons together may exceed it.
    quota_overage: f64,
    /// Units by which a quota may be exceeded beyond that.
    quota_slack: f64,
    /// Length of a usage window.
    report_window_s: f64,
    /// Fraction of a service's requests that a bad version may get during a roll-out. Set in deployments
    /// with roll-outs only.
    exposure_share: Option<f64>,
    /// Requests that a bad version may get beyond that.
    exposure_slack: f64,
}

/// Values for keys that are missing in the file.
impl Default for BoundsSection {
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            strict_revoke: true,
            revoke_ms: 5_000.0,
            config_apply_ms: 2_000.0,
            retry_ratio: 0.1,
            retry_window_s: 10.0,
            retry_slack: 10.0,
            lease_ms: 3_000.0,
            quota_overage: 0.0,
            quota_slack: 0.0,
            report_window_s: 5.0,
            exposure_share: None,
            exposure_slack: 0.0,
        }
    }
}

/// Parses the text of a settings file.
pub fn parse(text: &str) -> Result<GatewaySettings, SettingsError> {
    let file: SettingsFile =
        serde_json::from_str(text).map_err(|error| SettingsError::Malformed(error.to_string()))?;
    let bounds = check_bounds(&file.bounds)?;
    let entry_ttl_ms = positive("heartbeat-ms", file.heartbeat_ms)? * HEARTBEATS_TO_EXPIRY;
    let metrics_port = file.port_range.first().copied().unwrap_or(METRICS_PORT);
    let mut metrics_address = file.listen.control;
    metrics_address.set_port(metrics_port);
    let mut tunnel_address = file.listen.control;
    tunnel_address.set_port(metrics_port.saturating_add(1));
    let duties = file.cloud_api.iter().flat_map(|cloud| &cloud.duties);
    Ok(GatewaySettings {
        name: file.node,
        zone: file.zone,
        client_address: file.listen.front,
        readiness_address: file.listen.readiness,
        peer_address: file.listen.control,
        metrics_address,
        tunnel_address,
        seeds: file.seeds,
        store_address: file.platform.address,
        cloud_address: file.cloud_api.as_ref().map(|cloud| cloud.address),
        leader_tasks: duties.filter_map(|name| leader_task(name)).collect(),
        entry_ttl: Duration::from_secs_f64(entry_ttl_ms / MS_PER_S),
        bounds,
        vm: check_vm(&file.limits)?,
    })
}

fn check_vm(section: &LimitsSection) -> Result<VmSize, SettingsError> {
    let memory = positive("limits.memory-mb", section.memory_mb)?;
    let descriptors = positive("limits.max-fds", section.max_fds)?;
    Ok(VmSize { memory_bytes: (memory * BYTES_PER_MB) as u64, descriptors: descriptors as u64 })
}

/// Converts the name of a leader task. Unknown names are ignored, since later versions may add tasks.
fn leader_task(name: &str) -> Option<LeaderTask> {
    match name {
        "metering" => Some(LeaderTask::UsageReports),
        "autoscale" => Some(LeaderTask::EndpointOrders),
        unknown => {
            spdlog::warn!("settings: unknown leader task ignored", kv: { task = unknown });
            None
        }
    }
}

fn check_bounds(section: &BoundsSection) -> Result<ServiceBounds, SettingsError> {
    let revoke = positive("bounds.revoke-ms", section.revoke_ms)?;
    let apply = positive("bounds.config-apply-ms", section.config_apply_ms)?;
    Ok(ServiceBounds {
        apply_limit: Duration::from_secs_f64(apply / MS_PER_S),
        key_freshness: section.strict_revoke.then(|| Duration::from_secs_f64(revoke / MS_PER_S)),
        stop_grace: Duration::from_secs_f64(positive("bounds.grace-s", section.grace_s)?),
        // Negative retry fractions and reserves are read as 0.
        retry_share: section.retry_ratio.max(0.0),
        retry_reserve: section.retry_slack.max(0.0),
        retry_window: Duration::from_secs_f64(positive(
            "bounds.retry-window-s",
            section.retry_window_s,
        )?),
        lease_duration: Duration::from_secs_f64(
            positive("bounds.lease-ms", section.lease_ms)? / MS_PER_S,
        ),
        quota_overage: section.quota_overage.max(0.0),
        quota_slack: section.quota_slack.max(0.0),
        usage_window: Duration::from_secs_f64(positive(
            "bounds.report-window-s",
            section.report_window_s,
        )?),
        // Negative bounds are read as 0.
        exposure: section.exposure_share.map(|share| ExposureBounds {
            share: share.max(0.0),
            slack: section.exposure_slack.max(0.0),
        }),
    })
}

fn positive(key: &'static str, value: f64) -> Result<f64, SettingsError> {
    if value > 0.0 && value < BOUND_LIMIT {
        return Ok(value);
    }
    Err(SettingsError::NotAllowed { key, value: value.to_string(), allowed: "above 0" })
}
