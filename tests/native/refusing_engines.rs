//! Engines that refuse every request immediately, while other engines have free slots.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use serde_json::json;

use crate::harness::{Deployment, Layout, completion, post};

const READER: (&str, &str) = ("authorization", "Bearer key-reader");
const ENGINES: usize = 6;
const REFUSING: usize = 2;
const CLIENTS: usize = 8;
const RUN_TIME: Duration = Duration::from_secs(6);

/// Guards against requests that fail because daemons keep sending them to the 2 of 6 engines that
/// refuse everything, although the others have free slots. Fewer than 1 in 50 may fail.
#[googletest::test]
fn refusing_engines_cost_few_requests_while_others_have_room() {
    let deployment = Deployment::start(Layout { engines: ENGINES, ..Layout::default() });
    for index in 0..REFUSING {
        deployment.set_faults(deployment.endpoint(index), json!({ "refuse": true }));
    }
    let (sent, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let until = Instant::now() + RUN_TIME;
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (deployment, sent, refused) = (&deployment, &sent, &refused);
            scope.spawn(move || {
                for count in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let mut body = completion(&format!("prompt {client} {count}"), 4);
                    body["stream"] = json!(false);
                    let daemon = deployment.caller(count % 3);
                    let answer = post(daemon, "/v1/completions", &[READER], &body.to_string());
                    sent.fetch_add(1, Ordering::SeqCst);
                    refused.fetch_add(usize::from(answer.status != 200), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(40));
                }
            });
        }
    });
    let (sent, refused) = (sent.into_inner(), refused.into_inner());
    println!("{refused} of {sent} requests were not served");
    expect_that!(refused * 50, lt(sent));
}
