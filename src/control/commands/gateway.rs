//! `willowctl gateway`: state of gateway daemons, traces from logs, checks of files.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
};

use serde_json::json;

use super::read_file;
use crate::control::{
    calls::ControlClient,
    gateway,
    output::{CommandFailure, CommandResult, EXIT_INVALID, OutputFormat},
};

/// Shows the state of each daemon; fails at the first call that fails.
pub fn show_state(daemons: &[SocketAddr], format: OutputFormat) -> CommandResult {
    let client = ControlClient::default();
    for daemon in daemons {
        let state = gateway::read_state(&client, *daemon)?;
        format.print(&json!(state), &gateway::render_state(&state));
    }
    Ok(ExitCode::SUCCESS)
}

/// Shows the requests that each daemon refuses because they crash endpoints.
pub fn show_quarantined(daemons: &[SocketAddr], format: OutputFormat) -> CommandResult {
    let client = ControlClient::default();
    for daemon in daemons {
        let state = gateway::read_state(&client, *daemon)?;
        let shown = json!({ "name": state.name, "quarantined": state.quarantined });
        format.print(&shown, &gateway::render_quarantined(&state));
    }
    Ok(ExitCode::SUCCESS)
}

/// Shows the endpoints that each daemon sends fewer requests than others, and why.
pub fn show_endpoints(daemons: &[SocketAddr], format: OutputFormat) -> CommandResult {
    let client = ControlClient::default();
    for daemon in daemons {
        let state = gateway::read_state(&client, *daemon)?;
        let shown = json!({ "name": state.name, "endpoints": state.endpoints_restricted });
        format.print(&shown, &gateway::render_endpoints(&state));
    }
    Ok(ExitCode::SUCCESS)
}

/// Shows the roll-outs that each daemon knows.
pub fn show_rollouts(daemons: &[SocketAddr], format: OutputFormat) -> CommandResult {
    let client = ControlClient::default();
    for daemon in daemons {
        let state = gateway::read_state(&client, *daemon)?;
        let shown = json!({ "name": state.name, "rollouts": state.rollouts });
        format.print(&shown, &gateway::render_rollouts(&state));
    }
    Ok(ExitCode::SUCCESS)
}

/// Ends the quarantine of the request `fingerprint` at a daemon, which informs the other daemons.
pub fn end_quarantine(
    fingerprint: &str,
    daemon: SocketAddr,
    format: OutputFormat,
) -> CommandResult {
    gateway::end_quarantine(&ControlClient::default(), daemon, fingerprint)?;
    format.print(&json!({ "ended": fingerprint }), &format!("{fingerprint}: quarantine ended"));
    Ok(ExitCode::SUCCESS)
}

/// Shows the lines about the request `id` in the log `files`, ordered by timestamp.
pub fn show_trace(id: &str, files: &[PathBuf], format: OutputFormat) -> CommandResult {
    let logs: Result<Vec<String>, _> = files.iter().map(|file| read_file(file)).collect();
    let lines = gateway::trace_request(id, &logs?);
    if lines.is_empty() {
        let message = format!("{id}: not found in these logs");
        return Err(CommandFailure::new(EXIT_INVALID, message));
    }
    for line in &lines {
        format.print(line, &gateway::render_line(line));
    }
    Ok(ExitCode::SUCCESS)
}

/// Checks a daemon's settings file.
pub fn check_daemon(path: &Path, format: OutputFormat) -> CommandResult {
    gateway::check_settings(&read_file(path)?)?;
    format.print(&json!({ "errors": [] }), "settings are allowed");
    Ok(ExitCode::SUCCESS)
}

/// Checks a configuration; parts that are valid but probably mistakes are errors too.
pub fn check_configuration(path: &Path, format: OutputFormat) -> CommandResult {
    let problems = gateway::check_configuration(&read_file(path)?)?;
    if !problems.is_empty() {
        return Err(CommandFailure::new(EXIT_INVALID, problems.join("\n")));
    }
    format.print(&json!({ "errors": [] }), "the configuration is sound");
    Ok(ExitCode::SUCCESS)
}
