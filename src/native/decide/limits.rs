//! Quotas of client accounts on the native path, enforced across all daemons.
//!
//! Decides whether this daemon admits a request of an account now, and with which priority, or
//! when the client should retry. With the gateway's `gateway::policy::request::quota`, every
//! daemon learns what each of the others admits; here daemons exchange only averages, so that
//! messages do not grow with the number of daemons.
//!
//! Inputs: the account's quota and weight (its table row), the demand at this daemon (smoothed
//! over seconds), and the mean demand per daemon, which the daemons compute by pairwise exchanges
//! (`native::cluster::averaging`) and which is one to two epochs of 2 s old. Each daemon admits
//! a fraction of the quota: its own demand divided by the demand at all daemons.
//!
//! Without an average (after a start, or for a new account) a daemon admits the quota divided by
//! the number of daemons. A lost exchange makes the average less exact for one epoch.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

use crate::ids::SharedName;

/// Time constant of the demand estimate, in seconds: one epoch of the averages.
const DEMAND_WINDOW_S: f64 = 2.0;
/// Lowest rate of a daemon, as a fraction of an equal share, so that a daemon without demand until
/// now can admit its first requests.
const MIN_RATE_FRACTION: f64 = 0.05;
/// Burst that an idle account may spend at once, in seconds at its local rate: half an epoch.
const BURST_S: f64 = 1.0;
/// Demand below which an account counts as idle, in tokens a second. It is reached only after the
/// demand of the last request has decayed.
const IDLE_DEMAND: f64 = 0.01;
/// An account is over its share if its demand per unit of weight exceeds the mean by this factor.
/// The margin allows for the variance of a short demand window.
const OVER_SHARE_FACTOR: f64 = 1.2;
/// Shortest time after which a refused client is told to retry, so that it does not retry at once.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);
/// Longest time after which a refused client is told to retry: the quota or the load may have
/// changed by then.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct AccountBucket {
    /// Tokens a second requested at this daemon, smoothed.
    demand: f64,
    weight: f64,
    /// The demand that was reported for the current average and for the one in progress.
    published: [f64; 2],
    /// Tokens that may be spent now; negative after a request larger than the burst.
    level: f64,
    /// Rate of this daemon, in tokens a second.
    rate: f64,
    refilled_at: Instant,
}

/// Rate limiter for all accounts at one daemon.
#[derive(Debug, Default)]
pub struct AccountLimiter {
    accounts: HashMap<SharedName, AccountBucket>,
    /// Average demand per daemon, and number of daemons, as last exchanged.
    averages: HashMap<SharedName, f64>,
    daemons: f64,
}

/// Priority of requests that wait for an endpoint or an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestPriority {
    /// The account is within its share.
    #[default]
    Normal,
    /// The account demands more than its share; its requests wait for those of other accounts.
    Low,
}

impl RequestPriority {
    /// The number sent to engines; requests with a lower number go first.
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
    /// Over the quota; the client may retry after this time.
    Refused(Duration),
}

impl AccountLimiter {
    /// Sets the average demand per daemon, in tokens a second, and the number of daemons.
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
            refilled_at: now,
        });
        bucket.refill(now);
        bucket.weight = weight;
        bucket.demand += tokens / DEMAND_WINDOW_S;
        bucket.rate = local_rate(bucket, average, daemons, limit);
        // A request larger than the burst is admitted when the bucket is full, and makes its
        // level negative; otherwise it could never run.
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

    /// Priority by the demand at this daemon alone: it is current, whereas the averages over all
    /// daemons are seconds old, and it is a fair sample because clients choose daemons at random.
    fn priority(&self, account: &SharedName, now: Instant) -> RequestPriority {
        let Some(own) = self.accounts.get(account) else { return RequestPriority::Normal };
        let (mut demand, mut weight) = (0.0, 0.0);
        for bucket in self.accounts.values() {
            let current = bucket.demand_at(now);
            if current > IDLE_DEMAND {
                demand += current;
                weight += bucket.weight;
            }
        }
        let over = own.demand / own.weight > demand / weight * OVER_SHARE_FACTOR;
        if over { RequestPriority::Low } else { RequestPriority::Normal }
    }

    /// Demand of each account at this daemon, for the exchange with other daemons. Called once per
    /// epoch, when the average of the epoch before becomes the current one.
    pub fn publish_demand(&mut self, now: Instant) -> HashMap<SharedName, f64> {
        for bucket in self.accounts.values_mut() {
            bucket.refill(now);
        }
        self.accounts.retain(|_, bucket| bucket.demand > IDLE_DEMAND);
        for bucket in self.accounts.values_mut() {
            bucket.published = [bucket.published[1], bucket.demand];
        }
        let demands = self.accounts.iter();
        demands.map(|(account, bucket)| (account.clone(), bucket.demand)).collect()
    }
}

impl AccountBucket {
    fn demand_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.demand * (-elapsed / DEMAND_WINDOW_S).exp()
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.demand = self.demand_at(now);
        self.refilled_at = now;
        self.level = (self.level + elapsed * self.rate).min(self.rate * BURST_S);
    }
}

/// Rate of one daemon, in tokens a second: the quota divided in proportion to demand. If the
/// total demand is below the quota, the unused part is divided equally among the daemons.
///
/// The share is computed from the demand that was reported for the average, not from the current
/// demand: this function runs when a request arrives, a moment of high demand, and shares computed
/// at such moments would add up to more than the quota.
fn local_rate(bucket: &AccountBucket, average: Option<f64>, daemons: f64, limit: f64) -> f64 {
    let even = limit / daemons;
    let Some(average) = average else { return even };
    let own = bucket.published[0];
    let total = (average * daemons).max(own);
    if total > limit {
        (limit * own / total).max(even * MIN_RATE_FRACTION)
    } else {
        own.max(bucket.demand) + (limit - total) / daemons
    }
}
