//! What the cluster service is asked.

use tokio::sync::oneshot;

use crate::native::cluster::{
    events::{ClusterCounters, ClusterEvent},
    items::{ItemKey, ItemKind, SpreadItem},
};

/// Names and versions of items.
pub type ItemVersions = Vec<(ItemKey, u64)>;

/// What the service is asked.
#[derive(Debug)]
pub enum ClusterMessage {
    /// Something has happened.
    Event(ClusterEvent),
    /// A peer sends its summary.
    Summary {
        /// Its bucket hashes.
        theirs: Vec<u64>,
        /// Differing buckets and the versions in them.
        reply: oneshot::Sender<(Vec<usize>, ItemVersions)>,
    },
    /// Versions in some buckets.
    Versions {
        /// Buckets.
        buckets: Vec<usize>,
        /// Versions.
        reply: oneshot::Sender<ItemVersions>,
    },
    /// Items that are wanted.
    Fetch {
        /// Their names.
        keys: Vec<ItemKey>,
        /// Those known.
        reply: oneshot::Sender<Vec<SpreadItem>>,
    },
    /// All items of a kind.
    List {
        /// Kind.
        kind: ItemKind,
        /// Items.
        reply: oneshot::Sender<Vec<SpreadItem>>,
    },
    /// Counters, number of items, their bytes.
    Gauge {
        /// Numbers.
        reply: oneshot::Sender<(ClusterCounters, usize, usize)>,
    },
}
