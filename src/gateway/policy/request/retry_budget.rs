//! Retry budgets: how many requests of a service one daemon may retry.
//!
//! A daemon may retry a share of the service's requests that it received within a sliding window,
//! plus its equal part of a reserve that all daemons share, so that a service with few requests can
//! retry at all. Both are set for the deployment. A daemon counts only its own requests; one that
//! has just started has nothing but its part of the reserve.
//!
//! The native path has its own rule (`native::decide::retries`): its deployments promise no window,
//! so a token bucket without a clock is enough there.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use derive_more::Display;
use tokio::time::Instant;

use crate::ids::SharedName;

/// Fraction of the promised share and reserve that is used. The rest covers retries that endpoints
/// count in a different window than this daemon does.
const USED_FRACTION: f64 = 0.8;

/// Result of a withdrawal from a budget, with the retries that were left before it.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum RetryWithdrawal {
    /// The request may be retried.
    #[display("retry, {_0:.1} in the budget")]
    Granted(f64),
    /// The budget has no retry left.
    #[display("no retry, {_0:.1} in the budget")]
    Denied(f64),
}

impl RetryWithdrawal {
    /// Whether the request may be retried.
    pub fn is_granted(self) -> bool {
        matches!(self, Self::Granted(_))
    }
}

/// Retry budget of one service.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates a budget with a window of this length.
    pub fn new(window: Duration) -> Self {
        Self { window, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Counts a client's request.
    pub fn record_request(&mut self, now: Instant) {
        self.drop_expired(now);
        self.requests.push_back(now);
    }

    /// Withdraws one retry if the budget allows it: `share` times the requests in the window, plus
    /// `reserve`, both for this daemon alone.
    pub fn try_withdraw(&mut self, share: f64, reserve: f64, now: Instant) -> RetryWithdrawal {
        let left = self.left(share, reserve, now);
        if left < 1.0 {
            return RetryWithdrawal::Denied(left);
        }
        self.retries.push_back(now);
        RetryWithdrawal::Granted(left)
    }

    /// Whether the budget allows a retry.
    pub fn has_retry(&mut self, share: f64, reserve: f64, now: Instant) -> bool {
        self.left(share, reserve, now) >= 1.0
    }

    fn left(&mut self, share: f64, reserve: f64, now: Instant) -> f64 {
        self.drop_expired(now);
        let allowed = (self.requests.len() as f64 * share + reserve) * USED_FRACTION;
        allowed - self.retries.len() as f64
    }

    fn drop_expired(&mut self, now: Instant) {
        let is_expired = |at: &Instant| now.saturating_duration_since(*at) > self.window;
        while self.requests.front().is_some_and(is_expired) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(is_expired) {
            self.retries.pop_front();
        }
    }
}

/// Retry budgets of all services.
#[derive(Debug)]
pub struct RetryBudgets {
    window: Duration,
    share: f64,
    total_reserve: f64,
    by_service: HashMap<SharedName, RetryBudget>,
}

impl RetryBudgets {
    /// Creates budgets that allow `share` times the requests in a window, plus `total_reserve`
    /// retries over all daemons.
    pub fn new(window: Duration, share: f64, total_reserve: f64) -> Self {
        Self { window, share, total_reserve, by_service: HashMap::new() }
    }

    /// Counts a client's request for a service.
    pub fn record_request(&mut self, service: &SharedName, now: Instant) {
        self.budget_of(service).record_request(now);
    }

    /// Withdraws one retry of a service if the budget of one of `daemons` daemons allows it.
    pub fn try_withdraw(
        &mut self,
        service: &SharedName,
        daemons: usize,
        now: Instant,
    ) -> RetryWithdrawal {
        let (share, reserve) = (self.share, self.total_reserve / daemons as f64);
        self.budget_of(service).try_withdraw(share, reserve, now)
    }

    /// Whether the budget of one of `daemons` daemons allows a retry of a service.
    pub fn has_retry(&mut self, service: &SharedName, daemons: usize, now: Instant) -> bool {
        let (share, reserve) = (self.share, self.total_reserve / daemons as f64);
        self.budget_of(service).has_retry(share, reserve, now)
    }

    fn budget_of(&mut self, service: &SharedName) -> &mut RetryBudget {
        let window = self.window;
        self.by_service.entry(service.clone()).or_insert_with(|| RetryBudget::new(window))
    }
}
