//! Budget that limits retries to a share of first attempts.

use proptest::{collection::vec, prelude::*};
use willowarch::native::decide::retries::RetryBucket;

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
