//! Decodes the operators' orders of roll-outs, and encodes their states.

use std::time::Duration;

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

use super::store::StoredObject;
use crate::{
    gateway::policy::rollout::rollout_order::{OrderId, RecordedState, RolloutOrder, RolloutState},
    ids::{SharedName, hash_parts},
};

/// Kind of the orders, each named by its service.
pub const ROLLOUT_KIND: &str = "rollouts";
/// Durations must be below this number of seconds, far below the largest `Duration`.
const MAX_DURATION_S: f64 = 1e9;

/// Why an order cannot be used.
#[derive(Debug, Display, Error, From)]
pub enum OrderError {
    /// A field is missing or has the wrong type.
    Malformed(serde_json::Error),
    /// The object is named after another service.
    #[display("it names the service {_0}")]
    #[from(ignore)]
    OtherService(#[error(not(source))] SharedName),
    /// The version is empty.
    #[display("target-version is empty")]
    NoVersion,
    /// The duration is not above 0, or far too long.
    #[display("duration-s is {_0}")]
    #[from(ignore)]
    BadDuration(#[error(not(source))] f64),
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct OrderSpec {
    service: SharedName,
    target_version: SharedName,
    duration_s: f64,
}

/// State of a roll-out in its object.
#[derive(Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum StatusState {
    Active,
    Completed,
    Reverted,
}

/// The part of an order's object that the gateway writes.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RolloutStatus {
    state: StatusState,
    target_version: SharedName,
}

impl RolloutStatus {
    /// The status that records `recorded`.
    pub fn of(recorded: &RecordedState) -> Self {
        let state = match recorded.state {
            RolloutState::Active => StatusState::Active,
            RolloutState::Completed => StatusState::Completed,
            RolloutState::Reverted => StatusState::Reverted,
        };
        Self { state, target_version: recorded.target.clone() }
    }
}

/// Decodes the order that an object holds.
///
/// # Errors
///
/// The order lacks a field, or one of them has a value that cannot be meant.
pub fn decode_order(object: &StoredObject) -> Result<RolloutOrder, OrderError> {
    let spec: OrderSpec = serde_json::from_str(&object.value)?;
    if spec.service != object.name {
        return Err(OrderError::OtherService(spec.service));
    }
    if spec.target_version.is_empty() {
        return Err(OrderError::NoVersion);
    }
    if !(spec.duration_s > 0.0 && spec.duration_s < MAX_DURATION_S) {
        return Err(OrderError::BadDuration(spec.duration_s));
    }
    let duration = Duration::from_secs_f64(spec.duration_s);
    let id = order_id(&spec, &object.made);
    Ok(RolloutOrder { id, service: spec.service, target: spec.target_version, duration })
}

/// Identifies the order, whatever else the object holds.
fn order_id(spec: &OrderSpec, made: &str) -> OrderId {
    OrderId(hash_parts(&[
        spec.service.as_bytes(),
        spec.target_version.as_bytes(),
        &spec.duration_s.to_le_bytes(),
        made.as_bytes(),
    ]))
}

/// Decodes the state that an object holds; none if there is none, or another writer has written it.
pub fn decode_state(object: &StoredObject) -> Option<RecordedState> {
    let status: RolloutStatus = serde_json::from_str(&object.status).ok()?;
    let state = match status.state {
        StatusState::Active => RolloutState::Active,
        StatusState::Completed => RolloutState::Completed,
        StatusState::Reverted => RolloutState::Reverted,
    };
    Some(RecordedState { state, target: status.target_version })
}
