//! Averages over all daemons by pairwise exchange.
//!
//! Time is cut into epochs. At the start of each, every daemon sets out from its own
//! demand per account; then pairs of daemons repeatedly replace both their values by
//! the mean. The spread of the values shrinks by a constant factor a round, whatever
//! the number of daemons (Jelasity, Montresor, Babaoglu, "Gossip-based aggregation in
//! large dynamic networks", 2005). At the end of the epoch each has the average, and
//! an exchange that was lost is forgotten with the epoch.

use std::collections::{BTreeSet, HashMap};

use crate::ids::SharedName;

/// Length of an epoch in milliseconds of wall-clock time.
pub const EPOCH_MS: u64 = 1_600;
/// Time between the exchanges that one daemon begins, in milliseconds.
pub const EXCHANGE_MS: u64 = 160;

/// Values by account.
pub type AccountValues = HashMap<SharedName, f64>;

/// One daemon's part in the averaging.
#[derive(Debug, Default)]
pub struct DemandAveraging {
    epoch: u64,
    values: AccountValues,
    exchanges: u32,
    result: AccountValues,
}

impl DemandAveraging {
    /// Enters the epoch of this time; from `demand`, which is asked for only if the
    /// epoch is new. Returns whether it was.
    pub fn enter(&mut self, wall_clock_ms: u64, demand: impl FnOnce() -> AccountValues) -> bool {
        let epoch = wall_clock_ms / EPOCH_MS;
        if epoch <= self.epoch {
            return false;
        }
        // NOTE: with fewer exchanges than this the values have not met; the result of
        // the epoch before is the better guess.
        const ENOUGH: u32 = 3;
        let finished = std::mem::replace(&mut self.values, demand());
        if self.exchanges >= ENOUGH {
            self.result = finished;
        } else {
            self.result = self.values.clone();
        }
        self.epoch = epoch;
        self.exchanges = 0;
        true
    }

    /// Values to send to a peer.
    pub fn offer(&self) -> (u64, AccountValues) {
        (self.epoch, self.values.clone())
    }

    /// Takes part in an exchange that a peer began: returns the values from before,
    /// which the peer averages with its own; `None` if it is of another epoch.
    pub fn answer(&mut self, epoch: u64, theirs: &AccountValues) -> Option<AccountValues> {
        if epoch != self.epoch {
            return None;
        }
        let before = self.values.clone();
        self.meet(theirs);
        Some(before)
    }

    /// Finishes an exchange that this daemon began with the values `sent`. What has
    /// changed here meanwhile by other exchanges is kept: only the difference to what
    /// was sent is moved.
    pub fn finish(&mut self, epoch: u64, sent: &AccountValues, theirs: &AccountValues) {
        if epoch != self.epoch {
            return;
        }
        for account in names(sent, theirs) {
            let own = sent.get(&account).copied().unwrap_or(0.0);
            let their = theirs.get(&account).copied().unwrap_or(0.0);
            *self.values.entry(account).or_default() += (their - own) / 2.0;
        }
        self.exchanges += 1;
    }

    fn meet(&mut self, theirs: &AccountValues) {
        for account in names(&self.values, theirs) {
            let own = self.values.get(&account).copied().unwrap_or(0.0);
            let their = theirs.get(&account).copied().unwrap_or(0.0);
            self.values.insert(account, f64::midpoint(own, their));
        }
        self.exchanges += 1;
    }

    /// Average of the last finished epoch.
    pub fn result(&self) -> &AccountValues {
        &self.result
    }
}

fn names(left: &AccountValues, right: &AccountValues) -> BTreeSet<SharedName> {
    left.keys().chain(right.keys()).cloned().collect()
}
