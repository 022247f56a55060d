//! Decisions about single requests, the readiness of a daemon and its store watch, each for given
//! inputs.

use std::{cell::Cell, time::Duration};

use googletest::prelude::*;
use hyper::StatusCode;
use tokio::time::Instant;
use willowarch::gateway::{
    call::TokenCounts,
    configuration::{AccountQuota, Route, RouteKind, ServiceWeight},
    policy::{
        daemon::{
            daemon_count::{self, RecordedCount},
            fleet_contact::FleetContact,
            readiness::{Readiness, ReadinessInputs},
            store_watchers::{
                MAX_WATCH_WAIT, StoreWatch, WatcherElection, is_store_failing, retry_pause,
                watch_wait,
            },
        },
        endpoint::endpoint_load::estimated_memory,
        request::{
            admission::{quota_units, service_at, total_weight},
            configuration_doubt::ConfigurationDoubt,
            endpoint_priority::endpoint_priority,
            key_freshness::KeyFreshness,
            quota::QuotaSharing,
            refusal::Refusal,
            retries::{
                AttemptFailure, ConnectionReuse, FailureStep, GiveUpReason, NoAttempt,
                after_failure, connection_reuse, is_endpoint_failure, may_resume,
                may_retry_response,
            },
            time_limits,
        },
    },
};

const RESUMABLE: RouteKind = RouteKind::Stream { resume: true };
const NOT_RESUMABLE: RouteKind = RouteKind::Stream { resume: false };
const TARGET: Duration = Duration::from_millis(400);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn route(kind: RouteKind, attempts: u32) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind,
        timeout: Some(millis(9_000)),
        target: TARGET,
        gap_target: Some(millis(100)),
        priority: 0,
        services: Vec::new(),
        attempts,
        public: true,
    }
}

/// Defines one test per case: a decision and its expected result.
macro_rules! cases {
    ($($name:ident: $decision:expr => $expected:expr;)*) => {
        $(
            #[googletest::test]
            fn $name() {
                expect_that!($decision, eq(&$expected));
            }
        )*
    };
}

mod retries {
    use super::*;

    cases! {
        first_attempt_may_use_any_idle_connection:
            &connection_reuse(RouteKind::Idempotent, 0) => ConnectionReuse::Any;
        first_attempt_at_most_once_uses_a_recent_connection:
            &connection_reuse(RouteKind::Once, 0) => ConnectionReuse::Recent;
        first_attempt_of_a_stream_that_cannot_resume_uses_a_recent_connection:
            &connection_reuse(NOT_RESUMABLE, 0) => ConnectionReuse::Recent;
        retry_uses_a_new_connection:
            &connection_reuse(RouteKind::Idempotent, 1) => ConnectionReuse::Never;
        resumed_stream_uses_a_new_connection:
            &connection_reuse(RESUMABLE, 1) => ConnectionReuse::Never;
    }

    cases! {
        unsent_request_tries_the_next_endpoint_without_using_the_budget:
            &after_failure(AttemptFailure::NotSent, RouteKind::Once, false)
            => FailureStep::TryNext;
        request_that_was_not_run_may_be_retried_on_any_route:
            &after_failure(AttemptFailure::NotRun, RouteKind::Once, false)
            => FailureStep::RetryOr(GiveUpReason::NotRun);
        request_that_an_earlier_attempt_may_have_run_is_not_refused_as_not_run:
            &after_failure(AttemptFailure::NotRun, RouteKind::Idempotent, true)
            => FailureStep::RetryOr(GiveUpReason::EarlierMayHaveRun);
        at_most_once_request_that_may_have_run_is_not_retried:
            &after_failure(AttemptFailure::MayHaveRun, RouteKind::Once, false)
            => FailureStep::GiveUp(GiveUpReason::LastMayHaveRun);
        stream_that_cannot_resume_is_not_retried_if_it_may_have_run:
            &after_failure(AttemptFailure::MayHaveRun, NOT_RESUMABLE, false)
            => FailureStep::GiveUp(GiveUpReason::LastMayHaveRun);
        idempotent_request_that_may_have_run_is_retried:
            &after_failure(AttemptFailure::MayHaveRun, RouteKind::Idempotent, false)
            => FailureStep::RetryOr(GiveUpReason::LastMayHaveRun);
        resumable_stream_that_may_have_run_is_retried:
            &after_failure(AttemptFailure::MayHaveRun, RESUMABLE, false)
            => FailureStep::RetryOr(GiveUpReason::LastMayHaveRun);
        server_errors_are_retried_if_the_request_may_run_again:
            &[RouteKind::Idempotent, RESUMABLE, RouteKind::Once, NOT_RESUMABLE]
                .map(|kind| may_retry_response(kind, true))
            => [true, true, false, false];
        server_errors_except_timeouts_are_endpoint_failures:
            &[500, 502, 504, 404, 200]
                .map(|status| is_endpoint_failure(StatusCode::from_u16(status).expect("status")))
            => [true, true, false, false, false];
        responses_without_a_server_error_are_passed_on:
            &may_retry_response(RouteKind::Idempotent, false) => false;
        only_resumable_streams_are_resumed:
            &[
                may_resume(RESUMABLE, true),
                may_resume(RESUMABLE, false),
                may_resume(NOT_RESUMABLE, true),
                may_resume(RouteKind::Idempotent, false),
            ]
            => [true, false, false, false];
        refusal_if_no_attempt_has_run:
            &GiveUpReason::NotRun.refusal(false, millis(200)) => Refusal::NotTaken(millis(200));
        refusal_if_an_earlier_attempt_may_have_run:
            &GiveUpReason::EarlierMayHaveRun.refusal(true, TARGET) => Refusal::Unknown;
        refusal_if_the_last_attempt_may_have_run:
            &GiveUpReason::LastMayHaveRun.refusal(false, TARGET) => Refusal::Unknown;
        refusal_if_the_last_attempt_may_have_run_and_the_deadline_is_over:
            &GiveUpReason::LastMayHaveRun.refusal(true, TARGET) => Refusal::OutOfTime;
        refusals_without_an_attempt:
            &[NoAttempt::DeadlineOver, NoAttempt::AllFull, NoAttempt::NoEndpoint]
                .map(|reason| reason.refusal(false, TARGET))
            => [
                Refusal::DeadlineOver(millis(400)),
                Refusal::Full(millis(200)),
                Refusal::NoEndpoint(millis(400)),
            ];
        refusals_without_another_attempt_if_an_earlier_one_may_have_run:
            &[NoAttempt::DeadlineOver, NoAttempt::AllFull, NoAttempt::NoEndpoint]
                .map(|reason| reason.refusal(true, TARGET))
            => [Refusal::OutOfTime, Refusal::Unknown, Refusal::Unknown];
        only_refusals_with_a_retry_time_promise_not_run:
            &[
                Refusal::Full(millis(1)),
                Refusal::NotTaken(millis(1)),
                Refusal::DeadlineOver(millis(1)),
                Refusal::Leaving,
                Refusal::NotFresh,
                Refusal::Unknown,
                Refusal::OutOfTime,
                Refusal::BodyBroken,
            ]
            .map(|refusal| refusal.promises_not_run())
            => [true, true, true, true, true, false, false, false];
    }
}

#[googletest::test]
fn deadline_is_the_shorter_of_the_client_and_route_timeouts() {
    let start = Instant::now();
    let mut route = route(RouteKind::Once, 1);
    let deadline = |client, route: &Route| {
        time_limits::request_deadline(start, client, route).duration_since(start)
    };
    expect_that!(deadline(Some(millis(50)), &route), eq(millis(50)));
    expect_that!(deadline(Some(millis(50_000)), &route), eq(millis(9_000)));
    expect_that!(deadline(None, &route), eq(millis(9_000)));
    route.timeout = None;
    expect_that!(deadline(None, &route), eq(millis(60_000)));
}

#[googletest::test]
fn attempt_counts_as_silent_before_the_deadline_only_if_a_retry_may_follow() {
    let start = Instant::now();
    let deadline = start + millis(9_000);
    let limit_with = |kind, sent, wait| {
        let until = time_limits::head_silence(&route(kind, 2), sent, wait, deadline, start);
        until.duration_since(start)
    };
    let limit = |kind, sent| limit_with(kind, sent, Duration::ZERO);
    expect_that!(limit(RouteKind::Idempotent, 0), eq(millis(1_200)));
    expect_that!(limit(RESUMABLE, 0), eq(millis(640)));
    expect_that!(limit_with(RESUMABLE, 0, millis(300)), eq(millis(940)));
    expect_that!(limit_with(RESUMABLE, 0, Duration::MAX), eq(millis(9_000)));
    expect_that!(limit(RESUMABLE, 1), eq(millis(9_000)));
    expect_that!(limit(RouteKind::Once, 0), eq(millis(9_000)));
    expect_that!(limit(NOT_RESUMABLE, 0), eq(millis(9_000)));
}

#[googletest::test]
fn stream_counts_as_silent_before_the_deadline_only_if_it_may_be_resumed() {
    let start = Instant::now();
    let deadline = start + millis(9_000);
    let limit = |route: &Route, sent, events| {
        time_limits::event_silence(route, sent, events, deadline, start).duration_since(start)
    };
    let mut resumable = route(RESUMABLE, 2);
    expect_that!(limit(&resumable, 1, 0), eq(millis(800)));
    expect_that!(limit(&resumable, 1, 5), eq(millis(200)));
    expect_that!(limit(&resumable, 2, 5), eq(millis(9_000)));
    resumable.gap_target = None;
    expect_that!(limit(&resumable, 1, 5), eq(millis(2_000)));
    expect_that!(limit(&route(NOT_RESUMABLE, 2), 1, 5), eq(millis(9_000)));
}

#[googletest::test]
fn keys_are_fresh_only_with_a_recent_proof() {
    let start = Instant::now();
    let evaluate =
        |proof, max_age, age| KeyFreshness::evaluate(proof, max_age, start + millis(age));
    let max_age = Some(millis(5_000));
    expect_that!(evaluate(Some(start), max_age, 4_699), eq(KeyFreshness::Fresh));
    expect_that!(evaluate(Some(start), max_age, 4_700), eq(KeyFreshness::Stale));
    expect_that!(evaluate(None, max_age, 0), eq(KeyFreshness::Unproven));
    expect_that!(evaluate(None, None, 0), eq(KeyFreshness::NotRequired));
}

#[googletest::test]
fn readiness_names_the_first_reason_against_it() {
    let mut inputs = ReadinessInputs {
        is_stopping: true,
        has_endpoint_list: false,
        has_configuration: false,
        knows_daemon_count: false,
        has_peer_contact: false,
        accepts_connections: false,
        keys: KeyFreshness::Stale,
    };
    expect_that!(Readiness::decide(inputs), eq(Readiness::Stopping));
    inputs.is_stopping = false;
    expect_that!(Readiness::decide(inputs), eq(Readiness::NoEndpointList));
    inputs.has_endpoint_list = true;
    expect_that!(Readiness::decide(inputs), eq(Readiness::NoConfiguration));
    inputs.has_configuration = true;
    expect_that!(Readiness::decide(inputs), eq(Readiness::DaemonCountUnknown));
    inputs.knows_daemon_count = true;
    expect_that!(Readiness::decide(inputs), eq(Readiness::NoPeerContact));
    inputs.has_peer_contact = true;
    expect_that!(Readiness::decide(inputs), eq(Readiness::KeysNotFresh));
    inputs.keys = KeyFreshness::NotRequired;
    expect_that!(Readiness::decide(inputs), eq(Readiness::ConnectionsFull));
    inputs.accepts_connections = true;
    expect_that!(Readiness::decide(inputs), eq(Readiness::Ready));
}

#[googletest::test]
fn first_daemon_of_a_group_and_daemons_without_recent_proofs_watch_the_store() {
    let start = Instant::now();
    let decide = |proof, rank, age| {
        let mut watcher = WatcherElection::new(millis(3_000));
        watcher.decide(proof, || rank, false, start + millis(age))
    };
    expect_that!(decide(None, 5, 0), eq(StoreWatch::NotInformed));
    expect_that!(decide(Some(start), 0, 0), eq(StoreWatch::Elected));
    expect_that!(decide(Some(start), 0, 9_000), eq(StoreWatch::Elected));
    let ranks = [(1, 2_100), (2, 2_250), (3, 2_400), (5, 2_700), (40, 2_700)];
    for (rank, age) in ranks {
        expect_that!(decide(Some(start), rank, age - 1), eq(StoreWatch::Informed), "rank {rank}");
        expect_that!(decide(Some(start), rank, age), eq(StoreWatch::StandsIn), "rank {rank}");
    }
    let rank_calls = Cell::new(0);
    WatcherElection::new(millis(3_000)).decide(None, || rank_calls.replace(1), false, start);
    expect_that!(rank_calls.get(), eq(0));
}

#[googletest::test]
fn configuration_is_in_doubt_without_a_recent_proof_or_if_a_newer_one_is_reported() {
    let start = Instant::now();
    let evaluate = |proof, is_lagging, age| {
        ConfigurationDoubt::evaluate(proof, is_lagging, millis(3_000), start + millis(age))
    };
    expect_that!(evaluate(Some(start), false, 2_999), none());
    expect_that!(evaluate(Some(start), false, 3_000), some(eq(ConfigurationDoubt::NotProven)));
    expect_that!(evaluate(None, false, 0), some(eq(ConfigurationDoubt::NotProven)));
    expect_that!(evaluate(Some(start), true, 0), some(eq(ConfigurationDoubt::NewerReported)));
}

/// Clients treat 404 and 401 as final.
#[googletest::test]
fn unknown_routes_and_keys_get_a_retriable_status_while_the_configuration_is_in_doubt() {
    for doubt in [ConfigurationDoubt::NewerReported, ConfigurationDoubt::NotProven] {
        let refusal = Refusal::NotYetKnown(doubt);
        expect_that!(refusal.status().as_u16(), eq(503));
        expect_that!(refusal.promises_not_run(), eq(true));
    }
}

#[googletest::test]
fn daemon_that_stands_in_keeps_watching_for_the_stand_in_time() {
    let start = Instant::now();
    let mut watcher = WatcherElection::new(millis(3_000));
    let mut decide = |proof_at, at| {
        let proof = Some(start + millis(proof_at));
        watcher.decide(proof, || 1, false, start + millis(at))
    };
    expect_that!(decide(0, 2_000), eq(StoreWatch::Informed));
    expect_that!(decide(0, 2_100), eq(StoreWatch::StandsIn));
    expect_that!(decide(2_100, 2_200), eq(StoreWatch::StandsIn));
    expect_that!(decide(8_000, 8_099), eq(StoreWatch::StandsIn));
    expect_that!(decide(8_000, 8_100), eq(StoreWatch::Informed));
}

/// Otherwise every daemon would watch the store for seconds after an outage of the whole store: 2.2
/// calls per second from each of 77 daemons, and from 2,100 daemons more than the store handles.
#[googletest::test]
fn daemon_whose_own_calls_fail_stops_standing_in_at_the_next_proof() {
    let start = Instant::now();
    let mut watcher = WatcherElection::new(millis(3_000));
    let mut decide = |proof_at, store_fails, at| {
        let proof = Some(start + millis(proof_at));
        watcher.decide(proof, || 1, store_fails, start + millis(at))
    };
    expect_that!(decide(0, false, 2_100), eq(StoreWatch::StandsIn));
    expect_that!(decide(0, true, 4_000), eq(StoreWatch::StandsIn));
    expect_that!(decide(4_000, true, 4_100), eq(StoreWatch::Informed));
    expect_that!(decide(4_000, false, 6_100), eq(StoreWatch::StandsIn));
    expect_that!(decide(6_100, false, 6_200), eq(StoreWatch::StandsIn));
}

/// The apply limit is 2 s in a small fleet and 7 s in a fleet of thousands.
#[googletest::test]
fn watch_of_the_configuration_waits_a_fraction_of_the_apply_limit() {
    expect_that!(watch_wait(millis(2_000)), eq(millis(400)));
    expect_that!(watch_wait(millis(3_000)), eq(millis(600)));
    expect_that!(watch_wait(millis(70_000)), eq(MAX_WATCH_WAIT));
}

/// In an outage of the store all daemons stand in. 195 daemons made 13,150 calls in a day with an
/// outage of 7 s, 4,345 in one without.
#[googletest::test]
fn fleets_of_any_size_retry_about_equally_often() {
    const OUTAGE: Duration = Duration::from_secs(7);
    let calls = |watch, daemons| {
        let mut calls = 0;
        let mut elapsed = Duration::ZERO;
        while elapsed < OUTAGE {
            calls += 1;
            elapsed += retry_pause(calls, watch, daemons);
        }
        calls as usize
    };
    expect_that!(calls(StoreWatch::StandsIn, 9), eq(calls(StoreWatch::Elected, 9)));
    expect_that!(calls(StoreWatch::Elected, 195), eq(calls(StoreWatch::Elected, 9)));
    let of_small_fleet = 9 * calls(StoreWatch::StandsIn, 9);
    expect_that!(77 * calls(StoreWatch::StandsIn, 77), le(4 * of_small_fleet));
    expect_that!(195 * calls(StoreWatch::StandsIn, 195), le(10 * of_small_fleet));
    // A daemon that is the only one to reach the store reads a change within the apply limit.
    expect_that!(retry_pause(1, StoreWatch::StandsIn, 2_100), eq(millis(400)));
    expect_that!(retry_pause(1, StoreWatch::StandsIn, 1), eq(millis(50)));
}

/// A daemon that knows no peer yet is the first one of its group, as far as it knows: all daemons of
/// a fleet that started together watched the store.
#[googletest::test]
fn daemon_that_has_just_started_does_not_watch_before_it_knows_its_peers() {
    let start = Instant::now();
    let mut watcher = WatcherElection::new(millis(3_000)).starting_at(start);
    let mut decide = |proof: Option<u64>, rank, at| {
        let proof = proof.map(|proof| start + millis(proof));
        watcher.decide(proof, || rank, false, start + millis(at))
    };
    expect_that!(decide(None, 0, 50), eq(StoreWatch::NotInformed));
    expect_that!(decide(Some(10), 0, 60), eq(StoreWatch::Informed));
    expect_that!(decide(Some(10), 0, 1_000), eq(StoreWatch::Elected));
    expect_that!(decide(Some(10), 1, 1_000), eq(StoreWatch::Informed));
}

#[googletest::test]
fn store_counts_as_failing_for_two_seconds_after_a_failed_call() {
    let start = Instant::now();
    expect_that!(is_store_failing(Some(start), start + millis(1_999)), eq(true));
    expect_that!(is_store_failing(Some(start), start + millis(2_000)), eq(false));
}

#[googletest::test]
fn starting_daemon_assumes_the_recorded_number_of_daemons() {
    let discovered = QuotaSharing { known: 3, heard: 2, report_age: millis(100) };
    let known = |recorded: Option<usize>, age| {
        let recorded = recorded.map_or(RecordedCount::Unknown, RecordedCount::Known);
        let contact = FleetContact::NoHolder;
        daemon_count::assumed_sharing(discovered, recorded, contact, millis(age)).known
    };
    expect_that!(known(Some(86), 2_499), eq(86));
    expect_that!(known(Some(2), 2_499), eq(3));
    expect_that!(known(None, 2_499), eq(10));
    expect_that!(known(Some(86), 2_500), eq(86));
    expect_that!(known(None, 2_500), eq(3));
    expect_that!(daemon_count::is_known(None, millis(1_499)), eq(false));
    expect_that!(daemon_count::is_known(None, millis(1_500)), eq(true));
    expect_that!(daemon_count::is_known(Some(1), millis(0)), eq(true));
}

#[googletest::test]
fn services_are_selected_in_proportion_to_their_weights() {
    let weight = |service: &str, weight| ServiceWeight { service: service.into(), weight };
    let services = [weight("a", 2), weight("none", 0), weight("b", 1)];
    let selected: Vec<&str> = (0..total_weight(&services))
        .filter_map(|point| service_at(&services, point))
        .map(|entry| &*entry.service)
        .collect();
    expect_that!(selected, eq(&vec!["a", "a", "b"]));
    expect_that!(service_at(&services[1..2], 0).is_none(), eq(true));
}

#[googletest::test]
fn requests_are_charged_in_the_unit_of_their_quota() {
    let quota = |in_tokens| AccountQuota { rate: None, burst: 0.0, in_tokens, default_tokens: 7 };
    let tokens = Some(TokenCounts { prompt: 100, response: 20 });
    expect_that!(quota_units(&quota(false), tokens), eq(1));
    expect_that!(quota_units(&quota(true), tokens), eq(120));
    expect_that!(quota_units(&quota(true), None), eq(7));
}

#[googletest::test]
fn memory_is_estimated_from_the_expected_response_length() {
    let tokens = Some(TokenCounts { prompt: 100, response: 20 });
    expect_that!(estimated_memory(tokens, None), eq(120));
    expect_that!(estimated_memory(tokens, Some(5)), eq(105));
    expect_that!(estimated_memory(tokens, Some(500)), eq(120));
    expect_that!(estimated_memory(None, Some(5)), eq(0));
}

#[googletest::test]
fn account_priority_outweighs_route_priority() {
    expect_that!(endpoint_priority(None, 2), eq(2));
    expect_that!(endpoint_priority(Some(1), 0), eq(3));
    expect_that!(endpoint_priority(Some(2), 2), eq(8));
    expect_that!(endpoint_priority(Some(200), 2), eq(9));
}
