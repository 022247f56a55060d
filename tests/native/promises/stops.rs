//! Planned stops and replacements, under load.

use std::{net::SocketAddr, sync::mpsc, thread::JoinHandle, time::Duration};

use googletest::prelude::*;
use serde_json::json;

use crate::harness::{Deployment, Layout, completion, eventually, expected, stream};

use super::start_caller;

/// Promise 6: a planned stop waits for what it has; new callers are sent elsewhere.
#[googletest::test]
fn planned_stop_cuts_nothing_off() {
    const TOKENS: usize = 200;
    let mut deployment = Deployment::start(Layout::default());
    let caller = start_caller(deployment.caller(0), "k-stop", TOKENS);
    deployment.daemons[0].signal("TERM");
    eventually("the balancer is told", || {
        let health = crate::harness::get_text(deployment.caller(0), "/healthz");
        (health.as_deref() != Some("ready\n")).then_some(())
    });
    let taken = caller.join().expect("the caller ends");
    expect_true!(taken.complete);
    expect_that!(taken.tokens.concat(), eq(&expected("moon over the mill", TOKENS)));
    expect_that!(deployment.daemons[0].wait(), some(eq(0)));
}

/// A mix of streams and tickets, as the callers' stand-in plays it.
fn mix(pace: f64) -> willowarch::standin::clients::RequestMix {
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
    serde_json::from_value(json!({ "requests_per_s": pace, "entries": entries })).expect("a mix")
}

/// Plays the mix in a thread of its own.
fn play(
    deployment: &Deployment,
    seconds: u64,
) -> JoinHandle<willowarch::standin::clients::ClientReport> {
    let daemons: Vec<SocketAddr> =
        (0..deployment.layout.daemons).map(|index| deployment.caller(index)).collect();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let player = willowarch::standin::clients::ClientPlayer::new(daemons, mix(20.0));
        let playing = player.play(Duration::from_secs(seconds), 3);
        tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), playing)
    })
}

/// Promise 6: all daemons are replaced one after another under load. A caller that
/// follows the protocol sees every request answered, and nothing runs twice.
#[googletest::test]
fn rolling_replacement_fails_no_request() {
    let mut deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let callers = play(&deployment, 14);
    for index in 0..4 {
        std::thread::sleep(Duration::from_millis(1_000));
        deployment.daemons[index].signal("TERM");
        expect_that!(deployment.daemons[index].wait(), some(eq(0)));
        deployment.daemons[index] = deployment.spawn_daemon(index);
        deployment.wait_ready(index);
    }
    let report = callers.join().expect("the callers end");
    expect_that!(report.answered, eq(report.requests), "{report:?}");
    expect_that!(deployment.max_runs_per_request(), eq(1));
}

/// Promises 1, 2 and 4 together: daemons are killed and frozen one after another under
/// load. Streams are all answered, whole; what may not be repeated runs at most once, and
/// each request has an outcome.
#[googletest::test]
fn kills_and_freezes_under_load_lose_no_stream() {
    let mut deployment = Deployment::start(Layout { daemons: 5, ..Layout::default() });
    let callers = play(&deployment, 12);
    for index in [1, 3] {
        std::thread::sleep(Duration::from_millis(1_500));
        deployment.daemons[index].kill();
        deployment.daemons[index + 1].signal("STOP");
        std::thread::sleep(Duration::from_millis(2_000));
        deployment.daemons[index + 1].signal("CONT");
        deployment.daemons[index] = deployment.spawn_daemon(index);
    }
    let report = callers.join().expect("the callers end");
    expect_that!(report.wrong, eq(0), "{report:?}");
    expect_that!(report.not_run, eq(0), "{report:?}");
    expect_that!(report.failed, eq(0), "{report:?}");
    expect_that!(report.answered + report.unknown, eq(report.requests), "{report:?}");
    expect_that!(deployment.max_runs_per_request(), eq(1));
}

/// Promise 6: the daemon that stops only follows the request, which another one holds.
#[googletest::test]
fn planned_stop_of_a_follower_cuts_nothing_off() {
    const TOKENS: usize = 250;
    let mut deployment = Deployment::start(Layout::default());
    let caller = start_caller(deployment.caller(0), "k-follow", TOKENS);
    let daemon = deployment.caller(1);
    let (sender, receiver) = mpsc::channel();
    let follower = std::thread::spawn(move || {
        stream(daemon, "k-follow", &completion("moon over the mill", TOKENS), 0, |count| {
            if count == 20 {
                sender.send(()).expect("the test waits");
            }
        })
    });
    receiver.recv().expect("twenty tokens arrive");
    deployment.daemons[1].signal("TERM");
    for taken in [follower, caller].map(|caller| caller.join().expect("the caller ends")) {
        expect_true!(taken.complete);
        expect_that!(taken.tokens.concat(), eq(&expected("moon over the mill", TOKENS)));
    }
    expect_that!(deployment.daemons[1].wait(), some(eq(0)));
}
