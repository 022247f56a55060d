//! Who is asked for a newer configuration or endpoint list.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    gateway::policy::daemon::{
        catch_up::CatchUpState,
        held_texts::HeldVersions,
        text_fetches::{FetchOutcome, FetchOutcomes, SentVersions, TextFetches},
    },
    store_position::StorePosition,
};

const OWN: HeldVersions = HeldVersions { configuration: 8, endpoints: StorePosition::NONE };

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn peer(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn holding(configuration: u64) -> HeldVersions {
    HeldVersions { configuration, endpoints: StorePosition::NONE }
}

/// The daemon that is asked for the configuration now.
fn asked(state: &mut CatchUpState, wait_for_store: Duration, now: Instant) -> Option<SocketAddr> {
    let mut rng = SmallRng::seed_from_u64(1);
    state.start_fetches(OWN, wait_for_store, now, &mut rng).configuration
}

fn end(state: &mut CatchUpState, from: SocketAddr, outcome: FetchOutcome, now: Instant) {
    let fetches = TextFetches { configuration: Some(from), endpoints: None };
    let outcomes = FetchOutcomes { configuration: outcome, endpoints: outcome };
    state.end_fetches(from, fetches, outcomes, now);
}

#[googletest::test]
fn a_newer_text_is_asked_of_one_daemon_at_a_time() {
    let start = Instant::now();
    let mut state = CatchUpState::default();
    state.receive(peer(1), holding(9), OWN, start);
    let wait = millis(300);
    expect_that!(asked(&mut state, wait, start + millis(100)), none());
    expect_that!(asked(&mut state, wait, start + millis(300)), some(eq(peer(1))));
    state.receive(peer(2), holding(9), OWN, start + millis(350));
    expect_that!(asked(&mut state, wait, start + millis(400)), none());
    // The one that was asked does not answer: another may be asked.
    expect_that!(asked(&mut state, wait, start + millis(900)), some(eq(peer(2))));
    let mut rng = SmallRng::seed_from_u64(1);
    let caught_up = state.start_fetches(holding(9), wait, start + millis(2_000), &mut rng);
    expect_that!(caught_up.configuration, none());
}

#[googletest::test]
fn a_daemon_that_withheld_the_text_or_failed_is_asked_after_the_others() {
    for outcome in [FetchOutcome::Withheld, FetchOutcome::Failed] {
        let start = Instant::now();
        let mut state = CatchUpState::default();
        state.receive(peer(1), holding(10), OWN, start);
        state.receive(peer(2), holding(9), OWN, start);
        expect_that!(asked(&mut state, Duration::ZERO, start), some(eq(peer(1))));
        end(&mut state, peer(1), outcome, start + millis(3));
        // Even a new report of the first doesn't bring it back before the other, whose text is
        // newer than the own one too.
        state.receive(peer(1), holding(11), OWN, start + millis(50));
        expect_that!(asked(&mut state, Duration::ZERO, start + millis(100)), some(eq(peer(2))));
        end(&mut state, peer(2), outcome, start + millis(103));
        expect_that!(asked(&mut state, Duration::ZERO, start + millis(200)), some(eq(peer(1))));
    }
}

#[googletest::test]
fn an_answered_request_does_not_hold_up_the_next() {
    let start = Instant::now();
    let mut state = CatchUpState::default();
    state.receive(peer(1), holding(9), OWN, start);
    expect_that!(asked(&mut state, Duration::ZERO, start), some(eq(peer(1))));
    end(&mut state, peer(1), FetchOutcome::Received, start + millis(3));
    state.receive(peer(1), holding(10), holding(9), start + millis(100));
    let mut rng = SmallRng::seed_from_u64(1);
    let next = state.start_fetches(holding(9), Duration::ZERO, start + millis(100), &mut rng);
    expect_that!(next.configuration, some(eq(peer(1))));
}

#[googletest::test]
fn a_text_that_cannot_be_read_is_not_requested_again_at_once() {
    let start = Instant::now();
    let mut state = CatchUpState::default();
    state.receive(peer(1), holding(9), OWN, start);
    state.receive(peer(2), holding(9), OWN, start);
    let first = asked(&mut state, Duration::ZERO, start).expect("a daemon");
    end(&mut state, first, FetchOutcome::Unreadable, start + millis(3));
    expect_that!(asked(&mut state, Duration::ZERO, start + millis(500)), none());
    let second = asked(&mut state, Duration::ZERO, start + millis(600));
    expect_that!(second, some(not(eq(first))));
}

#[googletest::test]
fn a_response_is_judged_by_what_it_brought() {
    let judge = |configuration, held| {
        let sent = SentVersions { configuration, endpoints: None };
        FetchOutcomes::of_response(sent, holding(held)).configuration
    };
    expect_that!(judge(None, 8), eq(FetchOutcome::Withheld));
    expect_that!(judge(Some(9), 9), eq(FetchOutcome::Received));
    expect_that!(judge(Some(9), 10), eq(FetchOutcome::Received));
    expect_that!(judge(Some(9), 8), eq(FetchOutcome::Unreadable));
}
