//! The usual silence of a route: when it raises the limit, and what doesn't.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, advance};
use willowarch::ids::SharedName;

use crate::usual_silence::{SilenceStage, SilenceTable};

const FIXED: Duration = Duration::from_millis(400);
/// Time between two silences that end.
const STEP: Duration = Duration::from_millis(10);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A daemon's table, and the route that most tests use.
struct RuleSite {
    table: SilenceTable,
    route: SharedName,
}

impl RuleSite {
    fn new() -> Self {
        Self { table: SilenceTable::default(), route: "chat".into() }
    }

    fn record_at(&mut self, stage: SilenceStage, silence: Duration) {
        self.table.record(&self.route, stage, silence, Instant::now());
    }

    /// Records silences between events, one after the other.
    async fn record(&mut self, silences: impl IntoIterator<Item = u64>) {
        for silence in silences {
            advance(STEP).await;
            self.record_at(SilenceStage::NextEvent, millis(silence));
        }
    }

    fn limit_of(&mut self, stage: SilenceStage) -> Duration {
        self.table.limit(&self.route, stage, FIXED, Instant::now())
    }

    fn limit(&mut self) -> Duration {
        self.limit_of(SilenceStage::NextEvent)
    }
}

/// Names the limit that silences lead to, in order.
macro_rules! limits {
    ($($name:ident: $silences:expr => $limit:expr;)*) => {
        $(#[googletest::gtest]
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let mut site = RuleSite::new();
            site.record($silences).await;
            expect_that!(site.limit(), $limit);
        })*
    };
}

limits! {
    no_silence_leaves_the_fixed_limit: [] => eq(FIXED);
    seven_long_silences_leave_the_fixed_limit: [3_000; 7] => eq(FIXED);
    eight_long_silences_raise_the_limit: [3_000; 8] => all!(gt(millis(4_500)), le(millis(6_750)));
    short_silences_leave_the_fixed_limit: [50; 100] => eq(FIXED);
    a_fifth_of_long_silences_leaves_the_fixed_limit:
        (0..100).map(|count| if count % 5 == 0 { 3_000 } else { 50 }) => eq(FIXED);
    a_half_of_long_silences_raises_the_limit:
        (0..100).map(|count| if count % 2 == 0 { 3_000 } else { 50 }) => ge(millis(4_500));
    sixteen_long_silences_after_many_short_ones_leave_the_fixed_limit:
        [50; 1_000].into_iter().chain([3_000; 16]) => eq(FIXED);
    seventeen_long_silences_after_many_short_ones_raise_the_limit:
        [50; 1_000].into_iter().chain([3_000; 17]) => ge(millis(4_500));
    short_silences_after_long_ones_bring_the_fixed_limit_back:
        [3_000; 1_000].into_iter().chain([50; 48]) => eq(FIXED);
    silences_beyond_the_longest_class_count_as_its_longest:
        [1_000_000; 20] => all!(gt(Duration::from_secs(60)), le(Duration::from_secs(101)));
    silences_without_length_leave_the_fixed_limit: [0; 20] => eq(FIXED);
}

#[googletest::gtest]
#[tokio::test(start_paused = true)]
async fn limit_is_above_the_usual_silence_and_at_most_two_and_a_quarter_times_as_long() {
    for silence in (300..60_000).step_by(97) {
        let mut site = RuleSite::new();
        site.record([silence; 64]).await;
        let limit = site.limit();
        expect_that!(limit, ge(millis(silence).mul_f64(1.5)), "{silence} ms");
        expect_that!(limit, le(millis(silence).mul_f64(2.25).max(FIXED)), "{silence} ms");
    }
}

#[googletest::gtest]
#[tokio::test(start_paused = true)]
async fn limit_rises_with_the_length_of_all_silences() {
    let mut last = Duration::ZERO;
    for silence in (10..20_000).step_by(53) {
        let mut site = RuleSite::new();
        site.record([silence; 64]).await;
        expect_that!(site.limit(), ge(last), "{silence} ms");
        last = site.limit();
    }
}

#[googletest::gtest]
#[tokio::test(start_paused = true)]
async fn long_silences_are_forgotten_after_ten_seconds() {
    let mut site = RuleSite::new();
    site.record([3_000; 64]).await;
    advance(Duration::from_secs(9)).await;
    expect_that!(site.limit(), ge(millis(4_500)));
    advance(Duration::from_secs(1) + STEP).await;
    expect_that!(site.limit(), eq(FIXED));
}

#[googletest::gtest]
#[tokio::test(start_paused = true)]
async fn stages_and_routes_are_separate() {
    let mut site = RuleSite::new();
    let stages = [SilenceStage::Head, SilenceStage::FirstEvent, SilenceStage::NextEvent];
    for (recorded, silence) in stages.into_iter().zip([2_000, 4_000, 8_000]) {
        (0..20).for_each(|_| site.record_at(recorded, millis(silence)));
    }
    let limits = stages.map(|stage| site.limit_of(stage));
    expect_that!(limits[0], all!(ge(millis(3_000)), le(millis(4_500))));
    expect_that!(limits[1], all!(ge(millis(6_000)), le(millis(9_000))));
    expect_that!(limits[2], all!(ge(millis(12_000)), le(millis(18_000))));
    site.route = "search".into();
    expect_that!(stages.map(|stage| site.limit_of(stage)), eq([FIXED; 3]));
}

#[googletest::gtest]
#[tokio::test(start_paused = true)]
async fn routes_out_of_use_are_forgotten() {
    let mut site = RuleSite::new();
    for count in 0..1_000 {
        advance(millis(100)).await;
        site.route = format!("route-{count}").into();
        site.record_at(SilenceStage::Head, millis(50));
        expect_that!(site.table.routes(), le(101));
    }
}
