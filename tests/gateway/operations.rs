//! What operators use: the state page, metrics, logs, `willowctl` and the check of configuration files.

use std::{process::Command, time::Duration};

use googletest::prelude::*;
use serde_json::{Value, json};
use tokio::time::Instant;
use willowarch::{
    control::gateway,
    logs::{LineBudget, LineRank},
};

use crate::{
    endpoint_standin::EndpointManner,
    gateway_site::{Site, configuration, wait_for},
};

fn get_text(site: &Site, path: &str) -> String {
    let url = format!("http://{}{path}", site.gateway.metrics);
    let mut answer = ureq::get(&url).call().expect("answer");
    answer.body_mut().read_to_string().expect("text")
}

fn log(site: &Site) -> String {
    std::fs::read_to_string(&site.gateway.log).unwrap_or_default()
}

/// Waits for the log line of a request and returns its trace.
fn trace_of(site: &Site, id: &str) -> Vec<Value> {
    wait_for("the log line of the request", || log(site).contains(id));
    gateway::trace_request(id, &[log(site)])
}

#[googletest::test]
fn state_contains_versions_and_proof_age() {
    let site = Site::start(&[EndpointManner::Answer]);
    let state: Value = serde_json::from_str(&get_text(&site, "/state")).expect("JSON");
    expect_that!(state["ready"], eq(&json!(true)));
    expect_that!(state["configuration_version"], eq(&json!(3)));
    expect_that!(state["replicas_ready"]["pool"], eq(&json!(1)));
    expect_that!(state["proof_age_ms"].as_u64(), some(lt(5_000)));
    let shown = gateway::render_state(&serde_json::from_value(state).expect("state"));
    expect_that!(shown, contains_substring("configuration 3"));
}

#[googletest::test]
fn metrics_count_refusals_by_status() {
    let site = Site::start(&[EndpointManner::Full]);
    site.ask("/once/", "a");
    site.ask("/none/", "b");
    let text = get_text(&site, "/metrics");
    expect_that!(text, contains_substring("willowarch_refused{status=\"503\"} 1"));
    expect_that!(text, contains_substring("willowarch_refused{status=\"404\"} 1"));
}

#[googletest::test]
fn trace_of_a_request_shows_its_endpoint_and_failure_cause() {
    let site = Site::start(&[EndpointManner::Lose]);
    site.ask("/once/book", "lost-request");
    let lines = trace_of(&site, "lost-request");
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
fn trace_of_a_refusal_shows_the_account_and_the_state_of_the_endpoints() {
    let site = Site::start(&[EndpointManner::Full]);
    site.ask("/plain/one", "refused-request");
    let lines = trace_of(&site, "refused-request");
    let kv = &lines[0]["kv"];
    expect_that!(kv["account"], eq(&json!("reader")));
    let steps = kv["steps"].as_str().expect("steps");
    expect_that!(steps, contains_substring("1 endpoints, 0 running of 4 slots"));
    expect_that!(steps, contains_substring("retry after"));
}

#[googletest::test]
fn willowctl_lists_failing_endpoints_with_the_reason() {
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
fn older_configuration_is_not_logged_as_applied() {
    let site = Site::start(&[EndpointManner::Answer]);
    site.platform.put("config", "main", configuration(2, &["key-1"]));
    wait_for("the log line", || log(&site).contains("version not newer"));
    expect_that!(log(&site).matches("\"outcome\":\"applied\"").count(), eq(1));
}

#[googletest::test]
fn log_lines_per_second_are_limited_and_dropped_ones_counted() {
    let start = Instant::now();
    let mut budget = LineBudget::new(10, start);
    let written = (0..100).filter(|_| budget.allows(start)).count();
    expect_that!(written, eq(10));
    expect_that!(budget.take_dropped(), eq(90));
    expect_that!(budget.take_dropped(), eq(0));
    expect_that!(budget.allows(start + Duration::from_secs(1)), eq(true));
}

#[googletest::test]
fn log_lines_of_each_rank_have_their_own_limit() {
    let start = Instant::now();
    let mut budget = LineBudget::new(10, start);
    let mut written = |rank| (0..100).filter(|_| budget.allows_rank(rank, start)).count();
    expect_that!(written(LineRank::Usual), eq(10));
    expect_that!(written(LineRank::Refusal), eq(10));
    expect_that!(written(LineRank::Loss), eq(10));
    expect_that!(budget.take_dropped(), eq(270));
    expect_that!(budget.allows_rank(LineRank::Loss, start + Duration::from_secs(1)), eq(true));
}

fn configuration_without_accounts() -> Value {
    let mut without = configuration(3, &[]);
    without["tenants"] = json!([]);
    without
}

#[googletest::test]
fn configuration_check_reports_each_problem() {
    let sound = configuration(3, &["key-1"]);
    expect_that!(gateway::check_configuration(&sound.to_string()), ok(is_empty()));
    let mut invalid = sound;
    invalid["routes"][0]["service"] = json!("nowhere");
    invalid["routes"][1]["attempts"] = json!(3);
    invalid["routes"][2]["path-prefix"] = json!("/stream");
    invalid["routes"][3]["path-prefix"] = json!("/once/");
    let problems = gateway::check_configuration(&invalid.to_string()).expect("decodes").join("\n");
    expect_that!(problems, contains_substring("service nowhere does not exist"));
    expect_that!(problems, contains_substring("attempts above 1"));
    expect_that!(problems, contains_substring("must begin and end with a slash"));
    expect_that!(problems, contains_substring("same host and path-prefix"));
    let without_accounts = configuration_without_accounts().to_string();
    let problems = gateway::check_configuration(&without_accounts).expect("decodes").join("\n");
    expect_that!(problems, contains_substring("all keys are refused"));
    expect_that!(gateway::check_configuration("{}").is_err(), eq(true));
}

#[googletest::test]
fn plain_response_of_known_length_is_logged_as_answered() {
    let site = Site::start(&[EndpointManner::Answer]);
    expect_that!(site.ask("/plain/a", "plain-1").status, eq(200));
    expect_that!(site.ask("/plain/b", "plain-2").status, eq(200));
    let line_of = |id: &str| {
        let log = std::fs::read_to_string(&site.gateway.log).unwrap_or_default();
        log.lines().find(|line| line.contains(id)).map(str::to_owned)
    };
    wait_for("log lines of both requests", || {
        line_of("plain-1").is_some() && line_of("plain-2").is_some()
    });
    for id in ["plain-1", "plain-2"] {
        expect_that!(line_of(id), some(contains_substring(r#""outcome":"answered""#)));
    }
}

#[googletest::test]
fn store_era_appears_in_logs_metrics_and_willowctl() {
    let site = Site::start(&[EndpointManner::Answer]);
    site.platform.set_era(4);
    site.platform.put("config", "main", configuration(4, &["key-1"]));
    site.platform.copy_contents();
    wait_for("log line of era 4", || log(&site).contains(r#""store era","kv":{"era":"4"}"#));
    site.platform.restore_copy();
    wait_for("log line of era 5", || log(&site).contains(r#""kv":{"era":"5","before":"4"}"#));
    let tool = Command::new(env!("CARGO_BIN_EXE_willowctl"))
        .args(["gateway", "state", &site.gateway.metrics.to_string()])
        .output()
        .expect("willowctl");
    expect_that!(String::from_utf8_lossy(&tool.stdout), contains_substring("store era 5"));
    wait_for("metric of era 5", || get_text(&site, "/metrics").contains("willowarch_store_era 5"));
}
