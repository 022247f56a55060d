//! Settings of one daemon of the native interface, from a JSON file. Keys, ranges and defaults
//! are documented in docs/settings.md.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    ops::RangeInclusive,
    time::Duration,
};

use serde_json::Value;

use super::check::{FieldReader, OptionError};
use crate::ids::SharedName;

/// Lowest level of lines that are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Everything, for debugging.
    Debug,
    /// Normal operation.
    Info,
    /// Only what needs attention.
    Warn,
}

/// Validated settings of one daemon.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Name of the deployment; connections from daemons of another one are refused.
    pub deployment: SharedName,
    /// Availability zone this daemon runs in.
    pub zone: SharedName,
    /// Listening address for clients.
    pub caller_address: SocketAddr,
    /// Listening address for operators.
    pub admin_address: SocketAddr,
    /// Listening address for other daemons.
    pub peer_address: SocketAddr,
    /// Address of the platform's object API.
    pub object_api: SocketAddr,
    /// Address of the platform's cloud API and VM list.
    pub cloud_api: SocketAddr,
    /// Peer addresses of daemons to contact at start; more are found in the VM list.
    pub seeds: Vec<SocketAddr>,
    /// Number of copies of each request kept by daemons in other availability zones.
    pub copies: usize,
    /// Longest time a planned stop waits for requests.
    pub drain: Duration,
    /// How long a final response is kept for clients that repeat the request.
    pub answer_keep: Duration,
    /// How long a request continues after its client's connection broke.
    pub resume_grace: Duration,
    /// Silence of an attempt before its first token or its response after which another endpoint is
    /// asked as well.
    pub first_token_timeout: Duration,
    /// Silence between tokens after which another endpoint is asked as well.
    pub token_timeout: Duration,
    /// Most requests in progress at once.
    pub request_limit: usize,
    /// Log level.
    pub log_level: LogLevel,
}

/// Placeholder for an address that was rejected; `parse` then returns errors instead of settings.
const UNSET: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));
/// Description of an allowed address, for errors.
const ADDRESS: &str = "an IP address and port such as 127.0.0.1:8080";
/// Names of the log levels; the first is the default.
const LEVELS: [(&str, LogLevel); 3] =
    [("info", LogLevel::Info), ("debug", LogLevel::Debug), ("warn", LogLevel::Warn)];

/// Allowed durations in milliseconds: up to a day.
const DURATION_MS: RangeInclusive<u64> = 1..=86_400_000;
/// Allowed numbers of copies of a request; docs/design/copies.md has the cost of each.
const COPIES: RangeInclusive<u64> = 0..=3;
/// Allowed limits of requests in progress.
const REQUESTS: RangeInclusive<u64> = 1..=1_000_000;

/// Defaults of keys that a file leaves out.
mod defaults {
    pub const COPIES: u64 = 2;
    pub const DRAIN_MS: u64 = 600_000;
    pub const ANSWER_KEEP_MS: u64 = 120_000;
    pub const RESUME_GRACE_MS: u64 = 15_000;
    pub const FIRST_TOKEN_TIMEOUT_MS: u64 = 10_000;
    pub const TOKEN_TIMEOUT_MS: u64 = 2_000;
    pub const REQUEST_LIMIT: u64 = 4_000;
}

impl DaemonSettings {
    /// Parses and validates the text of a settings file.
    pub fn parse(text: &str) -> Result<Self, Vec<OptionError>> {
        let value: Value = serde_json::from_str(text).map_err(|error| {
            let allowed = "well-formed JSON".into();
            vec![OptionError { key: "(whole file)".into(), value: error.to_string(), allowed }]
        })?;
        let mut reader = FieldReader::new(&value, "").map_err(|error| vec![error])?;
        let settings = Self::read(&mut reader);
        let errors = reader.finish();
        if errors.is_empty() { Ok(settings) } else { Err(errors) }
    }

    fn read(reader: &mut FieldReader<'_>) -> Self {
        let millis = |reader: &mut FieldReader<'_>, key, default| {
            Duration::from_millis(reader.count(key, DURATION_MS, default))
        };
        Self {
            deployment: reader.name("deployment"),
            zone: reader.name("zone"),
            caller_address: reader.parsed("caller_address", ADDRESS, UNSET),
            admin_address: reader.parsed("admin_address", ADDRESS, UNSET),
            peer_address: reader.parsed("peer_address", ADDRESS, UNSET),
            object_api: reader.parsed("object_api", ADDRESS, UNSET),
            cloud_api: reader.parsed("cloud_api", ADDRESS, UNSET),
            seeds: reader.parsed_list("seeds", "a list of IP addresses with ports"),
            copies: reader.count("copies", COPIES, defaults::COPIES) as usize,
            drain: millis(reader, "drain_ms", defaults::DRAIN_MS),
            answer_keep: millis(reader, "answer_keep_ms", defaults::ANSWER_KEEP_MS),
            resume_grace: millis(reader, "resume_grace_ms", defaults::RESUME_GRACE_MS),
            first_token_timeout: millis(
                reader,
                "first_token_timeout_ms",
                defaults::FIRST_TOKEN_TIMEOUT_MS,
            ),
            token_timeout: millis(reader, "token_timeout_ms", defaults::TOKEN_TIMEOUT_MS),
            request_limit: reader.count("request_limit", REQUESTS, defaults::REQUEST_LIMIT)
                as usize,
            log_level: reader.choice("log_level", &LEVELS),
        }
    }
}
