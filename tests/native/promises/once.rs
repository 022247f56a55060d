//! Requests that may not be repeated, and keys of accounts.

use std::{
    net::SocketAddr,
    thread::JoinHandle,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use serde_json::json;

use crate::{
    cases,
    harness::{Answer, Deployment, Layout, completion, eventually, expected, post, try_post},
};

use super::{DaemonFault, PRESS, READER};

/// Promise 2: two accounts use the same key at once, at different daemons.
#[googletest::test]
fn same_key_of_two_accounts_is_two_requests() {
    let deployment = Deployment::start(Layout::default());
    let ask = |daemon: usize, account: (&'static str, &'static str), prompt: &'static str| {
        let address = deployment.caller(daemon);
        let mut body = completion(prompt, 30);
        body["stream"] = json!(false);
        std::thread::spawn(move || {
            let headers = [account, ("idempotency-key", "k-shared")];
            post(address, "/v1/completions", &headers, &body.to_string())
        })
    };
    let mine = ask(0, READER, "my page");
    let theirs = ask(1, PRESS, "their page");
    let text = |answer: &Answer| answer.body["choices"][0]["text"].clone();
    expect_that!(text(&mine.join().expect("an answer")), eq(&json!(expected("my page", 30))));
    expect_that!(text(&theirs.join().expect("an answer")), eq(&json!(expected("their page", 30))));
}

/// Promise 4: one ticket is asked for at every daemon at once; it runs once.
#[googletest::test]
fn ticket_at_every_daemon_at_once_runs_once() {
    let deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let ticket = take_ticket(&deployment, 0);
    let answers = ask_everywhere(&deployment, &[0, 1, 2, 3], &ticket);
    for answer in &answers {
        expect_that!(answer.status, eq(200), "{}", answer.text);
    }
    expect_that!(deployment.max_runs_per_request(), eq(1));
    let begun: u64 = (3..5).map(|index| deployment.counts(index).begun).sum();
    expect_that!(begun, eq(1));
}

fn take_ticket(deployment: &Deployment, daemon: usize) -> String {
    let answer = post(deployment.caller(daemon), "/v1/tickets", &[PRESS], "");
    answer.body["tickets"][0].as_str().expect("a ticket").to_owned()
}

fn ask_once(daemon: SocketAddr, key: &str) -> Option<Answer> {
    let headers = [PRESS, ("idempotency-key", key)];
    try_post(daemon, "/services/tagging/tags", &headers, "{\"panel\":7}")
}

fn ask_everywhere(deployment: &Deployment, daemons: &[usize], key: &str) -> Vec<Answer> {
    let asked: Vec<JoinHandle<Option<Answer>>> = daemons
        .iter()
        .map(|index| {
            let (daemon, key) = (deployment.caller(*index), key.to_owned());
            std::thread::spawn(move || ask_once(daemon, &key))
        })
        .collect();
    let answers = asked.into_iter().map(|asked| asked.join().expect("the caller ends"));
    answers.flatten().collect()
}

/// Promise 4: the holder is killed or frozen while the endpoint works; callers ask the
/// others meanwhile, and the thawed holder afterwards. The endpoint counts one run.
fn holder_lost_while_running_runs_once(fault: DaemonFault) {
    let mut deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    for index in 3..5 {
        deployment.set_faults(deployment.endpoint(index), json!({ "answer_ms": 600 }));
    }
    let ticket = take_ticket(&deployment, 0);
    let (daemon, key) = (deployment.caller(0), ticket.clone());
    let first = std::thread::spawn(move || ask_once(daemon, &key));
    eventually("the endpoint works", || {
        let begun: u64 = (3..5).map(|index| deployment.counts(index).begun).sum();
        (begun == 1).then_some(())
    });
    match fault {
        DaemonFault::Kill => deployment.daemons[0].kill(),
        DaemonFault::Suspend => deployment.daemons[0].signal("STOP"),
    }
    let answers = ask_everywhere(&deployment, &[1, 2, 3], &ticket);
    expect_that!(answers.len(), eq(3));
    for answer in &answers {
        let outcome = &answer.body["outcome"];
        expect_that!(outcome, eq(&json!("unknown")), "{}", answer.text);
    }
    if matches!(fault, DaemonFault::Suspend) {
        deployment.daemons[0].signal("CONT");
        let late = first.join().expect("the caller ends").expect("an answer");
        expect_that!(late.status, eq(200), "{}", late.text);
    }
    expect_that!(deployment.max_runs_per_request(), eq(1));
}

cases!(holder_lost_while_running_runs_once:
    holder_killed_while_running_runs_once(DaemonFault::Kill),
    holder_frozen_while_running_runs_once(DaemonFault::Suspend),
);

/// Promises 3 and 4: the holder is killed before the request reaches it. The witness
/// knows that it did not run, and says so.
#[googletest::test]
fn holder_killed_before_dispatch_is_not_run() {
    let mut deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let ticket = take_ticket(&deployment, 0);
    deployment.daemons[0].kill();
    let answer = ask_once(deployment.caller(1), &ticket).expect("an answer");
    expect_that!(answer.body["outcome"], eq(&json!("not-run")), "{}", answer.text);
    expect_that!(answer.retry_after, some(eq("0")));
    expect_that!(deployment.max_runs_per_request(), eq(0));
}

/// Promises 3 and 4: the holder is frozen before the request; the others say "not run";
/// thawed, it must not run the ticket after all.
#[googletest::test]
fn thawed_holder_does_not_run_what_was_called_not_run() {
    let deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let ticket = take_ticket(&deployment, 0);
    deployment.daemons[0].signal("STOP");
    // A request that waits in the frozen daemon's socket is read when it thaws.
    let (daemon, key) = (deployment.caller(0), ticket.clone());
    let waiting = std::thread::spawn(move || ask_once(daemon, &key));
    std::thread::sleep(Duration::from_millis(200));
    let answer = eventually("the holder is given up", || {
        let answer = ask_once(deployment.caller(1), &ticket)?;
        (answer.body["outcome"] == "not-run").then_some(answer)
    });
    expect_that!(answer.body["detail"].as_str(), some(contains_substring("before dispatching")));
    deployment.daemons[0].signal("CONT");
    let late = waiting.join().expect("the caller ends").expect("an answer");
    expect_that!(late.body["outcome"], eq(&json!("not-run")), "{}", late.text);
    expect_that!(deployment.max_runs_per_request(), eq(0));
}

/// Promise 4: a daemon replaced at the same address does not take the old one's ticket.
#[googletest::test]
fn replaced_daemon_does_not_run_old_tickets() {
    let mut deployment = Deployment::start(Layout { daemons: 3, ..Layout::default() });
    let ticket = take_ticket(&deployment, 0);
    expect_that!(
        ask_once(deployment.caller(0), &ticket).map(|answer| answer.status),
        some(eq(200))
    );
    deployment.daemons[0].kill();
    deployment.daemons[0] = deployment.spawn_daemon(0);
    deployment.wait_ready(0);
    let again = ask_once(deployment.caller(0), &ticket).expect("an answer");
    // Its witness was told the answer and gives it out.
    expect_that!(again.status, eq(200), "{}", again.text);
    expect_that!(deployment.max_runs_per_request(), eq(1));
}

/// Promise 4: a caller's own key costs one conditional create; the write's answer is
/// lost, and the key is asked for everywhere.
#[googletest::test]
fn own_key_runs_once_though_the_claims_answer_is_lost() {
    let deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    deployment.set_faults(deployment.platform_address(), json!({ "lose_answers": 1 }));
    let answers = ask_everywhere(&deployment, &[0, 1, 2, 3], "own-key-1");
    for answer in &answers {
        expect_that!(answer.status, eq(200), "{}", answer.text);
    }
    expect_that!(deployment.max_runs_per_request(), eq(1));
    let begun: u64 = (3..5).map(|index| deployment.counts(index).begun).sum();
    expect_that!(begun, eq(1));
}

/// Promise 3: with the platform down a key cannot be claimed: "not run", at once, with
/// when to come back; once it is up the same key runs.
#[googletest::test]
fn own_key_during_outage_is_not_run_at_once() {
    let deployment = Deployment::start(Layout::default());
    deployment.set_faults(deployment.platform_address(), json!({ "outage": true }));
    let asked_at = Instant::now();
    let answer = ask_once(deployment.caller(0), "own-key-2").expect("an answer");
    expect_that!(asked_at.elapsed(), lt(Duration::from_secs(5)));
    expect_that!(answer.status, eq(503));
    expect_that!(answer.body["outcome"], eq(&json!("not-run")));
    expect_that!(answer.retry_after, some(anything()));
    expect_that!(deployment.max_runs_per_request(), eq(0));
    deployment.set_faults(deployment.platform_address(), json!({ "outage": false }));
    let again = ask_once(deployment.caller(1), "own-key-2").expect("an answer");
    expect_that!(again.status, eq(200), "{}", again.text);
    expect_that!(deployment.max_runs_per_request(), eq(1));
}

/// Promises 3 and 4: the endpoint's answer is lost after it ran: "unknown", and asking
/// again anywhere does not run it again.
#[googletest::test]
fn lost_endpoint_answer_is_unknown_and_not_repeated() {
    let deployment = Deployment::start(Layout { plain: 1, ..Layout::default() });
    deployment.set_faults(deployment.endpoint(3), json!({ "lose_answers": 1 }));
    let ticket = take_ticket(&deployment, 0);
    for daemon in 0..3 {
        let answer = ask_once(deployment.caller(daemon), &ticket).expect("an answer");
        expect_that!(answer.body["outcome"], eq(&json!("unknown")), "{}", answer.text);
    }
    expect_that!(deployment.max_runs_per_request(), eq(1));
}

/// Promise 3: endpoints that refuse before starting leave the request not run.
#[googletest::test]
fn endpoints_that_refuse_leave_it_not_run() {
    let deployment = Deployment::start(Layout::default());
    for index in 3..5 {
        deployment.set_faults(deployment.endpoint(index), json!({ "refuse": true }));
    }
    let answer = ask_once(deployment.caller(0), &take_ticket(&deployment, 0)).expect("an answer");
    expect_that!(answer.status, eq(503));
    expect_that!(answer.body["outcome"], eq(&json!("not-run")));
    expect_that!(deployment.max_runs_per_request(), eq(0));
}

/// A ticket of another account neither runs nor reveals anything.
#[googletest::test]
fn foreign_ticket_is_refused() {
    let deployment = Deployment::start(Layout::default());
    let ticket = take_ticket(&deployment, 0);
    let headers = [READER, ("idempotency-key", ticket.as_str())];
    let answer = post(deployment.caller(1), "/services/tagging/tags", &headers, "{}");
    expect_that!(answer.status, eq(422));
    expect_that!(
        ask_once(deployment.caller(2), &ticket).map(|answer| answer.status),
        some(eq(200))
    );
}
