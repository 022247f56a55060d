//! How far the platform's store has come: its era, and its revision in that era.
//!
//! Each change raises the store's revision. A store that was restored from a copy gives revisions out
//! again, and begins a new era with it. Revisions of different eras say nothing of each other, so
//! that a revision is only ever kept and compared together with its era.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How often the store was restored from a copy; 0 where it doesn't say.
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

/// Bits of a revision in a packed position: a thousand changes a second for 30 years.
const REVISION_BITS: u32 = 40;
/// Those bits.
const REVISION_MASK: u64 = (1 << REVISION_BITS) - 1;

/// A revision of the store and its era. Later eras come after earlier ones, whatever the revisions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StorePosition {
    era: StoreEra,
    revision: u64,
}

impl StorePosition {
    /// Before the first change.
    pub const NONE: Self = Self { era: StoreEra(0), revision: 0 };

    /// The position at `revision` of `era`.
    pub fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Its era.
    pub fn era(self) -> StoreEra {
        self.era
    }

    /// Its revision, for what is sent or shown.
    pub fn revision(self) -> u64 {
        self.revision
    }

    /// The position as one number of the same order, where a message has room for one only: 24 bits of
    /// the era above 40 of the revision.
    pub fn packed(self) -> u64 {
        self.era.0 << REVISION_BITS | self.revision & REVISION_MASK
    }

    /// The position of a number that `packed` has returned.
    pub fn unpack(number: u64) -> Self {
        Self::new(StoreEra(number >> REVISION_BITS), number & REVISION_MASK)
    }

    /// Whether it is before the first change.
    pub fn is_none(self) -> bool {
        self.revision == 0
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.era, self.revision)
    }
}
