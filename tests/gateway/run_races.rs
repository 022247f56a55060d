//! Two runs of one stream at a time: the client must get one whole stream, whichever of them fails, ends or goes on.

use std::{sync::Arc, thread, time::Duration};

use googletest::prelude::*;
use serde_json::json;

use crate::{
    endpoint_standin::event,
    gateway_site::{Gateway, RawAnswer, ask, configuration, wait_for},
    pausing_endpoint::{AfterPause, EVENTS, PausePlace, PausePlan, PausingEndpoint, RunCounts},
    platform_standin::PlatformStandin,
};

/// Longer than a run may be silent and the list of endpoints takes to arrive, and shorter than the client waits.
const PAUSE: Duration = Duration::from_millis(1_300);
const EVENT_PAUSE: Duration = Duration::from_millis(10);
/// Longer than the first run pauses after the second one has begun.
const LATE: Duration = Duration::from_millis(1_200);
/// Shorter than that.
const EARLIER: Duration = Duration::from_millis(500);

const QUICK: PausePlan = PausePlan {
    place: PausePlace::BetweenEvents,
    time: Some(Duration::ZERO),
    percent: 100,
    pauses_again: true,
    event_pause: EVENT_PAUSE,
    then: AfterPause::GoOn,
    ends_with_connection: false,
};

/// Whole responses that end with their connections.
const QUICK_UNMARKED: PausePlan = PausePlan { ends_with_connection: true, ..QUICK };

const fn pauses(place: PausePlace, time: Duration, then: AfterPause) -> PausePlan {
    PausePlan { place, time: Some(time), then, ..QUICK }
}

/// Asks for a stream while only the first endpoint is listed, and lists the second one once that runs it.
/// Returns the answer and what both have counted.
fn play(first: PausePlan, second: PausePlan) -> (RawAnswer, [Arc<RunCounts>; 2]) {
    let platform = PlatformStandin::start();
    platform.put("config", "main", configuration(3, &["key-1"]));
    let counts = [Arc::<RunCounts>::default(), Arc::default()];
    let endpoints = [
        PausingEndpoint::start("i-0", first, &counts[0]),
        PausingEndpoint::start("i-1", second, &counts[1]),
    ];
    let list = |endpoint: &PausingEndpoint| {
        let entry = json!({
            "service": "pool", "address": endpoint.address, "zone": "hall-a", "version": "v1",
            "slots": 4, "state": "ready", "cold-left-ms": 0, "seq": 1,
        });
        platform.put("servers", &endpoint.id, entry);
    };
    list(&endpoints[0]);
    let gateway = Gateway::start("edge-1", &platform, &[]);
    gateway.wait_ready();
    let address = gateway.clients;
    let client = thread::spawn(move || ask(address, "/stream/one", "s-1", "key-1", &[], b""));
    wait_for("the first run", || counts[0].count() > 0);
    list(&endpoints[1]);
    (client.join().expect("client"), counts)
}

/// The run with this place must serve the client.
fn check(first: PausePlan, second: PausePlan, winner: usize) {
    let (answer, counts) = play(first, second);
    let events: Vec<String> = answer
        .text()
        .split_inclusive("\n\n")
        .filter(|part| !part.starts_with(':'))
        .map(str::to_owned)
        .collect();
    let whole: Vec<String> = (1..=EVENTS).map(event).collect();
    expect_that!(events, eq(&whole));
    expect_that!(answer.whole || answer.may_be_whole(), eq(true));
    expect_that!(counts[1].count(), eq(1));
    expect_that!(counts[winner].given_up(), eq(0));
}

macro_rules! stream_with_two_runs_is_whole {
    ($($name:ident: $first:expr, $second:expr => $winner:literal;)*) => {$(
        #[googletest::test]
        fn $name() {
            check($first, $second, $winner);
        }
    )*};
}

stream_with_two_runs_is_whole! {
    second_run_goes_on: pauses(PausePlace::BetweenEvents, PAUSE, AfterPause::GoOn), QUICK => 1;
    first_run_goes_on_before_the_second_has_an_event:
        pauses(PausePlace::BetweenEvents, PAUSE, AfterPause::GoOn),
        pauses(PausePlace::AfterHead, LATE, AfterPause::GoOn) => 0;
    second_run_ends_before_its_first_event:
        pauses(PausePlace::BetweenEvents, PAUSE, AfterPause::GoOn),
        pauses(PausePlace::AfterHead, Duration::ZERO, AfterPause::Close) => 0;
    first_run_ends_without_an_event_while_the_second_has_none:
        pauses(PausePlace::AfterHead, PAUSE, AfterPause::Close),
        pauses(PausePlace::AfterHead, LATE, AfterPause::GoOn) => 1;
    first_run_sends_a_comment_while_the_second_has_no_event:
        pauses(PausePlace::BetweenEvents, Duration::from_millis(2_000), AfterPause::Comments),
        pauses(PausePlace::AfterHead, EARLIER, AfterPause::GoOn) => 1;
    head_of_the_second_run_is_no_reason_to_end_the_first:
        pauses(PausePlace::BeforeHead, PAUSE, AfterPause::GoOn),
        pauses(PausePlace::AfterHead, Duration::from_secs(2), AfterPause::GoOn) => 0;
    // Guards against a stream that loses its end since the run that could mark it was given up.
    run_that_can_mark_the_end_is_kept_for_the_client:
        pauses(PausePlace::BetweenEvents, PAUSE, AfterPause::GoOn), QUICK_UNMARKED => 0;
    run_that_can_mark_the_end_is_kept_inside_an_event:
        pauses(PausePlace::InsideEvent, PAUSE, AfterPause::GoOn), QUICK_UNMARKED => 0;
    run_with_a_marked_end_replaces_one_without:
        PausePlan { ends_with_connection: true, ..pauses(PausePlace::BetweenEvents, PAUSE, AfterPause::GoOn) },
        QUICK => 1;
    run_without_a_marked_end_replaces_another_one:
        PausePlan { ends_with_connection: true, ..pauses(PausePlace::BetweenEvents, PAUSE, AfterPause::GoOn) },
        QUICK_UNMARKED => 1;
}

/// Guards against events that a held run has being lost with the run at work.
#[googletest::test]
fn events_of_a_held_run_are_passed_on_once_the_run_at_work_has_failed() {
    let first = pauses(PausePlace::BetweenEvents, PAUSE, AfterPause::BreakOff);
    let (answer, counts) = play(first, QUICK_UNMARKED);
    let whole: String = (1..=EVENTS).map(event).collect();
    expect_that!(answer.text(), eq(&whole));
    expect_that!(answer.whole, eq(false));
    expect_that!(counts[1].count(), eq(1));
}
