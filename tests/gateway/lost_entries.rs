//! Which endpoints are used after the store was restored from a copy, while entries written after
//! the copy are missing.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use googletest::prelude::*;
use tokio::time::Instant;
use willowarch::{
    gateway::{
        endpoint::{EndpointList, EndpointRecord, EndpointState},
        policy::endpoint::{
            endpoint_load::endpoint_number, endpoint_starts::lost_entries::EntryHistory,
        },
    },
    store_position::{StoreEra, StorePosition},
};

const ENTRY_EXPIRY: Duration = Duration::from_secs(3);
const BORN: u64 = 7;

fn record(id: &str, born: u64, state: EndpointState) -> Rc<EndpointRecord> {
    Rc::new(EndpointRecord {
        id: id.into(),
        born,
        service: "pool".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "hall-a".into(),
        version: "v1".into(),
        slots: 4,
        state,
        reclaimable: false,
    })
}

fn ready(id: &str) -> Rc<EndpointRecord> {
    record(id, BORN, EndpointState::Ready)
}

fn draining(id: &str) -> Rc<EndpointRecord> {
    record(id, BORN, EndpointState::Draining)
}

struct ListedEntries {
    history: EntryHistory,
    now: Instant,
}

impl ListedEntries {
    fn new() -> Self {
        Self { history: EntryHistory::new(ENTRY_EXPIRY), now: Instant::now() }
    }

    /// Applies a list of the store. Returns the endpoints known to drain if the era is new.
    fn list(&mut self, era: u64, revision: u64, endpoints: &[Rc<EndpointRecord>]) -> Vec<u64> {
        let drained = self.history.begin_era(StoreEra(era));
        let position = StorePosition::new(StoreEra(era), revision);
        self.history.apply(EndpointList { position, endpoints: endpoints.to_vec() }, self.now);
        drained.into_iter().map(|start| start.endpoint).collect()
    }

    fn used(&self) -> Vec<String> {
        self.history.used().endpoints.iter().map(|record| record.id.to_string()).collect()
    }

    fn advance(&mut self, time: Duration) -> bool {
        self.now += time;
        self.history.end_rewrite_period(self.now)
    }
}

#[googletest::test]
fn draining_endpoint_drains_although_a_copy_lists_it_as_ready() {
    let mut entries = ListedEntries::new();
    entries.list(1, 5, &[ready("a"), draining("b")]);
    let drained = entries.list(2, 3, &[ready("a"), ready("b")]);
    expect_that!(drained, eq(&vec![endpoint_number("b")]));
}

#[googletest::test]
fn endpoint_that_drained_and_was_removed_drains_if_a_copy_lists_it() {
    let mut entries = ListedEntries::new();
    entries.list(1, 5, &[ready("a"), draining("b")]);
    entries.list(1, 6, &[ready("a")]);
    let drained = entries.list(2, 3, &[ready("a"), ready("b")]);
    expect_that!(drained, eq(&vec![endpoint_number("b")]));
}

#[googletest::test]
fn endpoint_missing_from_a_copy_is_used_until_the_rewrite_period_ends() {
    let mut entries = ListedEntries::new();
    entries.list(1, 5, &[ready("a"), ready("b")]);
    entries.list(2, 3, &[ready("a")]);
    expect_that!(entries.used(), eq(&vec!["a", "b"]));
    expect_that!(entries.advance(ENTRY_EXPIRY / 2), eq(false));
    entries.list(2, 4, &[ready("a"), ready("c")]);
    expect_that!(entries.used(), eq(&vec!["a", "b", "c"]));
    expect_that!(entries.advance(ENTRY_EXPIRY / 2), eq(true));
    expect_that!(entries.used(), eq(&vec!["a", "c"]));
}

#[googletest::test]
fn rewritten_entry_is_removed_with_the_list_of_the_store() {
    let mut entries = ListedEntries::new();
    entries.list(1, 5, &[ready("a"), ready("b")]);
    entries.list(2, 3, &[ready("a")]);
    entries.list(2, 4, &[ready("a"), ready("b")]);
    entries.list(2, 5, &[ready("a")]);
    expect_that!(entries.used(), eq(&vec!["a"]));
}

#[googletest::test]
fn removed_entry_that_a_copy_lists_is_used_after_the_rewrite_period() {
    let mut entries = ListedEntries::new();
    entries.list(1, 5, &[ready("a"), ready("b")]);
    entries.list(1, 6, &[ready("a")]);
    entries.list(2, 3, &[ready("a"), ready("b")]);
    expect_that!(entries.used(), eq(&vec!["a"]));
    expect_that!(entries.advance(ENTRY_EXPIRY), eq(true));
    expect_that!(entries.used(), eq(&vec!["a", "b"]));
}

#[googletest::test]
fn later_start_of_a_removed_endpoint_is_used_immediately() {
    let mut entries = ListedEntries::new();
    entries.list(1, 5, &[ready("a"), ready("b")]);
    entries.list(1, 6, &[ready("a")]);
    entries.list(2, 3, &[ready("a"), ready("b")]);
    entries.list(2, 4, &[ready("a"), record("b", BORN + 1, EndpointState::Ready)]);
    expect_that!(entries.used(), eq(&vec!["a", "b"]));
}

#[googletest::test]
fn missing_entries_are_used_across_two_restores() {
    let mut entries = ListedEntries::new();
    entries.list(1, 5, &[ready("a"), ready("b"), draining("c")]);
    entries.list(2, 3, &[ready("a"), ready("c")]);
    entries.advance(ENTRY_EXPIRY / 2);
    entries.list(3, 3, &[ready("a"), ready("c")]);
    entries.advance(ENTRY_EXPIRY / 2);
    expect_that!(entries.used(), eq(&vec!["a", "b", "c"]));
}

#[googletest::test]
fn first_list_of_a_daemon_is_used_as_it_is() {
    let mut entries = ListedEntries::new();
    expect_that!(entries.list(2, 3, &[ready("a"), draining("b")]), is_empty());
    expect_that!(entries.used(), eq(&vec!["a", "b"]));
}
