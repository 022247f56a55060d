//! Invalid input at every port: requests get a response that names the wrong field, and later
//! requests are served as before.

use std::io::{Read, Write};

use googletest::prelude::*;
use serde_json::json;

use crate::{
    cases,
    harness::{Deployment, Layout, completion, post, stream},
};

const READER: (&str, &str) = ("authorization", "Bearer key-reader");

/// Path, headers and body of a request, and the expected status and field.
type BadRequest<'a> = (&'a str, Vec<(&'a str, &'a str)>, String, u16, &'a str);

/// Guards against invalid requests that are accepted, or refused without naming the field, and
/// against a response that leaves open whether the request ran.
#[googletest::test]
fn bad_requests_name_the_field() {
    let deployment =
        Deployment::start(Layout { daemons: 1, engines: 1, plain: 1, ..Layout::default() });
    let daemon = deployment.caller(0);
    let long_key = "k".repeat(200);
    let huge = "x".repeat(1_100_000);
    let completions = "/v1/completions";
    let table: Vec<BadRequest> = vec![
        (completions, vec![], "{}".into(), 401, "authorization"),
        (completions, vec![("authorization", "Bearer nobody")], "{}".into(), 401, "authorization"),
        (completions, vec![READER], "{".into(), 400, "(body)"),
        (completions, vec![READER], "[]".into(), 400, "(body)"),
        (completions, vec![READER], "{\"model\":1}".into(), 400, "model"),
        (completions, vec![READER], "{\"model\":\"none\",\"prompt\":\"p\"}".into(), 404, "model"),
        (completions, vec![READER], "{\"model\":\"model\"}".into(), 400, "prompt"),
        (completions, vec![READER], "{\"model\":\"model\",\"prompt\":[]}".into(), 400, "prompt"),
        (
            completions,
            vec![READER],
            "{\"model\":\"model\",\"prompt\":\"p\",\"max_tokens\":0}".into(),
            400,
            "max_tokens",
        ),
        (
            completions,
            vec![READER],
            "{\"model\":\"model\",\"prompt\":\"p\",\"stream\":1}".into(),
            400,
            "stream",
        ),
        (
            completions,
            vec![READER],
            "{\"model\":\"model\",\"prompt\":\"p\",\"seed\":-1}".into(),
            400,
            "seed",
        ),
        (
            completions,
            vec![READER],
            "{\"model\":\"model\",\"prompt\":\"p\",\"odd\":1}".into(),
            400,
            "odd",
        ),
        (
            completions,
            vec![READER, ("idempotency-key", &long_key)],
            "{\"model\":\"model\",\"prompt\":\"p\"}".into(),
            400,
            "idempotency-key",
        ),
        (
            completions,
            vec![READER, ("last-event-id", "x")],
            "{\"model\":\"model\",\"prompt\":\"p\"}".into(),
            400,
            "last-event-id",
        ),
        (
            completions,
            vec![READER, ("traceparent", "x")],
            "{\"model\":\"model\",\"prompt\":\"p\"}".into(),
            400,
            "traceparent",
        ),
        (completions, vec![READER], huge, 413, "(body)"),
        (
            "/v1/chat/completions",
            vec![READER],
            "{\"model\":\"model\",\"messages\":[1]}".into(),
            400,
            "messages",
        ),
        ("/services/none/x", vec![READER], "{}".into(), 404, "(path)"),
        ("/services/tagging/x", vec![READER], "{".into(), 400, "(body)"),
        ("/v1/tickets", vec![READER], "{\"count\":0}".into(), 400, "count"),
        ("/nowhere", vec![READER], "{}".into(), 404, "(path)"),
    ];
    for (path, headers, body, status, field) in table {
        let answer = post(daemon, path, &headers, &body);
        let shown: String = body.chars().take(80).collect();
        expect_that!(answer.status, eq(status), "{path} {shown}: {}", answer.text);
        expect_that!(answer.body["field"], eq(&json!(field)), "{path} {shown}: {}", answer.text);
        expect_that!(answer.body["outcome"], eq(&json!("not-run")));
    }
}

/// Guards against a key that returns the response to another body: every daemon must refuse it.
#[googletest::test]
fn key_reused_with_another_body_is_refused() {
    let deployment = Deployment::start(Layout::default());
    let first = stream(deployment.caller(0), "k-same", &completion("one", 3), 0, |_| {});
    expect_true!(first.complete);
    for daemon in 0..3 {
        let other = stream(deployment.caller(daemon), "k-same", &completion("two", 3), 0, |_| {});
        expect_that!(other.status, eq(422), "daemon {daemon}");
    }
    // The same key of another account is another request.
    let press = [("authorization", "Bearer key-press"), ("idempotency-key", "k-same")];
    let mut body = completion("two", 3);
    body["stream"] = json!(false);
    let answer = post(deployment.caller(1), "/v1/completions", &press, &body.to_string());
    expect_that!(answer.status, eq(200));
}

/// Guards against a daemon that crashes or stops serving after malformed bytes on one of its ports.
fn malformed_bytes_leave_the_daemon_working(bytes: &[u8]) {
    let deployment =
        Deployment::start(Layout { daemons: 1, engines: 1, plain: 1, ..Layout::default() });
    for address in [deployment.caller(0), deployment.admin(0), deployment.peer(0)] {
        let mut socket = std::net::TcpStream::connect(address).expect("the port is open");
        socket.set_read_timeout(Some(std::time::Duration::from_millis(500))).expect("a timeout");
        let _ = socket.write_all(bytes);
        let mut answer = Vec::new();
        let _ = socket.read_to_end(&mut answer);
    }
    let after = stream(deployment.caller(0), "k-after", &completion("still", 3), 0, |_| {});
    expect_true!(after.complete);
}

cases!(malformed_bytes_leave_the_daemon_working:
    malformed_zeros(&[0; 4096]),
    malformed_ones(&[0xff; 4096]),
    malformed_head_without_end(&[b'a'; 65_536]),
    malformed_huge_segment_table(&[0xff, 0xff, 0xff, 0x7f, 0, 0, 0, 0]),
    malformed_request_line(b"POST /v1/completions HTTP/9.9\r\ncontent-length: -1\r\n\r\n"),
);
