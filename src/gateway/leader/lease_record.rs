//! The lease record, which the holder of the leader lease writes into the store for its successor.
//!
//! The serialized field names are part of the stored format and must not change.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{
    Deserialize, Deserializer, Serialize,
    de::{Error, Unexpected},
};

use crate::{
    gateway::policy::leader::usage_counts::WindowCounts, ids::SharedName, store_position::StoreEra,
};

/// A usage report. It is written into the lease before it is sent, so that a successor that
/// repeats it sends the same counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Number of the usage window.
    #[serde(deserialize_with = "read_number")]
    pub window: u64,
    /// Requests by account.
    pub counts: WindowCounts,
}

/// A request that crashes endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// Fingerprint of the request, as text.
    pub fingerprint: String,
    /// Trials since the request was quarantined.
    pub trials: u32,
    /// Age of the newest crash when this record was written.
    pub crash_age_ms: u64,
}

/// A part of prompts whose requests crash endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedPart {
    /// Id of the part, as text.
    pub part: String,
    /// Trials since it was quarantined.
    pub trials: u32,
    /// Age of the newest crash when this record was written.
    pub crash_age_ms: u64,
}

/// Start of a roll-out, for daemons that start after all others have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStart {
    /// Service.
    pub service: SharedName,
    /// Identifies the order.
    pub order: u64,
    /// When the order was written, in milliseconds since 1970.
    pub begun_ms: u64,
}

/// A service that one version alone has served, for daemons that start after all others have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoleVersion {
    /// Service.
    pub service: SharedName,
    /// Version of its endpoints' software.
    pub version: SharedName,
    /// Until when no other version had served, in milliseconds since 1970.
    pub seen_ms: u64,
    /// For how long no other one had served by then, in milliseconds; 0 in records of earlier releases.
    #[serde(default)]
    pub alone_ms: u64,
}

/// Renewals and usage windows have numbers below this: windows of a millisecond, counted from 1970, reach it in
/// 8,900 years. Another writer has written a greater one.
const NUMBER_LIMIT: u64 = 1 << 48;

/// Reads the number of a renewal or of a usage window, to which others can be added.
fn read_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let number = u64::deserialize(deserializer)?;
    match number < NUMBER_LIMIT {
        true => Ok(number),
        false => {
            let expected = format!("a number below {NUMBER_LIMIT}");
            Err(D::Error::invalid_value(Unexpected::Unsigned(number), &&*expected))
        }
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// The lease as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Name of the holder's VM.
    pub holder: SharedName,
    /// Address at which the holder listens for peers.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Incarnation id of the holder's process.
    pub incarnation: u64,
    /// Fencing number; rises with every new holder.
    pub fence: u64,
    /// Renewals by this holder. Counting them makes each renewal change the object.
    #[serde(deserialize_with = "read_number")]
    pub renewals: u64,
    /// Era of the store in which the record was written; 0 from daemons of earlier releases.
    #[serde(default)]
    pub era: StoreEra,
    /// Whether the holder has released the lease: another daemon may acquire it at once.
    #[serde(default)]
    pub released: bool,
    /// Number of daemons that the holder knew of.
    #[serde(default)]
    pub daemons: usize,
    /// Addresses at which some of them listen for peers, for daemons that know no peer.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<SocketAddr>,
    /// Accounts that were throttled at the last renewal.
    #[serde(default, rename = "crowded")]
    pub throttled: Vec<SharedName>,
    /// Required endpoints by service.
    #[serde(default, rename = "needs")]
    pub required_endpoints: BTreeMap<SharedName, f64>,
    /// Quarantined requests, for daemons that start after all others have ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quarantined: Vec<QuarantinedRequest>,
    /// Quarantined parts of prompts, for the same daemons.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quarantined_parts: Vec<QuarantinedPart>,
    /// Roll-outs in progress.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rollouts: Vec<RolloutStart>,
    /// Services that one version alone has served for as long as a stream may live.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sole_versions: Vec<SoleVersion>,
    /// Services whose endpoints are brittle.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub brittle_services: Vec<SharedName>,
    /// Earlier windows are not reported, since a former holder whose record is lost may have reported
    /// them.
    #[serde(default, deserialize_with = "read_number", skip_serializing_if = "is_zero")]
    pub first_window: u64,
    /// The newest report.
    pub report: Option<UsageReport>,
}

impl LeaseRecord {
    /// Sort key that orders the writes of all holders: fence, then renewal number.
    pub fn order(&self) -> (u64, u64) {
        (self.fence, self.renewals)
    }
}
