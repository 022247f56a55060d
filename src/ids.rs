//! Names and numbers that identify things across processes.
//!
//! Names are shared immutable strings (`Arc<str>`), so that copying one into an
//! event, a table snapshot or a message costs a reference count.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Name as data: shared and immutable.
pub type SharedName = Arc<str>;

/// One start of one daemon process; a restarted daemon has a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct IncarnationId(pub u64);

impl IncarnationId {
    /// Number of random low bits that tell apart two starts in one millisecond: a million values,
    /// and milliseconds fit above them until the year 2500.
    const RANDOM_BITS: u32 = 20;

    /// New number from the wall clock (milliseconds) and random low bits.
    pub fn generate() -> Self {
        let noise: u64 = rand::random();
        Self(crate::wall_clock_ms() << Self::RANDOM_BITS | noise >> (u64::BITS - Self::RANDOM_BITS))
    }
}

impl fmt::Display for IncarnationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A request as its client names it; keys are scoped to the client account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestName {
    /// Client account that sent the request.
    pub account: SharedName,
    /// `Idempotency-Key` of the client, or one made by the daemon.
    pub key: SharedName,
}

impl RequestName {
    /// Name of `key` within `account`.
    pub fn new(account: impl Into<SharedName>, key: impl Into<SharedName>) -> Self {
        Self { account: account.into(), key: key.into() }
    }
}

impl fmt::Display for RequestName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.account, self.key)
    }
}

/// One dispatch of one request by one daemon incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Daemon that dispatched.
    pub incarnation: IncarnationId,
    /// Running number within that incarnation.
    pub sequence: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.incarnation, self.sequence)
    }
}

/// Stable 64-bit hash of several parts, for placement and digests.
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
