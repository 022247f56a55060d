//! The lease object as a daemon has seen it in the store.

use tokio::time::Instant;

use super::lease_record::LeaseRecord;
use crate::{
    platform::store::WriteCondition,
    store_position::{StoreEra, StorePosition},
};

/// The lease object as last read, and since when it has not changed.
#[derive(Clone, Debug)]
pub struct SeenLease {
    /// What holds in the store as long as it has not changed.
    pub condition: WriteCondition,
    /// What it holds.
    pub record: LeaseRecord,
    /// When the store was asked that first showed it, or when gossip says that its write began.
    pub since: Instant,
}

/// A lease object that no daemon has written: another writer has spoilt it.
#[derive(Clone, Copy, Debug)]
pub struct SpoiltLease {
    /// Where the store stood when it was written.
    pub position: StorePosition,
    /// When the store was asked that first showed it.
    pub since: Instant,
}

/// The lease object as the store shows it.
#[derive(Clone, Debug)]
pub enum LeaseSight {
    /// There is none in this era of the store.
    Absent(StoreEra),
    /// It can't be read.
    Spoilt(SpoiltLease),
    /// A daemon has written it.
    Seen(Box<SeenLease>),
}

/// An era of the store.
#[derive(Clone, Copy, Debug)]
pub struct SeenEra {
    /// The era.
    pub era: StoreEra,
    /// When the store was asked that first showed it; none if it is the first that this daemon has
    /// seen.
    pub began_at: Option<Instant>,
}
