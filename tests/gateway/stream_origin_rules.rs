//! The rules by which a stream that is taken up goes on at the version that began it, and a model that
//! compares ways to know that version in fleets of which a part is killed.

use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};

use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use tokio::time::Instant;
use willowarch::{
    gateway::{
        endpoint::{EndpointList, EndpointRecord, EndpointState},
        gossip::{messages::PeerSummary, peer_table::PeerTable},
        policy::{
            request::stream_origin::{
                HOLDERS, HolderAnswers, OriginReport, OriginSource, StreamKey, StreamLedger,
                StreamOrigin, StreamStart, decide, needs_confirmation, stream_log::StreamSegment,
            },
            rollout::version_history::{ServedVersions, VersionHistory},
        },
    },
    ids::{IncarnationId, SharedName},
};

const LIFE: Duration = Duration::from_secs(30);

fn start(version: &str) -> StreamStart {
    StreamStart { service: "pool".into(), version: version.into() }
}

fn recorded(version: &str) -> OriginReport {
    OriginReport { recorded: Some((start(version), Duration::ZERO)), ..OriginReport::default() }
}

fn only(version: &str) -> OriginReport {
    OriginReport { only_version: Some(version.into()), ..OriginReport::default() }
}

fn several() -> OriginReport {
    OriginReport { has_several: true, ..OriginReport::default() }
}

fn nothing() -> OriginReport {
    OriginReport::default()
}

/// Where a stream goes on, by this daemon's report and those of others.
macro_rules! stream_origin {
    ($($name:ident: $own:expr, [$($other:expr),*] => $version:expr, $source:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let service: SharedName = "pool".into();
            let found = decide(&$own, &[$($other),*], Some(&service));
            let found = found.map(|origin| (origin.start.version.to_string(), origin.source));
            let expected: Option<&str> = $version;
            expect_that!(found, eq(&expected.map(|version| (version.to_owned(), $source))));
        }
    )*};
}

stream_origin! {
    record_of_this_daemon: recorded("v1"), [] => Some("v1"), OriginSource::Own;
    record_of_another_daemon: several(), [nothing(), recorded("v2")] => Some("v2"), OriginSource::Holder;
    record_goes_before_the_only_version: only("v1"), [recorded("v2")] => Some("v2"), OriginSource::Holder;
    records_that_disagree: nothing(), [recorded("v1"), recorded("v2")] => None, OriginSource::Own;
    record_without_a_version: recorded(""), [] => None, OriginSource::Own;
    stream_that_another_daemon_did_not_know_is_not_of_the_only_version: only("v2"), [recorded("")] => None, OriginSource::Own;
    record_goes_before_what_another_daemon_did_not_know: recorded(""), [recorded("v1")] => Some("v1"), OriginSource::Holder;
    only_version_of_this_daemon: only("v1"), [nothing()] => Some("v1"), OriginSource::OnlyVersion;
    only_version_of_another_daemon: nothing(), [nothing(), only("v1")] => Some("v1"), OriginSource::OnlyVersion;
    only_version_where_another_daemon_knows_several: only("v1"), [several()] => None, OriginSource::Own;
    stream_that_was_refused_before_where_another_daemon_knows_several: OriginReport { recorded: recorded("").recorded, ..only("v1") }, [several()] => None, OriginSource::Own;
    only_versions_that_disagree: only("v1"), [only("v2")] => None, OriginSource::Own;
    nothing_known: nothing(), [nothing(), nothing()] => None, OriginSource::Own;
    nobody_answers: nothing(), [] => None, OriginSource::Own;
}

/// Whether an origin has to be confirmed by the store, by its source, the answers of holders and the age of this
/// daemon's list in seconds.
macro_rules! confirmation {
    ($($name:ident: $source:expr, $answered:literal of $asked:literal, $age:expr => $needed:literal;)*) => {$(
        #[googletest::test]
        fn $name() {
            let origin =
                StreamOrigin { start: start("v1"), source: $source, age: Duration::ZERO };
            let reports = std::iter::repeat_with(nothing).take($answered).collect();
            let answers = HolderAnswers { asked: $asked, reports };
            let age: Option<f64> = $age;
            let age = age.map(Duration::from_secs_f64);
            expect_that!(needs_confirmation(&origin, &answers, age), eq($needed));
        }
    )*};
}

confirmation! {
    record_needs_none: OriginSource::Holder, 0 of 5, None => false;
    own_record_needs_none: OriginSource::Own, 0 of 5, None => false;
    only_version_where_all_answer: OriginSource::OnlyVersion, 5 of 5, Some(0.5) => false;
    only_version_where_most_answer: OriginSource::OnlyVersion, 3 of 5, Some(0.5) => false;
    only_version_where_half_are_silent: OriginSource::OnlyVersion, 2 of 4, Some(0.5) => true;
    only_version_where_all_are_silent: OriginSource::OnlyVersion, 0 of 5, Some(0.0) => true;
    only_version_of_a_daemon_that_knows_no_other: OriginSource::OnlyVersion, 0 of 0, Some(0.0) => true;
    only_version_of_a_list_of_some_seconds: OriginSource::OnlyVersion, 5 of 5, Some(2.5) => true;
    only_version_without_a_confirmed_list: OriginSource::OnlyVersion, 5 of 5, None => true;
}

#[googletest::test]
fn only_version_is_no_origin_where_the_service_is_not_known() {
    expect_that!(decide(&only("v1"), &[], None), none());
    expect_that!(decide(&recorded("v1"), &[], None), some(anything()));
}

#[googletest::test]
fn records_are_forgotten_after_the_life_of_a_stream_unless_it_was_taken_up() {
    let begun = Instant::now();
    let (first, second, later) = (StreamKey(1), StreamKey(2), StreamKey(3));
    let mut ledger = StreamLedger::default();
    ledger.record(first, start("v1"), LIFE, begun);
    ledger.record(second, start("v2"), LIFE, begun);
    ledger.record(first, start("v1"), LIFE, begun + LIFE / 2);
    ledger.record(later, start("v1"), LIFE, begun + LIFE + Duration::from_millis(1));
    expect_that!(ledger.find(second), none());
    expect_that!(ledger.find(first), some(anything()));
    expect_that!(ledger.find(later), some(anything()));
}

#[googletest::test]
fn records_are_bounded() {
    let now = Instant::now();
    let mut ledger = StreamLedger::default();
    for key in 0..60_000 {
        ledger.record(StreamKey(key), start("v1"), LIFE, now);
    }
    expect_that!(ledger.len(), eq(50_000));
    expect_that!(ledger.find(StreamKey(59_999)), some(anything()));
}

#[googletest::test]
fn same_attempt_of_another_account_is_another_stream() {
    let key = StreamKey::of(Some("reader"), "first");
    expect_that!(StreamKey::of(Some("other"), "first"), not(eq(key)));
    expect_that!(StreamKey::of(None, "first"), not(eq(key)));
}

fn list(versions: &[&str]) -> EndpointList {
    let endpoint = |(index, version): (usize, &&str)| {
        Rc::new(EndpointRecord {
            id: format!("i-{index}").into(),
            born: 0,
            service: "pool".into(),
            address: SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16)),
            zone: "a".into(),
            version: (*version).into(),
            slots: 4,
            state: EndpointState::Ready,
            reclaimable: false,
        })
    };
    let endpoints = versions.iter().enumerate().map(endpoint).collect();
    EndpointList { endpoints, ..EndpointList::default() }
}

/// A history of lists that were confirmed each second, from 0 s to `until`.
fn history(lists: &[(u64, &[&str])], until: u64, begun: Instant) -> VersionHistory {
    let mut history = VersionHistory::default();
    for second in 0..=until {
        let now = begun + Duration::from_secs(second);
        for (_, versions) in lists.iter().filter(|(at, _)| *at == second) {
            history.apply(&list(versions), now);
        }
        history.confirm(Some(now), now);
        history.served("pool", LIFE, now);
    }
    history
}

/// What a daemon knows of a service's versions at `at`, in seconds, by the lists that it has got.
macro_rules! served_versions {
    ($($name:ident: [$(($second:literal, [$($version:literal),*])),+], until $until:literal, at $at:literal => $served:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let begun = Instant::now();
            let mut history = history(&[$(($second, &[$($version),*])),+], $until, begun);
            let served = history.served("pool", LIFE, begun + Duration::from_secs($at));
            expect_that!(served, eq(&$served));
        }
    )*};
}

served_versions! {
    one_version_for_as_long_as_a_stream_lives: [(0, ["v1", "v1"])], until 30, at 30 => ServedVersions::Only("v1".into());
    one_version_of_a_daemon_that_has_just_started: [(0, ["v1"])], until 10, at 10 => ServedVersions::Unknown;
    one_version_of_a_list_that_may_be_old: [(0, ["v1"])], until 31, at 36 => ServedVersions::Unknown;
    two_versions: [(0, ["v1", "v2"])], until 31, at 31 => ServedVersions::Several;
    version_that_went_a_moment_ago: [(0, ["v1", "v2"]), (40, ["v2"])], until 60, at 60 => ServedVersions::Several;
    version_that_went_long_ago: [(0, ["v1", "v2"]), (40, ["v2"])], until 75, at 75 => ServedVersions::Only("v2".into());
    version_that_came_and_went: [(0, ["v1"]), (40, ["v1", "v2"]), (41, ["v1"])], until 60, at 60 => ServedVersions::Several;
    version_that_is_not_stated: [(0, [""])], until 31, at 31 => ServedVersions::Unknown;
    no_endpoint: [(0, [])], until 31, at 31 => ServedVersions::Unknown;
}

#[googletest::test]
fn gap_in_the_lists_begins_the_history_anew() {
    let begun = Instant::now();
    let mut history = history(&[(0, &["v1"])], 31, begun);
    let back = begun + Duration::from_secs(60);
    history.confirm(Some(back), back);
    expect_that!(history.served("pool", LIFE, back), eq(&ServedVersions::Unknown));
}

#[googletest::test]
fn daemon_that_has_just_started_knows_the_only_version_from_the_leader() {
    let begun = Instant::now();
    let restored = |versions: &[&str]| {
        let mut history = VersionHistory::default();
        history.restore(&"pool".into(), &"v1".into(), LIFE, Duration::from_secs(2), begun);
        history.apply(&list(versions), begun);
        history.confirm(Some(begun), begun);
        history
    };
    let only = ServedVersions::Only("v1".into());
    expect_that!(restored(&["v1"]).served("pool", LIFE, begun), eq(&only));
    expect_that!(restored(&["v1", "v2"]).served("pool", LIFE, begun), eq(&ServedVersions::Several));
    expect_that!(restored(&["v2"]).served("pool", LIFE, begun), eq(&ServedVersions::Several));
    let mut history = restored(&["v1"]);
    let back = begun + Duration::from_secs(20);
    history.confirm(Some(back), back);
    expect_that!(history.served("pool", LIFE, back), eq(&ServedVersions::Unknown));
}

/// Ways to know the version of a stream after a part of the daemons was killed, that which began it among
/// them.
#[derive(Clone, Copy, Debug)]
enum OriginWay {
    /// The stream is told to this number of others, which are asked, and one more.
    Holders(usize),
    /// All are asked; only the daemon that began the stream has a record.
    AskAll,
    /// Every daemon gets every record.
    TellAll,
}

/// Shares of streams whose version is found, and the calls for each stream and each take-up.
#[derive(Debug, Default)]
struct WayOutcome {
    found: usize,
    asked: usize,
    told: usize,
}

fn fleet(count: usize, own: usize, now: Instant) -> PeerTable {
    let address =
        |place: usize| SocketAddr::from(([10, (place / 250) as u8, (place % 250) as u8, 1], 9_000));
    let mut table = PeerTable::new(address(own), &[], Duration::from_millis(100), 2);
    for place in (0..count).filter(|place| *place != own) {
        let incarnation = IncarnationId(place as u64);
        let summary = PeerSummary { address: address(place), incarnation, age: Duration::ZERO };
        table.receive_summary(&summary, now);
    }
    table
}

fn play(way: OriginWay, daemons: usize, killed_fraction: f64, streams: usize) -> WayOutcome {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(daemons as u64);
    let tables: Vec<PeerTable> = (0..daemons).map(|own| fleet(daemons, own, now)).collect();
    let address =
        |place: usize| SocketAddr::from(([10, (place / 250) as u8, (place % 250) as u8, 1], 9_000));
    let mut places: Vec<usize> = (0..daemons).collect();
    let mut outcome = WayOutcome::default();
    for number in 0..streams {
        places.shuffle(&mut rng);
        let killed_count =
            ((daemons as f64 * killed_fraction).round() as usize).clamp(1, daemons - 1);
        let (killed, alive) = places.split_at(killed_count);
        let began = killed[rng.random_range(0..killed.len())];
        let taken_up = alive[rng.random_range(0..alive.len())];
        let killed: BTreeSet<SocketAddr> = killed.iter().copied().map(address).collect();
        let all = || (0..daemons).map(address);
        let (told, asked): (Vec<SocketAddr>, Vec<SocketAddr>) = match way {
            OriginWay::Holders(count) => {
                let told = tables[began].rendezvous_first(number as u64, count + 1);
                let mut asked = tables[taken_up].rendezvous_first(number as u64, count + 2);
                if told.contains(&address(taken_up)) {
                    asked = Vec::new();
                }
                (told, asked)
            }
            OriginWay::AskAll => (Vec::new(), all().collect()),
            OriginWay::TellAll => (all().collect(), Vec::new()),
        };
        let knows = |one: &SocketAddr| told.contains(one) && !killed.contains(one);
        let is_found = knows(&address(taken_up)) || asked.iter().any(knows);
        outcome.found += usize::from(is_found);
        outcome.asked += asked.len();
        outcome.told += told.len();
    }
    outcome
}

/// Of a third of the daemons killed, at most one stream in twenty may be lost to them.
#[googletest::test]
fn version_is_found_after_a_third_of_the_daemons_was_killed() {
    let streams = 1_000;
    for daemons in [9, 78, 195] {
        for way in
            [OriginWay::Holders(2), OriginWay::Holders(3), OriginWay::AskAll, OriginWay::TellAll]
        {
            for killed in [0.33, 0.6] {
                let WayOutcome { found, asked, told } = play(way, daemons, killed, streams);
                let share = |count: usize| count as f64 / streams as f64;
                println!(
                    "{daemons} daemons, {killed} killed, {way:?}: {:.3} found, {:.1} calls a stream, {:.1} a take-up",
                    share(found),
                    share(told),
                    share(asked),
                );
            }
        }
        let outcome = play(OriginWay::Holders(HOLDERS), daemons, 0.33, streams);
        expect_that!(outcome.found, ge(streams * 19 / 20));
    }
}

#[googletest::test]
fn logged_streams_are_read_as_they_were_written() {
    let start = |version: &str| StreamStart { service: "pool".into(), version: version.into() };
    let mut segment = StreamSegment::at(10_500);
    expect_that!(segment.begin_ms, eq(10_000));
    segment.add(StreamKey(u64::MAX), &start("v1"));
    segment.add(StreamKey(7), &start("v2"));
    segment.add(StreamKey(8), &start("v1"));
    let text = serde_json::to_string(&segment).expect("JSON");
    let read: StreamSegment = serde_json::from_str(&text).expect("a segment");
    expect_that!(read.streams(), eq(3));
    let mut starts = read.starts();
    starts.sort_by_key(|(key, _)| key.0);
    let expected = vec![
        (StreamKey(7), start("v2")),
        (StreamKey(8), start("v1")),
        (StreamKey(u64::MAX), start("v1")),
    ];
    expect_that!(starts, eq(&expected));
    let mut merged = StreamSegment::at(10_900);
    merged.merge(&read);
    expect_that!(merged.streams(), eq(3));
}

// Guards against a log that grows with each conflict of two recorders until it has no room for new streams.
#[googletest::test]
fn streams_that_a_segment_has_are_not_added_again() {
    let mut segment = StreamSegment::at(10_500);
    expect_that!(segment.add(StreamKey(7), &start("v1")), eq(true));
    let mut stored = segment.clone();
    expect_that!(stored.add(StreamKey(8), &start("v1")), eq(true));
    for _ in 0..3 {
        segment.merge(&stored);
    }
    expect_that!(segment.streams(), eq(2));
}

/// A recorder that has just started must not replace what may still be taken up.
#[googletest::test]
fn log_keeps_streams_for_longer_than_they_live() {
    let first = StreamSegment::at(1_000_000);
    for later_s in (2..120).step_by(2) {
        let later = StreamSegment::at(1_000_000 + later_s * 1_000);
        expect_that!(later.object_name(3), not(eq(&first.object_name(3))), "{later_s} s later");
    }
    expect_that!(StreamSegment::at(1_001_999).object_name(3), eq(&first.object_name(3)));
    expect_that!(first.object_name(4), not(eq(&first.object_name(3))));
}

#[googletest::test]
fn spoilt_log_names_no_stream_that_is_none() {
    let text = r#"{"begin_ms":0,"versions":[{"service":"pool","version":"v1","keys":"zzzzzzzzzzzzzzzz00000000000000070"}]}"#;
    let read: StreamSegment = serde_json::from_str(text).expect("a segment");
    let keys: Vec<StreamKey> = read.starts().into_iter().map(|(key, _)| key).collect();
    expect_that!(keys, eq(&vec![StreamKey(7)]));
}

#[googletest::test]
fn unknown_stream_replaces_no_record_and_keeps_its_first_time() {
    let (now, key, kept) = (Instant::now(), StreamKey(1), Duration::from_secs(60));
    let later = now + Duration::from_secs(40);
    let mut ledger = StreamLedger::default();
    ledger.record(key, StreamStart::unknown(), kept, now);
    ledger.record(key, StreamStart::unknown(), kept, later);
    expect_that!(ledger.find(key).map(|(_, at)| at), some(eq(now)));
    ledger.record(StreamKey(2), start("v1"), kept, now + Duration::from_secs(90));
    expect_that!(ledger.find(key).is_some(), eq(true));
    ledger.record(key, start("v1"), kept, later);
    ledger.record(key, StreamStart::unknown(), kept, later);
    expect_that!(ledger.find(key).map(|(found, _)| found.clone()), some(eq(&start("v1"))));
}

/// A stream was begun at v1, which went; its client goes on trying for longer than the daemons looked back.
#[googletest::test]
fn old_stream_is_not_of_a_version_that_was_alone_for_less_than_its_age() {
    let (begun, life) = (Instant::now(), Duration::from_secs(30));
    let at = |s: u64| begun + Duration::from_secs(s);
    let mut history = VersionHistory::default();
    for second in 0..200 {
        let version = if second < 50 { "v1" } else { "v2" };
        history.apply(&list(&[version]), at(second));
        history.confirm(Some(at(second)), at(second));
    }
    expect_that!(history.served("pool", life, at(199)), eq(&ServedVersions::Only("v2".into())));
    let old = life + Duration::from_secs(130);
    expect_that!(history.served("pool", old, at(199)), eq(&ServedVersions::Several));
}

/// All daemons were killed. The record of the leader says less of a stream that was heard of before it.
#[googletest::test]
fn restored_version_covers_no_longer_than_the_leader_knew_it_alone() {
    let begun = Instant::now();
    let age = Duration::from_secs(2);
    let mut history = VersionHistory::default();
    history.restore(&"pool".into(), &"v2".into(), LIFE, age, begun);
    for second in 0..=5 {
        let now = begun + Duration::from_secs(second);
        history.apply(&list(&["v2"]), now);
        history.confirm(Some(now), now);
    }
    let now = begun + Duration::from_secs(5);
    let only = ServedVersions::Only("v2".into());
    expect_that!(history.served("pool", LIFE, now), eq(&only));
    expect_that!(history.served("pool", LIFE + Duration::from_secs(7), now), eq(&only));
    expect_that!(
        history.served("pool", LIFE + Duration::from_secs(8), now),
        eq(&ServedVersions::Unknown)
    );
}

#[googletest::test]
fn log_keeps_that_a_stream_is_not_known() {
    let mut segment = StreamSegment::at(10_500);
    segment.add(StreamKey(7), &StreamStart::unknown());
    let text = serde_json::to_string(&segment).expect("JSON");
    let read: StreamSegment = serde_json::from_str(&text).expect("a segment");
    expect_that!(read.starts(), eq(&vec![(StreamKey(7), StreamStart::unknown())]));
}
