//! The stored plan of one service: requested VMs that the VM list may not show yet.

use serde::{Deserialize, Serialize};

use crate::{
    ids::SharedName,
    native::{
        cloud_api::messages::PriceClass,
        decide::fleet::{FleetAction, FleetPlace, FleetWeights},
        options::rows::ServiceRow,
    },
};

/// How long a requested VM may be missing from the VM list, in milliseconds: the list is read every
/// 2 s and lags behind the cloud.
const PENDING_KEEP_MS: u64 = 90_000;
/// Average number of tokens that a stream has computed when it is interrupted.
const STREAM_TOKENS: f64 = 300.0;
/// Recomputed tokens that cost one unit if `recompute_weight` is one. Defines the unit of
/// `recompute_weight`.
const TOKENS_PER_UNIT: f64 = 50_000.0;

/// One VM that the planner has requested.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlannedVm {
    /// Name in the request.
    pub name: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Price class.
    pub class: PriceClass,
    /// Wall-clock time of the request, in milliseconds since 1970.
    pub asked_at_ms: u64,
}

/// Plan of a service: requested VMs that the VM list may not show yet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetPlan {
    /// Epoch of the lease when the plan was written.
    pub epoch: u64,
    /// Requested VMs.
    pub pending: Vec<PlannedVm>,
}

impl PlannedVm {
    /// Availability zone and price class.
    pub fn place(&self) -> FleetPlace {
        FleetPlace { zone: self.zone.clone(), class: self.class }
    }

    /// Whether the VM may still appear in the VM list.
    pub fn is_expected(&self, now_ms: u64) -> bool {
        now_ms < self.asked_at_ms + PENDING_KEEP_MS
    }
}

impl FleetPlan {
    /// Decodes an object's value. If that fails, logs a warning and returns an empty plan: VMs are
    /// then requested again under the same names, so none is started twice.
    pub fn decode(value: serde_json::Value) -> Self {
        match serde_json::from_value(value) {
            Ok(plan) => plan,
            Err(error) => {
                spdlog::warn!("malformed plan: {}", error, kv: { service = super::NAME });
                Self::default()
            }
        }
    }
}

/// Entry of the plan for an action, if it starts a VM.
pub fn to_planned(action: &FleetAction) -> Option<PlannedVm> {
    match action {
        FleetAction::Release { .. } => None,
        FleetAction::Start { name, place } => Some(PlannedVm {
            name: name.clone(),
            zone: place.zone.clone(),
            class: place.class,
            asked_at_ms: crate::wall_clock_ms(),
        }),
    }
}

/// Weights of a service, from its row.
pub fn weights_of(row: &ServiceRow) -> FleetWeights {
    let lost_tokens = f64::from(row.concurrency) * super::UTILISATION * STREAM_TOKENS;
    FleetWeights {
        shortage: row.shortage_cost,
        zone_loss: row.zone_loss_per_hour,
        replace_hours: row.replace_minutes / 60.0,
        reclaim: row.recompute_weight * lost_tokens / TOKENS_PER_UNIT,
    }
}
