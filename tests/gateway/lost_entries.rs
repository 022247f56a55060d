//! Which endpoints are used while a store that was restored from a copy lacks what was written since.

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

const LAPSE: Duration = Duration::from_secs(3);
const BORN: u64 = 7;

fn record(id: &str, born: u64, state: EndpointState) -> Rc<EndpointRecord> {
    Rc::new(EndpointRecord {
        id: id.into(),
        born,
        service: "pool".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        zone: "hall-a".into(),
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
    memory: EntryHistory,
    now: Instant,
}

impl ListedEntries {
    fn new() -> Self {
        Self { memory: EntryHistory::new(LAPSE), now: Instant::now() }
    }

    /// The store lists these; returns the endpoints that a new era makes drain.
    fn list(&mut self, era: u64, revision: u64, endpoints: &[Rc<EndpointRecord>]) -> Vec<u64> {
        let drained = self.memory.begin_era(StoreEra(era));
        let position = StorePosition::new(StoreEra(era), revision);
        self.memory.apply(EndpointList { position, endpoints: endpoints.to_vec() }, self.now);
        drained.into_iter().map(|start| start.endpoint).collect()
    }

    fn used(&self) -> Vec<String> {
        self.memory.used().endpoints.iter().map(|record| record.id.to_string()).collect()
    }

    fn pass(&mut self, time: Duration) -> bool {
        self.now += time;
        self.memory.end_rewrite_period(self.now)
    }
}

#[googletest::test]
fn endpoint_that_drains_does_so_whatever_a_copy_says() {
    let mut entries = ListedEntries::new();
    entries.list(1, 5, &[ready("a"), draining("b")]);
    let drained = entries.list(2, 3, &[ready("a"), ready("b")]);
    expect_that!(drained, eq(&vec![endpoint_number("b")]));
}

#[googletest::test]
fn endpoint_that_drained_and_has_gone_is_remembered() {
    let mut entries = ListedEntries::new();
    entries.list(1, 5, &[ready("a"), draining("b")]);
    entries.list(1, 6, &[ready("a")]);
    let drained = entries.list(2, 3, &[ready("a"), ready("b")]);
    expect_that!(drained, eq(&vec![endpoint_number("b")]));
}

#[googletest::test]
fn entry_that_a_copy_lacks_is_used_until_the_time_is_over() {
    let mut entries = ListedEntries::new();
    entries.list(1, 5, &[ready("a"), ready("b")]);
    entries.list(2, 3, &[ready("a")]);
    expect_that!(entries.used(), eq(&vec!["a", "b"]));
    expect_that!(entries.pass(LAPSE / 2), eq(false));
    entries.list(2, 4, &[ready("a"), ready("c")]);
    expect_that!(entries.used(), eq(&vec!["a", "b", "c"]));
    expect_that!(entries.pass(LAPSE / 2), eq(true));
    expect_that!(entries.used(), eq(&vec!["a", "c"]));
}

#[googletest::test]
fn entry_that_was_written_again_goes_when_the_store_says_so() {
    let mut entries = ListedEntries::new();
    entries.list(1, 5, &[ready("a"), ready("b")]);
    entries.list(2, 3, &[ready("a")]);
    entries.list(2, 4, &[ready("a"), ready("b")]);
    entries.list(2, 5, &[ready("a")]);
    expect_that!(entries.used(), eq(&vec!["a"]));
}

#[googletest::test]
fn entry_that_had_gone_is_used_once_it_has_outlasted_the_time() {
    let mut entries = ListedEntries::new();
    entries.list(1, 5, &[ready("a"), ready("b")]);
    entries.list(1, 6, &[ready("a")]);
    entries.list(2, 3, &[ready("a"), ready("b")]);
    expect_that!(entries.used(), eq(&vec!["a"]));
    expect_that!(entries.pass(LAPSE), eq(true));
    expect_that!(entries.used(), eq(&vec!["a", "b"]));
}

#[googletest::test]
fn later_start_of_an_endpoint_that_had_gone_is_used_at_once() {
    let mut entries = ListedEntries::new();
    entries.list(1, 5, &[ready("a"), ready("b")]);
    entries.list(1, 6, &[ready("a")]);
    entries.list(2, 3, &[ready("a"), ready("b")]);
    entries.list(2, 4, &[ready("a"), record("b", BORN + 1, EndpointState::Ready)]);
    expect_that!(entries.used(), eq(&vec!["a", "b"]));
}

#[googletest::test]
fn entries_are_remembered_over_two_losses() {
    let mut entries = ListedEntries::new();
    entries.list(1, 5, &[ready("a"), ready("b"), draining("c")]);
    entries.list(2, 3, &[ready("a"), ready("c")]);
    entries.pass(LAPSE / 2);
    entries.list(3, 3, &[ready("a"), ready("c")]);
    entries.pass(LAPSE / 2);
    expect_that!(entries.used(), eq(&vec!["a", "b", "c"]));
}

#[googletest::test]
fn first_list_of_a_daemon_is_taken_as_it_is() {
    let mut entries = ListedEntries::new();
    expect_that!(entries.list(2, 3, &[ready("a"), draining("b")]), is_empty());
    expect_that!(entries.used(), eq(&vec!["a", "b"]));
}
