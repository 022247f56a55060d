//! Choice of the peer that a daemon requests a newer configuration or endpoint list from.

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

/// The daemon that the configuration is requested from now, if any.
fn requested_from(
    state: &mut CatchUpState,
    wait_for_store: Duration,
    now: Instant,
) -> Option<SocketAddr> {
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
    expect_that!(requested_from(&mut state, wait, start + millis(100)), none());
    expect_that!(requested_from(&mut state, wait, start + millis(300)), some(eq(peer(1))));
    state.receive(peer(2), holding(9), OWN, start + millis(350));
    expect_that!(requested_from(&mut state, wait, start + millis(400)), none());
    // The first daemon hasn't answered for 600 ms: the text may be requested from another.
    expect_that!(requested_from(&mut state, wait, start + millis(900)), some(eq(peer(2))));
    let mut rng = SmallRng::seed_from_u64(1);
    let caught_up = state.start_fetches(holding(9), wait, start + millis(2_000), &mut rng);
    expect_that!(caught_up.configuration, none());
}

#[googletest::test]
fn daemons_that_withheld_the_text_or_failed_come_after_the_others() {
    for outcome in [FetchOutcome::Withheld, FetchOutcome::Failed] {
        let start = Instant::now();
        let mut state = CatchUpState::default();
        state.receive(peer(1), holding(10), OWN, start);
        state.receive(peer(2), holding(9), OWN, start);
        expect_that!(requested_from(&mut state, Duration::ZERO, start), some(eq(peer(1))));
        end(&mut state, peer(1), outcome, start + millis(3));
        // The other daemon also has a newer text than this one, so it comes first, even if the failed
        // one reports a still newer text.
        state.receive(peer(1), holding(11), OWN, start + millis(50));
        expect_that!(
            requested_from(&mut state, Duration::ZERO, start + millis(100)),
            some(eq(peer(2)))
        );
        end(&mut state, peer(2), outcome, start + millis(103));
        expect_that!(
            requested_from(&mut state, Duration::ZERO, start + millis(200)),
            some(eq(peer(1)))
        );
    }
}

#[googletest::test]
fn next_request_may_follow_a_received_text_without_delay() {
    let start = Instant::now();
    let mut state = CatchUpState::default();
    state.receive(peer(1), holding(9), OWN, start);
    expect_that!(requested_from(&mut state, Duration::ZERO, start), some(eq(peer(1))));
    end(&mut state, peer(1), FetchOutcome::Received, start + millis(3));
    state.receive(peer(1), holding(10), holding(9), start + millis(100));
    let mut rng = SmallRng::seed_from_u64(1);
    let next = state.start_fetches(holding(9), Duration::ZERO, start + millis(100), &mut rng);
    expect_that!(next.configuration, some(eq(peer(1))));
}

#[googletest::test]
fn request_is_not_repeated_at_once_after_an_unreadable_text() {
    let start = Instant::now();
    let mut state = CatchUpState::default();
    state.receive(peer(1), holding(9), OWN, start);
    state.receive(peer(2), holding(9), OWN, start);
    let first = requested_from(&mut state, Duration::ZERO, start).expect("a daemon");
    end(&mut state, first, FetchOutcome::Unreadable, start + millis(3));
    expect_that!(requested_from(&mut state, Duration::ZERO, start + millis(500)), none());
    let second = requested_from(&mut state, Duration::ZERO, start + millis(600));
    expect_that!(second, some(not(eq(first))));
}

#[googletest::test]
fn outcome_of_a_fetch_follows_from_the_sent_and_held_versions() {
    let outcome = |configuration, held| {
        let sent = SentVersions { configuration, endpoints: None };
        FetchOutcomes::of_response(sent, holding(held)).configuration
    };
    expect_that!(outcome(None, 8), eq(FetchOutcome::Withheld));
    expect_that!(outcome(Some(9), 9), eq(FetchOutcome::Received));
    expect_that!(outcome(Some(9), 10), eq(FetchOutcome::Received));
    expect_that!(outcome(Some(9), 8), eq(FetchOutcome::Unreadable));
}
