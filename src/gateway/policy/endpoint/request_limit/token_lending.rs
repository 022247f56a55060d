//! Which daemons are asked for tokens of endpoints' request limits, and how many a daemon lends.
//!
//! Answers the load pattern in which the clients of a service are at a few daemons of a large fleet
//! while its endpoints are at their limits. Limits are divided among few daemons by hash
//! (`request_limit`), so the daemons with the clients hold hardly any tokens and those that hold
//! them have no clients.
//!
//! A daemon that has found no room because of limits asks the holders, a few in each gossip
//! interval. A holder lends the part of its tokens that its own demand leaves. A lent token is taken
//! out of the lender's bucket before it is sent and expires soon, so lending never raises the sum of
//! all tokens; a response that is lost only loses tokens. A holder that has nothing to lend has
//! clients of its own and is left alone for a while. If holder after holder has nothing to lend, the
//! whole fleet is short of tokens, and the daemon asks them one by one, at growing intervals.
//!
//! Inputs are this daemon's own shortages, the holders among the known daemons, and the demand of
//! the last seconds at the lender. Nothing is assumed about daemons that don't respond.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use tokio::time::Instant;

/// How long after a shortage a daemon asks for tokens.
const SHORTAGE_KEPT: Duration = Duration::from_secs(1);
/// Holders asked in one gossip interval, in addition to the regular calls.
const ASKED_PER_INTERVAL: usize = 4;
/// Shortest time between two requests to the same holder: its tokens have to accrue.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a holder that has nothing to lend is not asked.
const DECLINED_PAUSE: Duration = Duration::from_secs(5);
/// Pause of all requests after a holder had nothing to lend; it doubles with each further one.
const FIRST_DECLINE_PAUSE: Duration = Duration::from_millis(50);
/// Most doublings of that pause, which bounds it to 6.4 s.
const MAX_DECLINE_DOUBLINGS: u32 = 7;
/// Least number of tokens in a bucket from which tokens are lent. Small parts of a token, lent by
/// several holders, would expire before they add up to one.
const MIN_LENDER_LEVEL: f64 = 0.5;
/// Lent tokens expire between one and two of these periods after their arrival. Without an expiry,
/// every daemon that ever was short would save tokens, and all could use them at once.
const LENT_PERIOD: Duration = Duration::from_millis(250);

/// Tokens that a holder lends from a bucket with `level` tokens: 0 if they have yet to accrue, none
/// if its own clients need all of its share. `own_demand` is the rate of its own requests for the
/// service and `own_rate` the sum of its shares there, both per second.
pub fn spare_tokens(level: f64, own_demand: f64, own_rate: f64) -> Option<f64> {
    if own_demand >= own_rate {
        return None;
    }
    let spare_fraction = 1.0 - own_demand / own_rate;
    Some(if level >= MIN_LENDER_LEVEL { level * spare_fraction } else { 0.0 })
}

/// Tokens that other daemons have lent and that have not expired.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LentTokens {
    /// Those of the period that began at `began_at`.
    newest: f64,
    /// Those of the period before.
    former: f64,
    began_at: Option<Instant>,
}

impl LentTokens {
    /// Tokens left at `now`.
    pub fn count(&self, now: Instant) -> f64 {
        let at = self.rotated(now);
        at.newest + at.former
    }

    /// Adds tokens that have just been lent.
    pub fn add(&mut self, tokens: f64, now: Instant) {
        *self = self.rotated(now);
        self.newest += tokens;
    }

    /// Takes up to `tokens`, those that expire first. Returns how many were taken.
    pub fn take(&mut self, tokens: f64, now: Instant) -> f64 {
        *self = self.rotated(now);
        let from_former = tokens.min(self.former);
        let from_newest = (tokens - from_former).min(self.newest);
        self.former -= from_former;
        self.newest -= from_newest;
        from_former + from_newest
    }

    /// The state at `now`, with expired tokens dropped.
    fn rotated(&self, now: Instant) -> Self {
        let elapsed = self.began_at.map(|at| now.saturating_duration_since(at));
        match elapsed {
            Some(elapsed) if elapsed < LENT_PERIOD => *self,
            Some(elapsed) if elapsed < LENT_PERIOD * 2 => {
                let began_at = self.began_at.map(|at| at + LENT_PERIOD);
                Self { newest: 0.0, former: self.newest, began_at }
            }
            _ => Self { newest: 0.0, former: 0.0, began_at: Some(now) },
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct AskedHolder {
    asked_at: Instant,
    has_declined: bool,
}

impl AskedHolder {
    fn may_be_asked(&self, now: Instant) -> bool {
        let pause = if self.has_declined { DECLINED_PAUSE } else { ASK_INTERVAL };
        now.saturating_duration_since(self.asked_at) >= pause
    }
}

/// Decides which daemons to ask for tokens.
#[derive(Debug, Default)]
pub struct TokenBorrower {
    short_at: Option<Instant>,
    asked: BTreeMap<SocketAddr, AskedHolder>,
    /// Responses of holders without tokens since the last one with tokens.
    declines: u32,
    /// When holders may be asked again.
    paused_until: Option<Instant>,
}

impl TokenBorrower {
    /// Records that a request found no room at `now` because of limits.
    pub fn record_shortage(&mut self, now: Instant) {
        self.short_at = Some(now);
    }

    /// Whether tokens are asked for.
    pub fn is_short(&self, now: Instant) -> bool {
        self.short_at.is_some_and(|at| now.saturating_duration_since(at) < SHORTAGE_KEPT)
    }

    /// The holders to ask in this gossip interval, those first that were never asked or whose last
    /// request is the longest ago. Only one is asked after a holder had nothing to lend.
    pub fn next_asked(
        &mut self,
        holders: &BTreeSet<SocketAddr>,
        now: Instant,
    ) -> BTreeSet<SocketAddr> {
        if !self.is_short(now) || self.paused_until.is_some_and(|until| now < until) {
            return BTreeSet::new();
        }
        self.asked.retain(|address, _| holders.contains(address));
        let asked_at = |address: &SocketAddr| self.asked.get(address).map(|one| one.asked_at);
        let may_be_asked = |address: &&SocketAddr| {
            self.asked.get(*address).is_none_or(|one| one.may_be_asked(now))
        };
        let mut due: Vec<SocketAddr> = holders.iter().filter(may_be_asked).copied().collect();
        due.sort_by_key(asked_at);
        due.truncate(if self.declines == 0 { ASKED_PER_INTERVAL } else { 1 });
        for address in &due {
            let asked = AskedHolder { asked_at: now, has_declined: false };
            self.asked.insert(*address, asked);
        }
        due.into_iter().collect()
    }

    /// Records the response of a daemon that was asked: whether it has tokens to lend, now or later.
    pub fn receive_response(&mut self, from: SocketAddr, is_lender: bool, now: Instant) {
        let Some(asked) = self.asked.get_mut(&from) else { return };
        asked.has_declined = !is_lender;
        if is_lender {
            (self.declines, self.paused_until) = (0, None);
            return;
        }
        let doublings = self.declines.min(MAX_DECLINE_DOUBLINGS);
        self.declines += 1;
        self.paused_until = Some(now + FIRST_DECLINE_PAUSE * 2_u32.pow(doublings));
    }
}
