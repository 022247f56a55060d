//! What the holder of the duties' lease writes down in the store, for its successor.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{gateway::policy::usage_counts::WindowCounts, ids::SharedName};

/// A usage report; written down before it is sent, so that it is only ever repeated exactly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Number of the window.
    pub window: u64,
    /// Requests by account.
    pub counts: WindowCounts,
}

/// The lease as it lies in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Name of the holder's VM.
    pub holder: SharedName,
    /// Where the holder's gate listens.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Start of the holder's process.
    pub incarnation: u64,
    /// Rises with every holder.
    pub fence: u64,
    /// Renewals by this holder; a renewal always changes the object.
    pub renewals: u64,
    /// Whether the holder has given it up: another may take it at once.
    #[serde(default)]
    pub released: bool,
    /// Daemons that the holder knew of.
    #[serde(default)]
    pub daemons: usize,
    /// Accounts that were crowded at the last renewal.
    #[serde(default, rename = "crowded")]
    pub throttled: Vec<SharedName>,
    /// Endpoints that are needed, by service.
    #[serde(default)]
    pub needs: BTreeMap<SharedName, f64>,
    /// The newest report.
    pub report: Option<UsageReport>,
}
