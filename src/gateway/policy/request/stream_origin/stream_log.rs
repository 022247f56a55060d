//! The log of streams in the platform's store: at which versions the streams of the last seconds were begun. After all
//! daemons have ended, nothing else tells at which of several versions a stream goes on.
//!
//! A recorder writes for its gossip group, so that the number of calls grows with the number of groups. The log
//! consists of segments of a few seconds. A segment's object is named by its time and used again when
//! streams from then have ended: a recorder that has just started never replaces what is still needed.
//!
//! Inputs are the wall clock of the recorder and what its group has told it. A record that is missing, since the
//! recorder ended before it was written, leaves the version unknown. No record is ever wrong: its key names
//! the stream.

use std::{collections::HashSet, time::Duration};

use serde::{Deserialize, Serialize};

use super::{StreamKey, StreamStart};
use crate::ids::SharedName;

/// Time covered by a segment.
const SEGMENT_TIME: Duration = Duration::from_secs(2);
/// Segments of a group. Together they cover two minutes, which is longer than streams live unless a route allows
/// them over a minute.
const SEGMENTS: u64 = 64;
/// Hexadecimal digits of a key.
const KEY_DIGITS: usize = 16;
/// Most streams in a segment: bounds its size.
const MAX_STREAMS: usize = 20_000;

/// Streams that were begun at one version of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LoggedVersion {
    service: SharedName,
    version: SharedName,
    /// Keys of the streams, 16 hexadecimal digits each.
    keys: String,
}

/// Streams that were begun in one segment's time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamSegment {
    /// Begin of that time, in milliseconds since 1970.
    pub begin_ms: u64,
    versions: Vec<LoggedVersion>,
}

impl StreamSegment {
    /// Empty segment for the time that contains `now_ms`, in milliseconds since 1970.
    pub fn at(now_ms: u64) -> Self {
        let length = SEGMENT_TIME.as_millis() as u64;
        Self { begin_ms: now_ms / length * length, versions: Vec::new() }
    }

    /// Name of its object in the log of a gossip group.
    pub fn object_name(&self, group: usize) -> String {
        let number = self.begin_ms / SEGMENT_TIME.as_millis() as u64 % SEGMENTS;
        format!("{group}-{number}")
    }

    /// Adds a stream. Returns whether it fits.
    pub fn add(&mut self, key: StreamKey, start: &StreamStart) -> bool {
        if self.streams() >= MAX_STREAMS {
            return false;
        }
        let is_of_version =
            |one: &LoggedVersion| one.service == start.service && one.version == start.version;
        let index = self.versions.iter().position(is_of_version).unwrap_or_else(|| {
            let (service, version) = (start.service.clone(), start.version.clone());
            self.versions.push(LoggedVersion { service, version, keys: String::new() });
            self.versions.len() - 1
        });
        self.versions[index].keys.push_str(&format!("{:016x}", key.0));
        true
    }

    /// Adds the streams of another segment that this one lacks.
    pub fn merge(&mut self, other: &Self) {
        let mut own: HashSet<(StreamKey, StreamStart)> = self.starts().into_iter().collect();
        for (key, start) in other.starts() {
            if own.insert((key, start.clone())) {
                self.add(key, &start);
            }
        }
    }

    /// Number of streams.
    pub fn streams(&self) -> usize {
        self.versions.iter().map(|version| version.keys.len() / KEY_DIGITS).sum()
    }

    /// All streams. What is no key is passed over: another writer may have spoilt the object.
    pub fn starts(&self) -> Vec<(StreamKey, StreamStart)> {
        let mut starts = Vec::new();
        for LoggedVersion { service, version, keys } in &self.versions {
            let start = StreamStart { service: service.clone(), version: version.clone() };
            for digits in keys.as_bytes().chunks_exact(KEY_DIGITS) {
                // What is no text is no key.
                let text = std::str::from_utf8(digits).ok();
                let key = text.and_then(|text| u64::from_str_radix(text, 16).ok());
                starts.extend(key.map(|key| (StreamKey(key), start.clone())));
            }
        }
        starts
    }
}
