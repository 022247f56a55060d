//! The current configuration of a daemon, its source, and when it was last confirmed as the newest.
//!
//! Configurations are ordered by the operators' version, which only rises. The store's revisions cannot
//! order them: a store that was restored from a copy reuses revisions, and returns an older configuration
//! until the operators have rewritten the newest. That older one is not used and is no reason to doubt
//! the current one. But at first the restored store cannot confirm the current one either: a version
//! that was acknowledged, and lost before any daemon read it, may be missing.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use derive_more::Display;
use tokio::time::Instant;

use super::configuration::Configuration;
use crate::store_position::StorePosition;

/// Time that operators have to rewrite configurations that a store lost when it was restored from a copy.
const REWRITE_TIME: Duration = Duration::from_secs(2);

/// Current configuration with its freshness proof.
#[derive(Debug, Default)]
pub struct ConfigurationState {
    /// The configuration, once one is known.
    pub current: Option<Rc<Configuration>>,
    /// Newest position of the store at which it held this configuration.
    pub position: StorePosition,
    /// Freshness proof: when the newest request to the store was sent that found no newer configuration.
    pub proof: Option<Instant>,
    last_read: LastRead,
    restored: Option<RestoredConfiguration>,
}

/// The configuration that this daemon last read from the store.
#[derive(Clone, Copy, Debug, Default)]
struct LastRead {
    position: StorePosition,
    /// None if it can't be read.
    version: Option<u64>,
}

/// The first configuration read from a store after it was restored from a copy.
#[derive(Clone, Copy, Debug)]
struct RestoredConfiguration {
    position: StorePosition,
    read_at: Instant,
}

/// Where a configuration came from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ConfigurationSource {
    /// The store.
    #[display("store")]
    Store,
    /// The daemon with this peer address.
    #[display("{_0}")]
    Peer(SocketAddr),
}

/// Result of applying a configuration.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is the current configuration now.
    #[display("applied")]
    Applied,
    /// It has the same version as the current one.
    #[display("version held")]
    Held,
    /// It has a lower version than the current one.
    #[display("version not newer")]
    Older,
}

impl ConfigurationState {
    /// Version of the configuration; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.version)
    }

    /// Whether the configuration at `position` is the one last read from the store.
    pub fn is_last_read(&self, position: StorePosition) -> bool {
        position == self.last_read.position
    }

    /// Records the configuration read from the store; `version` is none if it cannot be decoded.
    pub fn record_read(&mut self, position: StorePosition, version: Option<u64>, now: Instant) {
        let before = std::mem::replace(&mut self.last_read, LastRead { position, version });
        let is_new_era = position.era() > before.position.era();
        if is_new_era && !before.position.is_none() {
            self.restored = Some(RestoredConfiguration { position, read_at: now });
        }
    }

    /// Makes a configuration the current one if its version is higher.
    pub fn apply(&mut self, configuration: Configuration, position: StorePosition) -> ApplyOutcome {
        if self.current.is_some() && configuration.version < self.version() {
            return ApplyOutcome::Older;
        }
        self.position = self.position.max(position);
        if self.current.is_some() && configuration.version == self.version() {
            return ApplyOutcome::Held;
        }
        self.current = Some(Rc::new(configuration));
        ApplyOutcome::Applied
    }

    /// Records that a request sent at `asked_at` found nothing newer in the store than what was last read.
    pub fn confirm_last_read(&mut self, asked_at: Instant) {
        let is_newest = self.last_read.version.is_some_and(|read| read <= self.version());
        if is_newest && self.untrusted_time_left(asked_at).is_none() {
            self.proof = self.proof.max(Some(asked_at));
        }
    }

    /// Time left from `now` in which the store's configuration proves nothing, because the store still
    /// returns the one that it was restored with; none if there is no such time left.
    pub fn untrusted_time_left(&self, now: Instant) -> Option<Duration> {
        let restored =
            self.restored.filter(|restored| restored.position == self.last_read.position)?;
        let left = (restored.read_at + REWRITE_TIME).saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Applies a peer's freshness proof if it is for the current version.
    pub fn confirm_version(&mut self, version: u64, proof: Option<Instant>) {
        if version > 0 && version == self.version() {
            self.proof = self.proof.max(proof);
        }
    }

    /// Age of the freshness proof in milliseconds; -1 if there is none.
    pub fn proof_age_ms(&self, now: Instant) -> i64 {
        self.proof.map_or(-1, |at| now.saturating_duration_since(at).as_millis() as i64)
    }
}
