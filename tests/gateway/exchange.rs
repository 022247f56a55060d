//! Gossip messages between daemons: their encoding, and a daemon that gets its configuration from a peer
//! because its store refuses all calls.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use googletest::prelude::*;
use proptest::prelude::*;
use willowarch::{
    exchange_capnp::gossip_message,
    gateway::{
        call::PartId,
        endpoint::{EndpointList, EndpointRecord, EndpointState},
        gossip::{
            codec::{read_message, write_message},
            messages::{
                CompressedText, ConfigurationSummary, CrashReport, DaemonCounters, DaemonState,
                GossipMessage, LeaseSummary, PeerSummary, RelayedUsage, ReportedBrittle,
                ReportedLimit, ReportedRun, ReportedWarning, RequestedParts, RolloutSummary,
                SentEndpoints, SentText, SentTokens, TextRequest,
            },
        },
        policy::{
            daemon::{forwarder_choice::ForwarderReport, held_texts::TextId},
            endpoint::{
                endpoint_load::{EndpointLoad, ServiceCounters},
                signal_ledger::{NumberedStart, WarningKind},
            },
            request::{fingerprint::RequestFingerprint, quota::AccountCounters},
            rollout::{
                rollout_order::{OrderId, RolloutPhase, TrafficPlan},
                version_counts::{RolloutCounts, RolloutRoute, RouteCounts, VersionCounts},
            },
        },
    },
    ids::IncarnationId,
    store_position::{StoreEra, StorePosition},
};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Gateway, ask, configuration, endpoint_entry, wait_for},
    platform_standin::PlatformStandin,
};

/// A daemon whose store refuses all calls must still serve requests and apply new keys, which it gets
/// from a peer. Once the peer is gone, it must refuse requests, as the keys may have been revoked.
#[googletest::test]
fn daemon_whose_store_refuses_calls_gets_the_configuration_from_a_peer() {
    let platform = PlatformStandin::start();
    platform.put("config", "main", configuration(3, &["key-1"]));
    let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
    platform.put("servers", "i-0", endpoint_entry(&endpoint, "ready"));
    let edge_1 = Gateway::start("edge-1", &platform, &[]);
    edge_1.wait_ready();
    let refusing = PlatformStandin::start();
    refusing.set_down(true);
    let edge_2 = Gateway::start("edge-2", &refusing, &[edge_1.peers]);
    edge_2.wait_ready();
    expect_that!(ask(edge_2.clients, "/plain/", "a", "key-1", &[], b"").status, eq(200));
    platform.put("config", "main", configuration(4, &["key-2"]));
    wait_for("new key", || ask(edge_2.clients, "/plain/", "b", "key-2", &[], b"").status == 200);
    expect_that!(ask(edge_2.clients, "/plain/", "c", "key-1", &[], b"").status, eq(401));
    drop(edge_1);
    // The freshness proof came from the peer only: without the peer it expires after `revoke-ms`, 5 s.
    std::thread::sleep(Duration::from_millis(5_200));
    expect_that!(ask(edge_2.clients, "/plain/", "d", "key-2", &[], b"").status, eq(503));
}

fn sample_counters() -> DaemonCounters {
    let counts = [("kiosk".into(), 3)].into();
    DaemonCounters {
        accounts: [
            ("reader".into(), AccountCounters { spent: 1_200, requested: 1_500 }),
            ("kiosk".into(), AccountCounters { spent: 7, requested: 7 }),
        ]
        .into(),
        windows: [(77, counts)].into(),
        loads: [(5, EndpointLoad { running: 1, uncached_tokens: 2, memory_tokens: 3 })].into(),
        services: [("pool".into(), ServiceCounters { uncached_tokens: 99, requests: 7 })].into(),
        rollouts: sample_rollout_counts(),
    }
}

fn sample_rollout_counts() -> RolloutCounts {
    let route = RolloutRoute { order: OrderId(71), route: "plain".into() };
    let target = VersionCounts { good: 4, bad: 3 };
    let former = VersionCounts { good: 900, bad: 2 };
    [(route, RouteCounts { target, former })].into()
}

fn sample_rollout() -> RolloutSummary {
    RolloutSummary {
        order: OrderId(71),
        service: "pool".into(),
        target: "v2".into(),
        duration: Duration::from_secs(12),
        age: Duration::from_millis(900),
        position: StorePosition::new(StoreEra(2), 6),
        plan: TrafficPlan { phase: RolloutPhase::Withdrawn, share: 0.25, step: 2 },
        is_stopped: true,
    }
}

fn sample_text() -> CompressedText {
    CompressedText { base: TextId(7), data: Bytes::from_static(b"{}") }
}

fn sample_crash<K>(suspect: K) -> CrashReport<K> {
    let age = Duration::from_millis;
    CrashReport {
        suspect,
        runs: vec![ReportedRun { endpoint: 8, begun_age: age(900), crashed_age: age(70) }],
        is_quarantined: true,
        trials: 2,
        trial_age: Some(age(11)),
        cleared_age: Some(age(12)),
    }
}

fn sample_warning(kind: WarningKind) -> ReportedWarning {
    let start = NumberedStart { endpoint: 9, born: 8 };
    ReportedWarning { start, kind, age: Duration::from_millis(70) }
}

fn sample_limit(limit: Option<f64>) -> ReportedLimit {
    let start = NumberedStart { endpoint: 9, born: 8 };
    ReportedLimit { start, limit, age: Duration::from_millis(80) }
}

fn sample_message() -> GossipMessage {
    GossipMessage {
        state: DaemonState {
            incarnation: IncarnationId(9),
            name: "edge-1".into(),
            zone: "hall-a".into(),
            address: "127.0.0.1:80".parse().expect("address"),
            sequence: 4,
            leaving: true,
            forwarder: Some(ForwarderReport {
                address: "127.0.0.1:82".parse().expect("address"),
                is_partitioned: true,
                contact_age: Some(Duration::from_millis(60)),
            }),
            counters: sample_counters(),
        },
        is_starting: true,
        known: vec![PeerSummary {
            address: "127.0.0.1:81".parse().expect("address"),
            incarnation: IncarnationId(4),
            age: Duration::from_millis(30),
        }],
        configuration: ConfigurationSummary {
            version: 14,
            position: StorePosition::new(StoreEra(2), 8),
            text: Some(SentText::Compressed(sample_text())),
            proof_age_ms: Some(12),
        },
        endpoint_position: StorePosition::new(StoreEra(2), 3),
        endpoints: Some(SentEndpoints::Compressed(sample_text())),
        lease: Some(LeaseSummary {
            fence: 2,
            holder: "edge-2".into(),
            renewals: 3,
            age_ms: 40,
            daemons: 9,
            next_window: 7,
        }),
        wants: RequestedParts {
            group: true,
            configuration: Some(TextRequest {
                accepts_compressed: true,
                bases: vec![TextId(8), TextId(7)],
            }),
            endpoints: Some(TextRequest {
                accepts_compressed: true,
                bases: vec![TextId(3), TextId(1)],
            }),
            usage: true,
            tokens: true,
        },
        group: Some(sample_counters()),
        usage: vec![RelayedUsage {
            incarnation: IncarnationId(5),
            windows: sample_counters().windows,
        }],
        crashes: vec![sample_crash(RequestFingerprint { head: 5, content: u128::MAX - 6 })],
        part_crashes: vec![sample_crash(PartId(u64::MAX - 7))],
        warnings: vec![
            sample_warning(WarningKind::Draining),
            sample_warning(WarningKind::NotServing),
            sample_warning(WarningKind::Failed),
        ],
        limits: vec![sample_limit(Some(1.6)), sample_limit(None)],
        lent: vec![SentTokens { start: NumberedStart { endpoint: 9, born: 8 }, tokens: 0.7 }],
        rollouts: vec![sample_rollout()],
        brittle: vec![ReportedBrittle { service: "pool".into(), age: Duration::from_millis(50) }],
    }
}

/// `sample_message` with the texts and requests for texts in the form of the previous release.
fn previous_release_message() -> GossipMessage {
    let text = Some(SentText::Plain(Bytes::from_static(b"{}")));
    let request = TextRequest { accepts_compressed: false, bases: Vec::new() };
    GossipMessage {
        configuration: ConfigurationSummary { text, ..sample_message().configuration },
        endpoints: Some(SentEndpoints::Listed(sample_list())),
        wants: RequestedParts {
            group: true,
            configuration: None,
            endpoints: Some(request),
            usage: true,
            tokens: false,
        },
        lent: Vec::new(),
        ..sample_message()
    }
}

fn sample_list() -> EndpointList {
    let endpoint = EndpointRecord {
        id: "i-1".into(),
        born: 1_796_260_000_000,
        service: "pool".into(),
        address: "127.0.0.1:82".parse().expect("address"),
        zone: "hall-a".into(),
        version: "v1".into(),
        slots: 4,
        state: EndpointState::Draining,
        reclaimable: true,
    };
    EndpointList {
        position: StorePosition::new(StoreEra(2), 3),
        endpoints: vec![Rc::new(endpoint)],
    }
}

fn encoded(source: &GossipMessage) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    write_message(message.init_root(), source);
    capnp::serialize::write_message_to_words(&message)
}

fn decode(bytes: &[u8]) -> capnp::Result<GossipMessage> {
    let mut rest = bytes;
    let options = capnp::message::ReaderOptions::new();
    let message = capnp::serialize::read_message(&mut rest, options)?;
    read_message(message.get_root::<gossip_message::Reader<'_>>()?)
}

#[googletest::test]
fn decoded_message_equals_the_encoded_one() {
    for sample in [sample_message(), previous_release_message()] {
        let read = decode(&encoded(&sample)).expect("decodes");
        expect_that!(read.state, eq(&sample.state));
        expect_that!(read.is_starting, eq(sample.is_starting));
        expect_that!(read.known, eq(&sample.known));
        expect_that!(read.configuration, eq(&sample.configuration));
        expect_that!(read.endpoint_position, eq(sample.endpoint_position));
        expect_that!(read.endpoints, eq(&sample.endpoints));
        expect_that!(read.lease, eq(&sample.lease));
        expect_that!(read.group, eq(&sample.group));
        expect_that!(read.wants, eq(&sample.wants));
        expect_that!(read.usage, eq(&sample.usage));
        expect_that!(read.crashes, eq(&sample.crashes));
        expect_that!(read.part_crashes, eq(&sample.part_crashes));
        expect_that!(read.limits, eq(&sample.limits));
        expect_that!(read.lent, eq(&sample.lent));
        expect_that!(read.warnings, eq(&sample.warnings));
    }
}

proptest! {
    #[test]
    fn decoding_of_a_damaged_message_does_not_panic(
        former: bool,
        place in 0_usize..8_000,
        byte: u8,
        length in 0_usize..8_000,
    ) {
        let message = if former { previous_release_message() } else { sample_message() };
        let mut bytes = encoded(&message);
        let place = place % bytes.len();
        bytes[place] = byte;
        let _ = decode(&bytes);
        bytes.truncate(length % (bytes.len() + 1));
        let _ = decode(&bytes);
    }
}
