//! The operators' configuration, as it lies in the store.

use std::{collections::BTreeMap, time::Duration};

use serde::Deserialize;

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

#[derive(Deserialize)]
struct ConfigurationSpec {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteSpec>,
    #[serde(default)]
    services: Vec<ServiceSpec>,
    #[serde(default)]
    tenants: Vec<TenantSpec>,
    #[serde(default)]
    limits: Option<LimitsSpec>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RouteSpec {
    name: SharedName,
    host: SharedName,
    path_prefix: SharedName,
    kind: KindSpec,
    timeout_ms: Option<f64>,
    target_latency_ms: Option<f64>,
    gap_target_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    service: Option<SharedName>,
    #[serde(default)]
    traffic_split: Vec<SplitSpec>,
    attempts: Option<u32>,
    #[serde(default)]
    public: bool,
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
    engine: Option<EngineSection>,
    autoscale: Option<AutoscaleSection>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct EngineSection {
    slots: u32,
    kv_capacity: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct AutoscaleSection {
    min: u32,
    max: u32,
    #[serde(default)]
    boot_s: f64,
    spot_price: Option<f64>,
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
    plain_tokens: Option<u64>,
    per_s: Option<f64>,
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

/// Decodes a configuration.
pub fn decode(text: &[u8]) -> Result<Configuration, serde_json::Error> {
    let spec: ConfigurationSpec = serde_json::from_slice(text)?;
    let mut configuration = Configuration::new(spec.version, limits(spec.limits.as_ref()));
    for route in spec.routes {
        configuration.add_route(to_route(route));
    }
    for service in spec.services {
        configuration.add_service(to_service(service));
    }
    for tenant in spec.tenants {
        let keys = tenant.api_keys.clone();
        configuration.add_account(to_account(tenant), keys);
    }
    Ok(configuration)
}

fn millis(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1e3).unwrap_or_default()
}

fn limits(spec: Option<&LimitsSpec>) -> ClientLimits {
    let default = ClientLimits::default();
    let Some(spec) = spec else { return default };
    ClientLimits {
        head_bytes: spec.max_header_bytes.unwrap_or(default.head_bytes),
        body_bytes: spec.max_body_bytes.unwrap_or(default.body_bytes),
        head_timeout: spec.header_timeout_ms.map_or(default.head_timeout, millis),
        idle_timeout: spec.idle_timeout_ms.map_or(default.idle_timeout, millis),
    }
}

fn to_route(spec: RouteSpec) -> Route {
    const DEFAULT_TARGET: Duration = Duration::from_secs(1);
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

fn to_service(spec: ServiceSpec) -> Service {
    let engine = spec
        .engine
        .map(|engine| EngineSpec { slots: engine.slots.max(1), memory_tokens: engine.kv_capacity });
    let fleet = spec.autoscale.map(|fleet| FleetSpec {
        min: fleet.min,
        max: fleet.max.max(fleet.min),
        start_time: Duration::try_from_secs_f64(fleet.boot_s).unwrap_or_default(),
        reclaimable_price: fleet.spot_price,
        zone_prices: fleet.zone_prices.into_iter().collect(),
    });
    Service { name: spec.name, engine, fleet }
}

fn to_account(spec: TenantSpec) -> Account {
    let quota = AccountQuota {
        rate: spec.per_s.filter(|rate| *rate > 0.0),
        burst: spec.burst.unwrap_or(0.0).max(0.0),
        in_tokens: spec.unit.as_deref() == Some("tokens"),
        default_tokens: spec.plain_tokens.unwrap_or(1),
    };
    Account { name: spec.name, priority: spec.priority, quota }
}
