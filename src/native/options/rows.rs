//! Rows of the operators' table: one for each client account or service. Keys, ranges and
//! defaults are documented in docs/settings.md.

use std::{collections::HashMap, ops::RangeInclusive, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::check::{FieldReader, OptionError};
use crate::ids::SharedName;

/// Fields of a row's object that identify its last write; they are not part of the row.
pub const EDIT_FIELDS: [&str; 2] = ["edit_id", "applied"];
/// Largest weight, share or limit that a row may hold. Documented in docs/native/settings.md.
const LARGEST_LIMIT: f64 = 1e9;

/// Allowed weight of an account.
const WEIGHTS: RangeInclusive<f64> = 0.001..=LARGEST_LIMIT;
/// Largest number of VMs, and of requests at one endpoint, that a row may hold: ten times the
/// target of 10,000 endpoints.
const LARGEST_COUNT: u64 = 100_000;
/// Allowed latency targets in milliseconds: up to an hour.
const TARGETS_MS: RangeInclusive<f64> = 1.0..=3_600_000.0;
/// Allowed costs and cost weights.
const COSTS: RangeInclusive<f64> = 0.0..=1e6;
/// Allowed probabilities that all reclaimable VMs of a zone are reclaimed within an hour.
const ZONE_LOSSES: RangeInclusive<f64> = 0.0..=0.25;
/// Allowed times until lost VMs are replaced, in minutes: up to a day.
const REPLACE_MINUTES: RangeInclusive<f64> = 0.1..=1_440.0;

/// Defaults of keys that a service's row leaves out.
mod defaults {
    pub const CONCURRENCY: u64 = 32;
    pub const TARGET_MS: f64 = 560.0;
    pub const RECOMPUTE_WEIGHT: f64 = 1.0;
    pub const SHORTAGE_COST: f64 = 20.0;
    pub const ZONE_LOSS_PER_HOUR: f64 = 0.02;
    pub const REPLACE_MINUTES: f64 = 6.0;
}

/// Protocol of a service's endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceType {
    /// Model engines: completions, streamed token by token.
    Model,
    /// Plain HTTP.
    Plain,
}

/// Row of a client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountRow {
    /// Name of the account.
    pub name: SharedName,
    /// API key that its clients send as a bearer token.
    pub api_key: SharedName,
    /// Share of the capacity relative to other accounts when capacity is short.
    pub weight: f64,
    /// Limit in tokens a second over all daemons; a call to a plain service counts as one token.
    pub tokens_per_s: f64,
}

/// Row of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRow {
    /// Name of the service; clients send it as the model name or in the path.
    pub name: SharedName,
    /// Protocol of its endpoints.
    pub service_type: ServiceType,
    /// Whether its calls may be retried.
    pub repeatable: bool,
    /// Most requests in progress at one endpoint.
    pub concurrency: u32,
    /// Smallest number of VMs to keep.
    pub min_vms: u32,
    /// Largest number of VMs to keep.
    pub max_vms: u32,
    /// Latency target for the first token or the response, in milliseconds.
    pub target_ms: f64,
    /// Cost weight of recomputed tokens; at 1, 50,000 of them cost one cost unit.
    pub recompute_weight: f64,
    /// Cost of one VM missing for an hour while there is demand for it, in cost units.
    pub shortage_cost: f64,
    /// Probability that all reclaimable VMs of a given zone are reclaimed within an hour.
    pub zone_loss_per_hour: f64,
    /// Minutes until lost VMs are replaced; set it higher where VM starts are often refused.
    pub replace_minutes: f64,
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum TableRow {
    /// Client account.
    Account(AccountRow),
    /// Service.
    Service(ServiceRow),
}

impl TableRow {
    /// Name of the row's object, unique across accounts and services.
    pub fn object_name(&self) -> String {
        match self {
            Self::Account(row) => format!("account.{}", row.name),
            Self::Service(row) => format!("service.{}", row.name),
        }
    }

    /// Parses and validates `value` as a row; errors name its keys under `prefix`.
    pub fn parse(value: &Value, prefix: &str) -> Result<Self, Vec<OptionError>> {
        let mut reader = FieldReader::new(value, prefix).map_err(|error| vec![error])?;
        let is_account = reader.choice("kind", &[("service", false), ("account", true)]);
        for field in EDIT_FIELDS {
            reader.ignore(field);
        }
        let row = if is_account {
            Self::Account(read_account(&mut reader))
        } else {
            Self::Service(read_service(&mut reader))
        };
        let errors = reader.finish();
        if errors.is_empty() { Ok(row) } else { Err(errors) }
    }
}

fn read_account(reader: &mut FieldReader<'_>) -> AccountRow {
    AccountRow {
        name: reader.name("name"),
        api_key: reader.name("api_key"),
        weight: reader.number("weight", WEIGHTS, 1.0),
        tokens_per_s: reader.number("tokens_per_s", 0.0..=LARGEST_LIMIT, LARGEST_LIMIT),
    }
}

fn read_service(reader: &mut FieldReader<'_>) -> ServiceRow {
    let types = [("model", ServiceType::Model), ("plain", ServiceType::Plain)];
    let row = ServiceRow {
        name: reader.name("name"),
        service_type: reader.choice("service_type", &types),
        repeatable: reader.flag("repeatable", true),
        concurrency: reader.count("concurrency", 1..=LARGEST_COUNT, defaults::CONCURRENCY) as u32,
        min_vms: reader.count("min_vms", 0..=LARGEST_COUNT, 0) as u32,
        max_vms: reader.count("max_vms", 0..=LARGEST_COUNT, LARGEST_COUNT) as u32,
        target_ms: reader.number("target_ms", TARGETS_MS, defaults::TARGET_MS),
        recompute_weight: reader.number("recompute_weight", COSTS, defaults::RECOMPUTE_WEIGHT),
        shortage_cost: reader.number("shortage_cost", COSTS, defaults::SHORTAGE_COST),
        zone_loss_per_hour: reader.number(
            "zone_loss_per_hour",
            ZONE_LOSSES,
            defaults::ZONE_LOSS_PER_HOUR,
        ),
        replace_minutes: reader.number(
            "replace_minutes",
            REPLACE_MINUTES,
            defaults::REPLACE_MINUTES,
        ),
    };
    if row.service_type == ServiceType::Model && !row.repeatable {
        reader.reject("repeatable", "true for a model service: its streams are resumed");
    }
    if row.max_vms < row.min_vms {
        reader.reject("max_vms", format!("at least min_vms ({})", row.min_vms));
    }
    row
}

/// Parses and validates a whole table, a JSON list of rows.
pub fn parse_table(value: &Value) -> Result<Vec<TableRow>, Vec<OptionError>> {
    let Some(items) = value.as_array() else {
        let shown = value.to_string();
        let allowed = "a JSON list of rows".into();
        return Err(vec![OptionError { key: "(whole file)".into(), value: shown, allowed }]);
    };
    let mut rows = Vec::new();
    let mut errors = Vec::new();
    for (index, item) in items.iter().enumerate() {
        match TableRow::parse(item, &format!("rows[{index}]")) {
            Ok(row) => rows.push(row),
            Err(found) => errors.extend(found),
        }
    }
    if errors.is_empty() { Ok(rows) } else { Err(errors) }
}

/// Immutable copy of the table that requests read; a new one replaces it when a row changes.
#[derive(Clone, Debug, Default)]
pub struct TableSnapshot {
    accounts: HashMap<SharedName, Arc<AccountRow>>,
    accounts_by_key: HashMap<SharedName, Arc<AccountRow>>,
    services: HashMap<SharedName, Arc<ServiceRow>>,
}

impl TableSnapshot {
    /// Creates a snapshot of `rows`.
    pub fn new(rows: impl IntoIterator<Item = TableRow>) -> Self {
        let mut snapshot = Self::default();
        for row in rows {
            match row {
                TableRow::Account(row) => {
                    let row = Arc::new(row);
                    snapshot.accounts_by_key.insert(row.api_key.clone(), row.clone());
                    snapshot.accounts.insert(row.name.clone(), row);
                }
                TableRow::Service(row) => {
                    snapshot.services.insert(row.name.clone(), Arc::new(row));
                }
            }
        }
        snapshot
    }

    /// Account with this name.
    pub fn account(&self, name: &str) -> Option<Arc<AccountRow>> {
        self.accounts.get(name).cloned()
    }

    /// Account with this API key.
    pub fn account_by_key(&self, api_key: &str) -> Option<Arc<AccountRow>> {
        self.accounts_by_key.get(api_key).cloned()
    }

    /// Service with this name.
    pub fn service(&self, name: &str) -> Option<Arc<ServiceRow>> {
        self.services.get(name).cloned()
    }

    /// All client accounts, in no particular order.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<AccountRow>> {
        self.accounts.values()
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceRow>> {
        self.services.values()
    }

    /// Whether no row is known; no request can be served then.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty() && self.services.is_empty()
    }
}
