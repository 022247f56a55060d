//! Calls to replicas beside requests: load reports and moves of running requests.

use serde::{Deserialize, Serialize};

use crate::ids::SharedName;

/// Path at which an engine tells its load.
pub const REPORT_PATH: &str = "/-/report";
/// Path at which an engine is told to copy a run's memory.
pub const MOVE_PATH: &str = "/-/kv-move";

/// Load of an engine, some hundred milliseconds old.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct EngineReport {
    /// Requests that wait.
    #[serde(default)]
    pub queued: u32,
    /// Requests that run.
    #[serde(default)]
    pub active: u32,
    /// Tokens in memory that cannot give way.
    #[serde(default)]
    pub kv_used: u64,
    /// Tokens that the memory holds.
    #[serde(default)]
    pub kv_total: u64,
}

/// Decodes a load report.
pub fn decode_report(body: &[u8]) -> Result<EngineReport, serde_json::Error> {
    serde_json::from_slice(body)
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct MoveBody<'a> {
    id: &'a str,
    target_version: &'a str,
    last: bool,
}

/// Handle of a copied run.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct MoveHandle {
    /// Name of the copy at its source.
    pub handle: SharedName,
    /// Events made before the copy.
    #[serde(default)]
    pub made: u64,
}

/// Body of an order to copy the memory of the run `id` to `target`; `last` stops the run.
pub fn encode_move(id: &str, target: &str, last: bool) -> Vec<u8> {
    // NOTE: text and a flag always encode.
    serde_json::to_vec(&MoveBody { id, target_version: target, last }).unwrap_or_default()
}

/// Decodes the answer to a move.
pub fn decode_move(body: &[u8]) -> Result<MoveHandle, serde_json::Error> {
    let value: serde_json::Value = serde_json::from_slice(body)?;
    let handle = match &value["handle"] {
        serde_json::Value::String(text) => text.as_str().into(),
        other => other.to_string().into(),
    };
    Ok(MoveHandle { handle, made: value["made"].as_u64().unwrap_or(0) })
}
