//! Quarantine of requests that crash endpoints: which requests are the same, which crashed runs are
//! evidence, when a request is quarantined, tried again and cleared, and when a daemon has received
//! enough from its peers to decide.

use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use hyper::{HeaderMap, Method};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::gateway::{
    call::{Call, CallHead},
    policy::{
        daemon::peer_contact::PeerContact,
        request::{
            crash_ledger::{CrashLedger, MAX_RECORDS, MAX_REPORTED, RunVerdict},
            crash_record::{CrashRecord, CrashedRun},
            fingerprint::RequestFingerprint,
        },
    },
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn call() -> Call {
    let head = CallHead {
        id: "a".into(),
        method: Method::POST,
        host: "site.example".into(),
        target: "/page/?x=1".into(),
        path_length: 6,
        deadline: None,
        key: Some("key-1".into()),
        tokens: None,
        parts: Vec::new(),
        expected_response: None,
        last_event: None,
        resumes: None,
        headers: HeaderMap::new(),
    };
    Call { head, body: Bytes::from_static(b"body").into() }
}

/// Fingerprint of `call` with this change, for this account.
fn fingerprint_with(account: Option<&str>, change: impl FnOnce(&mut Call)) -> RequestFingerprint {
    let mut call = call();
    change(&mut call);
    RequestFingerprint::of(account, &call)
}

macro_rules! fingerprints {
    ($($name:ident: $same:expr, $account:expr, $change:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let unchanged = fingerprint_with(Some("reader"), |_| {});
            expect_that!(fingerprint_with($account, $change) == unchanged, eq($same));
        }
    )*};
}

fingerprints! {
    same_with_another_id: true, Some("reader"), |call| call.head.id = "b".into();
    same_with_another_key: true, Some("reader"), |call| call.head.key = Some("key-2".into());
    same_with_another_deadline: true, Some("reader"), |call| call.head.deadline = Some(millis(7));
    same_with_another_last_event: true, Some("reader"), |call| call.head.last_event = Some(3);
    same_with_another_header: true, Some("reader"), |call| {
        call.head.headers.insert("idempotency-key", "k".parse().expect("value"));
    };
    differs_by_account: false, Some("kiosk"), |_| {};
    differs_without_account: false, None, |_| {};
    differs_by_method: false, Some("reader"), |call| call.head.method = Method::PUT;
    differs_by_host: false, Some("reader"), |call| call.head.host = "other.example".into();
    differs_by_query: false, Some("reader"), |call| call.head.target = "/page/?x=2".into();
    differs_by_body: false, Some("reader"), |call| call.body = Bytes::from_static(b"bodz").into();
    differs_if_bytes_move_from_the_body_to_the_query: false, Some("reader"), |call| {
        call.head.target = "/page/?x=1b".into();
        call.body = Bytes::from_static(b"ody").into();
    };
}

#[googletest::test]
fn displayed_fingerprint_parses_back() {
    let unchanged = fingerprint_with(Some("reader"), |_| {});
    expect_that!(unchanged.to_string().parse::<RequestFingerprint>(), ok(eq(unchanged)));
    expect_that!(unchanged.head, eq(RequestFingerprint::head_of(Some("reader"), &call().head)));
    for text in ["", "12", &"g".repeat(48), &"+".repeat(48), &"0".repeat(49)] {
        expect_that!(text.parse::<RequestFingerprint>(), err(anything()));
    }
}

fn request(number: u64) -> RequestFingerprint {
    RequestFingerprint { head: number, content: u128::from(number) }
}

/// Time base of a test; all times are offsets from it.
struct TestClock(Instant);

impl TestClock {
    fn new() -> Self {
        Self(Instant::now() + seconds(100_000))
    }

    fn at(&self, ms: u64) -> Instant {
        self.0 + millis(ms)
    }

    fn run(&self, endpoint: u64, begun_ms: u64, crashed_ms: u64) -> CrashedRun {
        CrashedRun { endpoint, begun: self.at(begun_ms), crashed: self.at(crashed_ms) }
    }
}

/// Defines one test per case: runs as (endpoint, begun, crashed) in ms, and how many count as
/// evidence.
macro_rules! evidence {
    ($($name:ident: $runs:expr, $count:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let (clock, mut record) = (TestClock::new(), CrashRecord::default());
            for (endpoint, begun, crashed) in $runs {
                record.add(clock.run(endpoint, begun, crashed));
            }
            expect_that!(record.evidence(), eq($count));
        }
    )*};
}

evidence! {
    consecutive_runs_count_each: [(1, 0, 50), (2, 60, 90), (3, 100, 200)], 3;
    runs_that_break_together_count_once: [(1, 0, 500), (2, 100, 501), (3, 200, 502)], 1;
    runs_that_overlap_count_once: [(1, 0, 100), (2, 70, 200), (3, 40, 150)], 1;
    order_of_recording_does_not_matter: [(3, 100, 200), (1, 0, 50), (2, 60, 90)], 3;
    one_crash_seen_by_several_daemons_counts_once: [(1, 0, 50), (1, 60, 300), (1, 310, 900)], 1;
    endpoint_that_crashes_again_counts_again: [(1, 0, 50), (1, 3_000, 3_050)], 2;
    retry_that_began_with_the_crash_counts: [(1, 0, 50), (2, 45, 90)], 2;
    long_run_does_not_hide_short_ones: [(1, 0, 900), (2, 10, 50), (3, 60, 100), (4, 110, 200)], 3;
}

#[googletest::test]
fn complete_response_clears_earlier_crashes() {
    let (clock, mut record) = (TestClock::new(), CrashRecord::default());
    record.add(clock.run(1, 0, 50));
    record.add(clock.run(2, 60, 90));
    record.clear(clock.at(70));
    expect_that!(record.evidence(), eq(1));
    expect_that!(record.add(clock.run(3, 0, 60)), eq(false));
    expect_that!(record.evidence(), eq(1));
}

#[googletest::test]
fn own_record_echoed_with_delayed_times_changes_nothing() {
    let (clock, mut record) = (TestClock::new(), CrashRecord::default());
    record.clear(clock.at(0));
    record.add(clock.run(1, 10, 50));
    record.trials = 1;
    record.trial_at = Some(clock.at(30));
    let mut echoed = CrashRecord::default();
    echoed.clear(clock.at(40));
    echoed.add(clock.run(1, 50, 90));
    echoed.trials = 1;
    echoed.trial_at = Some(clock.at(70));
    let mut merged = record.clone();
    merged.merge(&echoed);
    expect_that!(merged, eq(&record));
}

/// Ledger in which request 1 is quarantined after runs at three endpoints, numbered from `first`.
/// The last crash is at 300 ms.
fn quarantined(clock: &TestClock, first: u64) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for index in 0..3 {
        let run = clock.run(first + index, index * 100, index * 100 + 100);
        let now = clock.at(index * 100 + 100);
        expect_that!(ledger.record_crash(request(1), run, now), eq(index == 2));
    }
    ledger
}

/// Decides on a run of a request, and records the trial if it is one.
fn decide_run(
    ledger: &mut CrashLedger,
    request: RequestFingerprint,
    makes_trial: impl FnOnce(u32) -> bool,
    now: Instant,
) -> RunVerdict {
    let verdict = ledger.verdict(request, makes_trial, now);
    if verdict == RunVerdict::Trial {
        ledger.begin_trial(request, now);
    }
    verdict
}

fn decide(ledger: &mut CrashLedger, now: Instant) -> RunVerdict {
    decide_run(ledger, request(1), |_| true, now)
}

#[googletest::test]
fn third_consecutive_crash_quarantines_a_request() {
    let clock = TestClock::new();
    let mut ledger = quarantined(&clock, 1);
    let now = clock.at(1_300);
    expect_that!(decide(&mut ledger, now), eq(RunVerdict::Refused(seconds(29))));
    expect_that!(decide_run(&mut ledger, request(2), |_| true, now), eq(RunVerdict::Allowed));
}

#[googletest::test]
fn wait_before_a_trial_grows_up_to_half_an_hour() {
    let clock = TestClock::new();
    let mut ledger = quarantined(&clock, 1);
    let mut last_crash = 300;
    for wait_s in [30, 120, 480, 1_800, 1_800] {
        let due = last_crash + wait_s * 1_000;
        let early = decide(&mut ledger, clock.at(due - 5_000));
        expect_that!(early, eq(RunVerdict::Refused(seconds(5))));
        expect_that!(decide(&mut ledger, clock.at(due)), eq(RunVerdict::Trial));
        expect_that!(decide(&mut ledger, clock.at(due + 1)), not(eq(RunVerdict::Trial)));
        last_crash = due + 100;
        ledger.record_crash(request(1), clock.run(9, due, last_crash), clock.at(last_crash));
    }
}

#[googletest::test]
fn only_one_daemon_makes_the_trial() {
    let clock = TestClock::new();
    let mut ledger = quarantined(&clock, 1);
    let due = clock.at(60_000);
    let refused = decide_run(&mut ledger, request(1), |_| false, due);
    expect_that!(refused, eq(RunVerdict::Refused(seconds(1))));
    expect_that!(
        decide_run(&mut ledger, request(1), |number| number == 0, due),
        eq(RunVerdict::Trial)
    );
}

#[googletest::test]
fn complete_response_to_a_trial_ends_the_quarantine() {
    let clock = TestClock::new();
    let mut ledger = quarantined(&clock, 1);
    expect_that!(decide(&mut ledger, clock.at(60_000)), eq(RunVerdict::Trial));
    expect_that!(ledger.clear(request(1), clock.at(60_100)), eq(true));
    expect_that!(decide(&mut ledger, clock.at(60_101)), eq(RunVerdict::Allowed));
}

#[googletest::test]
fn quarantine_expires_an_hour_after_the_last_crash() {
    let clock = TestClock::new();
    let mut ledger = quarantined(&clock, 1);
    ledger.forget_old(clock.at(3_590_000));
    expect_that!(ledger.len(), eq(1));
    ledger.forget_old(clock.at(3_610_000));
    expect_that!(ledger.len(), eq(0));
}

#[googletest::test]
fn popular_request_is_not_quarantined_when_whole_fleets_end() {
    let clock = TestClock::new();
    let mut ledger = CrashLedger::default();
    // Three fleets of 20 endpoints end, ten seconds apart; complete responses arrive in between.
    for fleet in 0..3 {
        let ended = fleet * 10_000 + 5_000;
        for index in 0..20 {
            let run = clock.run(fleet * 20 + index, ended - 100 * index, ended + index);
            expect_that!(ledger.record_crash(request(1), run, clock.at(ended + 60)), eq(false));
        }
        ledger.clear(request(1), clock.at(ended + 4_000));
    }
    expect_that!(decide(&mut ledger, clock.at(40_000)), eq(RunVerdict::Allowed));
}

#[googletest::test]
fn request_running_beside_the_crashing_one_is_not_quarantined() {
    let clock = TestClock::new();
    let mut ledger = quarantined(&clock, 1);
    for index in 0..3 {
        let run = clock.run(1 + index, index * 100 + 20, index * 100 + 101);
        expect_that!(ledger.record_crash(request(2), run, clock.at(400)), eq(false));
    }
}

#[googletest::test]
fn request_with_more_crashes_replaces_the_one_that_was_quarantined_first() {
    let clock = TestClock::new();
    // Request 1 was running by chance when request 2 caused the crashes, and was recorded first.
    let mut ledger = quarantined(&clock, 1);
    for index in 0..4 {
        let run = clock.run(1 + index, index * 100 + 20, index * 100 + 101);
        let is_quarantined = ledger.record_crash(request(2), run, clock.at(500));
        expect_that!(
            is_quarantined,
            eq(index == 3),
            "its first three crashes are explained by request 1"
        );
    }
    expect_that!(decide(&mut ledger, clock.at(1_000)), eq(RunVerdict::Allowed));
    let other = decide_run(&mut ledger, request(2), |_| true, clock.at(1_000));
    expect_that!(matches!(other, RunVerdict::Refused(_)), eq(true));
}

#[googletest::test]
fn two_crashing_requests_are_both_quarantined() {
    let clock = TestClock::new();
    let mut ledger = quarantined(&clock, 1);
    // Both were running in one of the crashes.
    for (index, endpoint) in [(0, 3), (1, 11), (2, 12), (3, 13)] {
        let run = clock.run(endpoint, 210 + index * 100, 301 + index * 100);
        let is_quarantined = ledger.record_crash(request(2), run, clock.at(700));
        expect_that!(is_quarantined, eq(index == 3));
    }
    expect_that!(matches!(decide(&mut ledger, clock.at(800)), RunVerdict::Refused(_)), eq(true));
}

#[googletest::test]
fn full_ledger_keeps_quarantined_requests() {
    let clock = TestClock::new();
    let mut ledger = quarantined(&clock, 1);
    for number in 2..3 * MAX_RECORDS as u64 {
        let run = clock.run(number, 1_000, 1_000 + number);
        ledger.record_crash(request(number), run, clock.at(1_000 + number));
    }
    expect_that!(ledger.len(), eq(MAX_RECORDS));
    expect_that!(ledger.quarantined().count(), eq(1));
    let report = ledger.report(clock.at(5_000), &mut SmallRng::seed_from_u64(1));
    expect_that!(report.len(), eq(MAX_REPORTED));
    expect_that!(report.iter().any(|(one, _)| *one == request(1)), eq(true));
}

#[googletest::test]
fn reports_bring_all_quarantined_requests_to_a_daemon_that_has_just_started() {
    let clock = TestClock::new();
    let mut ledger = CrashLedger::default();
    for number in 0..200 {
        for index in 0..3 {
            let run = clock.run(number * 3 + index, index * 100, index * 100 + 100);
            ledger.record_crash(request(number), run, clock.at(index * 100 + 100));
        }
    }
    let (now, mut rng) = (clock.at(20_000), SmallRng::seed_from_u64(1));
    let mut started = CrashLedger::default();
    for _ in 0..40 {
        for (request, record) in ledger.report(now, &mut rng) {
            started.receive(request, &record, now);
        }
    }
    expect_that!(started.quarantined().count(), eq(200));
}

#[googletest::test]
fn request_cleared_at_one_daemon_is_cleared_at_the_others() {
    let clock = TestClock::new();
    let mut other_daemon = quarantined(&clock, 1);
    let mut clearing = CrashLedger::default();
    let mut rng = SmallRng::seed_from_u64(1);
    for (request, record) in other_daemon.report(clock.at(400), &mut rng) {
        clearing.receive(request, &record, clock.at(400));
    }
    clearing.clear(request(1), clock.at(500));
    for (request, record) in clearing.report(clock.at(600), &mut rng) {
        other_daemon.receive(request, &record, clock.at(600));
    }
    expect_that!(decide(&mut other_daemon, clock.at(601)), eq(RunVerdict::Allowed));
    for (request, record) in quarantined(&clock, 1).report(clock.at(700), &mut rng) {
        clearing.receive(request, &record, clock.at(700));
    }
    expect_that!(decide(&mut clearing, clock.at(701)), eq(RunVerdict::Allowed));
}

#[googletest::test]
fn daemon_that_started_or_stood_still_waits_for_a_peer() {
    let clock = TestClock::new();
    let mut contact = PeerContact::new(clock.at(0));
    expect_that!(contact.is_current(clock.at(50)), eq(false));
    contact.receive_response(clock.at(60));
    expect_that!(contact.is_current(clock.at(61)), eq(true));
    // The process was suspended: a response to an earlier call proves nothing.
    expect_that!(contact.is_current(clock.at(5_000)), eq(false));
    contact.begin_interval(clock.at(5_000));
    contact.receive_response(clock.at(100));
    expect_that!(contact.is_current(clock.at(5_010)), eq(false));
    contact.receive_response(clock.at(5_005));
    expect_that!(contact.is_current(clock.at(5_010)), eq(true));
}

#[googletest::test]
fn daemon_without_peer_responses_stops_waiting_after_300_ms() {
    let clock = TestClock::new();
    let contact = PeerContact::new(clock.at(0));
    expect_that!(contact.is_current(clock.at(299)), eq(false));
    expect_that!(contact.is_current(clock.at(300)), eq(true));
}

/// The first configuration that it reads may come from a store restored from an outdated copy.
#[googletest::test]
fn starting_daemon_waits_for_a_newer_configuration_of_its_peers() {
    let clock = TestClock::new();
    let mut contact = PeerContact::new(clock.at(0));
    contact.receive_response(clock.at(10));
    contact.expect_response(clock.at(50));
    expect_that!(contact.is_current(clock.at(60)), eq(false));
    contact.receive_response(clock.at(40));
    expect_that!(contact.is_current(clock.at(60)), eq(false));
    contact.receive_response(clock.at(70));
    contact.observe_lag(true, clock.at(80));
    expect_that!(contact.is_current(clock.at(80)), eq(false));
    contact.observe_lag(false, clock.at(200));
    expect_that!(contact.is_current(clock.at(200)), eq(true));
    // Once it has caught up, it no longer waits for newer configurations.
    contact.observe_lag(true, clock.at(300));
    expect_that!(contact.is_current(clock.at(300)), eq(true));
}

#[googletest::test]
fn daemon_that_cannot_catch_up_stops_waiting_after_2500_ms() {
    let clock = TestClock::new();
    let mut contact = PeerContact::new(clock.at(0));
    for time in (0..3_000).step_by(100) {
        contact.begin_interval(clock.at(time));
        contact.receive_response(clock.at(time));
        contact.observe_lag(true, clock.at(time));
        expect_that!(contact.is_current(clock.at(time)), eq(time >= 2_500), "{time} ms");
    }
}

proptest! {
    /// For any overlap of a request's runs, the evidence is at most the number of distinct crashes,
    /// which is at most the number of runs.
    #[test]
    fn evidence_is_bounded(
        runs in proptest::collection::vec((0_u64..6, 0_u64..5_000, 0_u64..2_000), 0..40),
    ) {
        let (clock, mut record) = (TestClock::new(), CrashRecord::default());
        for (endpoint, begun, length) in &runs {
            record.add(clock.run(*endpoint, *begun, begun + length));
        }
        let evidence = record.evidence();
        prop_assert!(evidence <= record.runs.len() && record.runs.len() <= runs.len());
        prop_assert!(record.runs.is_sorted_by_key(|run| run.crashed));
        prop_assert_eq!(record.unexplained_evidence(&[&record]), 0);
        record.clear(clock.at(10_000));
        prop_assert_eq!(record.evidence(), 0);
    }
}
