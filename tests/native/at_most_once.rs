//! Outcomes and tickets: "not run" is reported only for requests that did not run, and no ticket
//! runs twice.

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

/// Promise 3: once a dispatch has begun, the outcome is "not run" only if the endpoint itself
/// confirms that it did not start the request, and never after an earlier attempt.
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

/// Guards against malformed tickets that are accepted, and against tickets that change when they
/// are printed and parsed again.
#[googletest::test]
fn ticket_text_round_trips_and_malformed_text_is_refused() {
    let ticket = TicketId {
        holder: IncarnationId(7),
        witness: IncarnationId(u64::MAX),
        sequence: 9,
        scope: TicketId::scope_of("reader"),
    };
    expect_that!(ticket.to_string().parse::<TicketId>(), ok(eq(ticket)));
    for malformed in ["", "wt1", "wt1.1.2.3", "wt2.1.2.3.4", "wt1.x.2.3.4", "wt1.1.2.3.4.5"] {
        expect_that!(malformed.parse::<TicketId>(), err(anything()), "{malformed}");
    }
}

/// Guards against "not run" for a ticket that ran: a witness whose entry for the ticket has expired
/// reports that it may have run, and does not grant it again.
#[googletest::test]
fn expired_ticket_is_never_reported_as_not_run() {
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

/// Events that can occur for one ticket, in any order and any number of times.
#[derive(Clone, Copy, Debug)]
enum TicketEvent {
    ClientCallsHolder,
    ConsentArrives,
    OtherDaemonSeals,
    HolderEndsRequest,
    SettleArrives,
    HolderCrashes,
}

fn ticket_event() -> impl Strategy<Value = TicketEvent> {
    prop_oneof![
        Just(TicketEvent::ClientCallsHolder),
        Just(TicketEvent::ConsentArrives),
        Just(TicketEvent::OtherDaemonSeals),
        Just(TicketEvent::HolderEndsRequest),
        Just(TicketEvent::SettleArrives),
        Just(TicketEvent::HolderCrashes),
    ]
}

/// State of a simulated ticket: number of dispatches, and whether "not run" was reported.
#[derive(Default)]
struct TicketRun {
    dispatches: u32,
    reported_not_run: bool,
    awaits_consent: bool,
    running: bool,
    ended: bool,
    crashed: bool,
}

/// Applies `events` to one ticket, its holder and its witness.
fn apply_events(events: &[TicketEvent]) -> TicketRun {
    let now = Instant::now();
    let digest = [3; 32];
    let mut held = TicketLedger::new(IncarnationId(1));
    let mut witness = WitnessLedger::default();
    let ticket = held.issue(IncarnationId(2), 5, now);
    let mut run = TicketRun::default();
    for event in events {
        match event {
            TicketEvent::ClientCallsHolder
                if !run.crashed && held.begin(ticket, digest) == TicketUse::Granted =>
            {
                run.awaits_consent = true;
            }
            TicketEvent::ConsentArrives if run.awaits_consent => {
                // The witness records its consent even if the holder has crashed meanwhile.
                let verdict = witness.consent(ticket, now);
                run.awaits_consent = false;
                if verdict == ConsentVerdict::Granted && !run.crashed {
                    run.dispatches += 1;
                    run.running = true;
                }
            }
            TicketEvent::OtherDaemonSeals
                if witness.seal(ticket, now) == SealVerdict::NotDispatched =>
            {
                run.reported_not_run = true;
            }
            TicketEvent::HolderEndsRequest if run.running && !run.crashed => {
                held.end(ticket, FinalResponse::Streamed);
                run.running = false;
                run.ended = true;
            }
            TicketEvent::SettleArrives if run.ended => {
                let settled = SettledResponse { digest, response: FinalResponse::Streamed };
                witness.settle(ticket, settled, now);
            }
            TicketEvent::HolderCrashes => run.crashed = true,
            _ => {}
        }
    }
    run
}

proptest! {
    /// Guards against a ticket that is dispatched twice, or that is reported as "not run" although
    /// it was dispatched, for any order of requests, messages and crashes.
    #[test]
    fn ticket_runs_at_most_once_and_not_run_is_true(events in vec(ticket_event(), 0..40)) {
        let run = apply_events(&events);
        prop_assert!(run.dispatches <= 1);
        prop_assert!(!(run.reported_not_run && run.dispatches > 0));
    }
}

/// Shows that the property above is not vacuous: some event sequences do dispatch the ticket.
#[googletest::test]
fn event_sequences_can_dispatch_the_ticket() {
    let events = [TicketEvent::ClientCallsHolder, TicketEvent::ConsentArrives];
    expect_that!(apply_events(&events).dispatches, eq(1));
    let sealed = [TicketEvent::OtherDaemonSeals, events[0], events[1]];
    expect_that!(apply_events(&sealed).dispatches, eq(0));
    expect_true!(apply_events(&sealed).reported_not_run);
}
