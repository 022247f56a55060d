//! Events that the cluster core takes, and actions that it returns.

use super::{items::SpreadItem, members::MemberRecord};
use crate::ids::{IncarnationId, SharedName};

/// Whom an action is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerTarget {
    /// Expected incarnation; an address that answers with another one is an error.
    pub incarnation: IncarnationId,
    /// Address of its peer listener.
    pub address: SharedName,
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum ClusterEvent {
    /// Time has passed; expected every 50 ms or so.
    Tick,
    /// An address that may be a daemon of this deployment.
    Seed(SharedName),
    /// A daemon answered a greeting or greeted this one.
    Greeted(IncarnationId, MemberRecord),
    /// A neighbour answered its probe.
    ProbeAnswered(IncarnationId),
    /// A neighbour did not answer; `refused` if its address takes no connections.
    ProbeFailed(IncarnationId, bool),
    /// Helpers could not reach it either.
    HelpersFailed(IncarnationId, bool),
    /// Another incarnation answers at its address: it is gone for certain.
    Replaced(IncarnationId),
    /// Items from a peer (`None`: from this process).
    Items(Option<IncarnationId>, Vec<SpreadItem>),
    /// This daemon takes no new work from now on.
    Leave,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum ClusterAction {
    /// Say hello to an address; report `Greeted`.
    Greet(SharedName),
    /// Probe; report `ProbeAnswered`, `ProbeFailed` or `Replaced`.
    Probe(PeerTarget),
    /// Ask the helpers to probe the target; report `HelpersFailed` or `ProbeAnswered`.
    ProbeVia(Vec<PeerTarget>, PeerTarget),
    /// Send items.
    Push(PeerTarget, Vec<SpreadItem>),
    /// Exchange summaries and what is missing; report `Items`.
    Sync(PeerTarget),
    /// Items that are new here, for the other services.
    Changed(Vec<SpreadItem>),
    /// The member list has changed.
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
    /// Items received that were not newer.
    pub stale_items: u64,
    /// Items received that were newer.
    pub fresh_items: u64,
}
