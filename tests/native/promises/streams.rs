//! Streams survive the loss of daemons, availability zones and engines.

use std::{net::SocketAddr, sync::mpsc, time::Duration};

use googletest::prelude::*;
use serde_json::json;

use crate::{
    cases,
    harness::{
        Deployment, Layout, Stream, completion, eventually, expected, post, stream, try_get,
    },
};

use super::{DaemonFault, resume, start_caller};

/// Promises 1 and 2: the daemon of a stream is killed or suspended without notice. The client
/// resumes at another daemon and gets the rest, with no token repeated or missing.
fn stream_survives_loss_of_its_daemon(fault: DaemonFault, two_clients: bool) {
    const TOKENS: usize = 150;
    let mut deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let caller = start_caller(deployment.caller(0), "k-lost", TOKENS);
    match fault {
        DaemonFault::Kill => deployment.daemons[0].kill(),
        DaemonFault::Suspend => deployment.daemons[0].signal("STOP"),
    }
    let others: Vec<SocketAddr> = (1..4).map(|index| deployment.caller(index)).collect();
    let received = match fault {
        DaemonFault::Kill => caller.join().expect("the client thread panicked"),
        // The client of a suspended daemon gives up by itself and starts again from the first
        // token.
        DaemonFault::Suspend => Stream::default(),
    };
    let second = two_clients.then(|| {
        let other = others[1];
        std::thread::spawn(move || resume(&[other], "k-lost", TOKENS, Stream::default()))
    });
    let complete = resume(&others, "k-lost", TOKENS, received);
    expect_true!(complete.complete);
    expect_that!(complete.tokens.concat(), eq(&expected("moon over the mill", TOKENS)));
    if let Some(second) = second {
        let second = second.join().expect("the second client thread panicked");
        expect_that!(second.tokens.concat(), eq(&expected("moon over the mill", TOKENS)));
    }
    if matches!(fault, DaemonFault::Suspend) {
        deployment.daemons[0].signal("CONT");
    }
}

cases!(stream_survives_loss_of_its_daemon:
    stream_survives_killed_daemon(DaemonFault::Kill, false),
    stream_survives_killed_daemon_with_two_callers(DaemonFault::Kill, true),
    stream_survives_suspended_daemon(DaemonFault::Suspend, false),
    stream_survives_suspended_daemon_with_two_callers(DaemonFault::Suspend, true),
);

/// Promise 1: guards against a take-over that generates tokens again which the new daemon already
/// has as copies.
#[googletest::test]
fn take_over_goes_on_from_copied_tokens() {
    let mut deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let caller = start_caller(deployment.caller(0), "k-goes-on", 150);
    std::thread::sleep(Duration::from_millis(400));
    deployment.daemons[0].kill();
    let received = caller.join().expect("the client thread panicked");
    let before = received.tokens.len();
    let others: Vec<SocketAddr> = (1..4).map(|index| deployment.caller(index)).collect();
    let complete = resume(&others, "k-goes-on", 150, received);
    expect_true!(complete.complete);
    let generated: u64 = (0..3).map(|index| deployment.counts(index).generated_tokens).sum();
    // Copies lag by a few tokens; these, and the tokens in flight, are generated twice.
    expect_that!(generated, lt(150 + before as u64 / 2 + 15));
}

/// Promise 1: all daemons and engines of an availability zone are killed at the same time, then
/// those of the next zone, to which the client has moved.
#[googletest::test]
fn stream_survives_loss_of_two_zones_one_after_another() {
    const TOKENS: usize = 200;
    let layout = Layout { daemons: 8, engines: 8, ..Layout::default() };
    let mut deployment = Deployment::start(layout);
    let caller = start_caller(deployment.caller(0), "k-zones", TOKENS);
    let mut received = Stream::default();
    let mut caller = Some(caller);
    for zone in [0, 1] {
        for index in [zone, zone + 4] {
            deployment.daemons[index].kill();
            deployment.endpoints[index].kill();
        }
        if let Some(first) = caller.take() {
            received = first.join().expect("the client thread panicked");
        }
        let daemon = deployment.caller(zone + 1);
        let more = {
            let body = completion("moon over the mill", TOKENS);
            let token_count = received.tokens.len();
            let limit = if zone == 0 { 60 } else { usize::MAX };
            let mut seen = 0;
            let (sender, receiver) = mpsc::channel();
            let running = std::thread::spawn(move || {
                stream(daemon, "k-zones", &body, token_count, |_| {
                    seen += 1;
                    if seen == limit {
                        let _ = sender.send(());
                    }
                })
            });
            if zone == 0 {
                let _ = receiver.recv();
                for index in [1, 5] {
                    deployment.daemons[index].kill();
                    deployment.endpoints[index].kill();
                }
            }
            running.join().expect("the client thread panicked")
        };
        received.tokens.extend(more.tokens);
        received.complete = more.complete;
    }
    let others: Vec<SocketAddr> = [2, 3, 6, 7].map(|index| deployment.caller(index)).to_vec();
    let complete = resume(&others, "k-zones", TOKENS, received);
    expect_true!(complete.complete);
    expect_that!(complete.tokens.concat(), eq(&expected("moon over the mill", TOKENS)));
}

/// Promise 1: the VM of the stream's daemon gets a reclaim notice of about two seconds (2.5 s)
/// while the platform is down.
#[googletest::test]
fn stream_survives_reclaim_of_its_daemon_during_outage() {
    const TOKENS: usize = 600;
    let mut deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let caller = start_caller(deployment.caller(0), "k-reclaim", TOKENS);
    deployment.set_faults(deployment.platform_address(), json!({ "outage": true }));
    let notice = json!({
        "sequence": 1, "vm": "entry-0", "gone_at_ms": willowarch::wall_clock_ms() + 2_500,
    });
    // The notice reaches only another daemon.
    expect_that!(post(deployment.admin(2), "/notices", &[], &notice.to_string()).status, eq(200));
    expect_that!(deployment.daemons[0].wait(), some(eq(0)));
    let received = caller.join().expect("the client thread panicked");
    expect_false!(received.complete);
    let others: Vec<SocketAddr> = (1..4).map(|index| deployment.caller(index)).collect();
    let complete = resume(&others, "k-reclaim", TOKENS, received);
    expect_true!(complete.complete);
    expect_that!(complete.tokens.concat(), eq(&expected("moon over the mill", TOKENS)));
}

/// Promise 5: the reclaim notice reaches only one daemon, while the platform is down and its VM
/// list lags. Guards against the other daemons still sending new requests to the VM two seconds
/// later.
#[googletest::test]
fn leaving_endpoint_gets_nothing_new() {
    let deployment = Deployment::start(Layout { daemons: 4, engines: 3, ..Layout::default() });
    let faults = json!({ "outage": true, "list_lag_ms": 30_000 });
    deployment.set_faults(deployment.platform_address(), faults);
    let notice = json!({
        "sequence": 1, "vm": "vm-1", "gone_at_ms": willowarch::wall_clock_ms() + 60_000,
    });
    post(deployment.admin(3), "/notices", &[], &notice.to_string());
    std::thread::sleep(Duration::from_secs(2));
    let before = deployment.counts(1).begun;
    for number in 0..40 {
        let daemon = deployment.caller(number % 4);
        let key = format!("k-leaving-{number}");
        let answer = stream(daemon, &key, &completion("quiet", 2), 0, |_| {});
        expect_true!(answer.complete);
    }
    expect_that!(deployment.counts(1).begun, eq(before));
}

/// Promises 1 and 5: the streams of an engine whose VM is reclaimed continue on another engine, and
/// the client gets them complete.
#[googletest::test]
fn streams_leave_a_reclaimed_engine_whole() {
    const TOKENS: usize = 300;
    let mut deployment = Deployment::start(Layout { engines: 2, ..Layout::default() });
    let caller = start_caller(deployment.caller(0), "k-moved", TOKENS);
    let busy = (0..2).find(|index| {
        let load = try_get(deployment.endpoint(*index), "/load").unwrap_or_default();
        load["running"].as_u64() > Some(0)
    });
    let busy = busy.expect("no engine has a running stream");
    let order = json!({ "vm": format!("vm-{busy}"), "seconds": 1.5 });
    post(deployment.platform_address(), "/reclaim", &[], &order.to_string());
    std::thread::sleep(Duration::from_millis(1_500));
    deployment.endpoints[busy].kill();
    let received = caller.join().expect("the client thread panicked");
    expect_true!(received.complete);
    expect_that!(received.tokens.concat(), eq(&expected("moon over the mill", TOKENS)));
}

/// Promises 1 and 2: a daemon with several streams is suspended; clients request each stream from
/// all other daemons at once, and these take it over from each other. Guards against a client that
/// waits forever because the daemon it asked lost its take-over to another one.
#[googletest::test]
fn rival_take_overs_leave_no_caller_waiting() {
    const TOKENS: usize = 60;
    const KEYS: usize = 12;
    let deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let _holders: Vec<_> = (0..KEYS)
        .map(|number| {
            let daemon = deployment.caller(0);
            std::thread::spawn(move || {
                let body = completion("moon over the mill", TOKENS);
                stream(daemon, &format!("k-rival-{number}"), &body, 0, |_| {})
            })
        })
        .collect();
    eventually("the streams have started", || {
        (deployment.metric(0, "attempts") >= 12.0).then_some(())
    });
    deployment.daemons[0].signal("STOP");
    let (sender, receiver) = mpsc::channel();
    for number in 0..KEYS {
        for index in 1..4 {
            let (daemon, sender) = (deployment.caller(index), sender.clone());
            std::thread::spawn(move || {
                let key = format!("k-rival-{number}");
                let received = resume(&[daemon], &key, TOKENS, Stream::default());
                let _ = sender.send(received.tokens.concat());
            });
        }
    }
    for _ in 0..KEYS * 3 {
        let text = receiver.recv_timeout(crate::harness::WAIT_LIMIT);
        expect_that!(text, ok(eq(&expected("moon over the mill", TOKENS))));
        if text.is_err() {
            break;
        }
    }
}
