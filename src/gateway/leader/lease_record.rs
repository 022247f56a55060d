//! What the holder of the leader lease writes into the store for its successor.
//!
//! The names of the fields on the wire are part of the stored form and stay as they are.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    gateway::policy::leader::usage_counts::WindowCounts, ids::SharedName, store_position::StoreEra,
};

/// A usage report. It is written into the lease before it is sent, so that a successor that
/// sends it again sends the same counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Number of the window.
    pub window: u64,
    /// Requests by account.
    pub counts: WindowCounts,
}

/// A request that crashes endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// Its fingerprint, as text.
    pub fingerprint: String,
    /// Trials since it is refused.
    pub trials: u32,
    /// Milliseconds from its newest crash to the write of this record.
    pub crash_age_ms: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// The lease as stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Name of the holder's VM.
    pub holder: SharedName,
    /// Where the holder listens for peers.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Start of the holder's process.
    pub incarnation: u64,
    /// Rises with every holder.
    pub fence: u64,
    /// Renewals by this holder; a renewal always changes the object.
    pub renewals: u64,
    /// Era of the store in which it was written; 0 from daemons of earlier releases.
    #[serde(default)]
    pub era: StoreEra,
    /// Whether the holder has released it: another may acquire it at once.
    #[serde(default)]
    pub released: bool,
    /// Daemons that the holder knew of.
    #[serde(default)]
    pub daemons: usize,
    /// Accounts that were throttled at the last renewal.
    #[serde(default, rename = "crowded")]
    pub throttled: Vec<SharedName>,
    /// Required endpoints by service.
    #[serde(default, rename = "needs")]
    pub required_endpoints: BTreeMap<SharedName, f64>,
    /// Requests that crash endpoints: daemons that start after all have ended know them from here.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quarantined: Vec<QuarantinedRequest>,
    /// Windows before this one are not reported: a former holder, whose record is lost, may have.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub first_window: u64,
    /// The newest report.
    pub report: Option<UsageReport>,
}

impl LeaseRecord {
    /// What orders the writes of all holders: fence, and number of the renewal.
    pub fn order(&self) -> (u64, u64) {
        (self.fence, self.renewals)
    }
}
