//! Position in the history of the platform's metadata store: an era, and a revision within that era.
//!
//! Each change raises the store's revision. When the store is restored from a copy, it begins a new era
//! and reuses revisions. Revisions of different eras cannot be compared, so a revision is always stored
//! and compared together with its era.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of times that the store was restored from a copy; 0 if it doesn't state its era.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Bits of the revision in a packed position; enough for a thousand changes a second for 30 years.
const REVISION_BITS: u32 = 40;
/// Mask of the revision in a packed position.
const REVISION_MASK: u64 = (1 << REVISION_BITS) - 1;

/// A revision of the store and its era. Positions are ordered by era, then by revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    era: StoreEra,
    revision: u64,
}

impl StorePosition {
    /// The position before the first change.
    pub const NONE: Self = Self { era: StoreEra(0), revision: 0 };

    /// The position at `revision` of `era`.
    pub fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Its era.
    pub fn era(self) -> StoreEra {
        self.era
    }

    /// Its revision, for messages and output only.
    pub fn revision(self) -> u64 {
        self.revision
    }

    /// Encodes the position as one number with the same order, for messages with a single field: 24 bits of
    /// the era above 40 bits of the revision.
    pub fn packed(self) -> u64 {
        self.era.0 << REVISION_BITS | self.revision & REVISION_MASK
    }

    /// Decodes a number returned by `packed`.
    pub fn unpack(number: u64) -> Self {
        Self::new(StoreEra(number >> REVISION_BITS), number & REVISION_MASK)
    }

    /// Whether this is the position before the first change.
    pub fn is_none(self) -> bool {
        self.revision == 0
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.era, self.revision)
    }
}
