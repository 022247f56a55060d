//! State of the platform stand-in: objects, VMs, reclaim notices, fault switches, rate limits.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    ids::SharedName,
    native::cloud_api::messages::{PriceClass, PriceEntry, ReclaimNotice, VmEntry, VmList},
    standin::object_store::ObjectStore,
    store_position::StoreEra,
};

/// Writes per second that the object API admits: low enough that tests reach the limit.
const WRITES_PER_S: f64 = 100.0;
/// Reads per second that the object API admits.
const READS_PER_S: f64 = 2_000.0;
/// Loads of model weights per second that the weight store admits.
const WEIGHTS_PER_S: f64 = 2.0;

/// Service name that marks VMs of the initial list as spare: they don't run yet, but can be
/// started.
const SPARE_SERVICE: &str = "spare";
/// Number of past VM lists kept: more than change within the longest lag of the tests.
const MAX_PAST_VM_LISTS: usize = 256;
/// Price of an on-demand VM per hour, in cost units; the other prices are relative to it.
const ON_DEMAND_PRICE: f64 = 1.0;
/// Price of a reclaimable VM per hour, in cost units.
const RECLAIMABLE_PRICE: f64 = 0.3;

/// Fault switches of the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// All calls of the object API and the cloud API fail.
    pub outage: bool,
    /// Additional duration of each call, in milliseconds.
    pub delay_ms: u64,
    /// Number of next writes that take effect but whose response is lost.
    pub lose_answers: u32,
    /// Number of next reads that return the state of `stale_by` revisions ago.
    pub stale_reads: u32,
    /// Age of the state that a stale read returns, in revisions.
    pub stale_by: u64,
    /// Delay of the VM list, in milliseconds.
    pub list_lag_ms: u64,
    /// Zones in which VM starts are refused.
    pub refuse_starts: Vec<SharedName>,
}

/// Numbers of calls since the start.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct CallCounts {
    pub(super) reads: u64,
    pub(super) writes: u64,
    pub(super) watches: u64,
    pub(super) cloud: u64,
    /// Calls refused because of the rate limits.
    pub(super) limited: u64,
}

/// Token bucket with a capacity of one second of calls.
pub(super) struct RateLimiter {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    fn new(per_second: f64) -> Self {
        Self { per_second, tokens: per_second, refilled_at: Instant::now() }
    }

    pub(super) fn admit(&mut self) -> bool {
        let elapsed = self.refilled_at.elapsed().as_secs_f64();
        self.refilled_at = Instant::now();
        self.tokens = (self.tokens + elapsed * self.per_second).min(self.per_second);
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }
}

/// State that all handlers of the platform share.
pub(super) struct PlatformState {
    pub(super) store: ObjectStore,
    /// Copy from which the store is restored.
    pub(super) copy: ObjectStore,
    /// Number of times the store was restored from the copy.
    pub(super) era: u64,
    pub(super) faults: PlatformFaults,
    pub(super) counts: CallCounts,
    pub(super) writes: RateLimiter,
    pub(super) reads: RateLimiter,
    pub(super) weights: RateLimiter,
    pub(super) vms: Vec<VmEntry>,
    /// Past VM lists, each with the time from which it applied.
    pub(super) past_vm_lists: VecDeque<(Instant, VmList)>,
    pub(super) list_revision: u64,
    pub(super) notices: Vec<ReclaimNotice>,
    pub(super) prices: Vec<PriceEntry>,
    pub(super) free_addresses: HashMap<SharedName, Vec<SharedName>>,
    pub(super) started: u64,
}

impl PlatformState {
    /// Creates a state in which all `vms` run, except the spare ones.
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
            past_vm_lists: VecDeque::new(),
            list_revision: 0,
            notices: Vec::new(),
            free_addresses,
            started: 0,
        };
        state.record_vm_list();
        state
    }

    /// Revision that the current read returns if it is to be stale; counts the stale read.
    pub(super) fn take_stale_revision(&mut self) -> Option<u64> {
        if self.faults.stale_reads == 0 {
            return None;
        }
        self.faults.stale_reads -= 1;
        Some(self.store.revision().saturating_sub(self.faults.stale_by))
    }

    /// Adds the current VM list to the past lists, so that it can be returned late.
    pub(super) fn record_vm_list(&mut self) {
        self.list_revision += 1;
        let list = VmList {
            revision: self.list_revision,
            vms: self.vms.clone(),
            era: StoreEra::default(),
        };
        self.past_vm_lists.push_back((Instant::now(), list));
        if self.past_vm_lists.len() > MAX_PAST_VM_LISTS {
            self.past_vm_lists.pop_front();
        }
    }
}

fn default_prices(vms: &[VmEntry]) -> Vec<PriceEntry> {
    let mut zones: Vec<SharedName> = vms.iter().map(|vm| vm.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    let prices_of_zone = |zone: SharedName| {
        [
            PriceEntry {
                zone: zone.clone(),
                class: PriceClass::OnDemand,
                per_hour: ON_DEMAND_PRICE,
            },
            PriceEntry { zone, class: PriceClass::Reclaimable, per_hour: RECLAIMABLE_PRICE },
        ]
    };
    zones.into_iter().flat_map(prices_of_zone).collect()
}
