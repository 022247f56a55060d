//! Source of reported counters. Counters are compared only with earlier ones of the same source.

use crate::ids::IncarnationId;

/// Source of reported counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReportSource {
    /// A daemon of this daemon's group, for itself.
    Daemon(IncarnationId),
    /// The representative of another group, for the whole group.
    Group {
        /// Number of the group.
        number: usize,
        /// The representative. It is part of the source because the sums of another one start at
        /// other values.
        representative: IncarnationId,
    },
}

impl ReportSource {
    /// Whether the source is a daemon of this daemon's group.
    pub fn is_in_own_group(self) -> bool {
        matches!(self, Self::Daemon(_))
    }
}
