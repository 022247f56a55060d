//! Decodes the operators' configuration from the text in the store into the gateway's types.
//!
//! The fields of the spec types have the names of the JSON keys, which include the units (`_ms`, `_s`,
//! `per_s`). Unknown keys are ignored, since later versions of the platform add some. If a value has the
//! wrong type, the whole configuration is rejected and the current one stays in use. A list of accounts
//! that is empty knows no key; only where it is missing do requests need none. A duration that is
//! negative is read as zero, and one above `MAX_DURATION` as that; one log line for each decoded
//! configuration reports the number of these.

use std::{cell::Cell, collections::BTreeMap, time::Duration};

use serde::{Deserialize, Deserializer};

use crate::{
    gateway::configuration::{
        Account, AccountQuota, ClientLimits, Configuration, EngineSpec, FleetSpec, Route,
        RouteKind, Service, ServiceWeight,
    },
    ids::SharedName,
};

/// Kind of the object that holds the configuration.
pub const CONFIGURATION_KIND: &str = "config";
/// Name of the object that holds the configuration.
pub const CONFIGURATION_NAME: &str = "main";

/// Default target latency of a route.
const DEFAULT_TARGET: Duration = Duration::from_secs(1);
/// Longest duration, 30 years: multiples of it can be represented, and added to a point in time.
const MAX_DURATION: Duration = Duration::from_secs(1_000_000_000);
/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;
/// Value of `unit` for accounts whose quota is in tokens; with any other value it is in requests.
const TOKEN_UNIT: &str = "tokens";

#[derive(Deserialize)]
struct ConfigurationSpec {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteSpec>,
    #[serde(default)]
    services: Vec<ServiceSpec>,
    /// Requests need keys if it is there, also if it is empty.
    #[serde(default, deserialize_with = "some_list")]
    tenants: Option<Vec<TenantSpec>>,
    #[serde(default)]
    limits: Option<LimitsSpec>,
}

/// Reads a list that may be missing, but not null.
fn some_list<'de, D: Deserializer<'de>>(source: D) -> Result<Option<Vec<TenantSpec>>, D::Error> {
    Vec::deserialize(source).map(Some)
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RouteSpec {
    name: SharedName,
    host: SharedName,
    path_prefix: SharedName,
    kind: KindSpec,
    /// Time limit of a request in the gateway, including retries; 0 means no limit.
    timeout_ms: Option<f64>,
    /// Time within which the first part of a response should arrive.
    target_latency_ms: Option<f64>,
    /// Time within which each further event of a stream should arrive.
    gap_target_ms: Option<f64>,
    /// 0 is the most urgent.
    #[serde(default)]
    priority: u8,
    /// Takes precedence over `traffic_split`.
    service: Option<SharedName>,
    #[serde(default)]
    traffic_split: Vec<SplitSpec>,
    /// Largest number of attempts for one request.
    attempts: Option<u32>,
    /// Requests need no API key.
    #[serde(default)]
    public: bool,
    /// Another endpoint may continue a broken stream after its last event.
    #[serde(default)]
    stream_resume: bool,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum KindSpec {
    Idempotent,
    NonIdempotent,
    Streaming,
}

#[derive(Deserialize)]
struct SplitSpec {
    service: SharedName,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ServiceSpec {
    name: SharedName,
    #[serde(default = "default_health_path")]
    health_path: SharedName,
    engine: Option<EngineSection>,
    autoscale: Option<AutoscaleSection>,
}

fn default_health_path() -> SharedName {
    "/".into()
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct EngineSection {
    slots: u32,
    /// Number of tokens that fit into an endpoint's memory.
    kv_capacity: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct AutoscaleSection {
    /// Smallest number of endpoints in each zone.
    min: u32,
    /// Largest number of endpoints in each zone.
    max: u32,
    #[serde(default)]
    boot_s: f64,
    /// Price of a reclaimable endpoint as a fraction of the zone's price.
    spot_price: Option<f64>,
    /// Price of one endpoint for a second, by zone.
    #[serde(default)]
    zone_prices: BTreeMap<SharedName, f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct TenantSpec {
    name: SharedName,
    #[serde(default)]
    api_keys: Vec<SharedName>,
    #[serde(default)]
    priority: u8,
    unit: Option<String>,
    /// Tokens charged for a request that states no token counts.
    plain_tokens: Option<u64>,
    /// Units a second; 0 or none means no quota.
    per_s: Option<f64>,
    /// Units that may be spent at once beyond the rate.
    burst: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct LimitsSpec {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    header_timeout_ms: Option<f64>,
    idle_timeout_ms: Option<f64>,
}

/// Converts durations and counts those that are negative or too long.
#[derive(Default)]
struct DurationReader {
    changed: Cell<u32>,
}

impl DurationReader {
    fn seconds(&self, value: f64) -> Duration {
        let longest = MAX_DURATION.as_secs_f64();
        if !(0.0..=longest).contains(&value) {
            self.changed.set(self.changed.get() + 1);
        }
        Duration::from_secs_f64(value.clamp(0.0, longest))
    }

    fn millis(&self, value: f64) -> Duration {
        self.seconds(value / MS_PER_S)
    }

    fn log_changed(&self, version: u64) {
        let durations = self.changed.get();
        if durations > 0 {
            spdlog::warn!("configuration: negative durations read as 0, too long ones as the longest", kv: { version, durations });
        }
    }
}

/// Decodes a configuration.
pub fn decode(text: &[u8]) -> Result<Configuration, serde_json::Error> {
    let spec: ConfigurationSpec = serde_json::from_slice(text)?;
    let durations = DurationReader::default();
    let limits = to_limits(spec.limits.as_ref(), &durations);
    let mut configuration = Configuration::new(spec.version, limits);
    for route in spec.routes {
        configuration.add_route(to_route(route, &durations));
    }
    for service in spec.services {
        configuration.add_service(to_service(service, &durations));
    }
    configuration.requires_keys = spec.tenants.is_some();
    for tenant in spec.tenants.unwrap_or_default() {
        let keys = tenant.api_keys.clone();
        configuration.add_account(to_account(tenant), keys);
    }
    durations.log_changed(spec.version);
    Ok(configuration)
}

fn to_limits(spec: Option<&LimitsSpec>, durations: &DurationReader) -> ClientLimits {
    let millis = |value| durations.millis(value);
    let default = ClientLimits::default();
    let Some(spec) = spec else { return default };
    ClientLimits {
        head_bytes: spec.max_header_bytes.unwrap_or(default.head_bytes),
        body_bytes: spec.max_body_bytes.unwrap_or(default.body_bytes),
        head_timeout: spec.header_timeout_ms.map_or(default.head_timeout, millis),
        idle_timeout: spec.idle_timeout_ms.map_or(default.idle_timeout, millis),
    }
}

fn to_route(spec: RouteSpec, durations: &DurationReader) -> Route {
    let millis = |value| durations.millis(value);
    let services = match spec.service {
        Some(service) => vec![ServiceWeight { service, weight: 1 }],
        None => {
            let weighted =
                |part: SplitSpec| ServiceWeight { service: part.service, weight: part.weight };
            spec.traffic_split.into_iter().map(weighted).collect()
        }
    };
    let kind = match spec.kind {
        KindSpec::Idempotent => RouteKind::Idempotent,
        KindSpec::NonIdempotent => RouteKind::Once,
        KindSpec::Streaming => RouteKind::Stream { resume: spec.stream_resume },
    };
    Route {
        name: spec.name,
        host: spec.host,
        prefix: spec.path_prefix,
        kind,
        timeout: spec.timeout_ms.filter(|value| *value > 0.0).map(millis),
        target: spec.target_latency_ms.map_or(DEFAULT_TARGET, millis),
        gap_target: spec.gap_target_ms.map(millis),
        priority: spec.priority,
        services,
        attempts: spec.attempts.unwrap_or(1).max(1),
        public: spec.public,
    }
}

fn to_service(spec: ServiceSpec, durations: &DurationReader) -> Service {
    let engine = spec
        .engine
        .map(|engine| EngineSpec { slots: engine.slots.max(1), memory_tokens: engine.kv_capacity });
    let fleet = spec.autoscale.map(|fleet| FleetSpec {
        min: fleet.min,
        max: fleet.max.max(fleet.min),
        start_time: durations.seconds(fleet.boot_s),
        reclaimable_price: fleet.spot_price,
        zone_prices: fleet.zone_prices.into_iter().collect(),
    });
    Service { name: spec.name, health_path: spec.health_path, engine, fleet }
}

fn to_account(spec: TenantSpec) -> Account {
    let quota = AccountQuota {
        rate: spec.per_s.filter(|rate| *rate > 0.0),
        burst: spec.burst.unwrap_or(0.0).max(0.0),
        in_tokens: spec.unit.as_deref() == Some(TOKEN_UNIT),
        default_tokens: spec.plain_tokens.unwrap_or(1),
    };
    Account { name: spec.name, priority: spec.priority, quota }
}
