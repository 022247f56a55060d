//! The configuration that a daemon holds, where it came from, and how recently it was known to be
//! the newest one.

use std::{net::SocketAddr, rc::Rc};

use derive_more::Display;
use tokio::time::Instant;

use super::configuration::Configuration;

/// Newest configuration held, with the proof that it is the newest one.
#[derive(Debug, Default)]
pub struct ConfigurationState {
    /// The configuration, once one is known.
    pub current: Option<Rc<Configuration>>,
    /// Its revision in the store.
    pub revision: u64,
    /// Freshness proof: when the store was asked that answered with this revision.
    pub proof: Option<Instant>,
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

impl ConfigurationState {
    /// Notes that the store, asked at `proof`, held the configuration of this revision.
    pub fn prove(&mut self, revision: u64, proof: Option<Instant>) {
        if revision > 0 && revision == self.revision && self.proof < proof {
            self.proof = proof;
        }
    }

    /// Age of the freshness proof in milliseconds; -1 if there is none.
    pub fn proof_age_ms(&self, now: Instant) -> i64 {
        self.proof.map_or(-1, |at| now.saturating_duration_since(at).as_millis() as i64)
    }
}
