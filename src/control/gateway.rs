//! State of gateway daemons, traces of requests from their logs, and checks of their settings and
//! configuration files.

use std::net::SocketAddr;

use derive_more::{Display, Error};
use serde_json::Value;

use super::calls::ControlClient;
use crate::{
    errors::StepError,
    gateway::{
        configuration::configuration_check,
        state::{GatewayState, QuarantinedState, RestrictedState, rollout_view::RolloutView},
    },
    platform,
};

/// A file that cannot be used.
#[derive(Clone, Debug, Display, Error)]
#[display("{_0}")]
pub struct FileProblem(#[error(not(source))] String);

/// Reads the state of a daemon from its metrics address.
pub fn read_state(client: &ControlClient, daemon: SocketAddr) -> Result<GatewayState, StepError> {
    client.get("read state", daemon, "/state")
}

/// Ends the quarantine of a request at a daemon, which informs the other daemons.
pub fn end_quarantine(
    client: &ControlClient,
    daemon: SocketAddr,
    fingerprint: &str,
) -> Result<(), StepError> {
    let path = format!("/quarantine/{fingerprint}");
    client.delete("end quarantine", daemon, &path).map(drop)
}

/// Renders the requests and parts of prompts that a daemon refuses because they crash endpoints, one a line.
pub fn render_quarantined(state: &GatewayState) -> String {
    let line = |one: &QuarantinedState| {
        format!(
            "{} {}: {} crashes, the last {} ms ago; {} trials, the next in {} ms",
            state.name, one.fingerprint, one.crashes, one.crash_age_ms, one.trials, one.trial_in_ms
        )
    };
    let lines: Vec<String> = state.quarantined.iter().map(line).collect();
    match lines.is_empty() {
        true => format!("{}: nothing is quarantined", state.name),
        false => lines.join("\n"),
    }
}

/// Renders the endpoints that a daemon sends fewer requests than others, one a line.
pub fn render_endpoints(state: &GatewayState) -> String {
    let line = |one: &RestrictedState| {
        format!("{} {} {}: {}", state.name, one.service, one.endpoint, one.reasons.join("; "))
    };
    let lines: Vec<String> = state.endpoints_restricted.iter().map(line).collect();
    match lines.is_empty() {
        true => format!("{}: no endpoint is restricted", state.name),
        false => lines.join("\n"),
    }
}

/// Renders the roll-outs that a daemon knows, one a line.
pub fn render_rollouts(state: &GatewayState) -> String {
    let line = |one: &RolloutView| {
        let (target, target_bad) = one.target_responses;
        let (former, former_bad) = one.former_responses;
        let found = if one.stopped { ", found to be bad" } else { "" };
        format!(
            "{} {} to {}: {} at {:.3}{found}, {} of {} ms; endpoints {} and {} of other versions; bad \
             responses {target_bad} of {target}, of other versions {former_bad} of {former}",
            state.name,
            one.service,
            one.target,
            one.phase,
            one.share,
            one.age_ms,
            one.duration_ms,
            one.endpoints.0,
            one.endpoints.1,
        )
    };
    let lines: Vec<String> = state.rollouts.iter().map(line).collect();
    match lines.is_empty() {
        true => format!("{}: no roll-out is known", state.name),
        false => lines.join("\n"),
    }
}

/// Renders a daemon's state on one line.
pub fn render_state(state: &GatewayState) -> String {
    let age = |age: Option<u64>| age.map_or("never".to_owned(), |age| format!("{age} ms"));
    let ready = if state.ready { "ready" } else { "not ready" };
    let endpoints: Vec<String> =
        state.endpoints_ready.iter().map(|(service, count)| format!("{service} {count}")).collect();
    format!(
        "{} ({}) {ready}, {} active; configuration {} (revision {}/{}, proven {} ago); store era {}; \
         replicas at revision {}/{}: {}, {} draining, {} limited; daemons {} of {}; lease {} fence {} ({} ago)",
        state.name,
        state.zone,
        state.active,
        state.configuration_version,
        state.configuration_era,
        state.configuration_revision,
        age(state.proof_age_ms),
        state.store_era,
        state.endpoint_era,
        state.endpoint_revision,
        endpoints.join(", "),
        state.endpoints_draining,
        state.endpoints_limited,
        state.daemons_heard,
        state.daemons_known,
        state.lease_holder.as_deref().unwrap_or("(none known)"),
        state.lease_fence,
        age(state.lease_age_ms),
    )
}

/// Checks the text of a settings file.
pub fn check_settings(text: &str) -> Result<(), FileProblem> {
    platform::settings::parse(text).map(drop).map_err(|error| FileProblem(error.to_string()))
}

/// Checks the text of a configuration. Returns the parts that are valid but probably mistakes.
pub fn check_configuration(text: &str) -> Result<Vec<String>, FileProblem> {
    let decoded = platform::configuration::decode(text.as_bytes());
    let configuration = decoded.map_err(|error| FileProblem(error.to_string()))?;
    let problems = configuration_check::problems(&configuration);
    Ok(problems.iter().map(ToString::to_string).collect())
}

/// Returns the log lines about one request, ordered by timestamp.
pub fn trace_request(id: &str, logs: &[String]) -> Vec<Value> {
    let lines = logs.iter().flat_map(|text| text.lines());
    let mut found: Vec<Value> = lines
        .filter(|line| line.contains(id))
        // Log collectors may put a host name or a time before the JSON object. Lines without JSON
        // are not from a daemon.
        .filter_map(|line| serde_json::from_str(&line[line.find('{')?..]).ok())
        .filter(|line: &Value| line["kv"]["id"] == id)
        .collect();
    found.sort_by_key(|line| line["timestamp"].as_u64());
    found
}

/// Renders one log line of a trace as text.
pub fn render_line(line: &Value) -> String {
    let fields = line["kv"].as_object().into_iter().flatten();
    let shown: Vec<String> = fields.map(|(key, value)| format!("{key}={value}")).collect();
    let payload = line["payload"].as_str().unwrap_or("(no text)");
    format!("{} {payload} {}", line["timestamp"], shown.join(" "))
}
