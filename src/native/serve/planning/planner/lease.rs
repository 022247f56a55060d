//! The planner's lease, which decides which daemon may call the cloud.
//!
//! Whether this daemon may acquire or renew the lease follows from the lease object as just read, and
//! from how long it has been unchanged by this daemon's own monotonic clock; so clocks need not
//! agree. The gateway's rule (`gateway::policy::leader::leader_lease`) has other times and another
//! record, so the two are separate.
//!
//! If the object cannot be read, the holder stops when its lease expires, and no daemon acquires it.
//! A record that does not decode counts as absent.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// How long a lease is valid after its last renewal: five planner rounds.
const LEASE_DURATION: Duration = Duration::from_secs(10);
/// The holder stops this long before its lease expires, since clocks run at different rates: one
/// planner round.
const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// How long a lease must be unchanged before another daemon may acquire it: its duration and two
/// planner rounds.
const ACQUIRE_AFTER: Duration = Duration::from_secs(14);

/// Value of the lease object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRecord {
    holder: String,
    epoch: u64,
    renewal: u64,
}

impl LeaseRecord {
    /// Decodes an object's value; logs a warning and returns `None` if it is not a lease record.
    pub fn decode(value: serde_json::Value) -> Option<Self> {
        match serde_json::from_value(value) {
            Ok(record) => Some(record),
            Err(error) => {
                spdlog::warn!("malformed lease: {}", error, kv: { service = super::NAME });
                None
            }
        }
    }
}

/// What this daemon may do with the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseVerdict {
    /// This daemon holds the lease and may renew it.
    Renew {
        /// Unchanged epoch.
        epoch: u64,
    },
    /// The lease is free, or its holder has not renewed it for long enough.
    Acquire {
        /// Epoch of the last lease, plus one.
        epoch: u64,
    },
    /// Another daemon holds it.
    HeldByOther,
}

/// The lease as this daemon knows it.
#[derive(Debug, Default)]
pub struct LeaseView {
    version: u64,
    /// When this version was first seen.
    seen_at: Option<Instant>,
    epoch: u64,
    renewal: u64,
    valid_until: Option<Instant>,
}

impl LeaseView {
    /// Epoch in which this daemon plans. It rises with every new holder.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Records the version of the object as just read. A lower version also counts as a change, since
    /// the object API may have been restored from a copy.
    pub fn observe(&mut self, version: u64, now: Instant) {
        if self.seen_at.is_none() || version != self.version {
            self.version = version;
            self.seen_at = Some(now);
        }
    }

    /// Decides what the daemon `own` may do, given the record as just read and observed.
    pub fn decide(&self, record: Option<&LeaseRecord>, own: &str, now: Instant) -> LeaseVerdict {
        let Some(record) = record else { return LeaseVerdict::Acquire { epoch: 1 } };
        if record.holder == own {
            return LeaseVerdict::Renew { epoch: record.epoch };
        }
        let unchanged_long_enough = self.seen_at.is_some_and(|seen| now - seen >= ACQUIRE_AFTER);
        if unchanged_long_enough {
            LeaseVerdict::Acquire { epoch: record.epoch + 1 }
        } else {
            LeaseVerdict::HeldByOther
        }
    }

    /// Returns the record to write. If the write succeeds, this daemon plans in `epoch`.
    pub fn next_record(&mut self, own: String, epoch: u64) -> LeaseRecord {
        self.epoch = epoch;
        self.renewal += 1;
        LeaseRecord { holder: own, epoch, renewal: self.renewal }
    }

    /// Marks the lease as held, after a successful write that was sent at `sent_at`.
    pub fn hold(&mut self, version: u64, sent_at: Instant) {
        self.version = version;
        self.seen_at = Some(sent_at);
        self.valid_until = Some(sent_at + LEASE_DURATION);
    }

    /// Marks the lease as held by another daemon.
    pub fn lose(&mut self) {
        self.valid_until = None;
    }

    /// Whether this daemon holds the lease and it does not expire within `LEASE_MARGIN`.
    pub fn is_held(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now + LEASE_MARGIN < until)
    }
}
