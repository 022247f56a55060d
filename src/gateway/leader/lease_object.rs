//! The lease object as a daemon last read it from the store.

use tokio::time::Instant;

use super::lease_record::LeaseRecord;
use crate::{
    platform::store::WriteCondition,
    store_position::{StoreEra, StorePosition},
};

/// A valid lease object and how long it has been unchanged.
#[derive(Clone, Debug)]
pub struct StoredLease {
    /// Condition for a write that must fail if the object has changed.
    pub condition: WriteCondition,
    /// The decoded record.
    pub record: LeaseRecord,
    /// When the request that first returned this version was sent, or when its write began according
    /// to gossip.
    pub unchanged_since: Instant,
}

/// A lease object that cannot be decoded: a writer other than a daemon has overwritten it.
#[derive(Clone, Copy, Debug)]
pub struct CorruptLease {
    /// Position of the store at which it was written.
    pub position: StorePosition,
    /// When the request that first returned it was sent.
    pub unchanged_since: Instant,
}

/// State of the lease object in the store.
#[derive(Clone, Debug)]
pub enum LeaseObject {
    /// The object does not exist in this era of the store.
    Absent(StoreEra),
    /// The object cannot be decoded.
    Corrupt(CorruptLease),
    /// The object holds a valid record.
    Present(Box<StoredLease>),
}

/// An era of the store and when this daemon first saw it.
#[derive(Clone, Copy, Debug)]
pub struct ObservedEra {
    /// The era.
    pub era: StoreEra,
    /// When the request whose response first named this era was sent; none for the first era that
    /// this daemon has seen.
    pub began_at: Option<Instant>,
}
