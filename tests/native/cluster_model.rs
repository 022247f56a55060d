//! Membership and gossip of many cluster cores in one process, under message loss, partitions and
//! suspensions.

use std::time::Duration;

use googletest::prelude::*;
use willowarch::{
    ids::IncarnationId,
    native::cluster::{
        events::ClusterEvent,
        items::{ItemKey, ItemKind, ItemStore, SpreadItem},
        members::{MemberList, MemberRecord, MemberStatus, MemberView},
    },
};

use crate::{cases, in_memory_fleet::InMemoryFleet};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn row(name: &str, weight: f64, version: u64) -> SpreadItem {
    let row = serde_json::json!({
        "kind": "account", "name": name, "api_key": format!("key-{name}"), "weight": weight,
        "tokens_per_s": 100.0,
    });
    SpreadItem::new(ItemKind::Row, format!("account.{name}").into(), version, &row)
}

fn version_at(fleet: &InMemoryFleet, node: usize, name: &str) -> Option<u64> {
    let key = ItemKey { kind: ItemKind::Row, name: format!("account.{name}").into() };
    fleet.nodes[node].core.items().version(&key)
}

/// Whether all nodes have the row `name` in `version`.
fn all_nodes_have(fleet: &InMemoryFleet, name: &str, version: u64) -> bool {
    (0..fleet.nodes.len()).all(|node| version_at(fleet, node, name) == Some(version))
}

/// Guards against nodes that start at the same time, with three known addresses, and do not find
/// each other within 30 s.
fn cold_start_agrees(count: usize, loss: f64, seed: u64) {
    let mut fleet = InMemoryFleet::new(count, 4, seed);
    fleet.loss = loss;
    let agreed = fleet.run_until_holds(seconds(60), InMemoryFleet::agrees);
    expect_that!(agreed, some(lt(seconds(30))), "{count} nodes, loss {loss}");
}

cases!(cold_start_agrees:
    cold_start_of_8(8, 0.0, 1),
    cold_start_of_8_with_loss(8, 0.1, 2),
    cold_start_of_64(64, 0.0, 3),
    cold_start_of_64_with_loss(64, 0.05, 4),
);

/// Guards against an edit, known to one node at first, that does not reach all nodes within 10 s of
/// simulated time.
fn edit_reaches_all(count: usize, loss: f64, seed: u64) {
    let mut fleet = InMemoryFleet::new(count, 4, seed);
    fleet.introduce_all();
    fleet.loss = loss;
    fleet.run_until(seconds(3));
    fleet.inject(count / 2, row("reader", 2.0, 9));
    let found = fleet.run_until_holds(seconds(20), |fleet| all_nodes_have(fleet, "reader", 9));
    expect_that!(found, some(lt(seconds(10))));
}

cases!(edit_reaches_all:
    edit_reaches_all_8(8, 0.0, 1),
    edit_reaches_all_64_with_loss(64, 0.2, 2),
    edit_reaches_all_200(200, 0.0, 3),
);

/// Guards against the removal of a node that is suspended for a few seconds: it is suspected, and
/// refutes the suspicion when it resumes.
fn short_suspension_does_not_remove_the_node(millis: u64, seed: u64) {
    let mut fleet = InMemoryFleet::new(16, 4, seed);
    fleet.introduce_all();
    fleet.run_until(seconds(3));
    fleet.suspend(5, Duration::from_millis(millis));
    fleet.run_until(seconds(20));
    expect_that!(fleet.removals(), eq(0));
    expect_true!(fleet.agrees());
}

cases!(short_suspension_does_not_remove_the_node:
    suspension_of_one_second(1_000, 1),
    suspension_of_three_seconds(3_000, 2),
);

/// Guards against a node that is still listed after a suspension of 12 s, or that does not rejoin
/// after it resumes.
#[googletest::test]
fn node_is_removed_in_a_long_suspension_and_rejoins_after_it() {
    let mut fleet = InMemoryFleet::new(16, 4, 3);
    fleet.introduce_all();
    fleet.run_until(seconds(3));
    fleet.suspend(5, seconds(20));
    fleet.run_until(seconds(15));
    let suspended = fleet.nodes[5].core.own();
    let present =
        fleet.nodes[0].core.members().get(suspended).is_some_and(|view| view.is_present());
    expect_false!(present);
    expect_that!(fleet.run_until_holds(seconds(60), InMemoryFleet::agrees), some(anything()));
}

/// Guards against a killed node that stays in the member lists, and against a node restarted at the
/// same address that is not added to them.
#[googletest::test]
fn killed_node_is_removed_and_its_successor_joins() {
    let mut fleet = InMemoryFleet::new(24, 4, 5);
    fleet.introduce_all();
    fleet.run_until(seconds(3));
    fleet.kill(7);
    expect_that!(fleet.run_until_holds(seconds(15), InMemoryFleet::agrees), some(anything()));
    fleet.restart(7);
    expect_that!(fleet.run_until_holds(seconds(30), InMemoryFleet::agrees), some(anything()));
}

/// Guards against rows that are lost in a rolling restart, in which every node loses its memory.
#[googletest::test]
fn rolling_restart_of_all_nodes_keeps_the_rows() {
    let mut fleet = InMemoryFleet::new(8, 4, 6);
    fleet.introduce_all();
    fleet.inject(0, row("reader", 2.0, 9));
    fleet.run_until(seconds(2));
    for node in 0..8 {
        fleet.restart(node);
        let until = fleet.now() + seconds(20);
        let known = fleet.run_until_holds(until, |fleet| {
            fleet.agrees() && version_at(fleet, node, "reader") == Some(9)
        });
        expect_that!(known, some(anything()), "node {node}");
    }
}

/// Both sides of a partition get edits. Guards against sides that do not converge on the newest
/// versions after it heals, or that revert a row.
fn partitioned_zone_converges_after_healing(partition_seconds: u64, seed: u64) {
    let mut fleet = InMemoryFleet::new(16, 4, seed);
    fleet.introduce_all();
    fleet.inject(0, row("reader", 1.0, 5));
    fleet.run_until(seconds(3));
    fleet.partitioned_zone = Some(1);
    fleet.inject(0, row("reader", 2.0, 7));
    fleet.inject(1, row("press", 3.0, 6));
    fleet.run_until(seconds(3 + partition_seconds));
    expect_that!(version_at(&fleet, 1, "reader"), some(eq(5)));
    expect_that!(version_at(&fleet, 2, "reader"), some(eq(7)));
    expect_that!(version_at(&fleet, 5, "press"), some(eq(6)));
    fleet.partitioned_zone = None;
    let until = fleet.now() + seconds(60);
    let healed = fleet.run_until_holds(until, |fleet| {
        fleet.agrees() && all_nodes_have(fleet, "reader", 7) && all_nodes_have(fleet, "press", 6)
    });
    expect_that!(healed, some(anything()));
}

cases!(partitioned_zone_converges_after_healing:
    partition_of_three_seconds(3, 1),
    partition_of_sixty_seconds(60, 2),
);

/// Guards against items of an older version, or with a value that is not valid JSON, that replace
/// a valid row on any node.
#[googletest::test]
fn stale_and_corrupt_items_do_not_replace_a_row() {
    let mut fleet = InMemoryFleet::new(8, 4, 8);
    fleet.introduce_all();
    fleet.inject(0, row("reader", 2.0, 9));
    fleet.run_until(seconds(2));
    let key = ItemKey { kind: ItemKind::Row, name: "account.reader".into() };
    let corrupt =
        SpreadItem { key, version: 99, value: Some(b"{\"kind\":\"acc".as_slice().into()) };
    fleet.inject(3, row("reader", 1.0, 4));
    fleet.inject(3, corrupt);
    fleet.run_until(seconds(5));
    expect_true!(all_nodes_have(&fleet, "reader", 9));
}

/// Guards against nodes that do not learn within 10 s that a member leaves.
#[googletest::test]
fn all_nodes_learn_that_a_member_leaves() {
    let mut fleet = InMemoryFleet::new(8, 4, 9);
    fleet.introduce_all();
    fleet.run_until(seconds(1));
    let own = fleet.nodes[2].core.own();
    let now = tokio::time::Instant::now();
    fleet.nodes[2].core.on(now, ClusterEvent::Leave);
    let known = fleet.run_until_holds(seconds(10), |fleet| {
        fleet
            .nodes
            .iter()
            .all(|node| node.core.members().get(own).is_some_and(|view| view.record.leaving))
    });
    expect_that!(known, some(anything()));
}

fn member_list(count: u64) -> MemberList {
    let mut members = MemberList::default();
    for number in 0..count {
        let record = MemberRecord {
            address: format!("127.0.0.1:{number}").into(),
            zone: format!("z{}", number % 4).into(),
            leaving: false,
        };
        let since = tokio::time::Instant::now();
        let status = MemberStatus::Alive;
        let view = MemberView { record, status, refutation: 0, since };
        members.set(IncarnationId(number * 7_919 + 3), view);
    }
    members
}

/// Guards against copies that pile up on few members or share an availability zone, and against
/// a placement that moves most copies when one member leaves.
fn placement_is_even_and_changes_little_when_a_member_leaves(count: u64) {
    const NAMES: usize = 4_000;
    let mut members = member_list(count);
    let placed = |members: &MemberList| -> Vec<Vec<IncarnationId>> {
        (0..NAMES).map(|name| members.placed_for(format!("k{name}").as_bytes(), 3)).collect()
    };
    let before = placed(&members);
    let mut loads = std::collections::HashMap::<IncarnationId, usize>::new();
    for copies in &before {
        let zones: std::collections::BTreeSet<_> =
            copies.iter().filter_map(|copy| Some(&members.get(*copy)?.record.zone)).collect();
        expect_that!(zones.len(), eq(3));
        for copy in copies {
            *loads.entry(*copy).or_default() += 1;
        }
    }
    let mean = NAMES * 3 / count as usize;
    expect_that!(loads.values().max(), some(lt(&(mean * 5 / 2))));
    let gone = IncarnationId(7_919 + 3);
    members.remove(gone);
    let after = placed(&members);
    let moved = before.iter().zip(&after).filter(|(before, after)| before != after).count();
    let affected = before.iter().filter(|copies| copies.contains(&gone)).count();
    // Copies on the removed member must move. Windows that contained the member without choosing
    // it may now choose its neighbour instead.
    expect_that!(moved, le(affected * 3));
}

cases!(placement_is_even_and_changes_little_when_a_member_leaves:
    placement_over_8(8),
    placement_over_64(64),
    placement_over_500(500),
);

proptest::proptest! {
    /// For any order and repetition of offers the newest version is kept, and two stores that got
    /// the same items have the same summary.
    #[test]
    fn item_store_keeps_the_newest(
        offers in proptest::collection::vec((0_u8..6, 0_u64..20), 1..60),
        order in proptest::collection::vec(proptest::num::usize::ANY, 1..60),
    ) {
        let now = tokio::time::Instant::now();
        let mut naive = std::collections::BTreeMap::<u8, u64>::new();
        let (mut first, mut second) = (ItemStore::default(), ItemStore::default());
        for (name, version) in &offers {
            let newest = naive.entry(*name).or_insert(*version);
            *newest = (*newest).max(*version);
            first.offer(row(&name.to_string(), 1.0, *version), now);
        }
        let mut shuffled = offers.clone();
        for (index, draw) in order.iter().enumerate() {
            let left = index % shuffled.len();
            let right = draw % shuffled.len();
            shuffled.swap(left, right);
        }
        for (name, version) in shuffled {
            second.offer(row(&name.to_string(), 1.0, version), now);
        }
        for (name, version) in &naive {
            let key = ItemKey { kind: ItemKind::Row, name: format!("account.{name}").into() };
            proptest::prop_assert_eq!(first.version(&key), Some(*version));
        }
        proptest::prop_assert_eq!(first.summary(), second.summary());
        proptest::prop_assert!(first.differing(second.summary()).is_empty());
    }
}
