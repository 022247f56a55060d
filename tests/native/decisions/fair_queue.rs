//! Order in which the fair queue hands out requests that wait for an endpoint.

use googletest::prelude::*;
use proptest::{collection::vec, prelude::*};
use tokio::time::Instant;
use willowarch::native::decide::{
    fair_queue::{FairQueue, QueueTurn},
    limits::RequestPriority,
};

use super::millis;

fn turn(account: &str, weight: f64, tokens: f64) -> QueueTurn {
    QueueTurn { account: account.into(), weight, priority: RequestPriority::Normal, tokens }
}

/// Guards against a short request that waits behind requests of accounts over their share
/// because its own account sent a long request first.
#[googletest::test]
fn accounts_within_their_share_go_before_those_over_it() {
    let mut queue = FairQueue::new(100);
    let deadline = Instant::now() + millis(60_000);
    for number in 0..10 {
        let low = QueueTurn { priority: RequestPriority::Low, ..turn("press", 1.0, 10.0) };
        queue.push(&low, deadline, ("press", number));
    }
    queue.push(&turn("reader", 1.0, 5_000.0), deadline, ("reader", 0));
    queue.push(&turn("reader", 1.0, 10.0), deadline, ("reader", 1));
    let first_two: Vec<_> = std::iter::from_fn(|| queue.pop()).take(2).collect();
    expect_that!(first_two, eq(&[("reader", 0), ("reader", 1)]));
}

/// Guards against a first-in, first-out queue, in which 100 requests of one account would
/// delay the only request of another.
#[googletest::test]
fn burst_of_one_account_does_not_delay_another() {
    let mut queue = FairQueue::new(1_000);
    let deadline = Instant::now() + millis(60_000);
    for number in 0..100 {
        queue.push(&turn("press", 1.0, 100.0), deadline, ("press", number));
    }
    queue.push(&turn("reader", 1.0, 100.0), deadline, ("reader", 0));
    let order: Vec<&str> = std::iter::from_fn(|| queue.pop()).map(|(name, _)| name).collect();
    let position = order.iter().position(|name| *name == "reader");
    expect_that!(position, some(le(1)));
}

proptest! {
    /// Tokens served per account are proportional to the account's weight while all accounts
    /// have requests waiting.
    #[test]
    fn served_tokens_are_proportional_to_weights(weight in 1_u32..6, sizes in vec(1_u32..50, 60)) {
        let mut queue = FairQueue::new(10_000);
        let deadline = Instant::now() + millis(60_000);
        for size in sizes.iter().cycle().take(600) {
            let tokens = f64::from(*size);
            queue.push(&turn("heavy", f64::from(weight), tokens), deadline, (true, tokens));
            queue.push(&turn("light", 1.0, tokens), deadline, (false, tokens));
        }
        let (mut heavy, mut light) = (0.0, 0.0);
        for _ in 0..400 {
            match queue.pop() {
                Some((true, tokens)) => heavy += tokens,
                Some((false, tokens)) => light += tokens,
                None => break,
            }
        }
        let expected = f64::from(weight);
        let slack = 100.0 / (light + 1.0) * expected + 0.1 * expected;
        prop_assert!(
            (heavy / light - expected).abs() <= slack,
            "tokens served: heavy {heavy}, light {light}"
        );
    }
}
