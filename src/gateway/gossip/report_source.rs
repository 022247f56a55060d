//! Source of reported counters. Counters are only compared with earlier ones of the same source.

use crate::ids::IncarnationId;

/// Source of reported counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReportSource {
    /// A daemon of the own group, for itself.
    Daemon(IncarnationId),
    /// The representative of another group, for all of that group.
    Group {
        /// Number of the group.
        number: usize,
        /// The representative: the sums of another one start at other values.
        representative: IncarnationId,
    },
}

impl ReportSource {
    /// Whether it belongs to the own group.
    pub fn is_in_own_group(self) -> bool {
        matches!(self, Self::Daemon(_))
    }
}
