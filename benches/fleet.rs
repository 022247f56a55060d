//! How the cost of membership, of spreading items and of averaging grows with the size of the
//! fleet: runs the cluster code of the daemons without I/O, many daemons in one process.
//! docs/CAPACITY.md quotes the results.
//!
//!     cargo bench --bench fleet [-- SIZE...]

#[path = "../tests/native/in_memory_fleet.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod in_memory_fleet;
#[path = "../tests/native/process_usage.rs"]
mod process_usage;

use std::{
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use in_memory_fleet::InMemoryFleet;
use process_usage::cpu_and_rss;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use willowarch::{
    ids::{IncarnationId, RequestName, SharedName},
    native::{
        cloud_api::messages::PriceClass,
        cluster::{
            averaging::{AccountOrder, DemandAveraging, EPOCH_MS, EXCHANGE_MS},
            items::{ItemKey, ItemKind, ItemStore, SpreadItem},
            members::{MemberList, MemberRecord, MemberStatus, MemberView},
        },
        decide::{
            limits::{AccountLimiter, RequestPriority},
            prefix::prefix_chain,
            routing::{EndpointInfo, RouteQuery, RouteTable},
            subset::{window, window_size},
        },
        request::{
            copy::{RequestCopy, RequestHolder},
            store::RequestStore,
            tickets::{TicketId, TicketLedger, WitnessLedger},
        },
        serve::timeline::{EventKind, TimelineHandle},
    },
};

const ZONES: usize = 8;

fn account_row(version: u64) -> SpreadItem {
    let row = serde_json::json!({
        "kind": "account", "name": "reader", "api_key": "key", "weight": 2.0, "tokens_per_s": 9.0,
    });
    SpreadItem::new(ItemKind::Row, "account.reader".into(), version, &row)
}

fn all_nodes_hold(fleet: &InMemoryFleet, version: u64) -> bool {
    let key = ItemKey { kind: ItemKind::Row, name: "account.reader".into() };
    fleet.nodes.iter().all(|node| node.core.items().version(&key) == Some(version))
}

fn rss_mb() -> f64 {
    cpu_and_rss("self").1 / 1_024.0
}

fn cpu_s() -> f64 {
    cpu_and_rss("self").0
}

/// Measures the traffic of an unchanged fleet, and the time until an edit has reached all nodes:
/// without loss, with message loss, and after a network partition has healed.
fn measure_fleet(size: usize) {
    let before_mb = rss_mb();
    let mut fleet = InMemoryFleet::new(size, ZONES, size as u64);
    fleet.introduce_all();
    fleet.run_until(Duration::from_secs(5));
    let node_kb = (rss_mb() - before_mb) * 1_024.0 / size as f64;

    let quiet_from = (fleet.now(), fleet.traffic(), cpu_s());
    fleet.run_until(fleet.now() + Duration::from_secs(20));
    let quiet = fleet.traffic();
    let length = (fleet.now() - quiet_from.0).as_secs_f64();
    let bytes_s = (quiet.bytes - quiet_from.1.bytes) as f64 / length;
    let messages_s = (quiet.messages - quiet_from.1.messages) as f64 / length;
    let cpu_us = (cpu_s() - quiet_from.2) * 1e6 / (length * size as f64);

    let edit = measure_edit(&mut fleet, 1);
    fleet.loss = 0.1;
    let lossy = measure_edit(&mut fleet, 2);
    fleet.loss = 0.0;
    let healed = measure_partition(&mut fleet, 3);
    println!(
        "{size:>5} nodes: {node_kb:7.0} KB a node; quiet {messages_s:5.1} messages/s {bytes_s:6.0} B/s \
         {cpu_us:6.0} us CPU/s a node; edit everywhere {edit:5.2} s, with 10% loss {lossy:5.2} s, \
         after a zone's cut of 10 s {healed:5.2} s",
    );
}

fn measure_edit(fleet: &mut InMemoryFleet, version: u64) -> f64 {
    let from = fleet.now();
    fleet.inject(fleet.nodes.len() / 3, account_row(version));
    let until = from + Duration::from_secs(60);
    let found = fleet.run_until_holds(until, |fleet| all_nodes_hold(fleet, version));
    found.map_or(f64::NAN, |found| (found - from).as_secs_f64())
}

fn measure_partition(fleet: &mut InMemoryFleet, version: u64) -> f64 {
    fleet.partitioned_zone = Some(1);
    fleet.inject(0, account_row(version));
    fleet.run_until(fleet.now() + Duration::from_secs(10));
    fleet.partitioned_zone = None;
    let from = fleet.now();
    let until = from + Duration::from_secs(120);
    let found = fleet.run_until_holds(until, |fleet| all_nodes_hold(fleet, version));
    found.map_or(f64::NAN, |found| (found - from).as_secs_f64())
}

/// Measures how often a frozen node is removed from the fleet, by the length of the freeze.
fn measure_freezes(size: usize) {
    for seconds in [1, 3, 10] {
        let mut removed = 0;
        const FREEZES: usize = 20;
        for seed in 0..FREEZES {
            let mut fleet = InMemoryFleet::new(size, ZONES, seed as u64);
            fleet.introduce_all();
            fleet.run_until(Duration::from_secs(3));
            fleet.suspend(size / 2, Duration::from_secs(seconds));
            fleet.run_until(Duration::from_secs(20));
            removed += usize::from(fleet.removals() > 0);
        }
        println!(
            "{size:>5} nodes: freeze of {seconds:>2} s removed the node in {removed} of {FREEZES}"
        );
    }
}

/// Measures the error of the averages after one epoch.
fn measure_averaging(size: usize) {
    const ACCOUNTS: usize = 100;
    let mut rng = SmallRng::seed_from_u64(size as u64);
    let account = |index: usize| -> SharedName { format!("account-{index}").into() };
    let order = Rc::new(AccountOrder::new((0..ACCOUNTS).map(account)));
    let demands: Vec<HashMap<SharedName, f64>> = (0..size)
        .map(|_| {
            (0..ACCOUNTS).map(|index| (account(index), rng.random_range(0.0..100.0))).collect()
        })
        .collect();
    let mut nodes: Vec<DemandAveraging> = (0..size).map(|_| DemandAveraging::default()).collect();
    for (node, demand) in nodes.iter_mut().zip(&demands) {
        node.enter(EPOCH_MS, &order, || demand.clone());
    }
    let started_at = Instant::now();
    let rounds = (EPOCH_MS / EXCHANGE_MS) as usize;
    for _ in 0..rounds {
        for from in 0..size {
            let to = rng.random_range(0..size);
            if to == from {
                continue;
            }
            let sent = nodes[from].offer();
            if let Some(theirs) = nodes[to].answer(&sent) {
                nodes[from].finish(&sent, &theirs);
            }
        }
    }
    let cpu_us = started_at.elapsed().as_secs_f64() * 1e6 / (size as f64 * EPOCH_MS as f64 / 1e3);
    for node in &mut nodes {
        node.enter(2 * EPOCH_MS, &order, HashMap::new);
    }
    let mut worst: f64 = 0.0;
    for index in 0..ACCOUNTS {
        let name = account(index);
        let mean: f64 = demands.iter().map(|demand| demand[&name]).sum::<f64>() / size as f64;
        for node in &nodes {
            worst = worst.max((node.result()[&name] / mean - 1.0).abs());
        }
    }
    // A node begins one exchange per interval and answers one on average; each sends the values in
    // both directions.
    let bytes_s = (ACCOUNTS as f64 * 4.0 + 100.0) * 4.0 * 1e3 / EXCHANGE_MS as f64;
    println!(
        "{size:>5} nodes: averages of {ACCOUNTS} accounts after {rounds} rounds: worst error \
         {:.3}%, {cpu_us:.0} us CPU/s a node, {bytes_s:.0} B/s a node",
        worst * 100.0
    );
}

fn member_list(size: usize) -> MemberList {
    let mut members = MemberList::default();
    for number in 0..size as u64 {
        let record = MemberRecord {
            address: format!("127.0.0.1:{number}").into(),
            zone: format!("zone-{}", number % ZONES as u64).into(),
            leaving: false,
        };
        let view = MemberView {
            record,
            status: MemberStatus::Alive,
            refutation: 0,
            since: tokio::time::Instant::now(),
        };
        members.set(IncarnationId(number * 7_919 + 1), view);
    }
    members
}

fn us_per_call(count: usize, mut call: impl FnMut(usize)) -> f64 {
    let started_at = Instant::now();
    for index in 0..count {
        call(index);
    }
    started_at.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn endpoint(index: usize) -> EndpointInfo {
    EndpointInfo {
        id: format!("vm-{index}").into(),
        address: format!("10.0.0.1:{index}").into(),
        zone: format!("zone-{}", index % ZONES).into(),
        class: PriceClass::Reclaimable,
    }
}

/// Measures the decisions on the path of a request, by the numbers of daemons and replicas.
fn measure_decisions() {
    for (daemons, replicas) in [(8, 60), (64, 500), (512, 2_500), (2_100, 10_000)] {
        let members = member_list(daemons);
        let placed = us_per_call(2_000, |index| {
            std::hint::black_box(members.placed_for(&index.to_le_bytes(), 3));
        });
        let watchers =
            members.present().filter(|(own, _)| members.has_role(*own, b"rows", 2)).count();
        println!("{daemons:>5} daemons in {ZONES} zones: {watchers} of them watch the platform");
        let size = window_size(daemons, replicas);
        let mut routes = RouteTable::new("zone-0".into());
        let infos = window(daemons / 2, daemons, replicas).map(endpoint).collect();
        let daemons_per_endpoint = (size * daemons) as f64 / replicas as f64;
        routes.set_endpoints(&"model".into(), infos, 64, daemons_per_endpoint);
        let chain = prefix_chain(&"word ".repeat(800));
        let mut rng = SmallRng::seed_from_u64(1);
        let picked = us_per_call(20_000, |_| {
            let query = RouteQuery {
                service: "model",
                chain: &chain,
                exclude: &[],
                priority: RequestPriority::Normal,
            };
            std::hint::black_box(routes.pick(query, tokio::time::Instant::now(), &mut rng));
        });
        println!(
            "{daemons:>5} daemons, {replicas:>6} replicas: window {size:>3} (each replica has \
             {daemons_per_endpoint:.1} daemons), placement of copies {placed:6.1} us, choice of \
             endpoint {picked:5.1} us"
        );
    }
}

/// Measures the memory and CPU time of state that grows with requests or with time, not with the
/// size of the fleet.
fn measure_state() {
    let now = tokio::time::Instant::now();
    for count in [10_000, 50_000, 150_000] {
        let before = rss_mb();
        let mut held = TicketLedger::new(IncarnationId(1));
        let mut witness = WitnessLedger::default();
        let scope = TicketId::scope_of("press");
        let cpu = us_per_call(count, |_| {
            let ticket = held.issue(IncarnationId(2), scope, now);
            held.begin(ticket, [1; 32]);
            witness.consent(ticket, now);
        });
        let bytes = (rss_mb() - before) * 1_048_576.0 / count as f64;
        println!("{count:>7} tickets: {bytes:5.0} B and {cpu:4.2} us each, held and witnessed");
        drop((held, witness));
    }
    for count in [2_000, 5_000, 10_000] {
        measure_records(count);
    }
    let timeline = TimelineHandle::new("daemon".into());
    let cpu = us_per_call(60_000, |index| {
        timeline.record(EventKind::Ended, Some("reader/k".into()), format!("answered; {index}"));
    });
    println!("time line: {cpu:.2} us an event, {} events kept", timeline.read("").len());
    let mut limiter = AccountLimiter::default();
    let account: SharedName = "reader".into();
    let cpu = us_per_call(200_000, |_| {
        std::hint::black_box(limiter.admit(&account, 1.0, 10.0, 1e9, tokio::time::Instant::now()));
    });
    println!("limiter: {cpu:.2} us a request");
    for count in [1_000, 5_000, 10_000] {
        let before = rss_mb();
        let mut items = ItemStore::default();
        for index in 0..count {
            let vm = serde_json::json!({
                "id": format!("vm-{index}"), "name": format!("pool-{index}"),
                "address": format!("10.0.{}.{}:9100", index / 250, index % 250),
                "zone": "zone-1", "class": "reclaimable", "service": "pool", "state": "live",
            });
            items.offer(SpreadItem::new(ItemKind::Vm, format!("vm-{index}").into(), 1, &vm), now);
        }
        let bytes = (rss_mb() - before) * 1_048_576.0 / count as f64;
        println!("{count:>7} VMs known: {bytes:.0} B each");
    }
}

/// Measures the memory of the request records that partners keep: 244 tokens each, the mean length
/// of a response at the two-year target.
fn measure_records(count: usize) {
    const TOKENS: usize = 244;
    let now = tokio::time::Instant::now();
    let holder = |number| RequestHolder {
        incarnation: IncarnationId(number),
        address: "127.0.0.1:1".into(),
    };
    let before = rss_mb();
    let mut store = RequestStore::new(holder(1), Duration::from_secs(120), usize::MAX);
    for number in 0..count {
        let copy = |first_token: usize, tokens: usize| RequestCopy {
            name: RequestName::new("reader", format!("request-number-{number}")),
            takeovers: 0,
            holder: holder(2),
            digest: Some([1; 32]),
            call: None,
            first_token,
            tokens: (0..tokens).map(|token| Arc::from(format!("w{token:x} "))).collect(),
            response: None,
        };
        for first_token in (0..TOKENS).step_by(4) {
            store.offer(copy(first_token, 4), now);
        }
    }
    let bytes = (rss_mb() - before) * 1_048_576.0 / count as f64;
    let counted = store.bytes() / count;
    println!("{count:>7} records of {TOKENS} tokens: {bytes:.0} B each ({counted} as counted)");
}

fn main() {
    let sizes: Vec<usize> = std::env::args().filter_map(|text| text.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![8, 64, 512, 2_100] } else { sizes };
    measure_decisions();
    measure_state();
    for size in &sizes {
        measure_averaging(*size);
    }
    measure_freezes(64);
    for size in &sizes {
        measure_fleet(*size);
    }
}
