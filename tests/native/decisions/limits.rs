//! Rate limits of client accounts across several daemons, and request priorities.

use std::rc::Rc;

use googletest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::native::{
    cluster::averaging::{AccountOrder, DemandAveraging, EPOCH_MS},
    decide::limits::{AccountLimiter, LimitVerdict, RequestPriority},
};

use super::millis;

/// Simulation of several limiters that exchange averages as the daemons do.
struct LimitSimulation {
    limiters: Vec<AccountLimiter>,
    averagings: Vec<DemandAveraging>,
    order: Rc<AccountOrder>,
    base: Instant,
    now_ms: u64,
    rng: SmallRng,
}

impl LimitSimulation {
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

    /// Runs for `length_ms` and returns the tokens per second that all daemons together
    /// admitted; `offered` gives the tokens per second requested from each daemon.
    fn run(&mut self, length_ms: u64, limit: f64, offered: impl Fn(usize) -> f64) -> f64 {
        const REQUEST: f64 = 10.0;
        let mut outstanding = vec![0.0; self.limiters.len()];
        let mut admitted = 0.0;
        let until = self.now_ms + length_ms;
        while self.now_ms < until {
            self.now_ms += 10;
            if self.now_ms.is_multiple_of(250) {
                self.exchange();
            }
            let now = self.now();
            for (index, limiter) in self.limiters.iter_mut().enumerate() {
                outstanding[index] += offered(index) / 100.0;
                while outstanding[index] >= REQUEST {
                    outstanding[index] -= REQUEST;
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

/// Guards against a limit that is exceeded or not reached because daemons get unequal load.
#[googletest::test]
fn limit_holds_when_load_is_uneven_across_daemons() {
    let mut simulation = LimitSimulation::new(8);
    // One of the daemons gets half of the load.
    let offered = |index: usize| if index == 0 { 4_000.0 } else { 4_000.0 / 7.0 };
    simulation.run(8_000, 1_000.0, offered);
    let rate = simulation.run(10_000, 1_000.0, offered);
    expect_that!(rate, all!(gt(950.0), lt(1_050.0)));
}

/// Guards against daemons that keep to the old limit after an edit under load: 4 s after
/// the edit the new one holds.
#[googletest::test]
fn limit_edited_under_load_holds_after_4_seconds() {
    let mut simulation = LimitSimulation::new(8);
    let offered = |index: usize| if index < 2 { 3_000.0 } else { 100.0 };
    simulation.run(10_000, 1_000.0, offered);
    simulation.run(4_000, 2_000.0, offered);
    let rate = simulation.run(10_000, 2_000.0, offered);
    expect_that!(rate, all!(gt(1_900.0), lt(2_100.0)));
}

/// Guards against fixed equal shares, under which a daemon with all the load could use only
/// an eighth of the limit.
#[googletest::test]
fn unused_share_of_a_daemon_goes_to_the_others() {
    let mut simulation = LimitSimulation::new(8);
    let offered = |index: usize| if index == 0 { 900.0 } else { 0.0 };
    simulation.run(8_000, 1_000.0, offered);
    // One daemon gets nearly the whole limit, since the others have no demand.
    expect_that!(simulation.run(10_000, 1_000.0, offered), gt(870.0));
}

/// Guards against a `retry-after` that is too short, so that the client is refused again.
#[googletest::test]
fn request_is_admitted_after_the_returned_wait() {
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

/// Guards against a burst of one account that gets the same priority as accounts within
/// their share.
#[googletest::test]
fn account_over_its_share_gets_low_priority() {
    let mut limiter = AccountLimiter::default();
    let now = Instant::now();
    let mut admit = |account: &str, weight: f64, tokens: f64| {
        limiter.admit(&account.into(), weight, tokens, 1e9, now)
    };
    let alone = admit("press", 1.0, 500.0);
    expect_that!(alone, eq(LimitVerdict::Admitted(RequestPriority::Normal)));
    let quiet = admit("reader", 1.0, 100.0);
    expect_that!(quiet, eq(LimitVerdict::Admitted(RequestPriority::Normal)));
    let burst = admit("press", 1.0, 500.0);
    expect_that!(burst, eq(LimitVerdict::Admitted(RequestPriority::Low)));
    // The same demand is within the share of an account of more weight.
    let heavy = admit("press", 20.0, 500.0);
    expect_that!(heavy, eq(LimitVerdict::Admitted(RequestPriority::Normal)));
}
