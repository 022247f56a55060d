//! The platform's settings file.

use std::{net::SocketAddr, time::Duration};

use derive_more::{Display, Error};
use serde::Deserialize;

use crate::{
    gateway::settings::{GatewaySettings, LeaderTask, ServiceBounds},
    ids::SharedName,
};

/// Environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "WILLOWARCH_BOOT";
/// Port at which metrics are read, on the daemon's own address.
const METRICS_PORT: u16 = 7699;

/// Settings that cannot be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// Not the JSON that is expected; names the offending key.
    #[display("settings: {_0}")]
    Malformed(#[error(not(source))] String),
    /// A value is outside of what is allowed.
    #[display("settings: {key} must be {allowed}, not {value}")]
    NotAllowed {
        /// Key.
        key: &'static str,
        /// Value as given.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct SettingsFile {
    node: SharedName,
    zone: SharedName,
    listen: ListenSection,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default)]
    port_range: Vec<u16>,
    bounds: BoundsSection,
    platform: AddressSection,
    #[serde(default)]
    cloud_api: Option<CloudSection>,
}

#[derive(Deserialize)]
struct ListenSection {
    front: SocketAddr,
    readiness: SocketAddr,
    control: SocketAddr,
}

#[derive(Deserialize)]
struct AddressSection {
    address: SocketAddr,
}

#[derive(Deserialize)]
struct CloudSection {
    address: SocketAddr,
    #[serde(default)]
    duties: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct BoundsSection {
    grace_s: f64,
    strict_revoke: bool,
    revoke_ms: f64,
    retry_ratio: f64,
    retry_window_s: f64,
    retry_slack: f64,
    lease_ms: f64,
    quota_overage: f64,
    quota_slack: f64,
    report_window_s: f64,
}

impl Default for BoundsSection {
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            strict_revoke: true,
            revoke_ms: 5_000.0,
            retry_ratio: 0.1,
            retry_window_s: 10.0,
            retry_slack: 10.0,
            lease_ms: 3_000.0,
            quota_overage: 0.0,
            quota_slack: 0.0,
            report_window_s: 5.0,
        }
    }
}

/// Reads the text of a settings file.
pub fn parse(text: &str) -> Result<GatewaySettings, SettingsError> {
    let file: SettingsFile =
        serde_json::from_str(text).map_err(|error| SettingsError::Malformed(error.to_string()))?;
    let bounds = check_bounds(&file.bounds)?;
    let metrics_port = file.port_range.first().copied().unwrap_or(METRICS_PORT);
    let mut metrics_address = file.listen.control;
    metrics_address.set_port(metrics_port);
    let duties = file.cloud_api.iter().flat_map(|cloud| &cloud.duties);
    Ok(GatewaySettings {
        name: file.node,
        zone: file.zone,
        client_address: file.listen.front,
        readiness_address: file.listen.readiness,
        peer_address: file.listen.control,
        metrics_address,
        seeds: file.seeds,
        store_address: file.platform.address,
        cloud_address: file.cloud_api.as_ref().map(|cloud| cloud.address),
        duties: duties.filter_map(|name| duty_kind(name)).collect(),
        bounds,
    })
}

fn duty_kind(name: &str) -> Option<LeaderTask> {
    match name {
        "metering" => Some(LeaderTask::UsageReports),
        "autoscale" => Some(LeaderTask::EndpointOrders),
        _ => None,
    }
}

fn check_bounds(section: &BoundsSection) -> Result<ServiceBounds, SettingsError> {
    let revoke = positive("bounds.revoke-ms", section.revoke_ms)?;
    Ok(ServiceBounds {
        key_freshness: section.strict_revoke.then(|| Duration::from_secs_f64(revoke / 1e3)),
        stop_grace: Duration::from_secs_f64(positive("bounds.grace-s", section.grace_s)?),
        retry_share: section.retry_ratio.max(0.0),
        retry_reserve: section.retry_slack.max(0.0),
        retry_window: Duration::from_secs_f64(positive(
            "bounds.retry-window-s",
            section.retry_window_s,
        )?),
        lease: Duration::from_secs_f64(positive("bounds.lease-ms", section.lease_ms)? / 1e3),
        quota_overage: section.quota_overage.max(0.0),
        quota_slack: section.quota_slack.max(0.0),
        usage_window: Duration::from_secs_f64(positive(
            "bounds.report-window-s",
            section.report_window_s,
        )?),
    })
}

fn positive(key: &'static str, value: f64) -> Result<f64, SettingsError> {
    const LARGEST: f64 = 1e9;
    if value > 0.0 && value < LARGEST {
        return Ok(value);
    }
    Err(SettingsError::NotAllowed { key, value: value.to_string(), allowed: "above 0" })
}
