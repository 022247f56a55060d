//! How many requests this daemon may send to an endpoint that has named a limit: requests a second
//! that it takes from all daemons together.
//!
//! No daemon sees what the others send in time, so the limit is divided. Some daemons hold a share
//! of it, the first by rendezvous hashing over those that are known to run; the others send
//! nothing there. A holder fills a token bucket at its share, and each request takes a token.
//! Shares follow the demand that the holders have reported; where one has not, they are even.
//!
//! Without holders the tokens that all daemons have saved could come at once: 87 requests from 87
//! daemons, to an endpoint that wants one a second. Their number therefore grows with the limit
//! only. Daemons that know different others disagree on the holders until gossip reaches them, and
//! their shares add up meanwhile; a new holder begins with less than a token for that reason.
//!
//! Inputs: the limit as the endpoint said it, to this daemon or another; the daemons and their
//! demand as of the last gossip round. The native path has no such limits: its endpoints report
//! their load. Quotas of accounts (`policy::request::quota`) are larger by far than one request, so
//! there every daemon may spend from the whole until the others' reports come.

use std::time::Duration;

use tokio::time::Instant;

/// Holders beside one for each request a second of the limit: the fewer, the fewer requests come at
/// once; the more, the more daemons can use the endpoint.
const BASE_HOLDERS: f64 = 3.0;
/// Fraction of a limit that is used; the rest is for requests under way and views of the daemons that
/// differ.
const USED_FRACTION: f64 = 0.95;
/// Requests a second that all daemons send to an endpoint whose limit is less, or 0: only a response
/// shows that the limit has ended.
const ASKING_RATE: f64 = 0.1;
/// Limits from here on count as none, in requests a second.
const GREATEST_LIMIT: f64 = 1e6;
/// Time for which a holder that sends nothing saves tokens beyond the first.
const SAVED_FOR: Duration = Duration::from_millis(250);
/// Demand that each holder counts as having besides, in requests a second: one whose clients have just
/// come finds a token, and does not wait for its demand to be averaged.
const LEAST_DEMAND: f64 = 1.0;

/// A limit that an endpoint has named, in requests a second; none if it is too great to mean one.
pub fn plausible_limit(named: f64) -> Option<f64> {
    (named < GREATEST_LIMIT).then_some(named)
}

/// How many of so many daemons share a limit.
pub fn holder_count(limit: f64, daemons: usize) -> usize {
    ((BASE_HOLDERS + limit) as usize).clamp(1, daemons.max(1))
}

/// Requests a second that all daemons together send to an endpoint with this limit.
fn used_rate(limit: f64) -> f64 {
    (limit * USED_FRACTION).max(ASKING_RATE)
}

/// A holder's share of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderShare {
    /// Requests a second.
    pub rate: f64,
    /// Tokens, less than one, that it begins with: a different fraction for each holder, so that
    /// they don't all send at the same moments.
    pub first_level: f64,
}

impl HolderShare {
    /// The share of the holder of this rank, from 0 up, of so many.
    pub fn of_rank(rank: usize, holders: usize, rate: f64) -> Self {
        Self { rate, first_level: rank as f64 / holders.max(rank + 1) as f64 }
    }
}

/// Requests a second that one of `holders` daemons may send. `others` has the demand of the others
/// in requests a second, as far as it is known.
pub fn holder_rate(limit: f64, own_demand: f64, others: &[Option<f64>], holders: usize) -> f64 {
    let used = used_rate(limit);
    let weight = |demand: f64| demand + LEAST_DEMAND;
    let known: Option<Vec<f64>> = others.iter().copied().collect();
    match known {
        Some(others) if others.len() + 1 >= holders => {
            let sum: f64 = others.into_iter().map(weight).sum();
            used * weight(own_demand) / (weight(own_demand) + sum)
        }
        _ => used / holders as f64,
    }
}

/// This daemon's share of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitBucket {
    /// The limit, in requests a second.
    limit: f64,
    /// This daemon's share, in requests a second; 0 if it holds none.
    rate: f64,
    /// Tokens at `filled_at`.
    level: f64,
    filled_at: Instant,
}

impl LimitBucket {
    /// Bucket of a limit, without a share yet.
    pub fn new(limit: f64, now: Instant) -> Self {
        Self { limit, rate: 0.0, level: 0.0, filled_at: now }
    }

    /// The limit, in requests a second.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// This daemon's share, in requests a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// The endpoint names another limit: the share changes with it, until it is decided anew.
    pub fn set_limit(&mut self, limit: f64, now: Instant) {
        self.level = self.level_at(now);
        self.filled_at = now;
        self.rate *= used_rate(limit) / used_rate(self.limit);
        self.limit = limit;
    }

    /// Sets the share; none takes away what was saved.
    pub fn set_share(&mut self, share: Option<HolderShare>, now: Instant) {
        self.level = match share {
            Some(share) if self.rate <= 0.0 => share.first_level,
            Some(_) => self.level_at(now),
            None => 0.0,
        };
        self.filled_at = now;
        self.rate = share.map_or(0.0, |share| share.rate);
    }

    /// Whether a request may be sent.
    pub fn has_token(&self, now: Instant) -> bool {
        self.level_at(now) >= 1.0
    }

    /// Takes the token of a request; false if there is none.
    pub fn try_take(&mut self, now: Instant) -> bool {
        if !self.has_token(now) {
            return false;
        }
        self.level = self.level_at(now) - 1.0;
        self.filled_at = now;
        true
    }

    /// Takes back the token of a request that was not sent.
    pub fn give_back(&mut self) {
        self.level = (self.level + 1.0).min(self.capacity());
    }

    /// When the next request may be sent: by this daemon, or on average by any, where it holds no
    /// share. None if hardly any is.
    pub fn next_token(&self, now: Instant) -> Option<Instant> {
        let wait_s = match self.rate > 0.0 {
            true => (1.0 - self.level_at(now)).max(0.0) / self.rate,
            false if self.limit < ASKING_RATE => return None,
            false => 1.0 / used_rate(self.limit),
        };
        Some(now + Duration::from_secs_f64(wait_s))
    }

    fn level_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.filled_at);
        (self.level + self.rate * elapsed.as_secs_f64()).min(self.capacity())
    }

    fn capacity(&self) -> f64 {
        1.0 + self.rate * SAVED_FOR.as_secs_f64()
    }
}
