//! The request store: rules for copies, compared with a naive model over sequences of copies.

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use proptest::{collection::vec, prelude::*};
use tokio::time::Instant;
use willowarch::{
    ids::{IncarnationId, RequestName},
    native::request::{
        call::{CallContent, ClientCall, CompletionCall},
        copy::{RequestCopy, RequestHolder},
        outcome::{FinalResponse, UnknownReason},
        store::{ClaimVerdict, OfferVerdict, RequestStore},
    },
};

/// A completion request with this prompt.
pub fn call(prompt: &str) -> Arc<ClientCall> {
    let content = CompletionCall { prompt: prompt.into(), max_tokens: 9, seed: 1, chat: false };
    Arc::new(ClientCall {
        account: "reader".into(),
        service: "model".into(),
        repeatable: true,
        content: CallContent::Completion(content),
        traceparent: None,
    })
}

fn holder(number: u64) -> RequestHolder {
    let address = format!("127.0.0.{number}:1").into();
    RequestHolder { incarnation: IncarnationId(number), address }
}

fn name() -> RequestName {
    RequestName::new("reader", "k")
}

/// Copy of tokens sent by holder `from` in takeover `term`, from index `first_token` on.
fn request_copy(term: u32, from: u64, first_token: usize, tokens: &[&str]) -> RequestCopy {
    RequestCopy {
        name: name(),
        takeovers: term,
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

/// Guards against a superseded holder that overwrites the tokens of its successor.
#[googletest::test]
fn older_term_changes_nothing() {
    let now = Instant::now();
    let mut store = store();
    store.offer(request_copy(0, 2, 0, &["a", "b"]), now);
    expect_that!(
        store.offer(request_copy(1, 3, 0, &["a", "b", "c"]), now),
        pat!(OfferVerdict::Stored)
    );
    // The first holder was suspended and now sends its tokens; the response names its successor.
    let late = store.offer(request_copy(0, 2, 2, &["x", "y"]), now);
    expect_that!(late, pat!(OfferVerdict::Known(pat!(RequestCopy { takeovers: eq(&1), .. }))));
    expect_that!(text(&store), eq("abc"));
}

/// Guards against a holder that continues to write after another daemon has taken the request over.
#[googletest::test]
fn superseded_holder_cannot_append_or_end() {
    let now = Instant::now();
    let mut store = store();
    store.claim(&name(), &call("p"), now);
    expect_true!(store.append(&name(), 0, "a".into()));
    store.offer(request_copy(1, 2, 0, &["a", "b"]), now);
    expect_false!(store.append(&name(), 0, "x".into()));
    expect_false!(store.end(&name(), 0, Arc::new(FinalResponse::Streamed), now));
    expect_that!(text(&store), eq("ab"));
}

/// Guards against a repeatable request that stays "unknown" although another attempt is possible.
#[googletest::test]
fn request_ended_without_answer_can_be_taken_over() {
    let now = Instant::now();
    let mut store = store();
    store.claim(&name(), &call("p"), now);
    let lost = FinalResponse::Unknown(UnknownReason::AttemptsFailed);
    expect_true!(store.end(&name(), 0, Arc::new(lost), now));
    expect_that!(store.claim(&name(), &call("p"), now), pat!(ClaimVerdict::Copied(anything())));
    let taken = store.take_over(&name(), now).expect("a record");
    expect_that!(taken.takeovers, eq(1));
    expect_that!(taken.response, none());
}

/// Guards against a complete response that a copy of a later term overwrites.
#[googletest::test]
fn complete_response_is_not_replaced_by_a_copy_of_any_term() {
    let now = Instant::now();
    let mut store = store();
    store.claim(&name(), &call("p"), now);
    store.append(&name(), 0, "a".into());
    store.end(&name(), 0, Arc::new(FinalResponse::Streamed), now);
    expect_that!(
        store.offer(request_copy(9, 2, 0, &["x"]), now),
        pat!(OfferVerdict::Known(anything()))
    );
    expect_that!(text(&store), eq("a"));
}

/// Guards against records that use more memory than the limit, or that never expire.
#[googletest::test]
fn records_expire_by_age_and_by_memory() {
    let now = Instant::now();
    let mut store = RequestStore::new(holder(1), Duration::from_secs(60), 2_000);
    for number in 0..20 {
        let mut copy = request_copy(0, 2, 0, &["token"]);
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

/// Record of the naive store: term, holder and tokens.
type NaiveRecord = (u32, u64, Vec<String>);

/// Copies of one request that arrive: term, holder, first token, number of tokens.
fn copies() -> impl Strategy<Value = Vec<(u32, u64, usize, usize)>> {
    vec((0_u32..4, 2_u64..5, 0_usize..6, 0_usize..6), 1..40)
}

proptest! {
    /// Differential test: the store keeps the same tokens as a naive implementation of the rule.
    /// Tokens are deterministic, and each term has one holder, as takeovers make them.
    #[test]
    fn store_follows_the_naive_rule(offers in copies()) {
        let now = Instant::now();
        let mut store = store();
        let mut naive: Option<NaiveRecord> = None;
        for (term, from, first, count) in offers {
            let texts: Vec<String> = (first..first + count).map(|index| format!("t{index} ")).collect();
            let tokens: Vec<&str> = texts.iter().map(String::as_str).collect();
            store.offer(request_copy(term, from, first, &tokens), now);
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

    /// Guards against a leak in the byte count: it is 0 again when all records have expired.
    #[test]
    fn byte_count_is_zero_after_all_records_expire(offers in copies()) {
        let now = Instant::now();
        let mut store = store();
        for (term, from, first, count) in offers {
            let tokens = vec!["token"; count];
            store.offer(request_copy(term, from, first, &tokens), now);
        }
        store.expire(now + Duration::from_secs(61));
        prop_assert_eq!(store.bytes(), 0);
        prop_assert_eq!(store.record_count(), 0);
    }
}
