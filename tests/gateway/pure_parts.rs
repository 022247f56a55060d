//! Pure parts of the gateway, against naive versions where there is one.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use googletest::prelude::*;
use proptest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    endpoint_health::AttemptResult,
    gateway::{
        configuration::{Configuration, Route, RouteKind},
        endpoint::{EndpointList, EndpointRecord, EndpointState},
        gossip::report_source::ReportSource,
        policy::{
            catch_up::{CatchUpState, HeldRevisions},
            endpoint_choice::{ChoiceQuery, ChoiceResult, EndpointTable, endpoint_number},
            endpoint_load::{LoadSum, ReportedLoads, RunLoad},
            leader_lease::LeaderLease,
            prefill_rate::PrefillRate,
            retry_budget::RetryBudget,
            usage_counts::UsageCounts,
            wall_clock::SteadyWallClock,
        },
        request::{call::PromptPart, event_cutter::EventCutter},
    },
    ids::{IncarnationId, SharedName},
};

fn daemon(number: u64) -> ReportSource {
    ReportSource::Daemon(IncarnationId(number))
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

// ---- events

/// Naive version: all at once, split at blank lines.
fn whole_events(text: &str, skip_to: Option<u64>) -> String {
    let mut kept = String::new();
    for event in text.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n")) {
        let id = event.lines().find_map(|line| line.strip_prefix("id:"));
        let id: Option<u64> = id.and_then(|id| id.trim().parse().ok());
        if id.is_none() || id > skip_to {
            kept.push_str(event);
        }
    }
    kept
}

proptest! {
    #[test]
    fn events_are_cut_as_by_the_naive_version(
        ids in proptest::collection::vec(0_u64..50, 0..12),
        cuts in proptest::collection::vec(1_usize..20, 0..60),
        skip_to in proptest::option::of(0_u64..50),
        tail in "[a-z:\n]{0,8}",
    ) {
        let mut text: String = ids.iter().map(|id| format!("id: {id}\ndata: x{id}\n\n")).collect();
        text.push_str(&tail);
        let mut cutter = EventCutter::default();
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts {
            let (piece, later) = rest.split_at(cut.min(rest.len()));
            passed.extend_from_slice(&cutter.feed(piece, skip_to).unwrap().bytes);
            rest = later;
        }
        passed.extend_from_slice(&cutter.feed(rest, skip_to).unwrap().bytes);
        prop_assert_eq!(String::from_utf8(passed).unwrap(), whole_events(&text, skip_to));
    }
}

// ---- repeats

proptest! {
    #[test]
    fn repeats_never_exceed_their_share(gaps in proptest::collection::vec((0_u64..400, any::<bool>()), 1..300)) {
        let (share, reserve, window) = (0.2, 5.0, Duration::from_secs(10));
        let mut budget = RetryBudget::new(window);
        let mut now = Instant::now();
        let mut requests: Vec<Instant> = Vec::new();
        let mut repeats: Vec<Instant> = Vec::new();
        for (gap, is_request) in gaps {
            now += millis(gap);
            if is_request {
                budget.request(now);
                requests.push(now);
            } else if budget.try_withdraw(share, reserve, now) {
                repeats.push(now);
            }
            let lately = |all: &[Instant]| all.iter().filter(|at| now - **at <= window).count() as f64;
            prop_assert!(lately(&repeats) <= lately(&requests) * share + reserve + 1.0);
        }
    }
}

// ---- choice

fn record(id: &str, zone: &str) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        service: "pool".into(),
        address: "127.0.0.1:1".parse().expect("address"),
        zone: zone.into(),
        slots: 4,
        state: EndpointState::Ready,
        reclaimable: false,
    }
}

fn table(records: Vec<EndpointRecord>) -> EndpointTable {
    let mut table = EndpointTable::new("a".into());
    let endpoints = records.into_iter().map(Rc::new).collect();
    table.set_list(&EndpointList { revision: 1, endpoints });
    table
}

const PARTS: [PromptPart; 3] = [
    PromptPart { id: 1, tokens: 500 },
    PromptPart { id: 2, tokens: 4_000 },
    PromptPart { id: 3, tokens: 100 },
];

fn query<'a>(parts: &'a [PromptPart], tried: &'a [SharedName]) -> ChoiceQuery<'a> {
    ChoiceQuery {
        service: "pool",
        parts,
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        memory_tokens: 5_000,
        tried,
        memory_capacity: Some(100_000),
    }
}

fn chosen(table: &EndpointTable, query: &ChoiceQuery<'_>, now: Instant) -> Option<SharedName> {
    match table.choose(query, now, &mut SmallRng::seed_from_u64(1)) {
        ChoiceResult::Endpoint(choice) => Some(choice.endpoint.id.clone()),
        _ => None,
    }
}

#[googletest::test]
fn daemons_agree_on_the_home_of_a_prompt() {
    let records = || (0..12).map(|place| record(&format!("i-{place}"), "a")).collect();
    let (one, other) = (table(records()), table(records()));
    let now = Instant::now();
    for subject in 0..40 {
        let parts = [PARTS[0], PromptPart { id: subject, tokens: 4_000 }, PARTS[2]];
        let query = query(&parts, &[]);
        expect_that!(chosen(&one, &query, now), eq(&chosen(&other, &query, now)));
    }
}

#[googletest::test]
fn a_home_that_is_behind_is_left() {
    let mut table = table(vec![record("i-0", "a"), record("i-1", "a")]);
    let now = Instant::now();
    let affinity = chosen(&table, &query(&PARTS, &[]), now).expect("a replica");
    let load = RunLoad { uncached: 60_000, memory: 60_000 };
    table.begin(&affinity, &[], load, now);
    expect_that!(chosen(&table, &query(&PARTS, &[]), now), not(eq(&Some(affinity))));
}

#[googletest::test]
fn loads_that_others_tell_of_count_until_they_are_old() {
    let mut table = table(vec![record("i-0", "a"), record("i-1", "a")]);
    let now = Instant::now();
    let affinity = chosen(&table, &query(&PARTS, &[]), now).expect("a replica");
    let load = LoadSum { running: 4, uncached: 0, memory: 0 };
    let loads = [(endpoint_number(&affinity), load)].into();
    let state = ReportedLoads { at: now, loads, sent: BTreeMap::new() };
    table.hear(daemon(5), state);
    expect_that!(chosen(&table, &query(&PARTS, &[]), now), not(eq(&Some(affinity.clone()))));
    let later = now + Duration::from_secs(3);
    expect_that!(chosen(&table, &query(&PARTS, &[]), later), eq(&Some(affinity)));
}

#[googletest::test]
fn full_draining_and_tried_endpoints_are_not_chosen() {
    let draining = EndpointRecord { state: EndpointState::Draining, ..record("i-1", "a") };
    let mut table = table(vec![record("i-0", "a"), draining]);
    let now = Instant::now();
    let tried = ["i-0".into()];
    let mut rng = SmallRng::seed_from_u64(1);
    expect_that!(table.choose(&query(&PARTS, &tried), now, &mut rng), eq(&ChoiceResult::None));
    for _ in 0..4 {
        table.begin("i-0", &[], RunLoad::default(), now);
    }
    let full = table.choose(&query(&PARTS, &[]), now, &mut rng);
    expect_that!(matches!(full, ChoiceResult::Full(_)), eq(true));
    table.end("i-0", RunLoad::default(), AttemptResult::Succeeded, now);
    expect_that!(chosen(&table, &query(&PARTS, &[]), now), some(eq(&SharedName::from("i-0"))));
}

#[googletest::test]
fn a_prompt_beyond_the_memory_left_goes_elsewhere() {
    let mut table = table(vec![record("i-0", "a")]);
    let now = Instant::now();
    table.begin("i-0", &[], RunLoad { uncached: 0, memory: 98_000 }, now);
    let result = table.choose(&query(&PARTS, &[]), now, &mut SmallRng::seed_from_u64(1));
    expect_that!(matches!(result, ChoiceResult::Full(_)), eq(true));
}

#[googletest::test]
fn endpoint_at_whose_address_another_answers_is_not_chosen_again() {
    let mut table = table(vec![record("i-0", "a"), record("i-1", "b")]);
    let now = Instant::now();
    table.mark_ended("i-0");
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let result = table.choose(&query(&[], &[]), now, &mut rng);
        let ChoiceResult::Endpoint(choice) = result else { panic!("no replica") };
        expect_that!(&*choice.endpoint.id, eq("i-1"));
    }
}

#[googletest::test]
fn failing_endpoint_is_ejected_and_probed_again() {
    let mut table = table(vec![record("i-0", "a"), record("i-1", "b"), record("i-2", "b")]);
    let now = Instant::now();
    for _ in 0..3 {
        table.begin("i-0", &[], RunLoad::default(), now);
        table.end("i-0", RunLoad::default(), AttemptResult::Failed, now);
    }
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let result = table.choose(&query(&[], &[]), now, &mut rng);
        let ChoiceResult::Endpoint(choice) = result else { panic!("no replica") };
        expect_that!(&*choice.endpoint.id, not(eq("i-0")));
    }
}

#[googletest::test]
fn read_rate_is_learnt() {
    let mut rate = PrefillRate::default();
    for _ in 0..200 {
        rate.learn(10_000, millis(45 + 100));
    }
    expect_that!(rate.tokens_per_ms, near(100.0, 3.0));
}

// ---- routes

#[googletest::test]
fn longest_prefix_of_the_host_wins() {
    let mut configuration = Configuration::default();
    for (host, prefix) in [("One", "/"), ("one", "/a/"), ("one", "/a/b/"), ("two", "/a/b/c/")] {
        configuration.add_route(Route {
            name: format!("{host}{prefix}").into(),
            host: host.into(),
            prefix: prefix.into(),
            kind: RouteKind::Once,
            limit: None,
            target: millis(100),
            gap_target: None,
            priority: 0,
            split: vec![("pool".into(), 1)],
            attempts: 1,
            public: true,
        });
    }
    let name = |host, path| configuration.route(host, path).map(|route| route.name.to_string());
    expect_that!(name("one", "/a/b/c/d"), some(eq("one/a/b/")));
    expect_that!(name("ONE", "/a/x"), some(eq("one/a/")));
    expect_that!(name("one", "/ab"), some(eq("One/")));
    expect_that!(name("two", "/a/b/"), none());
    expect_that!(name("three", "/"), none());
}

// ---- lease, clock, usage

#[googletest::test]
fn holder_stops_before_others_may_start() {
    let lease = Duration::from_secs(3);
    let start = Instant::now();
    let mut view = LeaderLease { fence: 1, holder: None, renewed_at: Some(start), own: true };
    expect_that!(view.may_act(lease, start + millis(2_000)), eq(true));
    expect_that!(view.may_act(lease, start + millis(2_200)), eq(false));
    expect_that!(view.is_silent(lease, start + millis(2_900)), eq(false));
    view.observe(2, &"edge-2".into(), start + millis(500));
    expect_that!(view.own, eq(false));
    view.observe(1, &"edge-1".into(), start + millis(900));
    expect_that!(view.fence, eq(2));
}

#[googletest::test]
fn jumps_of_the_wall_clock_are_not_followed_at_once() {
    let start = Instant::now();
    let mut clock = SteadyWallClock::new(1_000_000, start);
    let seconds = |count| start + Duration::from_secs(count);
    clock.compare(1_003_400, seconds(1));
    clock.compare(1_008_400, seconds(6));
    expect_that!(clock.now_ms(seconds(6)), eq(1_006_000));
    clock.compare(1_007_000, seconds(7));
    expect_that!(clock.now_ms(seconds(7)), eq(1_007_000));
    for second in 10..40 {
        clock.compare(1_000_000 + second * 1_000 - 5_000, seconds(second));
    }
    expect_that!(clock.now_ms(seconds(40)), eq(1_035_000));
}

#[googletest::test]
fn usage_adds_up_over_daemons_and_their_lives() {
    let mut usage = UsageCounts::default();
    let (reader, kiosk): (SharedName, SharedName) = ("reader".into(), "kiosk".into());
    usage.count(&reader, 7);
    usage.count(&reader, 7);
    usage.count(&kiosk, 8);
    usage.receive(daemon(1), 7, [(reader.clone(), 3)].into());
    usage.receive(daemon(1), 7, [(reader.clone(), 5)].into());
    usage.receive(daemon(2), 7, [(kiosk.clone(), 1)].into());
    expect_that!(usage.total(7), eq(&BTreeMap::from([(reader, 7), (kiosk.clone(), 1)])));
    expect_that!(usage.total(8), eq(&BTreeMap::from([(kiosk, 1)])));
}

// ---- who is asked for long texts

#[googletest::test]
fn a_newer_text_is_asked_of_one_daemon_at_a_time() {
    let start = Instant::now();
    let mut table = CatchUpState::default();
    let peer_listener = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let newer = HeldRevisions { configuration: 9, endpoints: 0 };
    let own = HeldRevisions { configuration: 8, endpoints: 0 };
    table.receive(peer_listener(1), newer, start);
    table.receive(peer_listener(2), newer, start);
    let asks = |table: &mut CatchUpState, port, attempt_timeout, now| {
        table.revisions_to_fetch(peer_listener(port), own, attempt_timeout, now).configuration
    };
    let attempt_timeout = millis(300);
    expect_that!(asks(&mut table, 1, attempt_timeout, start + millis(100)), eq(false));
    expect_that!(asks(&mut table, 1, attempt_timeout, start + millis(300)), eq(true));
    expect_that!(asks(&mut table, 1, attempt_timeout, start + millis(400)), eq(false));
    expect_that!(asks(&mut table, 2, attempt_timeout, start + millis(400)), eq(false));
    // The one that was asked does not answer: the next who tells of it is asked instead.
    table.receive(peer_listener(2), newer, start + millis(900));
    expect_that!(asks(&mut table, 2, attempt_timeout, start + millis(900)), eq(true));
    let caught_up =
        table.revisions_to_fetch(peer_listener(2), newer, attempt_timeout, start + millis(2_000));
    expect_that!(caught_up.configuration, eq(false));
}
