//! Endpoints that pause while they run requests: their runs are given up for better ones only.

use std::{
    net::SocketAddr,
    sync::mpsc,
    thread::{JoinHandle, sleep},
    time::{Duration, Instant},
};

use googletest::prelude::*;
use serde_json::json;

use crate::{
    cases,
    harness::{
        Deployment, Layout, Stream, completion, eventually, expected, post, stream, try_get,
    },
};

const READER: (&str, &str) = ("authorization", "Bearer key-reader");
const PROMPT: &str = "snow on the pass";
const TOKENS: usize = 60;
/// Silence after which a daemon looks for another endpoint, in milliseconds.
const SILENCE_MS: u64 = 200;
/// Pause of an endpoint: far longer than all attempts of a request that are each silent for
/// `SILENCE_MS`.
const PAUSE: Duration = Duration::from_secs(5);
/// Longest time for a stream to go on at another engine.
const GO_ON_LIMIT: Duration = Duration::from_secs(3);

fn start(engines: usize) -> Deployment {
    let settings = json!({
        "first_token_timeout_ms": SILENCE_MS,
        "token_timeout_ms": SILENCE_MS,
    });
    Deployment::start(Layout { engines, settings, ..Layout::default() })
}

fn set_frozen(deployment: &Deployment, engines: &[usize], frozen: bool) {
    for engine in engines {
        deployment.set_faults(deployment.endpoint(*engine), json!({ "frozen": frozen }));
    }
}

/// Starts a client in a thread; returns it after it has received `tokens`.
fn start_client(daemon: SocketAddr, tokens: usize) -> JoinHandle<Stream> {
    let (sender, receiver) = mpsc::channel();
    let client = std::thread::spawn(move || {
        stream(daemon, "k-pause", &completion(PROMPT, TOKENS), 0, |count| {
            if count == tokens {
                sender.send(()).expect("the test no longer waits for tokens");
            }
        })
    });
    if tokens > 0 {
        receiver.recv().expect("the stream ended too early");
    }
    client
}

fn expect_whole(client: JoinHandle<Stream>) {
    let streamed = client.join().expect("the client thread panicked");
    expect_true!(streamed.complete);
    expect_that!(streamed.tokens.concat(), eq(&expected(PROMPT, TOKENS)));
}

/// Guards against a stream that is broken off because all engines pause after `tokens` of it, though
/// they go on later.
fn stream_survives_a_pause_of_all(engines: usize, tokens: usize) {
    let deployment = start(engines);
    let all: Vec<usize> = (0..engines).collect();
    let client = if tokens == 0 {
        set_frozen(&deployment, &all, true);
        start_client(deployment.caller(0), tokens)
    } else {
        let client = start_client(deployment.caller(0), tokens);
        set_frozen(&deployment, &all, true);
        client
    };
    sleep(PAUSE);
    set_frozen(&deployment, &all, false);
    expect_whole(client);
}

cases!(stream_survives_a_pause_of_all:
    stream_survives_a_pause_of_its_only_engine(1, 10),
    stream_survives_a_pause_of_all_engines(3, 10),
    stream_survives_a_pause_before_its_first_token(1, 0),
    stream_survives_a_pause_of_all_engines_before_its_first_token(3, 0),
);

/// Number of the engine that runs a stream.
fn busy_engine(deployment: &Deployment) -> usize {
    eventually("an engine runs a stream", || {
        (0..deployment.layout.engines).find(|engine| {
            let load = try_get(deployment.endpoint(*engine), "/load").unwrap_or_default();
            load["running"].as_u64() > Some(0)
        })
    })
}

/// Guards against a stream that stays at engines that have hung, though another one can go on with
/// it.
fn stream_leaves_hung_engines(hung: usize) {
    let deployment = start(3);
    let client = start_client(deployment.caller(0), 10);
    let busy = busy_engine(&deployment);
    let hung: Vec<usize> = (0..hung).map(|engine| (busy + engine) % 3).collect();
    set_frozen(&deployment, &hung, true);
    let hung_since = Instant::now();
    expect_whole(client);
    expect_that!(hung_since.elapsed(), lt(GO_ON_LIMIT));
}

cases!(stream_leaves_hung_engines:
    stream_leaves_a_hung_engine(1),
    stream_leaves_two_hung_engines(2),
);

/// Guards against a plain call that fails because its response takes longer than the silence after
/// which a daemon looks for another endpoint, and against further runs of one that may not be
/// repeated.
fn long_plain_call_is_served(repeatable: bool, most_runs: u32) {
    let deployment = start(1);
    let row = json!({ "kind": "service", "name": "tagging", "service_type": "plain",
        "repeatable": repeatable });
    apply_row(&deployment, &row);
    for endpoint in 1..=deployment.layout.plain {
        deployment.set_faults(deployment.endpoint(endpoint), json!({ "answer_ms": 2_000 }));
    }
    let answer = post(deployment.caller(0), "/services/tagging/tags", &[READER], "{}");
    expect_that!(answer.status, eq(200), "{}", answer.text);
    expect_that!(deployment.max_runs_per_request(), le(most_runs));
}

cases!(long_plain_call_is_served:
    long_plain_call_that_may_be_repeated_is_served(true, 6),
    long_plain_call_that_may_not_be_repeated_is_served(false, 1),
);

/// Guards against "not run" for a call that is silent and refused at one endpoint, and ran at the
/// other one meanwhile.
#[googletest::test]
fn call_that_ran_beside_a_refusal_is_not_reported_as_not_run() {
    let deployment = start(1);
    let (failing, refusing) = (deployment.endpoint(1), deployment.endpoint(2));
    apply_row(&deployment, &repeatable_row());
    deployment.set_faults(failing, json!({ "frozen": true, "fail": true }));
    deployment.set_faults(refusing, json!({ "frozen": true, "refuse": true }));
    let daemon = deployment.caller(0);
    let client =
        std::thread::spawn(move || post(daemon, "/services/tagging/tags", &[READER], "{}"));
    sleep(Duration::from_secs(1));
    deployment.set_faults(failing, json!({ "frozen": false }));
    sleep(Duration::from_secs(2));
    deployment.set_faults(refusing, json!({ "frozen": false }));
    let answer = client.join().expect("the client thread panicked");
    expect_that!(deployment.max_runs_per_request(), ge(1));
    expect_that!(answer.body["outcome"], eq(&json!("unknown")), "{}", answer.text);
}

fn repeatable_row() -> serde_json::Value {
    json!({ "kind": "service", "name": "tagging", "service_type": "plain", "repeatable": true })
}

/// Applies a row and waits until all daemons have it.
fn apply_row(deployment: &Deployment, row: &serde_json::Value) {
    let file = deployment.folder.join("row.json");
    std::fs::write(&file, json!([row]).to_string()).expect("cannot write the table file");
    let (code, text) = deployment.control(&["apply", &file.display().to_string()]);
    assert_eq!(code, 0, "willowctl apply: {text}");
    sleep(Duration::from_secs(1));
}
