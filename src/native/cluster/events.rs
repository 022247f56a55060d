//! Events that the cluster core handles, and actions that it returns.

use super::{items::SpreadItem, members::MemberRecord};
use crate::ids::{IncarnationId, SharedName};

/// The daemon to which an action applies.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerTarget {
    /// Expected incarnation; it is an error if another one answers at the address.
    pub incarnation: IncarnationId,
    /// Address of its peer listener.
    pub address: SharedName,
}

/// An event for the cluster core.
#[derive(Clone, Debug)]
pub enum ClusterEvent {
    /// Time has passed; expected about every 50 ms.
    Tick,
    /// An address that may be a daemon of this deployment.
    Seed(SharedName),
    /// A daemon answered a greeting or greeted this one.
    Greeted(IncarnationId, MemberRecord),
    /// A neighbour answered its probe.
    ProbeAnswered(IncarnationId),
    /// A neighbour did not answer its probe; `true` if its address refuses connections.
    ProbeFailed(IncarnationId, bool),
    /// Helpers could not reach the neighbour either; `true` if its address refuses connections.
    HelpersFailed(IncarnationId, bool),
    /// Another incarnation answers at the neighbour's address, so the neighbour is gone.
    Replaced(IncarnationId),
    /// Items from a peer, or from this process if `None`.
    Items(Option<IncarnationId>, Vec<SpreadItem>),
    /// This daemon accepts no new work from now on.
    Leave,
}

/// An action for the service to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ClusterAction {
    /// Send a greeting to an address; report `Greeted`.
    Greet(SharedName),
    /// Probe a member; report `ProbeAnswered`, `ProbeFailed` or `Replaced`.
    Probe(PeerTarget),
    /// Ask the helpers to probe the target; report `HelpersFailed` or `ProbeAnswered`.
    ProbeVia(Vec<PeerTarget>, PeerTarget),
    /// Send items to a member.
    Push(PeerTarget, Vec<SpreadItem>),
    /// Exchange summaries and the items that either side lacks; report `Items`.
    Sync(PeerTarget),
    /// Publish items that are new here to the other services.
    Changed(Vec<SpreadItem>),
    /// Publish the member list, which has changed.
    MembersChanged,
}

/// Counters for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClusterCounters {
    /// Members that this daemon suspected.
    pub suspected: u64,
    /// Members that this daemon removed.
    pub removed: u64,
    /// Suspicions of itself that it refuted.
    pub refuted: u64,
    /// Items received that were invalid or not newer than the known ones.
    pub stale_items: u64,
    /// Items received that were newer than the known ones.
    pub fresh_items: u64,
}
