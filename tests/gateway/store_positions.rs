//! Positions of a store that is restored from a copy, and the configuration and freshness proof that
//! daemons hold then.

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use serde_json::json;
use tokio::time::Instant;
use willowarch::{
    errors::FailureCause,
    gateway::{
        configuration::Configuration,
        configuration_state::{ApplyOutcome, ConfigurationState},
    },
    platform::{
        self,
        store::{StoreClient, WatchResult, WriteCondition, WriteResult},
    },
    store_position::{StoreEra, StorePosition},
};

use crate::{gateway_site::configuration, platform_standin::PlatformStandin};

const KIND: &str = "config";
const WAIT: Duration = Duration::from_millis(50);

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(StoreEra(era), revision)
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn version(number: u64) -> Configuration {
    let text = configuration(number, &["key-1"]).to_string();
    platform::configuration::decode(text.as_bytes()).expect("decodes")
}

/// Handles the result of a request to the store, sent at `sent_at`: version `number` at `position`.
fn handle_read(
    state: &mut ConfigurationState,
    position: StorePosition,
    number: u64,
    sent_at: Instant,
) {
    state.record_read(position, Some(number), sent_at);
    state.apply(version(number), position);
    state.confirm_last_read(sent_at);
}

proptest! {
    #[test]
    fn highest_version_is_held_regardless_of_positions(
        reads in prop::collection::vec((0..4_u64, 1..50_u64, 1..20_u64), 1..30),
    ) {
        let mut state = ConfigurationState::default();
        for (era, revision, number) in &reads {
            state.apply(version(*number), at(*era, *revision));
        }
        let highest = reads.iter().map(|(_, _, number)| *number).max();
        prop_assert_eq!(Some(state.version()), highest);
    }
}

proptest! {
    #[test]
    fn packing_preserves_the_order_of_positions(
        one in (0..1_000_u64, 0..1_u64 << 40),
        other in (0..1_000_u64, 0..1_u64 << 40),
    ) {
        let (one, other) = (at(one.0, one.1), at(other.0, other.1));
        prop_assert_eq!(one.cmp(&other), one.packed().cmp(&other.packed()));
        prop_assert_eq!(StorePosition::unpack(one.packed()), one);
    }
}

#[googletest::test]
fn later_eras_come_after_earlier_ones() {
    expect_that!(at(1, 900), lt(at(2, 3)));
    expect_that!(at(2, 3), lt(at(2, 4)));
    expect_that!(StorePosition::NONE, lt(at(0, 1)));
}

#[googletest::test]
fn older_version_in_a_restored_store_is_ignored_and_a_newer_one_applied() {
    let mut state = ConfigurationState::default();
    expect_that!(state.apply(version(14), at(1, 600)), eq(ApplyOutcome::Applied));
    expect_that!(state.apply(version(10), at(2, 5)), eq(ApplyOutcome::Older));
    expect_that!(state.apply(version(14), at(2, 8)), eq(ApplyOutcome::Held));
    expect_that!(state.position, eq(at(2, 8)));
    expect_that!(state.apply(version(19), at(2, 9)), eq(ApplyOutcome::Applied));
}

/// A store that was restored from a copy may lack the operators' newest configuration. What it holds is
/// no freshness proof until they have had 2 s to write that again.
#[googletest::test]
fn restored_store_gives_no_freshness_proof_until_the_rewrite_time_is_over() {
    let start = Instant::now();
    let mut state = ConfigurationState::default();
    handle_read(&mut state, at(1, 600), 14, start);
    expect_that!(state.proof, some(eq(start)));
    handle_read(&mut state, at(2, 5), 14, start + seconds(3));
    expect_that!(state.untrusted_time_left(start + seconds(4)), some(eq(seconds(1))));
    expect_that!(state.untrusted_time_left(start + seconds(5)), none());
    state.confirm_last_read(start + seconds(4));
    expect_that!(state.proof, some(eq(start)));
    state.confirm_last_read(start + seconds(6));
    expect_that!(state.proof, some(eq(start + seconds(6))));
}

#[googletest::test]
fn configuration_that_was_written_again_after_a_restore_is_proven_at_once() {
    let start = Instant::now();
    let mut state = ConfigurationState::default();
    handle_read(&mut state, at(1, 600), 14, start);
    handle_read(&mut state, at(2, 5), 10, start + seconds(3));
    expect_that!(state.proof, some(eq(start)));
    handle_read(&mut state, at(2, 6), 14, start + seconds(4));
    expect_that!(state.proof, some(eq(start + seconds(4))));
}

#[googletest::test]
fn freshness_proof_of_a_peer_counts_for_its_version_only() {
    let start = Instant::now();
    let mut state = ConfigurationState::default();
    state.confirm_version(0, Some(start));
    expect_that!(state.proof, none());
    state.apply(version(14), at(1, 600));
    state.confirm_version(10, Some(start));
    expect_that!(state.proof, none());
    state.confirm_version(14, Some(start));
    expect_that!(state.proof, some(eq(start)));
}

#[tokio::test]
async fn watch_from_a_position_of_a_former_era_reports_history_gone() {
    let platform = PlatformStandin::start();
    platform.set_era(1);
    platform.put(KIND, "main", json!({"version": 1}));
    platform.copy_contents();
    let store = StoreClient::new(platform.address);
    let position = store.list(KIND, drop).await.expect("listing");
    assert_that!(position, eq(at(1, 1)));
    platform.restore_copy();
    let watched = store.watch(KIND, position, WAIT).await.expect("answer");
    assert_that!(matches!(watched, WatchResult::HistoryGone), eq(true));
    assert_that!(store.era(), eq(StoreEra(2)));
}

#[tokio::test]
async fn answer_of_a_former_era_is_an_error() {
    let platform = PlatformStandin::start();
    platform.set_era(5);
    let store = StoreClient::new(platform.address);
    assert_that!(store.list(KIND, drop).await.is_ok(), eq(true));
    platform.set_era(4);
    let error = store.list(KIND, drop).await.expect_err("an answer of era 4");
    assert_that!(error.cause, eq(&FailureCause::FormerEra));
    assert_that!(store.era(), eq(StoreEra(5)));
}

#[tokio::test]
async fn conditional_write_at_a_position_of_a_former_era_is_a_conflict() {
    let platform = PlatformStandin::start();
    platform.set_era(1);
    platform.put(KIND, "main", json!({"version": 1}));
    platform.copy_contents();
    let store = StoreClient::new(platform.address);
    let known = store.read(KIND, "main").await.expect("answer").expect("object");
    platform.restore_copy();
    // The client has not received an answer of the new era yet.
    let condition = WriteCondition::At(known.position);
    let written = store.write(KIND, "main", condition, &json!({"version": 2})).await;
    assert_that!(matches!(written, Ok(WriteResult::WrittenInLaterEra)), eq(true));
    let written = store.write(KIND, "main", condition, &json!({"version": 3})).await;
    assert_that!(matches!(written, Ok(WriteResult::Conflict)), eq(true));
}
