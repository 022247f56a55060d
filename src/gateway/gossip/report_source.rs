//! Whom a tally was heard from.

use crate::ids::IncarnationId;

/// Whom a tally was heard from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReportSource {
    /// A daemon of the own group, of itself.
    Daemon(IncarnationId),
    /// The representative in another group, of all its group.
    Group {
        /// Number of the group.
        number: usize,
        /// The representative: another one's sums have another start.
        representative: IncarnationId,
    },
}

impl ReportSource {
    /// Whether it belongs to the own group.
    pub fn is_in_own_group(self) -> bool {
        matches!(self, Self::Daemon(_))
    }
}
