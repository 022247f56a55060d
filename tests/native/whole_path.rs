//! A request served from one end to the other by separate processes.

use googletest::prelude::*;
use serde_json::json;

use crate::harness::{Deployment, Layout, completion, expected, post, stream, try_get};

const READER: (&str, &str) = ("authorization", "Bearer key-reader");

#[googletest::test]
fn answers_stream_document_chat_and_plain() {
    let deployment = Deployment::start(Layout::default());
    let daemon = deployment.caller(0);

    let streamed = stream(daemon, "k-stream", &completion("two words", 12), 0, |_| {});
    expect_true!(streamed.complete);
    expect_that!(streamed.tokens.concat(), eq(&expected("two words", 12)));

    let mut whole = completion("two words", 5);
    whole["stream"] = json!(false);
    let document = post(daemon, "/v1/completions", &[READER], &whole.to_string());
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

#[googletest::test]
fn time_line_has_one_terminal_event_per_request() {
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

#[googletest::test]
fn broken_stream_goes_on_at_another_engine() {
    let deployment = Deployment::start(Layout::default());
    for index in 0..2 {
        deployment.set_faults(deployment.endpoint(index), json!({ "cut_after": 5 }));
    }
    let streamed = stream(deployment.caller(0), "k-cut", &completion("p q r", 40), 0, |_| {});
    expect_true!(streamed.complete);
    expect_that!(streamed.tokens.concat(), eq(&expected("p q r", 40)));
}

#[googletest::test]
fn killed_engine_does_not_end_its_stream() {
    let mut deployment = Deployment::start(Layout::default());
    let daemon = deployment.caller(0);
    let engines: Vec<_> = (0..3).map(|index| deployment.endpoint(index)).collect();
    let (sender, receiver) = std::sync::mpsc::channel();
    let caller = std::thread::spawn(move || {
        stream(daemon, "k-kill", &completion("x y z", 120), 0, |count| {
            if count == 10 {
                sender.send(()).expect("the test waits");
            }
        })
    });
    receiver.recv().expect("ten tokens arrive");
    let busy = (0..3).find(|index| {
        let load = try_get(engines[*index], "/load").unwrap_or_default();
        load["running"].as_u64() > Some(0)
    });
    deployment.endpoints[busy.expect("one engine is busy")].kill();
    let streamed = caller.join().expect("the caller ends");
    expect_true!(streamed.complete);
    expect_that!(streamed.tokens.concat(), eq(&expected("x y z", 120)));
}
