//! Planned stops and replacements of daemons under load.

use std::{net::SocketAddr, sync::mpsc, thread::JoinHandle, time::Duration};

use googletest::prelude::*;
use serde_json::json;

use crate::harness::{Deployment, Layout, completion, eventually, expected, stream};

use super::start_caller;

/// Promise 6: a daemon that is stopped finishes its streams before it exits, and its health check
/// fails meanwhile, so that the load balancer sends new clients elsewhere.
#[googletest::test]
fn planned_stop_cuts_nothing_off() {
    const TOKENS: usize = 200;
    let mut deployment = Deployment::start(Layout::default());
    let caller = start_caller(deployment.caller(0), "k-stop", TOKENS);
    deployment.daemons[0].signal("TERM");
    eventually("the health check of the stopping daemon fails", || {
        let health = crate::harness::get_text(deployment.caller(0), "/healthz");
        (health.as_deref() != Some("ready\n")).then_some(())
    });
    let received = caller.join().expect("the client thread panicked");
    expect_true!(received.complete);
    expect_that!(received.tokens.concat(), eq(&expected("moon over the mill", TOKENS)));
    expect_that!(deployment.daemons[0].wait(), some(eq(0)));
}

/// Request mix of streams and tickets for the client stand-in.
fn request_mix(requests_per_s: f64) -> willowarch::standin::clients::RequestMix {
    let entry = |name: &str, kind: &str, service: &str, account: &str| {
        json!({
            "name": name, "weight": 1.0, "kind": kind, "service": service, "path": "tags",
            "api_key": format!("key-{account}"), "account": account,
            "shared_words": 30, "series": 4, "own_words": 8, "max_tokens": 60,
        })
    };
    let entries = [
        entry("stream", "completion", "model", "reader"),
        entry("tag", "once", "tagging", "press"),
    ];
    serde_json::from_value(json!({ "requests_per_s": requests_per_s, "entries": entries }))
        .expect("malformed request mix")
}

/// Sends the request mix to all daemons from a thread of its own.
fn start_clients(
    deployment: &Deployment,
    seconds: u64,
) -> JoinHandle<willowarch::standin::clients::ClientReport> {
    let daemons: Vec<SocketAddr> =
        (0..deployment.layout.daemons).map(|index| deployment.caller(index)).collect();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let clients = willowarch::standin::clients::ClientPlayer::new(daemons, request_mix(20.0));
        let run = clients.play(Duration::from_secs(seconds), 3);
        tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), run)
    })
}

/// Promise 6: all daemons are replaced one after another under load. Clients that follow the
/// protocol get a response to every request, and no request runs twice.
#[googletest::test]
fn rolling_replacement_fails_no_request() {
    let mut deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let callers = start_clients(&deployment, 14);
    for index in 0..4 {
        std::thread::sleep(Duration::from_millis(1_000));
        deployment.daemons[index].signal("TERM");
        expect_that!(deployment.daemons[index].wait(), some(eq(0)));
        deployment.daemons[index] = deployment.spawn_daemon(index);
        deployment.wait_ready(index);
    }
    let report = callers.join().expect("the client threads panicked");
    expect_that!(report.answered, eq(report.requests), "{report:?}");
    expect_that!(deployment.max_runs_per_request(), eq(1));
}

/// Promises 1, 2 and 4 together: daemons are killed and suspended one after another under load.
/// Every stream is complete and correct, requests that may not be repeated run at most once, and
/// each request has an outcome.
#[googletest::test]
fn kills_and_suspensions_under_load_lose_no_stream() {
    let mut deployment = Deployment::start(Layout { daemons: 5, ..Layout::default() });
    let callers = start_clients(&deployment, 12);
    for index in [1, 3] {
        std::thread::sleep(Duration::from_millis(1_500));
        deployment.daemons[index].kill();
        deployment.daemons[index + 1].signal("STOP");
        std::thread::sleep(Duration::from_millis(2_000));
        deployment.daemons[index + 1].signal("CONT");
        deployment.daemons[index] = deployment.spawn_daemon(index);
    }
    let report = callers.join().expect("the client threads panicked");
    expect_that!(report.wrong, eq(0), "{report:?}");
    expect_that!(report.not_run, eq(0), "{report:?}");
    expect_that!(report.failed, eq(0), "{report:?}");
    expect_that!(report.answered + report.unknown, eq(report.requests), "{report:?}");
    expect_that!(deployment.max_runs_per_request(), eq(1));
}

/// Promise 6: a daemon that relays a stream held by another daemon is stopped. Both clients, that
/// of the holder and that of the stopped daemon, get the complete stream.
#[googletest::test]
fn planned_stop_of_a_following_daemon_breaks_no_stream() {
    const TOKENS: usize = 250;
    let mut deployment = Deployment::start(Layout::default());
    let caller = start_caller(deployment.caller(0), "k-follow", TOKENS);
    let daemon = deployment.caller(1);
    let (sender, receiver) = mpsc::channel();
    let follower = std::thread::spawn(move || {
        stream(daemon, "k-follow", &completion("moon over the mill", TOKENS), 0, |count| {
            if count == 20 {
                sender.send(()).expect("the test no longer waits for tokens");
            }
        })
    });
    receiver.recv().expect("the stream ended before its twentieth token");
    deployment.daemons[1].signal("TERM");
    for received in
        [follower, caller].map(|caller| caller.join().expect("the client thread panicked"))
    {
        expect_true!(received.complete);
        expect_that!(received.tokens.concat(), eq(&expected("moon over the mill", TOKENS)));
    }
    expect_that!(deployment.daemons[1].wait(), some(eq(0)));
}
