//! Averages over all daemons by pairwise exchange.
//!
//! Time is divided into epochs. At the start of each epoch, every daemon's value for an account
//! is its own demand; then pairs of daemons repeatedly replace both their values by the mean. The
//! variance of the values shrinks by a constant factor per round, whatever the number of daemons
//! (Jelasity, Montresor, Babaoglu, "Gossip-based aggregation in large dynamic networks", 2005). At
//! the end of the epoch each daemon has the average. A lost exchange affects only its own epoch.

use std::{collections::HashMap, rc::Rc};

use crate::ids::{SharedName, hash_parts};

/// Length of an epoch in milliseconds of wall-clock time. At its end, values are close to the
/// average.
pub const EPOCH_MS: u64 = 2_000;
/// Time between the exchanges that one daemon begins, in milliseconds. Traffic is proportional to
/// the number of exchanges.
pub const EXCHANGE_MS: u64 = 250;
/// With fewer exchanges than this in an epoch, a daemon's values are not yet near the average, and
/// its own demand is used instead. Without losses, a daemon begins eight exchanges per epoch.
const MIN_EXCHANGES: u32 = 3;

/// The accounts in the order in which their values are sent. Sending the names would take ten
/// times the bytes of the values. Two daemons whose tables differ for a moment skip their
/// exchange.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct AccountOrder {
    hash: u64,
    names: Vec<SharedName>,
}

impl AccountOrder {
    /// Returns the order of `names`.
    pub fn new(names: impl IntoIterator<Item = SharedName>) -> Self {
        let mut names: Vec<SharedName> = names.into_iter().collect();
        names.sort();
        let parts: Vec<&[u8]> = names.iter().map(|name| name.as_bytes()).collect();
        Self { hash: hash_parts(&parts), names }
    }
}

/// Values that a daemon sends to begin an exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandOffer {
    /// Epoch of the values.
    pub epoch: u64,
    /// Hash of the order of accounts.
    pub order: u64,
    /// Values in that order.
    pub values: Vec<f32>,
}

/// State of the averaging at one daemon.
#[derive(Debug, Default)]
pub struct DemandAveraging {
    epoch: u64,
    order: Rc<AccountOrder>,
    values: Vec<f32>,
    exchanges: u32,
    result: HashMap<SharedName, f64>,
}

impl DemandAveraging {
    /// Enters the epoch of this time, starting from `demand`, which is called only if the epoch is
    /// new. Returns whether it was new.
    pub fn enter(
        &mut self,
        wall_clock_ms: u64,
        order: &Rc<AccountOrder>,
        demand: impl FnOnce() -> HashMap<SharedName, f64>,
    ) -> bool {
        let epoch = wall_clock_ms / EPOCH_MS;
        if epoch <= self.epoch {
            return false;
        }
        let demand = demand();
        // Without enough exchanges, the values are no better than this daemon's own demand.
        self.result = if self.exchanges >= MIN_EXCHANGES {
            let pairs = self.order.names.iter().zip(&self.values);
            pairs.map(|(name, value)| (name.clone(), f64::from(*value))).collect()
        } else {
            demand.clone()
        };
        let own = |name: &SharedName| demand.get(name).copied().unwrap_or(0.0) as f32;
        self.values = order.names.iter().map(own).collect();
        self.order = order.clone();
        self.epoch = epoch;
        self.exchanges = 0;
        true
    }

    /// Values to send to a peer.
    pub fn offer(&self) -> DemandOffer {
        DemandOffer { epoch: self.epoch, order: self.order.hash, values: self.values.clone() }
    }

    fn matches_epoch_and_order(&self, theirs: &DemandOffer) -> bool {
        theirs.epoch == self.epoch
            && theirs.order == self.order.hash
            && theirs.values.len() == self.values.len()
    }

    /// Answers an exchange that a peer began. Returns this daemon's values from before the
    /// exchange, which the peer averages with its own, or `None` if the offer is for another epoch
    /// or order of accounts.
    pub fn answer(&mut self, theirs: &DemandOffer) -> Option<Vec<f32>> {
        if !self.matches_epoch_and_order(theirs) {
            return None;
        }
        let before = self.values.clone();
        for (own, their) in self.values.iter_mut().zip(&theirs.values) {
            *own = f32::midpoint(*own, *their);
        }
        self.exchanges += 1;
        Some(before)
    }

    /// Finishes an exchange that this daemon began with the values `sent`. Values that other
    /// exchanges have changed in the meantime keep that change: each value moves by half of the
    /// difference between the peer's value and the value sent.
    pub fn finish(&mut self, sent: &DemandOffer, theirs: &[f32]) {
        if !self.matches_epoch_and_order(sent) || theirs.len() != sent.values.len() {
            return;
        }
        for (own, (sent, their)) in self.values.iter_mut().zip(sent.values.iter().zip(theirs)) {
            *own += (their - sent) / 2.0;
        }
        self.exchanges += 1;
    }

    /// Average of the last finished epoch, by account.
    pub fn result(&self) -> &HashMap<SharedName, f64> {
        &self.result
    }
}
