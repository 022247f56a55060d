//! Budget that limits retries to a share of first attempts.

use googletest::prelude::*;
use proptest::{collection::vec, prelude::*};
use willowarch::native::decide::retries::{ATTEMPT_LIMIT, RetryBucket, may_run_beside};

use crate::cases;

proptest! {
    /// Guards against retry storms: retries are at most a tenth of first attempts plus the
    /// reserve of 10.
    #[test]
    fn retries_stay_within_the_budget(events in vec(any::<bool>(), 1..400)) {
        let mut budget = RetryBucket::default();
        let (mut firsts, mut retries) = (0.0, 0.0);
        for is_first in events {
            if is_first {
                budget.deposit();
                firsts += 1.0;
            } else if budget.try_withdraw() {
                retries += 1.0;
            }
            prop_assert!(retries <= 10.0 + firsts * 0.1 + 1e-6);
        }
    }
}

fn bucket_after(withdrawn: u32) -> RetryBucket {
    let mut bucket = RetryBucket::default();
    for _ in 0..withdrawn {
        bucket.try_withdraw();
    }
    bucket
}

fn run_beside_a_silent_one(attempts: u32, withdrawn: u32, allowed: bool) {
    expect_that!(may_run_beside(attempts, &bucket_after(withdrawn)), eq(allowed));
}

cases!(run_beside_a_silent_one:
    run_beside_the_first_one(1, 0, true),
    run_beside_the_last_attempt_but_one(ATTEMPT_LIMIT - 1, 0, true),
    no_run_beside_the_last_attempt(ATTEMPT_LIMIT, 0, false),
    run_beside_with_the_last_retry(1, 9, true),
    no_run_beside_without_retries(1, 10, false),
);
