//! An order of a roll-out and how far it has got.

use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use crate::{ids::SharedName, store_position::StorePosition};

/// Identifies an order: a hash of its content and of the object that holds it. An order that is
/// written again unchanged is the same order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// An order to move a service's traffic onto one version of its endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOrder {
    /// Identifies the order.
    pub id: OrderId,
    /// The service.
    pub service: SharedName,
    /// The version that is to serve all of its traffic.
    pub target: SharedName,
    /// Time from the order until the roll-out has to be finished.
    pub duration: Duration,
}

/// State of a roll-out as the operators see it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RolloutState {
    /// In progress.
    #[display("active")]
    Active,
    /// The whole traffic is at the target version.
    #[display("completed")]
    Completed,
    /// The target version gets no traffic.
    #[display("reverted")]
    Reverted,
}

/// The state that the store's object holds, and the version that it names.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedState {
    /// State.
    pub state: RolloutState,
    /// Target version.
    pub target: SharedName,
}

/// Phase of a roll-out, in the order in which they follow each other.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum RolloutPhase {
    /// The leader has not begun it yet; the target version gets no requests.
    #[default]
    #[display("ordered")]
    Ordered,
    /// A small share of the requests shows how the target version serves.
    #[display("canary")]
    Canary,
    /// The share grows.
    #[display("shift")]
    Shift,
    /// All requests go to the target version; those at other versions finish.
    #[display("drain")]
    Drain,
    /// Finished: all versions that are left may be used.
    #[display("completed")]
    Completed,
    /// Finished: the target version is not used.
    #[display("reverted")]
    Reverted,
    /// The order was removed; the target version is not used.
    #[display("withdrawn")]
    Withdrawn,
}

impl RolloutPhase {
    /// All phases. The index of a phase is its number in messages.
    pub const ALL: [Self; 7] = [
        Self::Ordered,
        Self::Canary,
        Self::Shift,
        Self::Drain,
        Self::Completed,
        Self::Reverted,
        Self::Withdrawn,
    ];

    /// Whether nothing follows this phase.
    pub fn is_final(self) -> bool {
        self >= Self::Completed
    }

    /// The state to record; none if the order no longer exists.
    pub fn recorded_state(self) -> Option<RolloutState> {
        match self {
            Self::Ordered | Self::Canary | Self::Shift | Self::Drain => Some(RolloutState::Active),
            Self::Completed => Some(RolloutState::Completed),
            Self::Reverted => Some(RolloutState::Reverted),
            Self::Withdrawn => None,
        }
    }
}

/// How the traffic of a service is divided during a roll-out. Only the leader changes it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrafficPlan {
    /// Phase.
    pub phase: RolloutPhase,
    /// Fraction of the requests that goes to the target version.
    pub share: f64,
    /// Number of changes so far; of two plans of an order the one with more changes is newer.
    pub step: u32,
}

impl TrafficPlan {
    /// Whether this plan replaces `other`, a plan of the same order.
    pub fn replaces(&self, other: &Self) -> bool {
        let rank = |plan: &Self| (plan.phase.is_final(), plan.step, plan.phase);
        rank(self) > rank(other)
    }
}

/// What a daemon knows of one roll-out and passes on to its peers.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownRollout {
    /// The order.
    pub order: RolloutOrder,
    /// Newest position of the store at which the order was read; of two orders for a service the one
    /// with the higher position counts.
    pub position: StorePosition,
    /// When the order was written, or when it was first read if that is not known.
    pub begun_at: Instant,
    /// The newest known plan.
    pub plan: TrafficPlan,
    /// Whether some daemon has found the target version to be bad.
    pub is_stopped: bool,
}

impl KnownRollout {
    /// An order that was just read.
    pub fn new(order: RolloutOrder, position: StorePosition, begun_at: Instant) -> Self {
        Self { order, position, begun_at, plan: TrafficPlan::default(), is_stopped: false }
    }

    /// Whether the target version is being compared with the others.
    pub fn is_active(&self) -> bool {
        !self.plan.phase.is_final()
    }
}
