//! Retry budgets: how many requests of a service one daemon may retry.
//!
//! In any window, all daemons together may retry a share of the service's requests plus a reserve.
//! Both are set for the deployment. The bound holds over all processes that run in a window, whichever
//! of them end and start again, although none knows what the others have spent. Each daemon has a
//! token bucket:
//!
//! - A half of the budget is income: each request earns half of the share, and time earns half of
//!   the daemon's part of the reserve in every window.
//! - The other half bounds what may be saved: half of the share of the requests in the last window,
//!   plus half of the part of the reserve.
//! - A process that starts has saved nothing, so what its predecessor has spent doesn't matter: the
//!   retries of both are at most those of one process that had gone on.
//!
//! A process begins with a random fraction of a retry. It rounds what a short-lived process earns to
//! whole retries without a bias, since in a large fleet one retry takes seconds to earn.
//!
//! Inputs are the daemon's own requests and retries, and the number of daemons that share the reserve. If
//! that is too small, the reserve is exceeded; `policy::daemon::daemon_count` says how it is found.
//!
//! The native path has its own rule (`native::decide::retries`): its deployments promise no window,
//! so a token bucket without a clock is enough there.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use derive_more::Display;
use rand::RngExt;
use tokio::time::Instant;

use crate::ids::SharedName;

/// Fraction of the promised share and reserve that is used. The rest covers retries that reach their
/// endpoints late, and processes that round up.
const USED_FRACTION: f64 = 0.9;
/// Fraction of the budget that may be saved; the rest is income. Saved retries serve bursts of
/// failures, income serves failures that last, and those after a start.
const SAVED_FRACTION: f64 = 0.5;

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

/// What the budget of one daemon is calculated from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetTerms {
    /// Window in which requests and retries are counted.
    pub window: Duration,
    /// Retries per request.
    pub share: f64,
    /// This daemon's part of the reserve: further retries in each window.
    pub reserve: f64,
}

impl BudgetTerms {
    /// Retries earned by a request.
    fn income_of_request(self) -> f64 {
        self.share * USED_FRACTION * (1.0 - SAVED_FRACTION)
    }

    /// Retries earned in a time.
    fn income_of_time(self, time: Duration) -> f64 {
        let windows = time.div_duration_f64(self.window);
        self.reserve * windows * USED_FRACTION * (1.0 - SAVED_FRACTION)
    }

    /// Most retries that may be saved after this number of requests in the last window.
    fn max_saved(self, requests: usize) -> f64 {
        (self.share * requests as f64 + self.reserve) * USED_FRACTION * SAVED_FRACTION
    }
}

/// Retry budget of one service.
#[derive(Debug)]
pub struct RetryBudget {
    /// Times of the requests in the last window.
    requests: VecDeque<Instant>,
    saved: f64,
    filled_at: Instant,
}

impl RetryBudget {
    /// Creates the budget of a daemon that started at `started_at`. `fraction`: a random number below 1.
    pub fn new(fraction: f64, started_at: Instant) -> Self {
        Self { requests: VecDeque::new(), saved: fraction, filled_at: started_at }
    }

    /// Counts a client's request.
    pub fn record_request(&mut self, terms: BudgetTerms, now: Instant) {
        self.drop_expired(terms.window, now);
        self.requests.push_back(now);
        self.saved += terms.income_of_request();
    }

    /// Withdraws one retry if the budget allows it.
    pub fn try_withdraw(&mut self, terms: BudgetTerms, now: Instant) -> RetryWithdrawal {
        self.fill(terms, now);
        if self.saved < 1.0 {
            return RetryWithdrawal::Denied(self.saved);
        }
        self.saved -= 1.0;
        RetryWithdrawal::Granted(self.saved + 1.0)
    }

    /// Whether the budget allows a retry.
    pub fn has_retry(&mut self, terms: BudgetTerms, now: Instant) -> bool {
        self.fill(terms, now);
        self.saved >= 1.0
    }

    fn fill(&mut self, terms: BudgetTerms, now: Instant) {
        self.drop_expired(terms.window, now);
        self.saved += terms.income_of_time(now.saturating_duration_since(self.filled_at));
        self.filled_at = now;
        self.saved = self.saved.min(terms.max_saved(self.requests.len()));
    }

    fn drop_expired(&mut self, window: Duration, now: Instant) {
        let is_expired = |at: &Instant| now.saturating_duration_since(*at) > window;
        while self.requests.front().is_some_and(is_expired) {
            self.requests.pop_front();
        }
    }
}

/// Retry budgets of all services.
#[derive(Debug)]
pub struct RetryBudgets {
    /// Terms with the reserve of all daemons.
    total: BudgetTerms,
    started_at: Instant,
    by_service: HashMap<SharedName, RetryBudget>,
}

impl RetryBudgets {
    /// Creates the budgets of a daemon that starts now. The reserve in `total` is shared by all daemons.
    pub fn new(total: BudgetTerms, now: Instant) -> Self {
        Self { total, started_at: now, by_service: HashMap::new() }
    }

    /// Counts a client's request for a service.
    pub fn record_request(&mut self, service: &SharedName, now: Instant) {
        let terms = self.total;
        self.budget_of(service).record_request(terms, now);
    }

    /// Withdraws one retry of a service if the budget of one of `daemons` daemons allows it.
    pub fn try_withdraw(
        &mut self,
        service: &SharedName,
        daemons: usize,
        now: Instant,
    ) -> RetryWithdrawal {
        let terms = self.terms_of_one(daemons);
        self.budget_of(service).try_withdraw(terms, now)
    }

    /// Whether the budget of one of `daemons` daemons allows a retry of a service.
    pub fn has_retry(&mut self, service: &SharedName, daemons: usize, now: Instant) -> bool {
        let terms = self.terms_of_one(daemons);
        self.budget_of(service).has_retry(terms, now)
    }

    fn terms_of_one(&self, daemons: usize) -> BudgetTerms {
        BudgetTerms { reserve: self.total.reserve / daemons.max(1) as f64, ..self.total }
    }

    fn budget_of(&mut self, service: &SharedName) -> &mut RetryBudget {
        let started_at = self.started_at;
        let new_budget = || RetryBudget::new(rand::rng().random(), started_at);
        self.by_service.entry(service.clone()).or_insert_with(new_budget)
    }
}
