//! Settings of one daemon, from a JSON file.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};

use serde_json::Value;

use super::check::{FieldReader, OptionError};
use crate::ids::SharedName;

/// How much the daemon logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Everything that a developer may want.
    Debug,
    /// What an operator wants on an ordinary day.
    Info,
    /// Only what needs attention.
    Warn,
}

/// Checked settings of one daemon.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Name of the deployment; peers of another one are refused.
    pub deployment: SharedName,
    /// Availability zone this daemon runs in.
    pub zone: SharedName,
    /// Where clients connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub admin_address: SocketAddr,
    /// Where other daemons connect.
    pub peer_address: SocketAddr,
    /// The platform's object API.
    pub object_api: SocketAddr,
    /// The platform's cloud API and VM list.
    pub cloud_api: SocketAddr,
    /// Other daemons to try first; the VM list adds more.
    pub seeds: Vec<SocketAddr>,
    /// Copies of each request kept by daemons in other availability zones.
    pub copies: usize,
    /// Longest time a planned stop waits for requests.
    pub drain: Duration,
    /// How long a final answer is kept for a client that asks again.
    pub answer_keep: Duration,
    /// How long a request goes on after its client's connection broke.
    pub resume_grace: Duration,
    /// Longest wait for the first token or the answer of one attempt.
    pub first_token_timeout: Duration,
    /// Longest wait between tokens before a stream is moved.
    pub token_timeout: Duration,
    /// Most requests in progress at once.
    pub request_limit: usize,
    /// How much to log.
    pub log_level: LogLevel,
}

const UNSET: SocketAddr = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));
const ADDRESS: &str = "an IP address and port such as 127.0.0.1:8080";
const LEVELS: [(&str, LogLevel); 3] =
    [("info", LogLevel::Info), ("debug", LogLevel::Debug), ("warn", LogLevel::Warn)];

impl DaemonSettings {
    /// Checks the text of a settings file.
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
            Duration::from_millis(reader.count(key, 1..=86_400_000, default))
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
            copies: reader.count("copies", 0..=3, 2) as usize,
            drain: millis(reader, "drain_ms", 600_000),
            answer_keep: millis(reader, "answer_keep_ms", 120_000),
            resume_grace: millis(reader, "resume_grace_ms", 15_000),
            first_token_timeout: millis(reader, "first_token_timeout_ms", 10_000),
            token_timeout: millis(reader, "token_timeout_ms", 2_000),
            request_limit: reader.count("request_limit", 1..=1_000_000, 4_000) as usize,
            log_level: reader.choice("log_level", &LEVELS),
        }
    }
}
