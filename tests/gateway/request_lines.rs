//! Prints what daemons have logged of requests that were not served, so that a test that fails once can be
//! traced.

use std::{collections::HashSet, path::Path};

use serde_json::Value;

/// Most lines printed for one test.
const MAX_PRINTED_LINES: usize = 60;

/// Prints the request lines of these requests, and which of them have none.
pub fn print_request_lines<'a>(logs: impl Iterator<Item = &'a Path>, ids: &HashSet<&str>) {
    let mut without_line = ids.clone();
    let mut printed = 0;
    for log in logs {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        for line in text.lines() {
            let Some(id) = request_id(line).filter(|id| ids.contains(id.as_str())) else {
                continue;
            };
            without_line.remove(id.as_str());
            printed += 1;
            if printed <= MAX_PRINTED_LINES {
                println!("{line}");
            }
        }
    }
    println!("{printed} request lines of {} requests not served", ids.len());
    println!("no request line of: {without_line:?}");
}

/// The request that a line of the log is about, if it is a request line.
fn request_id(line: &str) -> Option<String> {
    if !line.contains(r#""payload":"request""#) {
        return None;
    }
    let line: Value = serde_json::from_str(line).ok()?;
    Some(line["kv"]["id"].as_str()?.to_owned())
}
