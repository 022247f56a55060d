//! State of the platform stand-in: objects, VMs, notices, fault switches, rate limits.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    ids::SharedName,
    native::cloud_api::messages::{PriceClass, PriceEntry, ReclaimNotice, VmEntry, VmList},
    standin::object_store::ObjectStore,
    store_position::StoreEra,
};

/// Writes a second that the object API admits: low enough for tests to meet the limit.
const WRITES_PER_S: f64 = 100.0;
/// Reads a second that the object API admits.
const READS_PER_S: f64 = 2_000.0;
/// Loads a second that the weight store admits.
const WEIGHTS_PER_S: f64 = 2.0;

/// Service of VMs in the starting list that are not held yet, but can be started.
const SPARE_SERVICE: &str = "spare";
/// Earlier VM lists that are kept: more changes than any lag in the tests spans.
const LIST_HISTORY: usize = 256;
/// Cost units for an hour of an on-demand VM; the others are relative to it.
const ON_DEMAND_PRICE: f64 = 1.0;
/// Cost units for an hour of a reclaimable VM.
const RECLAIMABLE_PRICE: f64 = 0.3;

/// Fault switches of the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call of object and cloud API fails.
    pub outage: bool,
    /// Extra time each call takes, in milliseconds.
    pub delay_ms: u64,
    /// Number of writes to come that take effect but whose response is lost.
    pub lose_answers: u32,
    /// Number of reads to come that show the store as it was `stale_by` revisions ago.
    pub stale_reads: u32,
    /// How far back a stale read goes.
    pub stale_by: u64,
    /// How late the VM list is, in milliseconds.
    pub list_lag_ms: u64,
    /// Zones in which starts are refused.
    pub refuse_starts: Vec<SharedName>,
}

/// Calls since the start.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct CallCounts {
    pub(super) reads: u64,
    pub(super) writes: u64,
    pub(super) watches: u64,
    pub(super) cloud: u64,
    /// Calls refused for their rate.
    pub(super) limited: u64,
}

/// Token bucket that holds one second of calls.
pub(super) struct RateLimiter {
    per_second: f64,
    level: f64,
    filled_at: Instant,
}

impl RateLimiter {
    fn new(per_second: f64) -> Self {
        Self { per_second, level: per_second, filled_at: Instant::now() }
    }

    pub(super) fn admit(&mut self) -> bool {
        let elapsed = self.filled_at.elapsed().as_secs_f64();
        self.filled_at = Instant::now();
        self.level = (self.level + elapsed * self.per_second).min(self.per_second);
        let admitted = self.level >= 1.0;
        if admitted {
            self.level -= 1.0;
        }
        admitted
    }
}

/// Everything that the stand-in knows.
pub(super) struct PlatformState {
    pub(super) store: ObjectStore,
    /// What the store is restored from.
    pub(super) copy: ObjectStore,
    /// How often it was restored from the copy.
    pub(super) era: u64,
    pub(super) faults: PlatformFaults,
    pub(super) counts: CallCounts,
    pub(super) writes: RateLimiter,
    pub(super) reads: RateLimiter,
    pub(super) weights: RateLimiter,
    pub(super) vms: Vec<VmEntry>,
    /// Earlier VM lists with the time each became true.
    pub(super) history: VecDeque<(Instant, VmList)>,
    pub(super) list_revision: u64,
    pub(super) notices: Vec<ReclaimNotice>,
    pub(super) prices: Vec<PriceEntry>,
    pub(super) free_addresses: HashMap<SharedName, Vec<SharedName>>,
    pub(super) started: u64,
}

impl PlatformState {
    /// State in which `vms` run, but for the spare ones.
    pub(super) fn new(vms: Vec<VmEntry>) -> Self {
        let prices = default_prices(&vms);
        let (spare, vms): (Vec<VmEntry>, Vec<VmEntry>) =
            vms.into_iter().partition(|vm| &*vm.service == SPARE_SERVICE);
        let mut free_addresses: HashMap<SharedName, Vec<SharedName>> = HashMap::new();
        for vm in spare {
            free_addresses.entry(vm.zone).or_default().push(vm.address);
        }
        let mut state = Self {
            store: ObjectStore::default(),
            copy: ObjectStore::default(),
            era: 0,
            faults: PlatformFaults::default(),
            counts: CallCounts::default(),
            writes: RateLimiter::new(WRITES_PER_S),
            reads: RateLimiter::new(READS_PER_S),
            weights: RateLimiter::new(WEIGHTS_PER_S),
            prices,
            vms,
            history: VecDeque::new(),
            list_revision: 0,
            notices: Vec::new(),
            free_addresses,
            started: 0,
        };
        state.record_list();
        state
    }

    /// Revision that the next read shows, if it is to be a stale one.
    pub(super) fn stale_horizon(&mut self) -> Option<u64> {
        if self.faults.stale_reads == 0 {
            return None;
        }
        self.faults.stale_reads -= 1;
        Some(self.store.revision().saturating_sub(self.faults.stale_by))
    }

    /// Records the VM list as it is now, for reads that lag.
    pub(super) fn record_list(&mut self) {
        self.list_revision += 1;
        let list = VmList {
            revision: self.list_revision,
            vms: self.vms.clone(),
            era: StoreEra::default(),
        };
        self.history.push_back((Instant::now(), list));
        if self.history.len() > LIST_HISTORY {
            self.history.pop_front();
        }
    }
}

fn default_prices(vms: &[VmEntry]) -> Vec<PriceEntry> {
    let mut zones: Vec<SharedName> = vms.iter().map(|vm| vm.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    let both = |zone: SharedName| {
        [
            PriceEntry {
                zone: zone.clone(),
                class: PriceClass::OnDemand,
                per_hour: ON_DEMAND_PRICE,
            },
            PriceEntry { zone, class: PriceClass::Reclaimable, per_hour: RECLAIMABLE_PRICE },
        ]
    };
    zones.into_iter().flat_map(both).collect()
}
