//! Quotas of client accounts on the native path, held over all daemons together.
//!
//! Decides whether a request of an account is admitted here and now, with which priority, or
//! after which time there is room. In the gateway's rule, `gateway::policy::request::quota`, every
//! daemon is told what the others admit; here daemons exchange averages only, so that messages
//! do not grow with their number.
//!
//! Inputs: the account's quota and weight (its table row), this daemon's own demand (smoothed
//! over seconds), and the mean demand a daemon over all daemons, which they keep by pairwise
//! exchanges (`native::cluster::averaging`) and which is one to two epochs of 2 s old. Each
//! daemon admits that part of the quota which its demand is of the demand of all.
//!
//! Without an average (just started, or a new account) a daemon admits an even part. A lost
//! exchange makes the average less exact for one epoch.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

use crate::ids::SharedName;

/// Time constant of the demand estimate, in seconds: one epoch of the averages.
const DEMAND_WINDOW_S: f64 = 2.0;
/// Least rate of a daemon, as a fraction of an even part, so that a daemon that was quiet until now
/// can begin.
const LEAST_FRACTION: f64 = 0.05;
/// Burst that a quiet account may spend at once, in seconds of its local rate: half of an epoch.
const BURST_S: f64 = 1.0;
/// Demand below which an account counts as quiet, in tokens a second: reached only when the last
/// request's demand has decayed.
const QUIET: f64 = 0.01;
/// Demand a unit of weight, as a multiple of the mean, above which an account is over its share: a
/// margin for the spread of a short demand window.
const OVER_SHARE: f64 = 1.2;
/// Shortest time after which a refused client is told to retry: keeps a refused client from
/// retrying at once.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// Longest time after which a refused client is told to retry: the quota or the load may have
/// changed by then.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct AccountBucket {
    /// Tokens a second asked for here, smoothed.
    demand: f64,
    weight: f64,
    /// The demand that went into the current average, and into the one in progress.
    published: [f64; 2],
    /// Tokens that may be spent now; negative after a request larger than the burst.
    level: f64,
    /// Rate of this daemon, in tokens a second.
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

/// Decision on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitVerdict {
    /// Within the quota.
    Admitted(RequestPriority),
    /// Over it; there is room after this time.
    Refused(Duration),
}

impl AccountLimiter {
    /// Sets the average demand a daemon, in tokens a second, and the number of daemons.
    pub fn set_averages(&mut self, averages: HashMap<SharedName, f64>, daemons: usize) {
        self.averages = averages;
        self.daemons = daemons as f64;
    }

    /// Decides on a request of `tokens`; `limit` is the account's quota over all daemons, in
    /// tokens a second.
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
        // A request larger than the burst is admitted when the bucket is full, and leaves it
        // negative; otherwise it could never run.
        let needed = tokens.min(bucket.rate * BURST_S);
        if bucket.level >= needed {
            bucket.level -= tokens;
            return LimitVerdict::Admitted(self.priority(account, now));
        }
        let missing = needed - bucket.level;
        let wait = if bucket.rate > 0.0 { missing / bucket.rate } else { f64::INFINITY };
        let longest = RETRY_AFTER_MAX.as_secs_f64();
        let wait = Duration::from_secs_f64(wait.min(longest));
        LimitVerdict::Refused(wait.max(RETRY_AFTER_MIN))
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
    /// epoch, when the average of the epoch before becomes the current one.
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

/// Rate of one daemon, in tokens a second: the quota divided in proportion to demand. Where
/// the demand of all is below the quota, the unused part is given out evenly.
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
        (limit * own / total).max(even * LEAST_FRACTION)
    } else {
        own.max(bucket.demand) + (limit - total) / daemons
    }
}
