//! Budget of repeats of one service at one daemon: a share of the requests of a sliding
//! window, and an even part of the reserve that all daemons have together.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Part of the promised share and reserve that is used; the rest covers repeats that are
/// counted differently at the endpoints.
const USED_PART: f64 = 0.8;

/// Budget of one service.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RetryBudget {
    /// Budget over windows of this length.
    pub fn new(window: Duration) -> Self {
        Self { window, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// A client's request came.
    pub fn request(&mut self, now: Instant) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Draws one repeat, if there is one: `share` of the window's requests and `reserve`
    /// more, both for this daemon alone.
    pub fn try_withdraw(&mut self, share: f64, reserve: f64, now: Instant) -> bool {
        self.forget(now);
        let allowed = (self.requests.len() as f64 * share + reserve) * USED_PART;
        let drawn = (self.repeats.len() as f64) + 1.0 <= allowed;
        if drawn {
            self.repeats.push_back(now);
        }
        drawn
    }

    fn forget(&mut self, now: Instant) {
        let old = |at: &Instant| now.saturating_duration_since(*at) > self.window;
        while self.requests.front().is_some_and(old) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(old) {
            self.repeats.pop_front();
        }
    }
}
