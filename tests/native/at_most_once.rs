//! Outcomes and tickets: "not run" is said only of what did not run, and nothing runs twice.

use std::time::Duration;

use googletest::prelude::*;
use proptest::{collection::vec, prelude::*};
use tokio::time::Instant;
use willowarch::{
    ids::IncarnationId,
    native::request::{
        outcome::{
            CallStage, DispatchedCall, FinalResponse, NotRunReason, NotStartedEvidence,
            UndispatchedCall, UnknownReason,
        },
        tickets::{
            ConsentVerdict, SealVerdict, SettledResponse, TICKET_KEEP, TicketId, TicketLedger,
            TicketUse, WitnessLedger,
        },
    },
};

use crate::request_store::call;

/// Promise 3: after a dispatch has begun, only the endpoint's own evidence brings "not
/// run" back, and never after an earlier attempt.
#[googletest::test]
fn not_run_needs_evidence_once_dispatched() {
    let marked: hyper::HeaderMap = [(
        hyper::header::HeaderName::from_static("x-not-started"),
        "true".parse().expect("a value"),
    )]
    .into_iter()
    .collect();
    let evidence = NotStartedEvidence::from_headers(&marked).expect("evidence");
    expect_that!(NotStartedEvidence::from_headers(&hyper::HeaderMap::new()), none());
    let give_up = |stage: CallStage| {
        stage.give_up(NotRunReason::NoEndpoint, Duration::ZERO, UnknownReason::AttemptsFailed)
    };
    let first = UndispatchedCall::new(call("p")).begin();
    expect_that!(give_up(first.not_started(evidence)), pat!(FinalResponse::NotRun(anything())));
    let second = UndispatchedCall::new(call("p")).begin().begin_again();
    expect_that!(give_up(second.not_started(evidence)), pat!(FinalResponse::Unknown(anything())));
    let taken = DispatchedCall::taken_over(call("p"));
    expect_that!(give_up(taken.not_started(evidence)), pat!(FinalResponse::Unknown(anything())));
}

#[googletest::test]
fn ticket_text_round_trips_and_garbage_is_refused() {
    let ticket = TicketId {
        holder: IncarnationId(7),
        witness: IncarnationId(u64::MAX),
        sequence: 9,
        scope: TicketId::scope_of("reader"),
    };
    expect_that!(ticket.to_string().parse::<TicketId>(), ok(eq(ticket)));
    for garbage in ["", "wt1", "wt1.1.2.3", "wt2.1.2.3.4", "wt1.x.2.3.4", "wt1.1.2.3.4.5"] {
        expect_that!(garbage.parse::<TicketId>(), err(anything()), "{garbage}");
    }
}

/// A witness that has forgotten a ticket neither grants nor denies that it ran.
#[googletest::test]
fn forgotten_ticket_is_never_called_not_run() {
    let now = Instant::now();
    let mut witness = WitnessLedger::default();
    let ticket = |sequence| TicketId {
        holder: IncarnationId(1),
        witness: IncarnationId(2),
        sequence,
        scope: 5,
    };
    expect_that!(witness.consent(ticket(1), now), eq(ConsentVerdict::Granted));
    let later = now + TICKET_KEEP + Duration::from_secs(1);
    expect_that!(witness.seal(ticket(1), later), eq(&SealVerdict::MayHaveRun));
    expect_that!(witness.consent(ticket(1), later), eq(ConsentVerdict::Sealed));
}

/// What may happen to one ticket, in any order and any number of times.
#[derive(Clone, Copy, Debug)]
enum TicketEvent {
    CallerAsksHolder,
    ConsentArrives,
    OtherSeals,
    HolderEnds,
    SettleArrives,
    HolderDies,
}

fn ticket_event() -> impl Strategy<Value = TicketEvent> {
    prop_oneof![
        Just(TicketEvent::CallerAsksHolder),
        Just(TicketEvent::ConsentArrives),
        Just(TicketEvent::OtherSeals),
        Just(TicketEvent::HolderEnds),
        Just(TicketEvent::SettleArrives),
        Just(TicketEvent::HolderDies),
    ]
}

/// Plays one ticket through `events`; counts dispatches, and notes what was said.
#[derive(Default)]
struct TicketPlay {
    dispatches: u32,
    said_not_run: bool,
    asks_consent: bool,
    running: bool,
    ended: bool,
    dead: bool,
}

fn play(events: &[TicketEvent]) -> TicketPlay {
    let now = Instant::now();
    let digest = [3; 32];
    let mut held = TicketLedger::new(IncarnationId(1));
    let mut witness = WitnessLedger::default();
    let ticket = held.issue(IncarnationId(2), 5, now);
    let mut play = TicketPlay::default();
    for event in events {
        match event {
            TicketEvent::CallerAsksHolder
                if !play.dead && held.begin(ticket, digest) == TicketUse::Granted =>
            {
                play.asks_consent = true;
            }
            TicketEvent::ConsentArrives if play.asks_consent => {
                // The witness writes it down even if the holder is dead by now.
                let verdict = witness.consent(ticket, now);
                play.asks_consent = false;
                if verdict == ConsentVerdict::Granted && !play.dead {
                    play.dispatches += 1;
                    play.running = true;
                }
            }
            TicketEvent::OtherSeals if witness.seal(ticket, now) == SealVerdict::NotDispatched => {
                play.said_not_run = true;
            }
            TicketEvent::HolderEnds if play.running && !play.dead => {
                held.end(ticket, FinalResponse::Streamed);
                play.running = false;
                play.ended = true;
            }
            TicketEvent::SettleArrives if play.ended => {
                let settled = SettledResponse { digest, response: FinalResponse::Streamed };
                witness.settle(ticket, settled, now);
            }
            TicketEvent::HolderDies => play.dead = true,
            _ => {}
        }
    }
    play
}

proptest! {
    #[test]
    fn ticket_runs_at_most_once_and_not_run_is_true(events in vec(ticket_event(), 0..40)) {
        let play = play(&events);
        prop_assert!(play.dispatches <= 1);
        prop_assert!(!(play.said_not_run && play.dispatches > 0));
    }
}

/// Counts how often a play dispatches, to show that the property above is not empty.
#[googletest::test]
fn plays_do_dispatch() {
    let events = [TicketEvent::CallerAsksHolder, TicketEvent::ConsentArrives];
    expect_that!(play(&events).dispatches, eq(1));
    let sealed = [TicketEvent::OtherSeals, events[0], events[1]];
    expect_that!(play(&sealed).dispatches, eq(0));
    expect_true!(play(&sealed).said_not_run);
}
