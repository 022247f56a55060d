//! Times of a planned stop: as late as the grace time allows, and never later.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::Instant;
use willowarch::gateway::policy::daemon::stop_times::StopTimes;

macro_rules! times_of_a_stop {
    ($($name:ident: $grace_ms:expr => $bounded_ms:expr, $refuse_ms:expr, $close_ms:expr, $cut_ms:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let begun = Instant::now();
            let times = StopTimes::new(begun, Duration::from_millis($grace_ms));
            expect_that!(times.bounded_from - begun, eq(Duration::from_millis($bounded_ms)));
            expect_that!(times.refuse_at - begun, eq(Duration::from_millis($refuse_ms)));
            expect_that!(times.close_at - begun, eq(Duration::from_millis($close_ms)));
            expect_that!(times.cut_at - begun, eq(Duration::from_millis($cut_ms)));
        }
    )*};
}

times_of_a_stop! {
    usual_grace_time: 8_000 => 2_800, 2_800, 3_500, 7_500;
    grace_time_that_ends_while_connections_are_accepted: 3_600 => 1_260, 2_800, 3_150, 3_150;
    grace_time_that_ends_before_requests_are_refused: 2_000 => 700, 1_750, 1_750, 1_750;
    no_grace_time: 0 => 0, 0, 0, 0;
}

#[googletest::test]
fn requests_that_could_be_cut_are_not_passed_on_late() {
    let begun = Instant::now();
    let times = StopTimes::new(begun, Duration::from_secs(8));
    let (early, late) = (times.bounded_from - Duration::from_millis(1), times.bounded_from);
    let after_cut = times.cut_at + Duration::from_millis(1);
    expect_true!(times.may_pass_on(after_cut, early));
    expect_true!(times.may_pass_on(times.cut_at, late));
    expect_false!(times.may_pass_on(after_cut, late));
}
