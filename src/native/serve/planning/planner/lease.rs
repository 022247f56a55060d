//! The planner's lease: which daemon may call the cloud.
//!
//! Decides whether this daemon may acquire or renew the lease, from the lease object as just
//! read and from how long this daemon has seen it unchanged on its own steady clock, so clocks
//! need not agree. The gateway's rule is `gateway::policy::leader::leader_lease`; it has other times and
//! another record, so the two stay apart.
//!
//! If the object cannot be read, the holder stops when its lease runs out and nobody acquires
//! it. A record that does not decode counts as absent.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// How long a lease is good after its last renewal: five planner rounds.
const LEASE: Duration = Duration::from_secs(10);
/// Part of the lease left unused, for clocks that run at a different pace: one planner round.
const LEASE_MARGIN: Duration = Duration::from_secs(2);
/// How long a watcher sees a lease unchanged before it may acquire it: the lease and two planner
/// rounds.
const LEASE_QUIET: Duration = Duration::from_secs(14);

/// Value of the lease object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRecord {
    holder: String,
    epoch: u64,
    renewal: u64,
}

impl LeaseRecord {
    /// Record in an object's value; `None`, with a warning, if it is none.
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

/// What this daemon may do about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseVerdict {
    /// It holds the lease and may renew it.
    Renew {
        /// Epoch, as before.
        epoch: u64,
    },
    /// Nobody holds it, or its holder has been silent for long enough.
    Acquire {
        /// Epoch after the last one.
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
    /// Epoch under which this daemon plans; it rises with every new holder.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Notes the version of the object as just read. Another version is a change, also a lower one:
    /// the object API may be restored from a copy.
    pub fn observe(&mut self, version: u64, now: Instant) {
        if self.seen_at.is_none() || version != self.version {
            self.version = version;
            self.seen_at = Some(now);
        }
    }

    /// Decides what `own` may do, given the record as just read and observed.
    pub fn decide(&self, record: Option<&LeaseRecord>, own: &str, now: Instant) -> LeaseVerdict {
        let Some(record) = record else { return LeaseVerdict::Acquire { epoch: 1 } };
        if record.holder == own {
            return LeaseVerdict::Renew { epoch: record.epoch };
        }
        let quiet = self.seen_at.is_some_and(|seen| now - seen >= LEASE_QUIET);
        if quiet {
            LeaseVerdict::Acquire { epoch: record.epoch + 1 }
        } else {
            LeaseVerdict::HeldByOther
        }
    }

    /// Record to write; from here on this daemon plans under `epoch`, if the write succeeds.
    pub fn next_record(&mut self, own: String, epoch: u64) -> LeaseRecord {
        self.epoch = epoch;
        self.renewal += 1;
        LeaseRecord { holder: own, epoch, renewal: self.renewal }
    }

    /// The write succeeded; it was sent at `asked_at`.
    pub fn hold(&mut self, version: u64, asked_at: Instant) {
        self.version = version;
        self.seen_at = Some(asked_at);
        self.valid_until = Some(asked_at + LEASE);
    }

    /// Another daemon has the lease.
    pub fn lose(&mut self) {
        self.valid_until = None;
    }

    /// Whether the lease is good, with its margin.
    pub fn is_held(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now + LEASE_MARGIN < until)
    }
}
