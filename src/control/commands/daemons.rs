//! Commands for daemons of the native interface: status, drain, timeline, settings.

use std::{net::SocketAddr, path::Path, process::ExitCode};

use serde_json::{Value, json};

use super::read_file;
use crate::{
    control::{
        calls::ControlClient,
        output::{CommandFailure, CommandResult, EXIT_INVALID, EXIT_UNAVAILABLE, OutputFormat},
        views,
    },
    native::options::settings::DaemonSettings,
};

/// Shows the status of each daemon; fails at the first call that fails.
pub fn show_status(daemons: &[SocketAddr], format: OutputFormat) -> CommandResult {
    let client = ControlClient::default();
    for daemon in daemons {
        let status: Value = client.get("read status", *daemon, "/status")?;
        format.print(&status, &views::render_status(&status));
    }
    Ok(ExitCode::SUCCESS)
}

/// Drains each daemon; fails at the first call that fails.
pub fn drain(daemons: &[SocketAddr], format: OutputFormat) -> CommandResult {
    let client = ControlClient::default();
    for daemon in daemons {
        client.post("drain", *daemon, "/drain")?;
        format.print(&json!({ "draining": daemon }), &format!("{daemon} is draining"));
    }
    Ok(ExitCode::SUCCESS)
}

/// Shows the events of all daemons about `subject` (all events if it is empty). Daemons whose
/// events cannot be read are reported on standard error and change the exit code.
pub fn show_timeline(daemons: &[SocketAddr], subject: &str, format: OutputFormat) -> CommandResult {
    let merged = views::read_timeline(&ControlClient::default(), daemons, subject);
    for event in &merged.events {
        format.print(&json!(event), &views::render_event(event));
    }
    for error in &merged.missing {
        eprintln!("willowctl: {error}");
    }
    let complete = merged.missing.is_empty();
    Ok(if complete { ExitCode::SUCCESS } else { ExitCode::from(EXIT_UNAVAILABLE) })
}

/// Checks a daemon's settings file and reports all errors.
pub fn check_settings(path: &Path, format: OutputFormat) -> CommandResult {
    match DaemonSettings::parse(&read_file(path)?) {
        Ok(_) => {
            format.print(&json!({ "errors": [] }), "settings are allowed");
            Ok(ExitCode::SUCCESS)
        }
        Err(errors) => {
            let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
            Err(CommandFailure::new(EXIT_INVALID, texts.join("\n")))
        }
    }
}
