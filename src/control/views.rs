//! Status of daemons of the native interface, and a merged timeline of their events.

use std::net::SocketAddr;

use serde_json::Value;

use super::calls::ControlClient;
use crate::{errors::StepError, native::serve::timeline::TimelineEvent};

/// Events of several daemons in one sequence, and the failures to read them.
#[derive(Debug, Default)]
pub struct MergedTimeline {
    /// Events, oldest first.
    pub events: Vec<TimelineEvent>,
    /// One error for each daemon whose events could not be read.
    pub missing: Vec<StepError>,
}

/// Reads and merges the events of `daemons` about `subject`, or all events if it is empty.
pub fn read_timeline(
    client: &ControlClient,
    daemons: &[SocketAddr],
    subject: &str,
) -> MergedTimeline {
    let mut merged = MergedTimeline::default();
    let path = if subject.is_empty() {
        "/timeline".to_owned()
    } else {
        format!("/timeline?subject={subject}")
    };
    for daemon in daemons {
        match client.get::<Vec<TimelineEvent>>("read timeline", *daemon, &path) {
            Ok(events) => merged.events.extend(events),
            Err(error) => merged.missing.push(error),
        }
    }
    merged.events.sort_by(|left, right| {
        let key = |event: &TimelineEvent| (event.at_ms, event.daemon.clone(), event.sequence);
        key(left).cmp(&key(right))
    });
    merged
}

/// Renders one event as a line of text.
pub fn render_event(event: &TimelineEvent) -> String {
    let subject = event.subject.as_deref().unwrap_or("-");
    // Cannot fail: the kind is an enum without fields.
    let kind = serde_json::to_value(event.kind).unwrap_or_default();
    let kind = kind.as_str().unwrap_or("?");
    format!("{} {} {kind:<15} {subject}  {}", event.at_ms, event.daemon, event.detail)
}

/// Renders the status of one daemon as text.
pub fn render_status(status: &Value) -> String {
    let members = status["members"].as_array().map_or(0, Vec::len);
    let mut lines = vec![format!(
        "{} in {}: {}, {} requests active, {} records, {members} members",
        status["incarnation"], status["zone"], status["phase"], status["active"], status["records"],
    )];
    for member in status["members"].as_array().into_iter().flatten() {
        lines.push(format!(
            "  member {} {} {}{}",
            member["address"],
            member["zone"],
            member["status"],
            if member["leaving"] == true { " leaving" } else { "" },
        ));
    }
    for row in status["rows"].as_array().into_iter().flatten() {
        lines.push(format!("  row {} version {}", row[0], row[1]));
    }
    lines.push(format!("  router {}", status["router"]));
    lines.join("\n")
}
