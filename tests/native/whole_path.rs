//! Requests that pass through the whole path: client, daemon and endpoint as separate processes.

use googletest::prelude::*;
use serde_json::json;

use crate::harness::{Deployment, Layout, completion, expected, post, stream, try_get};

const READER: (&str, &str) = ("authorization", "Bearer key-reader");

/// Guards against wrong content in any of the four kinds of response: stream, JSON document, chat
/// completion and plain service.
#[googletest::test]
fn stream_document_chat_and_plain_responses_are_correct() {
    let deployment = Deployment::start(Layout::default());
    let daemon = deployment.caller(0);

    let streamed = stream(daemon, "k-stream", &completion("two words", 12), 0, |_| {});
    expect_true!(streamed.complete);
    expect_that!(streamed.tokens.concat(), eq(&expected("two words", 12)));

    let mut body = completion("two words", 5);
    body["stream"] = json!(false);
    let document = post(daemon, "/v1/completions", &[READER], &body.to_string());
    expect_that!(document.status, eq(200));
    expect_that!(document.body["choices"][0]["text"], eq(&json!(expected("two words", 5))));

    let chat = json!({
        "model": "model", "max_tokens": 3, "seed": 7,
        "messages": [{ "role": "user", "content": "hello" }],
    });
    let chat = post(daemon, "/v1/chat/completions", &[READER], &chat.to_string());
    let content = &chat.body["choices"][0]["message"]["content"];
    expect_that!(content, eq(&json!(expected("user: hello\n", 3))));

    let tagging = post(daemon, "/services/tagging/tags", &[READER], "{\"panel\":1}");
    expect_that!(tagging.status, eq(200));
    expect_that!(tagging.body["path"], eq(&json!("/tags")));
    expect_that!(deployment.max_runs_per_request(), eq(1));
}

/// Guards against a timeline without the end of a request, or with several ends.
#[googletest::test]
fn timeline_has_one_terminal_event_per_request() {
    let deployment = Deployment::start(Layout::default());
    let streamed = stream(deployment.caller(1), "k-line", &completion("a b c", 4), 0, |_| {});
    expect_true!(streamed.complete);
    let daemons: Vec<String> = (0..3).map(|index| deployment.admin(index).to_string()).collect();
    let mut arguments = vec!["--json", "timeline"];
    arguments.extend(daemons.iter().map(String::as_str));
    arguments.extend(["--subject", "reader/k-line"]);
    let (code, text) = deployment.control(&arguments);
    expect_that!(code, eq(0));
    let ended = text.lines().filter(|line| line.contains("\"ended\"")).count();
    expect_that!(ended, eq(1), "{text}");
    expect_that!(text, contains_substring("1 attempts"));
}

/// Guards against a stream that ends for the client because two of the three engines close their
/// connections after 5 tokens.
#[googletest::test]
fn broken_stream_continues_on_another_engine() {
    let deployment = Deployment::start(Layout::default());
    for index in 0..2 {
        deployment.set_faults(deployment.endpoint(index), json!({ "cut_after": 5 }));
    }
    let streamed = stream(deployment.caller(0), "k-cut", &completion("p q r", 40), 0, |_| {});
    expect_true!(streamed.complete);
    expect_that!(streamed.tokens.concat(), eq(&expected("p q r", 40)));
}

/// Guards against a stream that ends for the client because its engine is killed.
#[googletest::test]
fn killed_engine_does_not_end_its_stream() {
    let mut deployment = Deployment::start(Layout::default());
    let daemon = deployment.caller(0);
    let engines: Vec<_> = (0..3).map(|index| deployment.endpoint(index)).collect();
    let (sender, receiver) = std::sync::mpsc::channel();
    let caller = std::thread::spawn(move || {
        stream(daemon, "k-kill", &completion("x y z", 120), 0, |count| {
            if count == 10 {
                sender.send(()).expect("the test no longer waits for tokens");
            }
        })
    });
    receiver.recv().expect("the stream ended before its tenth token");
    let busy = (0..3).find(|index| {
        let load = try_get(engines[*index], "/load").unwrap_or_default();
        load["running"].as_u64() > Some(0)
    });
    deployment.endpoints[busy.expect("no engine has a running stream")].kill();
    let streamed = caller.join().expect("the client thread panicked");
    expect_true!(streamed.complete);
    expect_that!(streamed.tokens.concat(), eq(&expected("x y z", 120)));
}
