//! Requests that may not be repeated, and idempotency keys per account.

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

/// Promise 2: two accounts use the same key at the same time on different daemons. Guards against
/// one account getting the other's response.
#[googletest::test]
fn same_key_of_two_accounts_is_two_requests() {
    let deployment = Deployment::start(Layout::default());
    let start_request =
        |daemon: usize, account: (&'static str, &'static str), prompt: &'static str| {
            let address = deployment.caller(daemon);
            let mut body = completion(prompt, 30);
            body["stream"] = json!(false);
            std::thread::spawn(move || {
                let headers = [account, ("idempotency-key", "k-shared")];
                post(address, "/v1/completions", &headers, &body.to_string())
            })
        };
    let reader = start_request(0, READER, "my page");
    let press = start_request(1, PRESS, "their page");
    let text = |answer: &Answer| answer.body["choices"][0]["text"].clone();
    expect_that!(text(&reader.join().expect("no response")), eq(&json!(expected("my page", 30))));
    expect_that!(text(&press.join().expect("no response")), eq(&json!(expected("their page", 30))));
}

/// Promise 4: requests with the same ticket arrive at all daemons at the same time; the ticket
/// runs once.
#[googletest::test]
fn ticket_sent_to_all_daemons_at_once_runs_once() {
    let deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let ticket = request_ticket(&deployment, 0);
    let answers = send_to_daemons(&deployment, &[0, 1, 2, 3], &ticket);
    for answer in &answers {
        expect_that!(answer.status, eq(200), "{}", answer.text);
    }
    expect_that!(deployment.max_runs_per_request(), eq(1));
    let begun: u64 = (3..5).map(|index| deployment.counts(index).begun).sum();
    expect_that!(begun, eq(1));
}

fn request_ticket(deployment: &Deployment, daemon: usize) -> String {
    let answer = post(deployment.caller(daemon), "/v1/tickets", &[PRESS], "");
    answer.body["tickets"][0].as_str().expect("no ticket in the response").to_owned()
}

fn send_request(daemon: SocketAddr, key: &str) -> Option<Answer> {
    let headers = [PRESS, ("idempotency-key", key)];
    try_post(daemon, "/services/tagging/tags", &headers, "{\"panel\":7}")
}

fn send_to_daemons(deployment: &Deployment, daemons: &[usize], key: &str) -> Vec<Answer> {
    let requests: Vec<JoinHandle<Option<Answer>>> = daemons
        .iter()
        .map(|index| {
            let (daemon, key) = (deployment.caller(*index), key.to_owned());
            std::thread::spawn(move || send_request(daemon, &key))
        })
        .collect();
    let answers =
        requests.into_iter().map(|request| request.join().expect("the client thread panicked"));
    answers.flatten().collect()
}

/// Promise 4: the daemon that holds the ticket is killed or suspended while the endpoint runs the
/// request. Clients send the ticket to the other daemons meanwhile; a suspended holder responds to
/// its own client after it resumes. Guards against a second run: the endpoint counts one.
fn holder_lost_while_running_runs_once(fault: DaemonFault) {
    let mut deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    for index in 3..5 {
        deployment.set_faults(deployment.endpoint(index), json!({ "answer_ms": 600 }));
    }
    let ticket = request_ticket(&deployment, 0);
    let (daemon, key) = (deployment.caller(0), ticket.clone());
    let first_client = std::thread::spawn(move || send_request(daemon, &key));
    eventually("the endpoint runs the request", || {
        let begun: u64 = (3..5).map(|index| deployment.counts(index).begun).sum();
        (begun == 1).then_some(())
    });
    match fault {
        DaemonFault::Kill => deployment.daemons[0].kill(),
        DaemonFault::Suspend => deployment.daemons[0].signal("STOP"),
    }
    let answers = send_to_daemons(&deployment, &[1, 2, 3], &ticket);
    expect_that!(answers.len(), eq(3));
    for answer in &answers {
        let outcome = &answer.body["outcome"];
        expect_that!(outcome, eq(&json!("unknown")), "{}", answer.text);
    }
    if matches!(fault, DaemonFault::Suspend) {
        deployment.daemons[0].signal("CONT");
        let late = first_client.join().expect("the client thread panicked").expect("no response");
        expect_that!(late.status, eq(200), "{}", late.text);
    }
    expect_that!(deployment.max_runs_per_request(), eq(1));
}

cases!(holder_lost_while_running_runs_once:
    holder_killed_while_running_runs_once(DaemonFault::Kill),
    holder_suspended_while_running_runs_once(DaemonFault::Suspend),
);

/// Promises 3 and 4: the holder is killed before the request reaches it. The witness has granted
/// no dispatch, so the response is "not run".
#[googletest::test]
fn request_whose_holder_is_killed_before_dispatch_is_not_run() {
    let mut deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let ticket = request_ticket(&deployment, 0);
    deployment.daemons[0].kill();
    let answer = send_request(deployment.caller(1), &ticket).expect("no response");
    expect_that!(answer.body["outcome"], eq(&json!("not-run")), "{}", answer.text);
    expect_that!(answer.retry_after, some(eq("0")));
    expect_that!(deployment.max_runs_per_request(), eq(0));
}

/// Promises 3 and 4: the holder is suspended before the request, and another daemon responds "not
/// run". Guards against a holder that runs the ticket after it resumes.
#[googletest::test]
fn resumed_holder_does_not_run_a_request_reported_as_not_run() {
    let deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    let ticket = request_ticket(&deployment, 0);
    deployment.daemons[0].signal("STOP");
    // This request waits in the suspended daemon's socket and is read when the daemon resumes.
    let (daemon, key) = (deployment.caller(0), ticket.clone());
    let waiting = std::thread::spawn(move || send_request(daemon, &key));
    std::thread::sleep(Duration::from_millis(200));
    let answer = eventually("another daemon reports that the ticket has not run", || {
        let answer = send_request(deployment.caller(1), &ticket)?;
        (answer.body["outcome"] == "not-run").then_some(answer)
    });
    expect_that!(answer.body["detail"].as_str(), some(contains_substring("before dispatching")));
    deployment.daemons[0].signal("CONT");
    let late = waiting.join().expect("the client thread panicked").expect("no response");
    expect_that!(late.body["outcome"], eq(&json!("not-run")), "{}", late.text);
    expect_that!(deployment.max_runs_per_request(), eq(0));
}

/// Promise 4: guards against a daemon that runs a ticket which its predecessor at the same address
/// has issued and run.
#[googletest::test]
fn replaced_daemon_does_not_run_old_tickets() {
    let mut deployment = Deployment::start(Layout { daemons: 3, ..Layout::default() });
    let ticket = request_ticket(&deployment, 0);
    expect_that!(
        send_request(deployment.caller(0), &ticket).map(|answer| answer.status),
        some(eq(200))
    );
    deployment.daemons[0].kill();
    deployment.daemons[0] = deployment.spawn_daemon(0);
    deployment.wait_ready(0);
    let again = send_request(deployment.caller(0), &ticket).expect("no response");
    // The ticket's witness has stored the response and returns it.
    expect_that!(again.status, eq(200), "{}", again.text);
    expect_that!(deployment.max_runs_per_request(), eq(1));
}

/// Promise 4: a key that the client chose itself is claimed by one conditional create at the
/// platform. The platform's response to that write is lost, and the same key arrives at all
/// daemons; the request runs once.
#[googletest::test]
fn client_key_runs_once_when_the_response_to_its_claim_is_lost() {
    let deployment = Deployment::start(Layout { daemons: 4, ..Layout::default() });
    deployment.set_faults(deployment.platform_address(), json!({ "lose_answers": 1 }));
    let answers = send_to_daemons(&deployment, &[0, 1, 2, 3], "own-key-1");
    for answer in &answers {
        expect_that!(answer.status, eq(200), "{}", answer.text);
    }
    expect_that!(deployment.max_runs_per_request(), eq(1));
    let begun: u64 = (3..5).map(|index| deployment.counts(index).begun).sum();
    expect_that!(begun, eq(1));
}

/// Promise 3: while the platform is down no key can be claimed. The response is "not run" within
/// 5 s, with a `retry-after`; after the outage the same key runs.
#[googletest::test]
fn client_key_during_outage_is_reported_as_not_run_within_5_seconds() {
    let deployment = Deployment::start(Layout::default());
    deployment.set_faults(deployment.platform_address(), json!({ "outage": true }));
    let sent_at = Instant::now();
    let answer = send_request(deployment.caller(0), "own-key-2").expect("no response");
    expect_that!(sent_at.elapsed(), lt(Duration::from_secs(5)));
    expect_that!(answer.status, eq(503));
    expect_that!(answer.body["outcome"], eq(&json!("not-run")));
    expect_that!(answer.retry_after, some(anything()));
    expect_that!(deployment.max_runs_per_request(), eq(0));
    deployment.set_faults(deployment.platform_address(), json!({ "outage": false }));
    let again = send_request(deployment.caller(1), "own-key-2").expect("no response");
    expect_that!(again.status, eq(200), "{}", again.text);
    expect_that!(deployment.max_runs_per_request(), eq(1));
}

/// Promises 3 and 4: the endpoint's response is lost after the request ran. The outcome is
/// "unknown", and sending the ticket again to any daemon does not run it again.
#[googletest::test]
fn lost_endpoint_answer_is_unknown_and_not_repeated() {
    let deployment = Deployment::start(Layout { plain: 1, ..Layout::default() });
    deployment.set_faults(deployment.endpoint(3), json!({ "lose_answers": 1 }));
    let ticket = request_ticket(&deployment, 0);
    for daemon in 0..3 {
        let answer = send_request(deployment.caller(daemon), &ticket).expect("no response");
        expect_that!(answer.body["outcome"], eq(&json!("unknown")), "{}", answer.text);
    }
    expect_that!(deployment.max_runs_per_request(), eq(1));
}

/// Promise 3: if all endpoints refuse the request before starting it, the outcome is "not run".
#[googletest::test]
fn request_refused_by_all_endpoints_is_not_run() {
    let deployment = Deployment::start(Layout::default());
    for index in 3..5 {
        deployment.set_faults(deployment.endpoint(index), json!({ "refuse": true }));
    }
    let answer =
        send_request(deployment.caller(0), &request_ticket(&deployment, 0)).expect("no response");
    expect_that!(answer.status, eq(503));
    expect_that!(answer.body["outcome"], eq(&json!("not-run")));
    expect_that!(deployment.max_runs_per_request(), eq(0));
}

/// Guards against an account that uses the ticket of another one: the request is refused without
/// running or revealing anything, and the ticket still runs for its owner.
#[googletest::test]
fn ticket_of_another_account_is_refused() {
    let deployment = Deployment::start(Layout::default());
    let ticket = request_ticket(&deployment, 0);
    let headers = [READER, ("idempotency-key", ticket.as_str())];
    let answer = post(deployment.caller(1), "/services/tagging/tags", &headers, "{}");
    expect_that!(answer.status, eq(422));
    expect_that!(
        send_request(deployment.caller(2), &ticket).map(|answer| answer.status),
        some(eq(200))
    );
}
