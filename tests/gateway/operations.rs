//! What operators see: state, metrics, logs, checks of files.

use std::{process::Command, time::Duration};

use googletest::prelude::*;
use serde_json::{Value, json};
use tokio::time::Instant;
use willowarch::{control::gateway, logs::LineBudget};

use crate::{
    endpoint_standin::EndpointManner,
    gateway_site::{Site, configuration, wait_for},
};

fn read(site: &Site, path: &str) -> String {
    let url = format!("http://{}{path}", site.gateway.metrics);
    let mut answer = ureq::get(&url).call().expect("answer");
    answer.body_mut().read_to_string().expect("text")
}

fn log(site: &Site) -> String {
    std::fs::read_to_string(&site.gateway.log).unwrap_or_default()
}

/// The lines of a request's trace, once it has ended.
fn traced(site: &Site, id: &str) -> Vec<Value> {
    wait_for("the line", || log(site).contains(id));
    gateway::trace_request(id, &[log(site)])
}

#[googletest::test]
fn state_tells_versions_and_ages() {
    let site = Site::start(&[EndpointManner::Answer]);
    let state: Value = serde_json::from_str(&read(&site, "/state")).expect("JSON");
    expect_that!(state["ready"], eq(&json!(true)));
    expect_that!(state["configuration_version"], eq(&json!(3)));
    expect_that!(state["replicas_ready"]["pool"], eq(&json!(1)));
    expect_that!(state["proof_age_ms"].as_u64(), some(lt(5_000)));
    let shown = gateway::render_state(&serde_json::from_value(state).expect("state"));
    expect_that!(shown, contains_substring("configuration 3"));
}

#[googletest::test]
fn metrics_count_what_was_refused_and_why() {
    let site = Site::start(&[EndpointManner::Full]);
    site.ask("/once/", "a");
    site.ask("/none/", "b");
    let text = read(&site, "/metrics");
    expect_that!(text, contains_substring("willowarch_refused{status=\"503\"} 1"));
    expect_that!(text, contains_substring("willowarch_refused{status=\"404\"} 1"));
}

#[googletest::test]
fn a_request_is_traced_from_its_id_to_its_cause() {
    let site = Site::start(&[EndpointManner::Lose]);
    site.ask("/once/book", "lost-request");
    let lines = traced(&site, "lost-request");
    assert_eq!(lines.len(), 1);
    expect_that!(lines[0]["kv"]["outcome"], eq(&json!("outcome unknown")));
    let steps = lines[0]["kv"]["steps"].as_str().expect("steps");
    expect_that!(steps, contains_substring("i-0"));
    expect_that!(steps, contains_substring("connection broke"));
    let tool = Command::new(env!("CARGO_BIN_EXE_willowctl"))
        .args(["gateway", "trace", "lost-request"])
        .arg(&site.gateway.log)
        .output()
        .expect("willowctl");
    expect_that!(tool.status.code(), some(eq(0)));
    expect_that!(String::from_utf8_lossy(&tool.stdout), contains_substring("outcome unknown"));
}

#[googletest::test]
fn a_refusal_names_its_inputs() {
    let site = Site::start(&[EndpointManner::Full]);
    site.ask("/plain/one", "refused-request");
    let lines = traced(&site, "refused-request");
    let kv = &lines[0]["kv"];
    expect_that!(kv["account"], eq(&json!("reader")));
    let steps = kv["steps"].as_str().expect("steps");
    expect_that!(steps, contains_substring("1 endpoints, 0 running of 4 slots"));
    expect_that!(steps, contains_substring("retry after"));
}

#[googletest::test]
fn endpoints_that_fail_are_shown_with_the_reason() {
    let site = Site::start(&[EndpointManner::Answer, EndpointManner::Fail]);
    for number in 0..20 {
        site.ask("/plain/one", &format!("plain-{number}"));
    }
    let tool = Command::new(env!("CARGO_BIN_EXE_willowctl"))
        .args(["gateway", "endpoints", &site.gateway.metrics.to_string()])
        .output()
        .expect("willowctl");
    let shown = String::from_utf8_lossy(&tool.stdout);
    expect_that!(tool.status.code(), some(eq(0)));
    expect_that!(shown, contains_substring("pool i-1: "));
    expect_that!(shown, contains_substring("fails 100% of the requests of this daemon"));
    expect_that!(shown, not(contains_substring("i-0")));
}

#[googletest::test]
fn a_configuration_that_is_not_newer_is_not_called_applied() {
    let site = Site::start(&[EndpointManner::Answer]);
    site.platform.put("config", "main", configuration(2, &["key-1"]));
    wait_for("the line", || log(&site).contains("version not newer"));
    expect_that!(log(&site).matches("\"outcome\":\"applied\"").count(), eq(1));
}

#[googletest::test]
fn lines_are_bounded_and_the_rest_is_told() {
    let start = Instant::now();
    let mut budget = LineBudget::new(10, start);
    let written = (0..100).filter(|_| budget.allows(start)).count();
    expect_that!(written, eq(10));
    expect_that!(budget.take_dropped(), eq(90));
    expect_that!(budget.take_dropped(), eq(0));
    expect_that!(budget.allows(start + Duration::from_secs(1)), eq(true));
}

#[googletest::test]
fn configuration_is_checked_before_it_is_written() {
    let sound = configuration(3, &["key-1"]);
    expect_that!(gateway::check_configuration(&sound.to_string()), ok(is_empty()));
    let mut odd = sound;
    odd["routes"][0]["service"] = json!("nowhere");
    odd["routes"][1]["attempts"] = json!(3);
    odd["routes"][2]["path-prefix"] = json!("/stream");
    odd["routes"][3]["path-prefix"] = json!("/once/");
    let problems = gateway::check_configuration(&odd.to_string()).expect("decodes").join("\n");
    expect_that!(problems, contains_substring("service nowhere does not exist"));
    expect_that!(problems, contains_substring("attempts above 1"));
    expect_that!(problems, contains_substring("must begin and end with a slash"));
    expect_that!(problems, contains_substring("same host and path-prefix"));
    expect_that!(gateway::check_configuration("{}").is_err(), eq(true));
}

#[googletest::test]
fn plain_answer_of_known_length_counts_as_answered() {
    let site = Site::start(&[EndpointManner::Answer]);
    expect_that!(site.ask("/plain/a", "plain-1").status, eq(200));
    expect_that!(site.ask("/plain/b", "plain-2").status, eq(200));
    let line_of = |id: &str| {
        let log = std::fs::read_to_string(&site.gateway.log).unwrap_or_default();
        log.lines().find(|line| line.contains(id)).map(str::to_owned)
    };
    wait_for("lines of both requests", || {
        line_of("plain-1").is_some() && line_of("plain-2").is_some()
    });
    for id in ["plain-1", "plain-2"] {
        expect_that!(line_of(id), some(contains_substring(r#""outcome":"answered""#)));
    }
}

#[googletest::test]
fn eras_of_the_store_are_logged_counted_and_shown() {
    let site = Site::start(&[EndpointManner::Answer]);
    site.platform.set_era(4);
    site.platform.put("config", "main", configuration(4, &["key-1"]));
    site.platform.copy_contents();
    wait_for("the line", || log(&site).contains(r#""store era","kv":{"era":"4"}"#));
    site.platform.restore_copy();
    wait_for("the line", || log(&site).contains(r#""kv":{"era":"5","before":"4"}"#));
    let tool = Command::new(env!("CARGO_BIN_EXE_willowctl"))
        .args(["gateway", "state", &site.gateway.metrics.to_string()])
        .output()
        .expect("willowctl");
    expect_that!(String::from_utf8_lossy(&tool.stdout), contains_substring("store era 5"));
    wait_for("the metric", || read(&site, "/metrics").contains("willowarch_store_era 5"));
}
