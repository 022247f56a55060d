//! Texts that are sent to peers: compressed as a difference from a former text, compressed as a whole,
//! or plain.

use std::{net::SocketAddr, rc::Rc};

use bytes::Bytes;
use googletest::prelude::*;
use proptest::prelude::*;
use tokio::time::Instant;
use willowarch::{
    gateway::{
        endpoint::{EndpointList, EndpointRecord, EndpointState},
        gossip::{
            codec::endpoint_list::{read_list, write_text},
            messages::{CompressedText, SentText, TextRequest},
            text_codec::{compress, decompress},
            text_exchange::TextExchange,
        },
        policy::daemon::held_texts::{HeldTexts, TextId},
    },
    store_position::{StoreEra, StorePosition},
};

fn route(number: usize, timeout_ms: u32) -> String {
    format!(r#"{{"name":"r-{number}","path-prefix":"/p{number}/","timeout-ms":{timeout_ms}}},"#)
}

/// A configuration of `routes` routes with a timeout of 500 ms, except one with `timeout_ms`.
fn text(routes: usize, timeout_ms: u32) -> Bytes {
    let timeout = |number| if number == routes / 2 { timeout_ms } else { 500 };
    (0..routes).map(|number| route(number, timeout(number))).collect::<String>().into()
}

fn position() -> StorePosition {
    StorePosition::new(StoreEra(2), 9)
}

/// A list of `count` endpoints, of which one is in this state and all others are ready.
fn endpoint_list(count: usize, state: EndpointState) -> EndpointList {
    let endpoint = |number: usize| {
        let is_changed = number == count / 3;
        Rc::new(EndpointRecord {
            id: format!("i-{:08x}", number * 2_654_435_761 % (1 << 32)).as_str().into(),
            born: 0,
            service: "pool".into(),
            address: SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 8406)),
            zone: "hall-a".into(),
            version: "v1".into(),
            slots: 16,
            state: if is_changed { state } else { EndpointState::Ready },
            reclaimable: true,
        })
    };
    EndpointList { position: position(), endpoints: (0..count).map(endpoint).collect() }
}

fn held(texts: &[Bytes]) -> HeldTexts {
    let mut held = HeldTexts::default();
    for text in texts {
        held.push(text.clone());
    }
    held
}

/// A daemon that has applied `texts`.
fn exchange(texts: &[Bytes]) -> TextExchange {
    let mut exchange = TextExchange::default();
    for text in texts {
        exchange.push(text.clone());
    }
    exchange
}

fn ids(texts: &[&Bytes]) -> Vec<TextId> {
    texts.iter().map(|text| TextId::of(text)).collect()
}

/// Request of a daemon that keeps `texts`.
fn request(texts: &[&Bytes]) -> TextRequest {
    TextRequest { accepts_compressed: true, bases: ids(texts) }
}

/// What a daemon that has applied `texts` sends in response to a request.
fn sent(texts: &[Bytes], request: &TextRequest) -> SentText {
    exchange(texts).try_send(request, Instant::now()).expect("a text")
}

#[googletest::test]
fn change_of_one_timeout_compresses_to_under_300_bytes_at_any_length() {
    for routes in [20, 1_400, 12_000] {
        let (former, newer) = (text(routes, 600), text(routes, 700));
        let change = compress(&newer, &former).expect("compressed");
        expect_that!(
            change.len(),
            lt(300),
            "difference of a text of {routes} routes, {} bytes",
            newer.len()
        );
        expect_that!(decompress(&change, &former).expect("text"), eq(newer.as_ref()));
    }
}

/// A list of 10,000 endpoints has over 1 MB, which takes a link of 10 Mbit/s a second to transfer.
#[googletest::test]
fn change_of_one_endpoint_compresses_to_under_300_bytes() {
    let former = write_text(&endpoint_list(10_000, EndpointState::Ready));
    let newer = endpoint_list(10_000, EndpointState::Draining);
    let change = compress(&write_text(&newer), &former).expect("compressed");
    expect_that!(change.len(), lt(300), "difference of a list of {} bytes", former.len());
    let text = decompress(&change, &former).expect("text");
    let list = read_list(position(), &text).expect("list");
    expect_that!(list.endpoints, eq(&newer.endpoints));
    expect_that!(list.position, eq(position()));
}

#[googletest::test]
fn decompression_against_a_wrong_base_fails() {
    let (former, newer) = (text(1_400, 600), text(1_400, 700));
    let change = compress(&newer, &former).expect("compressed");
    let other = text(1_399, 600);
    expect_that!(decompress(&change, &other), err(anything()));
    expect_that!(decompress(&change, &[]), err(anything()));
}

#[googletest::test]
fn text_longer_than_the_limit_is_not_decompressed() {
    let too_long = vec![b' '; (4 << 20) + 1];
    let data = compress(&too_long, &[]).expect("compressed");
    expect_that!(decompress(&data, &[]), err(anything()));
}

#[googletest::test]
fn newest_text_that_both_daemons_keep_is_the_base() {
    let texts = [text(50, 600), text(50, 700), text(50, 800)];
    let [first, second, _] = &texts;
    let (other, another) = (text(51, 600), text(52, 600));
    let base = |bases: &[&Bytes]| match sent(&texts, &request(bases)) {
        SentText::Compressed(text) => text.base,
        SentText::Plain(_) => panic!("the text was sent plain"),
    };
    expect_that!(base(&[&other, second, first]), eq(TextId::of(second)));
    expect_that!(base(&[&other, first]), eq(TextId::of(first)));
    expect_that!(base(&[&other, &another]), eq(TextId::NO_BASE));
}

/// Daemons of an earlier release don't state that they accept compressed texts.
#[googletest::test]
fn daemons_that_do_not_accept_compressed_texts_get_plain_ones() {
    let texts = [text(50, 600), text(50, 700)];
    let request = TextRequest { accepts_compressed: false, bases: Vec::new() };
    expect_that!(sent(&texts, &request), eq(&SentText::Plain(text(50, 700))));
}

#[googletest::test]
fn long_whole_texts_are_sent_one_at_a_time_and_differences_at_once() {
    let texts = [text(12_000, 600), text(12_000, 700)];
    let (mut sender, now) = (exchange(&texts), Instant::now());
    expect_that!(sender.try_send(&request(&[]), now), some(anything()));
    expect_that!(sender.try_send(&request(&[]), now), none());
    let mut sender = exchange(&texts);
    let step = std::time::Duration::from_millis(1);
    for number in 0..20 {
        let change = sender.try_send(&request(&[&texts[0]]), now + step * number);
        expect_that!(change, some(anything()), "difference number {number}");
    }
}

#[googletest::test]
fn kept_former_texts_are_limited_in_bytes_and_number() {
    let long: Vec<Bytes> = (1..=9_u8).map(|byte| Bytes::from(vec![byte; 400_000])).collect();
    expect_that!(held(&long).bases(), eq(&ids(&[&long[8], &long[7], &long[6]])));
    let short: Vec<Bytes> = (1..=40_u8).map(|byte| Bytes::from(vec![byte; 2])).collect();
    expect_that!(held(&short).bases().len(), eq(17));
    let longest = Bytes::from(vec![b' '; 3_000_000]);
    expect_that!(held(std::slice::from_ref(&longest)).bases(), eq(&ids(&[&longest])));
}

/// A store that was restored from a copy may give the same revision to two different texts. A receiver
/// whose text differs from that of the sender must not get a difference from the sender's text.
#[googletest::test]
fn different_texts_of_one_revision_are_no_base_for_each_other() {
    let (older, newer) = (text(50, 700), text(50, 800));
    let mut sender = exchange(&[older, newer.clone()]);
    let mut receiver = exchange(&[text(49, 700)]);
    match sender.try_send(&receiver.request(), Instant::now()) {
        Some(SentText::Compressed(text)) => expect_that!(receiver.read(&text), ok(eq(&newer))),
        _ => panic!("no compressed text was sent"),
    }
}

#[googletest::test]
fn whole_text_is_requested_after_a_difference_could_not_be_read() {
    let (older, newer) = (text(50, 700), text(50, 800));
    let mut sender = exchange(&[older.clone(), newer.clone()]);
    let mut receiver = exchange(std::slice::from_ref(&older));
    let mut fetch = |receiver: &mut TextExchange, wait_s, damage: bool| {
        let now = Instant::now() + std::time::Duration::from_secs(wait_s);
        match sender.try_send(&receiver.request(), now) {
            Some(SentText::Compressed(mut text)) => {
                if damage {
                    text.data = Bytes::from_static(b"damaged");
                }
                receiver.read(&text)
            }
            _ => panic!("no compressed text was sent"),
        }
    };
    expect_that!(fetch(&mut receiver, 0, true), err(anything()));
    expect_that!(receiver.request().bases, eq(&Vec::<TextId>::new()));
    expect_that!(fetch(&mut receiver, 1, false), ok(eq(&newer)));
    receiver.push(newer.clone());
    expect_that!(receiver.request().bases, eq(&ids(&[&newer, &older])));
}

#[googletest::test]
fn a_text_whose_base_is_not_kept_is_an_error() {
    let mut receiver = exchange(&[text(50, 700)]);
    let sent = CompressedText { base: TextId(4), data: Bytes::from_static(b"x") };
    expect_that!(receiver.read(&sent), err(anything()));
}

proptest! {
    #[test]
    fn decompression_restores_any_text(text: Vec<u8>, base: Vec<u8>) {
        let data = compress(&text, &base).expect("compressed");
        prop_assert_eq!(decompress(&data, &base).expect("text"), text);
    }

    #[test]
    fn decompression_of_damaged_data_does_not_panic(place in 0_usize..200, byte: u8, length in 0_usize..200) {
        let former = text(30, 600);
        let mut data = compress(&text(30, 700), &former).expect("compressed");
        let place = place % data.len();
        data[place] = byte;
        let _ = decompress(&data, &former);
        data.truncate(length);
        let _ = decompress(&data, &former);
    }
}
