//! How many requests this daemon may send to an endpoint that has reported a limit, in requests per
//! second from all daemons together.
//!
//! No daemon learns in time what the others send, so the limit is divided. Some daemons hold a
//! share of it: the first ones by rendezvous hashing over the daemons that are known to run. The
//! others send no requests there. A holder's token bucket fills at the rate of its share, and each
//! request takes a token. Shares follow the demand that the holders have reported, and are equal if
//! one has not reported. Tokens that a holder doesn't need are lent (`token_lending`).
//!
//! If every daemon had a share, the tokens saved by all of them could be used at once: 87 requests
//! from 87 daemons to an endpoint that takes one per second. The number of holders therefore
//! depends on the limit alone. Daemons with different membership lists disagree on the holders
//! until gossip reaches them, and until then the shares may exceed the limit. A new holder
//! therefore begins with less than one token.
//!
//! Inputs are the limit that the endpoint has sent to any daemon, and the daemons and their demand
//! as of the last gossip round. The native path has no such limits: its endpoints report their
//! load. Quotas of accounts (`policy::request::quota`) are much larger than one request, so there
//! every daemon may spend from the whole until the others' reports arrive.

pub mod token_lending;

use std::time::Duration;

use tokio::time::Instant;

use self::token_lending::LentTokens;

/// Holders in addition to one per request per second of the limit. With fewer holders, fewer
/// requests arrive at once; with more, more daemons can use the endpoint.
const BASE_HOLDERS: f64 = 3.0;
/// Fraction of a limit that is used; the rest allows for requests in transit and for daemons with
/// different membership lists.
const USED_FRACTION: f64 = 0.95;
/// Least rate at which all daemons together send requests, per second, even if the limit is lower
/// or 0: only a response shows that the limit has ended.
const MIN_PROBE_RATE: f64 = 0.1;
/// Limits of this value or above are ignored, in requests per second.
const MAX_LIMIT: f64 = 1e6;
/// Time for which an idle holder saves tokens beyond the first.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Added to the demand of each holder, in requests per second: a holder whose clients have just
/// started gets a token without waiting until its averaged demand has risen.
const BASE_DEMAND: f64 = 1.0;

/// Returns the limit that an endpoint has reported, in requests per second; none if it is too great
/// to be meant as a limit.
pub fn plausible_limit(named: f64) -> Option<f64> {
    (named < MAX_LIMIT).then_some(named)
}

/// Number of holders of a limit among `daemons` daemons.
pub fn holder_count(limit: f64, daemons: usize) -> usize {
    ((BASE_HOLDERS + limit) as usize).clamp(1, daemons.max(1))
}

/// Rate at which all daemons together send requests to an endpoint with this limit, per second.
fn used_rate(limit: f64) -> f64 {
    (limit * USED_FRACTION).max(MIN_PROBE_RATE)
}

/// A holder's share of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HolderShare {
    /// Requests per second.
    pub rate: f64,
    /// Tokens at the start, less than one: a different fraction for each holder, so that they don't
    /// all send at the same times.
    pub first_level: f64,
}

impl HolderShare {
    /// Share of the holder with this rank, counted from 0, among `holders` holders.
    pub fn of_rank(rank: usize, holders: usize, rate: f64) -> Self {
        Self { rate, first_level: rank as f64 / holders.max(rank + 1) as f64 }
    }
}

/// Rate at which one of `holders` daemons may send requests, per second. `others` is the demand of
/// the other holders in requests per second; none for those that have not reported.
pub fn holder_rate(limit: f64, own_demand: f64, others: &[Option<f64>], holders: usize) -> f64 {
    let used = used_rate(limit);
    let weight = |demand: f64| demand + BASE_DEMAND;
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
    /// The limit, in requests per second.
    limit: f64,
    /// This daemon's share, in requests per second; 0 if it has none.
    rate: f64,
    /// Tokens at `filled_at`; they can't be used without a share.
    level: f64,
    /// Whether it has had a share: only the first one begins with tokens.
    has_had_share: bool,
    filled_at: Instant,
    /// Tokens lent by other daemons.
    lent: LentTokens,
}

impl LimitBucket {
    /// Bucket of a limit, without a share yet.
    pub fn new(limit: f64, now: Instant) -> Self {
        let lent = LentTokens::default();
        Self { limit, rate: 0.0, level: 0.0, has_had_share: false, filled_at: now, lent }
    }

    /// The limit, in requests per second.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// This daemon's share, in requests per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Sets another limit. The share is scaled with it until it is decided again.
    pub fn set_limit(&mut self, limit: f64, now: Instant) {
        self.level = self.level_at(now);
        self.filled_at = now;
        self.rate *= used_rate(limit) / used_rate(self.limit);
        self.limit = limit;
    }

    /// Sets the share. Tokens stay when a share is lost, and can be used when it is regained: a holder whose
    /// share comes and goes would otherwise never save a whole one.
    pub fn set_share(&mut self, share: Option<HolderShare>, now: Instant) {
        self.level = match share {
            Some(share) if !self.has_had_share => share.first_level,
            _ => self.level_at(now),
        };
        self.has_had_share |= share.is_some();
        self.filled_at = now;
        self.rate = share.map_or(0.0, |share| share.rate);
    }

    /// Whether a request may be sent.
    pub fn has_token(&self, now: Instant) -> bool {
        self.own_tokens(now) + self.lent.count(now) >= 1.0
    }

    /// Takes a token for a request; false if there is none.
    pub fn try_take(&mut self, now: Instant) -> bool {
        if !self.has_token(now) {
            return false;
        }
        let from_lent = self.lent.take(1.0, now);
        self.level = self.level_at(now) - (1.0 - from_lent);
        self.filled_at = now;
        true
    }

    /// Takes out tokens to lend them. `spare` returns their number from the tokens of this daemon's
    /// share, or none if it needs all of them.
    pub fn lend(&mut self, spare: impl FnOnce(f64) -> Option<f64>, now: Instant) -> Option<f64> {
        let level = self.level_at(now);
        let lent = spare(level)?;
        self.level = level - lent;
        self.filled_at = now;
        Some(lent)
    }

    /// Adds tokens that another daemon has lent.
    pub fn receive_lent(&mut self, tokens: f64, now: Instant) {
        self.lent.add(tokens, now);
    }

    /// Returns the token of a request that was not sent.
    pub fn give_back(&mut self) {
        self.level = (self.level + 1.0).min(self.capacity());
    }

    /// When this daemon may send the next request or, if it has no share, when any daemon is
    /// expected to. None if it has no share and the limit is too low for requests other than
    /// probes.
    pub fn next_token(&self, now: Instant) -> Option<Instant> {
        let wait_s = match self.rate > 0.0 {
            true => (1.0 - self.level_at(now)).max(0.0) / self.rate,
            false if self.limit < MIN_PROBE_RATE => return None,
            false => 1.0 / used_rate(self.limit),
        };
        Some(now + Duration::from_secs_f64(wait_s))
    }

    /// Tokens of the share, if there is one.
    fn own_tokens(&self, now: Instant) -> f64 {
        if self.rate > 0.0 { self.level_at(now) } else { 0.0 }
    }

    fn level_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.filled_at);
        (self.level + self.rate * elapsed.as_secs_f64()).min(self.capacity())
    }

    fn capacity(&self) -> f64 {
        1.0 + self.rate * BURST_TIME.as_secs_f64()
    }
}
