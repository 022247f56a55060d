//! How far the platform's store has come: its era, and its revision in that era.
//!
//! Each change raises the store's revision. A store that has come back from a copy gives revisions out
//! again, and begins a new era with it. Revisions of different eras say nothing of each other.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How often the store has come back from a copy; 0 where it doesn't say.
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
