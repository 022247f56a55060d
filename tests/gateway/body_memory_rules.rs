//! Memory of bodies: which body gives way, and that all memory is accounted for.

use std::{rc::Rc, time::Duration};

use googletest::prelude::*;
use tokio::time::Instant;
use willowarch::gateway::{
    policy::request::body_memory::{
        ArrivingBody, BodyBounds, BodySize, SEGMENT_BYTES, SMALL_BODY_BYTES, first_to_give_way,
    },
    request::admission::body_store::{BodyStore, BodyWriter, NoBodyMemory},
};

const MB: usize = 1_000_000;
/// Memory of a VM that leaves 1 MB for the bodies of each size.
const VM_BYTES: u64 = 8_000_000;
/// Largest body that the clients may send, in bytes.
const LARGEST: usize = MB / 2;

fn store() -> Rc<BodyStore> {
    Rc::new(BodyStore::new(BodyBounds::of_vm(VM_BYTES)))
}

/// Begins a body and appends so many bytes to it.
fn body_of(store: &Rc<BodyStore>, length: usize, begun: Instant, now: Instant) -> BodyWriter {
    let writer = store.begin(LARGEST, begun);
    expect_that!(writer.append(&vec![b'b'; length], now), ok(eq(())));
    writer
}

#[googletest::test]
fn body_that_has_held_most_for_longest_gives_way() {
    let now = Instant::now();
    let body = |id, held, age| ArrivingBody { id, held, begun: now - Duration::from_millis(age) };
    let choose =
        |bodies: &[ArrivingBody<&'static str>]| first_to_give_way(bodies.iter().copied(), now);
    let (old, new) = (body("old", MB, 1_000), body("new", MB, 10));
    expect_that!(choose(&[old, new]), some(eq("old")));
    expect_that!(choose(&[new, body("small", 1_000, 1_000)]), some(eq("new")));
    expect_that!(choose(&[new, body("slow", 200_000, 1_000)]), some(eq("slow")));
    expect_that!(choose(&[body("at once", MB, 0), body("empty", 0, 1_000)]), some(eq("at once")));
    expect_that!(choose(&[]), none());
}

#[googletest::test]
fn newcomer_gets_memory_of_the_oldest_body() {
    let (store, start) = (store(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    let first = body_of(&store, 400_000, at(0), at(0));
    let second = body_of(&store, 400_000, at(1), at(1));
    let newcomer = body_of(&store, 400_000, at(2), at(3));
    expect_that!(first.finish(), err(eq(&NoBodyMemory)));
    expect_that!(second.finish(), ok(anything()));
    expect_that!(newcomer.finish(), ok(anything()));
    expect_that!(store.given_way(), eq(1));
}

#[googletest::test]
fn newcomer_is_refused_while_running_requests_hold_all_memory() {
    let (store, now) = (store(), Instant::now());
    let running = [0, 1].map(|_| body_of(&store, 450_000, now, now).finish().expect("memory"));
    let newcomer = store.begin(LARGEST, now);
    expect_that!(newcomer.append(&[b'b'; 450_000], now), err(eq(NoBodyMemory)));
    drop(newcomer);
    drop(running);
    expect_that!(body_of(&store, 450_000, now, now).finish(), ok(anything()));
}

#[googletest::test]
fn large_bodies_leave_small_ones_their_memory() {
    let (store, now) = (store(), Instant::now());
    let large = [0, 1].map(|_| body_of(&store, 450_000, now, now).finish().expect("memory"));
    let small = [0; 7].map(|_| body_of(&store, 100_000, now, now).finish().expect("memory"));
    expect_that!(store.held(BodySize::Small), le(MB));
    expect_that!(store.held(BodySize::Large), le(MB));
    drop((large, small));
    expect_that!(store.held(BodySize::Small), eq(0));
    expect_that!(store.held(BodySize::Large), eq(0));
}

#[googletest::test]
fn single_body_of_the_largest_size_is_served_on_every_vm() {
    let (now, largest) = (Instant::now(), 4 * MB);
    let store = store();
    let writer = store.begin(largest, now);
    expect_that!(writer.append(&vec![b'b'; largest], now), ok(eq(())));
    expect_that!(writer.finish().expect("memory").length(), eq(largest as u64));
}

#[googletest::test]
fn body_keeps_its_bytes_and_holds_little_more() {
    let (store, now) = (store(), Instant::now());
    let writer = store.begin(LARGEST, now);
    let bytes: Vec<u8> = (0..300_000_u32).map(|index| (index % 251) as u8).collect();
    // Pieces of all lengths from 0 to 600 bytes.
    let mut rest = &bytes[..];
    for length in (0..=600).cycle() {
        let (piece, after) = rest.split_at(rest.len().min(length));
        expect_that!(writer.append(piece, now), ok(eq(())));
        rest = after;
        if rest.is_empty() {
            break;
        }
    }
    expect_that!(store.held(BodySize::Large), le(bytes.len() + SEGMENT_BYTES));
    let body = writer.finish().expect("memory");
    expect_that!(body.segments().concat() == bytes, eq(true));
    expect_that!(store.held(BodySize::Large), le(bytes.len() + SEGMENT_BYTES));
    drop(body);
    expect_that!(store.held(BodySize::Large), eq(0));
}

#[googletest::test]
fn small_body_holds_at_most_twice_its_length() {
    let now = Instant::now();
    for length in [1, 1_000, 20_000, 72_000, SMALL_BODY_BYTES] {
        let store = store();
        let writer = store.begin(LARGEST, now);
        for piece in vec![b'b'; length].chunks(700) {
            expect_that!(writer.append(piece, now), ok(eq(())));
        }
        expect_that!(store.held(BodySize::Small), le(2 * length));
        expect_that!(store.held(BodySize::Small), ge(length));
    }
}
