//! Quotas of client accounts over several daemons, and priorities.

use std::rc::Rc;

use googletest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::native::{
    cluster::averaging::{AccountOrder, DemandAveraging, EPOCH_MS},
    decide::limits::{AccountLimiter, LimitVerdict, RequestPriority},
};

use super::millis;

/// Several limiters that exchange averages as the daemons do; returns the tokens a
/// second admitted in the last part of the run.
struct LimitPlay {
    limiters: Vec<AccountLimiter>,
    averagings: Vec<DemandAveraging>,
    order: Rc<AccountOrder>,
    base: Instant,
    now_ms: u64,
    rng: SmallRng,
}

impl LimitPlay {
    fn new(daemons: usize) -> Self {
        Self {
            limiters: (0..daemons).map(|_| AccountLimiter::default()).collect(),
            averagings: (0..daemons).map(|_| DemandAveraging::default()).collect(),
            order: Rc::new(AccountOrder::new(["reader".into(), "press".into()])),
            base: Instant::now(),
            now_ms: EPOCH_MS,
            rng: SmallRng::seed_from_u64(1),
        }
    }

    fn now(&self) -> Instant {
        self.base + millis(self.now_ms)
    }

    fn exchange(&mut self) {
        use rand::RngExt;
        let (now, daemons) = (self.now(), self.limiters.len());
        for index in 0..daemons {
            let limiter = &mut self.limiters[index];
            let averaging = &mut self.averagings[index];
            if averaging.enter(self.now_ms, &self.order, || limiter.publish_demand(now)) {
                limiter.set_averages(averaging.result().clone(), daemons);
            }
        }
        for from in 0..daemons {
            let to = self.rng.random_range(0..daemons);
            if to != from {
                let sent = self.averagings[from].offer();
                if let Some(theirs) = self.averagings[to].answer(&sent) {
                    self.averagings[from].finish(&sent, &theirs);
                }
            }
        }
    }

    /// Runs for a time; `offered` tells the tokens a second each daemon is asked for.
    fn run(&mut self, length_ms: u64, limit: f64, offered: impl Fn(usize) -> f64) -> f64 {
        const REQUEST: f64 = 10.0;
        let mut owed = vec![0.0; self.limiters.len()];
        let mut admitted = 0.0;
        let until = self.now_ms + length_ms;
        while self.now_ms < until {
            self.now_ms += 10;
            if self.now_ms.is_multiple_of(250) {
                self.exchange();
            }
            let now = self.now();
            for (index, limiter) in self.limiters.iter_mut().enumerate() {
                owed[index] += offered(index) / 100.0;
                while owed[index] >= REQUEST {
                    owed[index] -= REQUEST;
                    let verdict = limiter.admit(&"reader".into(), 1.0, REQUEST, limit, now);
                    if matches!(verdict, LimitVerdict::Admitted(_)) {
                        admitted += REQUEST;
                    }
                }
            }
        }
        admitted / (length_ms as f64 / 1e3)
    }
}

#[googletest::test]
fn limit_holds_over_uneven_daemons() {
    let mut play = LimitPlay::new(8);
    // Half of the load comes to one daemon.
    let offered = |index: usize| if index == 0 { 4_000.0 } else { 4_000.0 / 7.0 };
    play.run(8_000, 1_000.0, offered);
    let rate = play.run(10_000, 1_000.0, offered);
    expect_that!(rate, all!(gt(950.0), lt(1_050.0)));
}

#[googletest::test]
fn limit_edited_in_a_burst_holds_soon() {
    let mut play = LimitPlay::new(8);
    let offered = |index: usize| if index < 2 { 3_000.0 } else { 100.0 };
    play.run(10_000, 1_000.0, offered);
    play.run(4_000, 2_000.0, offered);
    let rate = play.run(10_000, 2_000.0, offered);
    expect_that!(rate, all!(gt(1_900.0), lt(2_100.0)));
}

#[googletest::test]
fn unused_share_is_lent() {
    let mut play = LimitPlay::new(8);
    let offered = |index: usize| if index == 0 { 900.0 } else { 0.0 };
    play.run(8_000, 1_000.0, offered);
    // One daemon gets nearly the whole limit, since the others want nothing.
    expect_that!(play.run(10_000, 1_000.0, offered), gt(870.0));
}

#[googletest::test]
fn refused_caller_is_told_a_time_after_which_there_is_room() {
    let mut limiter = AccountLimiter::default();
    let now = Instant::now();
    let account = "reader".into();
    let wait = loop {
        match limiter.admit(&account, 1.0, 10.0, 100.0, now) {
            LimitVerdict::Admitted(_) => {}
            LimitVerdict::Refused(wait) => break wait,
        }
    };
    let verdict = limiter.admit(&account, 1.0, 10.0, 100.0, now + wait);
    expect_that!(verdict, pat!(LimitVerdict::Admitted(anything())));
}

#[googletest::test]
fn account_over_its_share_waits_for_the_others() {
    let mut limiter = AccountLimiter::default();
    let now = Instant::now();
    let mut ask = |account: &str, weight: f64, tokens: f64| {
        limiter.admit(&account.into(), weight, tokens, 1e9, now)
    };
    let alone = ask("press", 1.0, 500.0);
    expect_that!(alone, eq(LimitVerdict::Admitted(RequestPriority::Normal)));
    let quiet = ask("reader", 1.0, 100.0);
    expect_that!(quiet, eq(LimitVerdict::Admitted(RequestPriority::Normal)));
    let burst = ask("press", 1.0, 500.0);
    expect_that!(burst, eq(LimitVerdict::Admitted(RequestPriority::Low)));
    // The same demand is within the share of an account of more weight.
    let heavy = ask("press", 20.0, 500.0);
    expect_that!(heavy, eq(LimitVerdict::Admitted(RequestPriority::Normal)));
}
