//! The plan of one service as it is stored: VMs asked for that the VM list may not show yet.

use serde::{Deserialize, Serialize};

use crate::{
    ids::SharedName,
    native::{
        cloud_api::messages::PriceClass,
        decide::fleet::{FleetAction, FleetPlace, FleetWeights},
        options::rows::ServiceRow,
    },
};

/// How long a VM that was asked for may be missing from the VM list, in milliseconds: the list is
/// read every 2 s and lags behind the cloud.
const PENDING_KEEP_MS: u64 = 90_000;
/// Tokens that a stream has computed when it is cut off, on the mean.
const STREAM_TOKENS: f64 = 300.0;
/// Recomputed tokens for one cost unit, at a weight of one: sets the unit of `recompute_weight`.
const TOKENS_PER_UNIT: f64 = 50_000.0;

/// One VM that a plan has asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlannedVm {
    /// Name it was asked for under.
    pub name: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Price class.
    pub class: PriceClass,
    /// Wall-clock time of the request, in milliseconds since 1970.
    pub asked_at_ms: u64,
}

/// Value of a service's plan: VMs asked for that the VM list may not show yet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetPlan {
    /// Epoch of the lease under which it was written.
    pub epoch: u64,
    /// VMs asked for.
    pub pending: Vec<PlannedVm>,
}

impl PlannedVm {
    /// Where and how it is to be held.
    pub fn place(&self) -> FleetPlace {
        FleetPlace { zone: self.zone.clone(), class: self.class }
    }

    /// Whether the VM list may still come to show it.
    pub fn is_expected(&self, now_ms: u64) -> bool {
        now_ms < self.asked_at_ms + PENDING_KEEP_MS
    }
}

impl FleetPlan {
    /// Plan in an object's value; an empty one, with a warning, if it does not decode: VMs are
    /// then asked for again under the same names, which starts none twice.
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
