//! Averages over all daemons by pairwise exchange.
//!
//! Time is cut into epochs. At the start of each, every daemon sets out from its own
//! demand per account; then pairs of daemons repeatedly replace both their values by
//! the mean. The spread of the values shrinks by a constant factor a round, whatever
//! the number of daemons (Jelasity, Montresor, Babaoglu, "Gossip-based aggregation in
//! large dynamic networks", 2005). At the end of the epoch each has the average, and
//! an exchange that was lost is forgotten with the epoch.

use std::{collections::HashMap, rc::Rc};

use crate::ids::{SharedName, hash_parts};

/// Length of an epoch in milliseconds of wall-clock time: values are close to the average after
/// one.
pub const EPOCH_MS: u64 = 2_000;
/// Time between the exchanges that one daemon begins, in milliseconds. Each costs bytes in
/// proportion.
pub const EXCHANGE_MS: u64 = 250;
/// With fewer exchanges than this in an epoch, a daemon's values are not yet near the average, and
/// its own demand is used instead: eight are begun in an epoch without losses.
const ENOUGH_EXCHANGES: u32 = 3;

/// The accounts in the order in which their values are sent. Names would cost ten
/// times the bytes of the values; two daemons whose tables differ for a moment skip
/// their exchange.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct AccountOrder {
    hash: u64,
    names: Vec<SharedName>,
}

impl AccountOrder {
    /// Order of `names`.
    pub fn new(names: impl IntoIterator<Item = SharedName>) -> Self {
        let mut names: Vec<SharedName> = names.into_iter().collect();
        names.sort();
        let parts: Vec<&[u8]> = names.iter().map(|name| name.as_bytes()).collect();
        Self { hash: hash_parts(&parts), names }
    }
}

/// Values of one daemon at one moment, to be exchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandOffer {
    /// Epoch.
    pub epoch: u64,
    /// Hash of the order.
    pub order: u64,
    /// Values in that order.
    pub values: Vec<f32>,
}

/// One daemon's part in the averaging.
#[derive(Debug, Default)]
pub struct DemandAveraging {
    epoch: u64,
    order: Rc<AccountOrder>,
    values: Vec<f32>,
    exchanges: u32,
    result: HashMap<SharedName, f64>,
}

impl DemandAveraging {
    /// Enters the epoch of this time; from `demand`, which is asked for only if the
    /// epoch is new. Returns whether it was.
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
        // Without enough exchanges the values say no more than this daemon's own demand.
        self.result = if self.exchanges >= ENOUGH_EXCHANGES {
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

    fn fits(&self, theirs: &DemandOffer) -> bool {
        theirs.epoch == self.epoch
            && theirs.order == self.order.hash
            && theirs.values.len() == self.values.len()
    }

    /// Answers an exchange that a peer began: returns the values from before it,
    /// which the peer averages with its own; `None` if it is of another epoch or order.
    pub fn answer(&mut self, theirs: &DemandOffer) -> Option<Vec<f32>> {
        if !self.fits(theirs) {
            return None;
        }
        let before = self.values.clone();
        for (own, their) in self.values.iter_mut().zip(&theirs.values) {
            *own = f32::midpoint(*own, *their);
        }
        self.exchanges += 1;
        Some(before)
    }

    /// Finishes an exchange that this daemon began with the values `sent`. What has
    /// changed here meanwhile by other exchanges is kept: only the difference to what
    /// was sent is moved.
    pub fn finish(&mut self, sent: &DemandOffer, theirs: &[f32]) {
        if !self.fits(sent) || theirs.len() != sent.values.len() {
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
