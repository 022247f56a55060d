//! Retry budget.

use proptest::{collection::vec, prelude::*};
use willowarch::native::decide::retries::RetryBucket;

proptest! {
    /// Retries stay a tenth of first attempts, beyond the reserve.
    #[test]
    fn retry_budget_is_a_share(events in vec(any::<bool>(), 1..400)) {
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
