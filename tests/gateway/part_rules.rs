//! Quarantine of parts of prompts that crash endpoints: what is evidence, which of several parts is blamed, and
//! when one is cleared and tried again.

use std::time::Duration;

use googletest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::gateway::{
    call::PartId,
    policy::request::{
        crash_ledger::{CrashLedger, RunVerdict, part_ledger::PartLedger},
        crash_record::{CrashRecord, CrashedRun},
        fingerprint::RequestFingerprint,
    },
};

const BAD: PartId = PartId(1);
const POPULAR: PartId = PartId(2);
const OTHER_BAD: PartId = PartId(3);
/// Time in which any daemon hears of complete responses at others, and evaluates.
const SETTLED: Duration = Duration::from_secs(1);

/// A run that begins and crashes its endpoint at these times, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Crash(u64, u64, u64);

/// A ledger on a clock of its own.
struct TestLedger {
    begin: Instant,
    ledger: PartLedger,
}

impl TestLedger {
    fn new() -> Self {
        Self { begin: Instant::now() + Duration::from_secs(3_600), ledger: PartLedger::default() }
    }

    fn at(&self, at_ms: u64) -> Instant {
        self.begin + Duration::from_millis(at_ms)
    }

    /// Records that requests with these parts were running at the endpoint of the crash.
    fn crash(&mut self, parts: &[PartId], Crash(endpoint, begun_ms, crashed_ms): Crash) {
        let run = CrashedRun { endpoint, begun: self.at(begun_ms), crashed: self.at(crashed_ms) };
        let now = self.at(crashed_ms);
        parts.iter().for_each(|part| self.ledger.record_crash(*part, run, now));
    }

    fn serve(&mut self, part: PartId, at_ms: u64) {
        let now = self.at(at_ms);
        self.ledger.record_served(part, now);
    }

    /// The parts that are quarantined at this time.
    fn blamed(&mut self, at_ms: u64) -> Vec<PartId> {
        self.blamed_beside(&[], at_ms)
    }

    fn blamed_beside(&mut self, requests: &[&CrashRecord], at_ms: u64) -> Vec<PartId> {
        let now = self.at(at_ms);
        self.ledger.evaluate(requests, now);
        self.ledger.table().quarantined().map(|(part, _)| *part).collect()
    }

    fn verdict(&self, part: PartId, at_ms: u64) -> RunVerdict {
        self.ledger.verdict([part].into_iter(), |_, _| true, self.at(at_ms))
    }
}

/// Five crashes in a row, 300 ms apart.
const IN_A_ROW: [Crash; 5] = [
    Crash(1, 0, 100),
    Crash(2, 300, 400),
    Crash(3, 600, 700),
    Crash(4, 900, 1_000),
    Crash(5, 1_200, 1_300),
];
/// Five endpoints that run the same for a while and end together.
const TOGETHER: [Crash; 5] = [
    Crash(1, 0, 900),
    Crash(2, 100, 910),
    Crash(3, 200, 920),
    Crash(4, 300, 930),
    Crash(5, 400, 940),
];

macro_rules! bad_part_beside_a_popular_one {
    ($($name:ident: $crashes:expr, $served:expr, $blamed:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let mut test = TestLedger::new();
            for crash in $crashes {
                test.crash(&[BAD, POPULAR], crash);
            }
            for (part, at_ms) in $served {
                test.serve(part, at_ms);
            }
            let blamed: Vec<PartId> = $blamed;
            expect_that!(test.blamed(1_300 + SETTLED.as_millis() as u64), eq(&blamed));
        }
    )*};
}

bad_part_beside_a_popular_one! {
    part_in_five_crashes_is_blamed: IN_A_ROW, [(POPULAR, 1_400)], vec![BAD];
    part_in_four_crashes_is_not_blamed: IN_A_ROW.into_iter().take(4), [(POPULAR, 1_100)], vec![];
    served_part_is_not_blamed: IN_A_ROW, [(BAD, 1_400), (POPULAR, 1_400)], vec![];
    crashes_before_a_complete_response_do_not_count: IN_A_ROW, [(POPULAR, 1_400), (BAD, 800)], vec![];
    parts_of_requests_that_end_together_are_not_blamed: TOGETHER, [], vec![];
    part_that_was_served_long_ago_or_never_is_blamed_first: IN_A_ROW, [(POPULAR, 50)], vec![BAD];
}

#[googletest::test]
fn part_that_is_served_at_another_daemon_before_long_is_not_blamed() {
    let mut test = TestLedger::new();
    IN_A_ROW.into_iter().for_each(|crash| test.crash(&[POPULAR], crash));
    // The newest crashes have not been known for long enough.
    expect_that!(test.blamed(1_900), is_empty());
    let cleared = CrashRecord { cleared_at: Some(test.at(1_290)), ..CrashRecord::default() };
    let now = test.at(1_950);
    test.ledger.receive(POPULAR, &cleared, now);
    expect_that!(test.blamed(3_000), is_empty());
}

#[googletest::test]
fn part_that_was_served_shortly_before_needs_crashes_over_seconds() {
    let mut test = TestLedger::new();
    test.serve(POPULAR, 0);
    for number in 1..=8 {
        let at_ms = number * 1_000;
        test.crash(&[POPULAR], Crash(number, at_ms - 100, at_ms));
        let is_blamed = !test.blamed(at_ms + SETTLED.as_millis() as u64 - 200).is_empty();
        expect_that!(is_blamed, eq(number >= 6), "after {number} crashes");
    }
}

#[googletest::test]
fn part_that_was_in_few_of_many_crashes_is_not_blamed() {
    let mut test = TestLedger::new();
    for number in 0..24 {
        let parts = if number % 6 == 0 { vec![BAD] } else { vec![PartId(100 + number)] };
        test.crash(&parts, Crash(number, number * 200, number * 200 + 100));
    }
    expect_that!(test.blamed(6_000), is_empty());
}

#[googletest::test]
fn two_bad_parts_by_turns_are_both_blamed() {
    let mut test = TestLedger::new();
    for number in 0..10 {
        let part = if number % 2 == 0 { BAD } else { OTHER_BAD };
        test.crash(&[part, POPULAR], Crash(number, number * 200, number * 200 + 100));
    }
    test.serve(POPULAR, 2_100);
    expect_that!(test.blamed(3_200), eq(&vec![BAD, OTHER_BAD]));
}

#[googletest::test]
fn part_that_came_with_a_bad_one_is_cleared_once_that_crashes_alone() {
    let mut test = TestLedger::new();
    // Only the companion's requests are seen at first.
    IN_A_ROW.into_iter().for_each(|crash| test.crash(&[OTHER_BAD], crash));
    expect_that!(test.blamed(3_000), eq(&vec![OTHER_BAD]));
    IN_A_ROW.into_iter().for_each(|crash| test.crash(&[BAD], crash));
    for number in 10..16 {
        test.crash(&[BAD], Crash(number, number * 300, number * 300 + 100));
    }
    expect_that!(test.blamed(6_000), eq(&vec![BAD]));
}

#[googletest::test]
fn crashes_that_a_quarantined_request_explains_are_no_evidence() {
    let mut test = TestLedger::new();
    let mut requests = CrashLedger::default();
    let fingerprint = RequestFingerprint { head: 1, content: 1 };
    for Crash(endpoint, begun, crashed) in IN_A_ROW {
        test.crash(&[BAD], Crash(endpoint, begun, crashed));
        let run = CrashedRun { endpoint, begun: test.at(begun), crashed: test.at(crashed) };
        requests.record_crash(fingerprint, run, test.at(crashed));
    }
    let record = requests.table().get(fingerprint).expect("a record").clone();
    expect_that!(record.is_quarantined, eq(true));
    expect_that!(test.blamed_beside(&[&record], 2_500), is_empty());
    // A part with more crashes than the request explains it.
    test.crash(&[BAD], Crash(6, 1_500, 1_600));
    expect_that!(test.blamed_beside(&[&record], 3_000), eq(&vec![BAD]));
    let part = test.ledger.table().get(BAD).expect("a record");
    requests.clear_explained_by_part(part, test.at(3_000));
    expect_that!(requests.quarantined().count(), eq(0));
}

#[googletest::test]
fn quarantined_part_is_tried_once_and_cleared_by_a_complete_response() {
    let mut test = TestLedger::new();
    IN_A_ROW.into_iter().for_each(|crash| test.crash(&[BAD], crash));
    test.blamed(3_000);
    expect_that!(test.verdict(BAD, 3_000), matches_pattern!(RunVerdict::Refused(_)));
    expect_that!(test.verdict(POPULAR, 3_000), eq(RunVerdict::Allowed));
    let due = 1_300 + 30_000;
    expect_that!(test.verdict(BAD, due), eq(RunVerdict::Trial));
    let now = test.at(due);
    test.ledger.begin_trial([BAD].into_iter(), now);
    expect_that!(test.verdict(BAD, due + 1_000), matches_pattern!(RunVerdict::Refused(_)));
    test.serve(BAD, due + 2_000);
    expect_that!(test.verdict(BAD, due + 2_100), eq(RunVerdict::Allowed));
}

#[googletest::test]
fn part_that_came_with_a_cleared_one_is_not_blamed_in_its_place() {
    let mut test = TestLedger::new();
    IN_A_ROW.into_iter().for_each(|crash| test.crash(&[BAD, POPULAR], crash));
    let blamed = test.blamed(3_000);
    expect_that!(blamed.len(), eq(1));
    let mut other_daemon = TestLedger { begin: test.begin, ledger: PartLedger::default() };
    let mut rng = SmallRng::seed_from_u64(1);
    let now = test.at(3_100);
    for (part, record) in test.ledger.report(now, &mut rng) {
        other_daemon.ledger.receive(part, &record, now);
    }
    // An operator ends it.
    test.ledger.clear(blamed[0], now);
    expect_that!(test.blamed(3_200), is_empty());
    for (part, record) in test.ledger.report(now, &mut rng) {
        other_daemon.ledger.receive(part, &record, now);
    }
    expect_that!(other_daemon.blamed(3_300), is_empty());
}

#[googletest::test]
fn request_with_a_quarantined_part_is_refused_even_if_another_part_is_to_be_tried() {
    let mut test = TestLedger::new();
    IN_A_ROW.into_iter().for_each(|crash| test.crash(&[BAD], crash));
    test.blamed(3_000);
    let now = test.at(40_000);
    test.ledger.restore(OTHER_BAD, 0, now, now);
    let verdict = test.ledger.verdict([BAD, OTHER_BAD].into_iter(), |_, _| true, now);
    expect_that!(verdict, matches_pattern!(RunVerdict::Refused(_)));
}

#[googletest::test]
fn quarantined_parts_reach_a_daemon_that_has_just_started_and_reports_are_bounded() {
    let mut test = TestLedger::new();
    IN_A_ROW.into_iter().for_each(|crash| test.crash(&[BAD], crash));
    test.blamed(3_000);
    for number in 0..500 {
        test.crash(&[PartId(1_000 + number)], Crash(number, 3_250, 3_300));
    }
    let mut started = PartLedger::default();
    let now = test.at(100_000);
    let report = test.ledger.report(now, &mut SmallRng::seed_from_u64(1));
    expect_that!(report.len(), le(32));
    for (part, record) in &report {
        started.receive(*part, record, now);
    }
    let quarantined: Vec<PartId> = started.table().quarantined().map(|(part, _)| *part).collect();
    expect_that!(quarantined, eq(&vec![BAD]));
}
