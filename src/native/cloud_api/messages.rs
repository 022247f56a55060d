//! JSON bodies of the platform's services, used by the client, `willowctl` and the stand-in.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{ids::SharedName, store_position::StoreEra};

/// One object of the object API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectEntry {
    /// Name within its kind.
    pub name: SharedName,
    /// Revision of the store at which this value was written.
    pub version: u64,
    /// Value; `None` if the object was deleted or never existed.
    pub value: Option<Value>,
}

/// Response to a list or a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectList {
    /// Revision up to which the entries are complete.
    pub revision: u64,
    /// For a list, all objects; for a watch, the changes after the requested revision.
    pub entries: Vec<ObjectEntry>,
    /// Era of the objects, from the header of the response.
    #[serde(skip)]
    pub era: StoreEra,
}

/// Version given to an accepted write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteReceipt {
    /// New version of the object.
    pub version: u64,
}

/// How a VM is paid for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PriceClass {
    /// Cheaper; may be reclaimed with a few seconds' notice.
    Reclaimable,
    /// More expensive; is not reclaimed.
    OnDemand,
}

/// State of a VM according to the VM list, which lags behind the actual state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM has a reclaim notice.
    Leaving,
}

/// One entry of the VM list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Identity of the VM; never used again for another one.
    pub id: SharedName,
    /// Name given when the VM was started.
    pub name: SharedName,
    /// Address its endpoint listens on; may later be reused by another VM.
    pub address: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// How it is paid for.
    pub class: PriceClass,
    /// Service it is an endpoint of; `entry` for VMs that run entry daemons.
    pub service: SharedName,
    /// State, delayed by the list's lag.
    pub state: VmState,
}

/// Name of the service under which the VM list shows entry VMs.
pub const ENTRY_SERVICE: &str = "entry";

/// Response with the VM list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmList {
    /// Grows with every change of the list.
    pub revision: u64,
    /// All VMs in the list.
    pub vms: Vec<VmEntry>,
    /// Era of the list, from the header of the response.
    #[serde(skip)]
    pub era: StoreEra,
}

/// Notice that a VM will be reclaimed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReclaimNotice {
    /// Sequence number of the notice.
    pub sequence: u64,
    /// Identity of the VM.
    pub vm: SharedName,
    /// Wall-clock time at which the VM is reclaimed, in milliseconds since 1970.
    pub gone_at_ms: u64,
}

/// Response to a request for notices.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NoticeList {
    /// Notices after the requested sequence number.
    pub notices: Vec<ReclaimNotice>,
    /// Era of the notices, from the header of the response.
    #[serde(skip)]
    pub era: StoreEra,
}

/// Request to start a VM; a second start with the same name starts no second VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmStartRequest {
    /// Name of the VM.
    pub name: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// How it is paid for.
    pub class: PriceClass,
    /// Service it is to be an endpoint of.
    pub service: SharedName,
}

/// Price of one VM hour.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PriceEntry {
    /// Availability zone.
    pub zone: SharedName,
    /// Price class.
    pub class: PriceClass,
    /// Cost units for an hour.
    pub per_hour: f64,
}
