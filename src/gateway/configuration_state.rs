//! The configuration that a daemon holds, where it came from, and how recently it was known to be
//! the newest one.
//!
//! Configurations are ordered by the operators' version, which only rises. The store's revisions
//! don't tell: after it was restored from a copy they are given out again, and it shows an older
//! configuration until the operators have written theirs again. That one is neither used nor a
//! reason to doubt the one held. But it proves nothing at first: a version that was acknowledged
//! and lost before any daemon read it may be missing.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use derive_more::Display;
use tokio::time::Instant;

use super::configuration::Configuration;
use crate::store_position::StorePosition;

/// Time in which operators write again what a store has lost that was restored from a copy.
const WRITE_AGAIN_TIME: Duration = Duration::from_secs(2);

/// Newest configuration held, with the proof that it is the newest one.
#[derive(Debug, Default)]
pub struct ConfigurationState {
    /// The configuration, once one is known.
    pub current: Option<Rc<Configuration>>,
    /// Where the store stood when it held it.
    pub position: StorePosition,
    /// Freshness proof: when the store was asked that showed no newer one.
    pub proof: Option<Instant>,
    shown: ShownConfiguration,
    copy: Option<ShownCopy>,
}

/// What the store has last shown to this daemon.
#[derive(Clone, Copy, Debug, Default)]
struct ShownConfiguration {
    position: StorePosition,
    /// None if it can't be read.
    version: Option<u64>,
}

/// What a store that was restored from a copy showed first.
#[derive(Clone, Copy, Debug)]
struct ShownCopy {
    position: StorePosition,
    seen_at: Instant,
}

/// Where a configuration came from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ConfigurationSource {
    /// The store.
    #[display("store")]
    Store,
    /// The daemon that listens for peers there.
    #[display("{_0}")]
    Peer(SocketAddr),
}

/// What became of a configuration.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is the one held now.
    #[display("applied")]
    Applied,
    /// It has the version that is held.
    #[display("version held")]
    Held,
    /// It has a lower version than the one that is held.
    #[display("version not newer")]
    Older,
}

impl ConfigurationState {
    /// Version of the configuration; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.version)
    }

    /// Whether the store has shown this one last.
    pub fn is_last_read(&self, position: StorePosition) -> bool {
        position == self.shown.position
    }

    /// Notes what the store shows now, and its version, if it can be read.
    pub fn record_read(&mut self, position: StorePosition, version: Option<u64>, now: Instant) {
        let before = std::mem::replace(&mut self.shown, ShownConfiguration { position, version });
        let is_new_era = position.era() > before.position.era();
        if is_new_era && !before.position.is_none() {
            self.copy = Some(ShownCopy { position, seen_at: now });
        }
    }

    /// Holds a configuration from now on, if its version is above the one held.
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

    /// Notes that what the store showed last was still all when it was asked at `asked_at`.
    pub fn confirm_last_read(&mut self, asked_at: Instant) {
        let is_newest = self.shown.version.is_some_and(|shown| shown <= self.version());
        if is_newest && self.untrusted_time_left(asked_at).is_none() {
            self.proof = self.proof.max(Some(asked_at));
        }
    }

    /// Time from `now` on in which what the store shows proves nothing, if there is any left: it shows
    /// what it was restored from.
    pub fn untrusted_time_left(&self, now: Instant) -> Option<Duration> {
        let copy = self.copy.filter(|copy| copy.position == self.shown.position)?;
        let left = (copy.seen_at + WRITE_AGAIN_TIME).saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Notes that a peer knows of a proof for a version.
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
