//! Request store and tickets against naive models, over sequences of events.

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use proptest::{collection::vec, prelude::*};
use tokio::time::Instant;
use willowarch::{
    ids::{IncarnationId, RequestName},
    native::request::{
        call::{CallContent, ClientCall, CompletionCall},
        copy::{RequestCopy, RequestHolder},
        outcome::{
            CallStage, DispatchedCall, FinalResponse, NotRunReason, NotStartedEvidence,
            UndispatchedCall, UnknownReason,
        },
        store::{ClaimVerdict, OfferVerdict, RequestStore},
        tickets::{
            ConsentVerdict, SealVerdict, SettledResponse, TICKET_KEEP, TicketId, TicketLedger,
            TicketUse, WitnessLedger,
        },
    },
};

fn holder(number: u64) -> RequestHolder {
    let address = format!("127.0.0.{number}:1").into();
    RequestHolder { incarnation: IncarnationId(number), address }
}

fn call(prompt: &str) -> Arc<ClientCall> {
    let content = CompletionCall { prompt: prompt.into(), max_tokens: 9, seed: 1, chat: false };
    Arc::new(ClientCall {
        account: "reader".into(),
        service: "model".into(),
        repeatable: true,
        content: CallContent::Completion(content),
        traceparent: None,
    })
}

fn name() -> RequestName {
    RequestName::new("reader", "k")
}

fn news(term: u32, from: u64, first_token: usize, tokens: &[&str]) -> RequestCopy {
    RequestCopy {
        name: name(),
        term,
        holder: holder(from),
        digest: Some(call("p").digest()),
        call: None,
        first_token,
        tokens: tokens.iter().map(|token| Arc::from(*token)).collect(),
        response: None,
    }
}

fn store() -> RequestStore {
    RequestStore::new(holder(1), Duration::from_secs(60), 1_000_000)
}

fn text(store: &RequestStore) -> String {
    store.read(&name(), 0).map(|copy| copy.tokens.concat()).unwrap_or_default()
}

#[googletest::test]
fn older_term_changes_nothing() {
    let now = Instant::now();
    let mut store = store();
    store.offer(news(0, 2, 0, &["a", "b"]), now);
    expect_that!(store.offer(news(1, 3, 0, &["a", "b", "c"]), now), pat!(OfferVerdict::Stored));
    // The first holder thaws and sends what it has: it is told who goes before it.
    let late = store.offer(news(0, 2, 2, &["x", "y"]), now);
    expect_that!(late, pat!(OfferVerdict::Known(pat!(RequestCopy { term: eq(&1), .. }))));
    expect_that!(text(&store), eq("abc"));
}

#[googletest::test]
fn superseded_holder_cannot_append_or_end() {
    let now = Instant::now();
    let mut store = store();
    store.claim(&name(), &call("p"), now);
    expect_true!(store.append(&name(), 0, "a".into()));
    store.offer(news(1, 2, 0, &["a", "b"]), now);
    expect_false!(store.append(&name(), 0, "x".into()));
    expect_false!(store.end(&name(), 0, Arc::new(FinalResponse::Streamed), now));
    expect_that!(text(&store), eq("ab"));
}

#[googletest::test]
fn unanswered_end_may_be_tried_again() {
    let now = Instant::now();
    let mut store = store();
    store.claim(&name(), &call("p"), now);
    let lost = FinalResponse::Unknown(UnknownReason::AttemptsFailed);
    expect_true!(store.end(&name(), 0, Arc::new(lost), now));
    expect_that!(store.claim(&name(), &call("p"), now), pat!(ClaimVerdict::Copied(anything())));
    let taken = store.take_over(&name(), now).expect("a record");
    expect_that!(taken.term, eq(1));
    expect_that!(taken.response, none());
}

#[googletest::test]
fn answered_end_stands_against_any_term() {
    let now = Instant::now();
    let mut store = store();
    store.claim(&name(), &call("p"), now);
    store.append(&name(), 0, "a".into());
    store.end(&name(), 0, Arc::new(FinalResponse::Streamed), now);
    expect_that!(store.offer(news(9, 2, 0, &["x"]), now), pat!(OfferVerdict::Known(anything())));
    expect_that!(text(&store), eq("a"));
}

#[googletest::test]
fn records_expire_by_age_and_by_memory() {
    let now = Instant::now();
    let mut store = RequestStore::new(holder(1), Duration::from_secs(60), 2_000);
    for number in 0..20 {
        let mut copy = news(0, 2, 0, &["token"]);
        copy.name = RequestName::new("reader", format!("k{number}"));
        store.offer(copy, now + Duration::from_millis(number));
    }
    store.expire(now);
    expect_that!(store.bytes(), le(2_000));
    expect_that!(store.record_count(), gt(0));
    store.expire(now + Duration::from_secs(61));
    expect_that!(store.record_count(), eq(0));
    expect_that!(store.bytes(), eq(0));
}

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

/// A token that the naive store below keeps: term, index, who wrote it.
type NaiveRecord = (u32, u64, Vec<String>);

/// What copies of one request arrive: term, holder, first token, number of tokens.
fn copies() -> impl Strategy<Value = Vec<(u32, u64, usize, usize)>> {
    vec((0_u32..4, 2_u64..5, 0_usize..6, 0_usize..6), 1..40)
}

proptest! {
    #[test]
    fn ticket_runs_at_most_once_and_not_run_is_true(events in vec(ticket_event(), 0..40)) {
        let play = play(&events);
        prop_assert!(play.dispatches <= 1);
        prop_assert!(!(play.said_not_run && play.dispatches > 0));
    }

    /// Differential: the store keeps what a naive reading of the rule keeps, for holders
    /// that are one per term (as take-overs make them) and deterministic tokens.
    #[test]
    fn store_follows_the_naive_rule(offers in copies()) {
        let now = Instant::now();
        let mut store = store();
        let mut naive: Option<NaiveRecord> = None;
        for (term, from, first, count) in offers {
            let texts: Vec<String> = (first..first + count).map(|index| format!("t{index} ")).collect();
            let tokens: Vec<&str> = texts.iter().map(String::as_str).collect();
            store.offer(news(term, from, first, &tokens), now);
            match &mut naive {
                None if first == 0 => naive = Some((term, from, texts)),
                None => {}
                Some((known_term, known_from, known)) => {
                    let newer = term > *known_term || (term == *known_term && from == *known_from);
                    if newer && first <= known.len() {
                        if term > *known_term {
                            known.truncate(first);
                        }
                        for (offset, text) in texts.into_iter().enumerate() {
                            if first + offset >= known.len() {
                                known.push(text);
                            }
                        }
                        (*known_term, *known_from) = (term, from);
                    }
                }
            }
            let kept = naive.as_ref().map(|(_, _, tokens)| tokens.concat()).unwrap_or_default();
            prop_assert_eq!(text(&store), kept);
        }
    }

    /// Bytes are given back in full, whatever happens.
    #[test]
    fn store_bytes_return_to_zero(offers in copies()) {
        let now = Instant::now();
        let mut store = store();
        for (term, from, first, count) in offers {
            let tokens = vec!["token"; count];
            store.offer(news(term, from, first, &tokens), now);
        }
        store.expire(now + Duration::from_secs(61));
        prop_assert_eq!(store.bytes(), 0);
        prop_assert_eq!(store.record_count(), 0);
    }

    /// No input makes the ticket decoder panic, and what it takes it writes back.
    #[test]
    fn ticket_decoder_takes_any_text(text in ".{0,80}") {
        if let Ok(ticket) = text.parse::<TicketId>() {
            prop_assert_eq!(ticket.to_string().parse::<TicketId>(), Ok(ticket));
        }
    }

    /// The decoder of engines' events gives the same events however they are cut up.
    #[test]
    fn event_decoder_does_not_depend_on_cuts(
        texts in vec("[a-z ]{1,12}", 1..8),
        cuts in vec(1_usize..7, 1..60),
    ) {
        use willowarch::native::endpoint::sse::EventDecoder;
        let whole: String = texts.iter().map(|text| format!("id: 1\ndata: {text}\n\n")).collect();
        let mut decoder = EventDecoder::default();
        let mut events = Vec::new();
        let mut rest = whole.as_bytes();
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, after) = rest.split_at((*cut).min(rest.len()));
            events.extend(decoder.feed(piece).expect("well-formed"));
            rest = after;
        }
        prop_assert_eq!(events, texts);
    }

    #[test]
    fn event_decoder_takes_any_bytes(bytes in vec(any::<u8>(), 0..400)) {
        use willowarch::native::endpoint::sse::EventDecoder;
        let _ = EventDecoder::default().feed(&bytes);
    }

    /// Callers' input: any body and key gets a call or a problem that names a field.
    #[test]
    fn caller_input_gets_a_call_or_a_named_field(body in vec(any::<u8>(), 0..200), key in ".{0,40}") {
        use willowarch::native::{options::rows::{TableRow, TableSnapshot}, serve::listeners::parse};
        let rows = serde_json::json!([
            { "kind": "account", "name": "reader", "api_key": "key" },
            { "kind": "service", "name": "model" },
        ]);
        let rows = rows.as_array().expect("a list").iter();
        let rows = rows.map(|row| TableRow::parse(row, "row").expect("a row"));
        let table = TableSnapshot::new(rows);
        let mut headers = hyper::HeaderMap::new();
        headers.insert("authorization", "Bearer key".parse().expect("a value"));
        if let Ok(value) = hyper::header::HeaderValue::from_str(&key) {
            headers.insert("idempotency-key", value);
        }
        if let Err(problem) = parse::completion(&headers, &body, false, &table) {
            prop_assert!(problem.field.is_some());
            prop_assert!((400..500).contains(&problem.status));
        }
    }

    /// Peers' input: any bytes as a message are decoded or refused, without a panic.
    #[test]
    fn peer_input_is_decoded_or_refused(bytes in vec(any::<u8>(), 0..600)) {
        use willowarch::{native::peer::codec, peer_capnp};
        let mut aligned = bytes.clone();
        aligned.truncate(bytes.len() / 8 * 8);
        let segments = [aligned.as_slice()];
        let segments = capnp::message::SegmentArray::new(&segments);
        let message = capnp::message::Reader::new(segments, capnp::message::ReaderOptions::new());
        if let Ok(copy) = message.get_root::<peer_capnp::request_copy::Reader<'_>>() {
            let _ = codec::read_copy(copy);
        }
    }

    /// Platform's input: rows of any JSON are taken or refused with their keys named.
    #[test]
    fn rows_are_taken_or_their_keys_named(kind in "(account|service|x)", number in -5.0_f64..5.0, flag in any::<bool>()) {
        use willowarch::native::options::rows::TableRow;
        let row = serde_json::json!({
            "kind": kind, "name": "n", "api_key": "k", "weight": number, "repeatable": flag,
        });
        match TableRow::parse(&row, "row") {
            Ok(row) => prop_assert!(!row.object_name().is_empty()),
            Err(errors) => prop_assert!(errors.iter().all(|error| error.key.starts_with("row."))),
        }
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
