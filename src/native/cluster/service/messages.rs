//! Messages to the cluster service.

use tokio::sync::oneshot;

use crate::native::cluster::{
    events::{ClusterCounters, ClusterEvent},
    items::{ItemKey, ItemKind, SpreadItem},
};

/// Keys and versions of items.
pub type ItemVersions = Vec<(ItemKey, u64)>;

/// Message to the cluster service.
#[derive(Debug)]
pub enum ClusterMessage {
    /// Passes an event to the core.
    Event(ClusterEvent),
    /// Compares a peer's summary with the own one.
    Summary {
        /// The peer's bucket hashes.
        theirs: Vec<u64>,
        /// Gets the buckets that differ and the versions in them.
        reply: oneshot::Sender<(Vec<usize>, ItemVersions)>,
    },
    /// Reads the versions in some buckets.
    Versions {
        /// Indexes of the buckets.
        buckets: Vec<usize>,
        /// Gets the keys and versions.
        reply: oneshot::Sender<ItemVersions>,
    },
    /// Reads some items.
    Fetch {
        /// Keys of the items.
        keys: Vec<ItemKey>,
        /// Gets the items that are known.
        reply: oneshot::Sender<Vec<SpreadItem>>,
    },
    /// Reads all items of a kind.
    List {
        /// Kind of the items.
        kind: ItemKind,
        /// Gets the items, tombstones included.
        reply: oneshot::Sender<Vec<SpreadItem>>,
    },
    /// Reads the figures for metrics.
    Gauge {
        /// Gets the counters, the number of items and their size in bytes.
        reply: oneshot::Sender<(ClusterCounters, usize, usize)>,
    },
}
