//! Retry budgets: their bound over windows and processes, what a process earns, and how many daemons
//! share the reserve.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use tokio::time::Instant;
use willowarch::gateway::policy::{
    daemon::daemon_count::RecentPeak,
    request::retry_budget::{BudgetTerms, RetryBudget},
};

const TERMS: BudgetTerms =
    BudgetTerms { window: Duration::from_secs(10), share: 0.2, reserve: 5.0 };

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Number of times in a window.
fn count_in(all: &[Duration], from: Duration) -> usize {
    all.iter().filter(|at| **at >= from && **at < from + TERMS.window).count()
}

/// What may be retried in a window. Requests count in it, in the one before, or in that which begins half
/// a window before, whichever holds the most.
fn allowed_in(requests: &[Duration], from: Duration) -> f64 {
    let begins = [from, from.saturating_sub(TERMS.window / 2), from.saturating_sub(TERMS.window)];
    let most = begins.map(|begin| count_in(requests, begin)).into_iter().max().unwrap_or(0);
    TERMS.share * most as f64 + TERMS.reserve
}

/// What happens to a daemon.
#[derive(Clone, Copy, Debug)]
enum DaemonEvent {
    Request,
    Retry,
    /// Its process is killed, and another one starts.
    Restart,
}

fn daemon_event() -> impl Strategy<Value = DaemonEvent> {
    prop_oneof![
        10 => Just(DaemonEvent::Request),
        10 => Just(DaemonEvent::Retry),
        1 => Just(DaemonEvent::Restart),
    ]
}

proptest! {
    #[test]
    fn retries_never_exceed_the_budget_of_any_window_over_all_processes(
        events in proptest::collection::vec((0_u64..400, daemon_event()), 1..300),
    ) {
        let begin = Instant::now();
        let mut budget = RetryBudget::new(0.0, begin);
        // As in a deployment that has run for a while, so that no window begins before its start.
        let mut now = begin + TERMS.window;
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (gap, event) in events {
            now += millis(gap);
            match event {
                DaemonEvent::Request => {
                    budget.record_request(TERMS, now);
                    requests.push(now - begin);
                }
                DaemonEvent::Retry => {
                    if budget.try_withdraw(TERMS, now).is_granted() {
                        retries.push(now - begin);
                    }
                }
                DaemonEvent::Restart => budget = RetryBudget::new(0.0, now),
            }
        }
        for from in &retries {
            let (retried, allowed) = (count_in(&retries, *from), allowed_in(&requests, *from));
            prop_assert!(retried as f64 <= allowed, "{} of {}", retried, allowed);
        }
    }
}

/// Retries of a process that gets this number of requests at once, and lives for this long.
fn retries_of_life(fraction: f64, requests: usize, time: Duration) -> usize {
    let begin = Instant::now();
    let mut budget = RetryBudget::new(fraction, begin);
    for _ in 0..requests {
        budget.record_request(TERMS, begin);
    }
    let withdraw = |_: &usize| budget.try_withdraw(TERMS, begin + time).is_granted();
    (0..requests).take_while(withdraw).count()
}

#[googletest::test]
fn a_process_without_requests_has_no_retry() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(0.99, now);
    expect_that!(budget.has_retry(TERMS, now), eq(false));
}

#[googletest::test]
fn short_lives_retry_as_much_as_they_earn_on_average() {
    const LIVES: usize = 1_000;
    let retries =
        (0..LIVES).map(|one| retries_of_life(one as f64 / LIVES as f64, 8, Duration::ZERO));
    // Eight requests earn half of 0.9 of the share.
    let earned = 8.0 * 0.2 * 0.9 * 0.5 * LIVES as f64;
    expect_that!(retries.sum::<usize>() as f64, near(earned, 1.5));
}

#[googletest::test]
fn no_more_is_saved_than_half_of_the_budget_however_long_a_process_stood_still() {
    let saved = retries_of_life(0.0, 100, TERMS.window);
    expect_that!(saved, eq(((100.0 * 0.2 + 5.0) * 0.9 * 0.5) as usize));
    // The requests of the last window have gone; half of the reserve is left.
    let after_long = retries_of_life(0.0, 100, Duration::from_secs(3_600));
    expect_that!(after_long, eq((5.0 * 0.9 * 0.5) as usize));
}

#[googletest::test]
fn daemons_that_are_no_longer_heard_count_for_minutes() {
    let begin = Instant::now();
    let minutes = |count: u64| begin + Duration::from_secs(60 * count);
    let mut peak = RecentPeak::default();
    peak.observe(7, begin);
    for minute in 1..=5 {
        peak.observe(2, minutes(minute));
        expect_that!(peak.get(), eq(7));
    }
    peak.observe(2, minutes(11));
    expect_that!(peak.get(), eq(2));
}
