//! Limits of client accounts, held over all daemons together.
//!
//! Each daemon admits a share of an account's limit that is its share of the account's
//! demand. The demand over all daemons is this daemon's view of an average that the
//! daemons keep by pairwise exchanges (`crate::spread::averaging`), times their number.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

use crate::ids::SharedName;

/// Time constant of the demand estimate, in seconds.
const DEMAND_WINDOW_S: f64 = 2.0;
/// Least share of a daemon, as a part of an even share.
const LEAST_SHARE: f64 = 0.05;
/// Burst that a quiet account may spend at once, in seconds of its local rate.
const BURST_S: f64 = 1.0;
/// Demand below which an account counts as quiet, in tokens a second.
const QUIET: f64 = 0.01;
/// How far over the mean demand for its weight an account is taken to be over its share.
const OVER_SHARE: f64 = 1.2;
/// Longest and shortest time told to a refused client.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(30));

#[derive(Debug)]
struct AccountBucket {
    /// Tokens a second asked for here, smoothed.
    demand: f64,
    weight: f64,
    /// The demand that went into the average in force, and into the one being made.
    published: [f64; 2],
    level: f64,
    rate: f64,
    filled_at: Instant,
}

/// Limiter of all accounts at one daemon.
#[derive(Debug, Default)]
pub struct AccountLimiter {
    accounts: HashMap<SharedName, AccountBucket>,
    /// Average demand per daemon, and number of daemons, as last exchanged.
    averages: HashMap<SharedName, f64>,
    daemons: f64,
}

/// Order in which engines take requests that wait for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestPriority {
    /// Of an account within its share.
    #[default]
    Normal,
    /// Of an account that asks for more than its share: waits for the others.
    Low,
}

impl RequestPriority {
    /// The number that engines are given; lower goes first.
    pub fn number(self) -> u8 {
        match self {
            Self::Normal => 0,
            Self::Low => 1,
        }
    }
}

/// What the limiter says of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitVerdict {
    /// Within the limit.
    Admitted(RequestPriority),
    /// Over it; there will be room after this time.
    Refused(Duration),
}

impl AccountLimiter {
    /// Takes a new view of the average demand per daemon and of their number.
    pub fn set_averages(&mut self, averages: HashMap<SharedName, f64>, daemons: usize) {
        self.averages = averages;
        self.daemons = daemons as f64;
    }

    /// Asks for `tokens` of an account of this weight, whose limit over all daemons is
    /// `limit` a second.
    pub fn admit(
        &mut self,
        account: &SharedName,
        weight: f64,
        tokens: f64,
        limit: f64,
        now: Instant,
    ) -> LimitVerdict {
        let daemons = self.daemons.max(1.0);
        let average = self.averages.get(account).copied();
        let bucket = self.accounts.entry(account.clone()).or_insert(AccountBucket {
            demand: 0.0,
            weight,
            published: [0.0; 2],
            level: limit / daemons * BURST_S,
            rate: limit / daemons,
            filled_at: now,
        });
        bucket.fill(now);
        bucket.weight = weight;
        bucket.demand += tokens / DEMAND_WINDOW_S;
        bucket.rate = local_rate(bucket, average, daemons, limit);
        // NOTE: a request larger than the burst is let in when the bucket is full, and
        // leaves it in debt; else it could never run.
        let needed = tokens.min(bucket.rate * BURST_S);
        if bucket.level >= needed {
            bucket.level -= tokens;
            return LimitVerdict::Admitted(self.priority(account, now));
        }
        let missing = needed - bucket.level;
        let wait = if bucket.rate > 0.0 { missing / bucket.rate } else { f64::INFINITY };
        let longest = RETRY_AFTER.1.as_secs_f64();
        let wait = Duration::from_secs_f64(wait.min(longest));
        LimitVerdict::Refused(wait.max(RETRY_AFTER.0))
    }

    /// Priority by this daemon's own view of demand: it is fresh, where the averages over
    /// all daemons are seconds old, and clients come to daemons at random.
    fn priority(&self, account: &SharedName, now: Instant) -> RequestPriority {
        let Some(own) = self.accounts.get(account) else { return RequestPriority::Normal };
        let (mut demand, mut weight) = (0.0, 0.0);
        for bucket in self.accounts.values() {
            let current = bucket.demand_at(now);
            if current > QUIET {
                demand += current;
                weight += bucket.weight;
            }
        }
        let over = own.demand / own.weight > demand / weight * OVER_SHARE;
        if over { RequestPriority::Low } else { RequestPriority::Normal }
    }

    /// Demand of each account here, for the exchange with the others; asked for once an
    /// epoch, when the average of the epoch before comes into force.
    pub fn demand(&mut self, now: Instant) -> HashMap<SharedName, f64> {
        for bucket in self.accounts.values_mut() {
            bucket.fill(now);
        }
        self.accounts.retain(|_, bucket| bucket.demand > QUIET);
        for bucket in self.accounts.values_mut() {
            bucket.published = [bucket.published[1], bucket.demand];
        }
        let demands = self.accounts.iter();
        demands.map(|(account, bucket)| (account.clone(), bucket.demand)).collect()
    }
}

impl AccountBucket {
    fn demand_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.demand * (-elapsed / DEMAND_WINDOW_S).exp()
    }

    fn fill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.demand = self.demand_at(now);
        self.filled_at = now;
        self.level = (self.level + elapsed * self.rate).min(self.rate * BURST_S);
    }
}

/// Rate of one daemon: the limit divided by demand. Where the demand of all is below
/// the limit, the unused part is lent out evenly.
///
/// The share is worked out from the demand that went into the average, not from the
/// demand of this moment: a moment at which a request arrives is one of high demand, and
/// shares of such moments add up to more than the whole.
fn local_rate(bucket: &AccountBucket, average: Option<f64>, daemons: f64, limit: f64) -> f64 {
    let even = limit / daemons;
    let Some(average) = average else { return even };
    let own = bucket.published[0];
    let total = (average * daemons).max(own);
    if total > limit {
        // NOTE: the least share lets a daemon that was quiet until now begin.
        (limit * own / total).max(even * LEAST_SHARE)
    } else {
        own.max(bucket.demand) + (limit - total) / daemons
    }
}
