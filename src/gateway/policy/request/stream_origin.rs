//! At which software version a stream goes on that its client takes up again: only at the version that
//! began it, since what two versions write doesn't fit together.
//!
//! While a service may have endpoints of several versions, the daemon that begins a stream tells a few
//! daemons, chosen by rendezvous hashing of the stream's key, which version it has begun at. The daemon at which
//! the stream is taken up asks them. If none knows the stream, its version is known only if no other one
//! has served since it can have begun.
//!
//! Inputs are the records of this daemon, the answers of the holders, and the versions that each has
//! seen in its lists of endpoints (`rollout::version_history`). Without a record, and with
//! histories that are too short or name several versions, the stream is refused.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use derive_more::Display;
use tokio::time::Instant;

use crate::{
    gateway::configuration::Configuration,
    ids::{SharedName, hash_parts},
};

/// Daemons that are told of a stream, besides the one that begins it.
pub const HOLDERS: usize = 3;
/// Most records of a daemon: bounds the memory that clients can use.
const MAX_RECORDS: usize = 50_000;

/// Time limit of a stream whose route sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// Attempts of a client, one after the other, in which a stream may live.
const LIFE_ATTEMPTS: u32 = 2;

/// How long a stream may live, from its begin until it is taken up for the last time.
pub fn stream_life(configuration: Option<&Configuration>) -> Duration {
    let longest = configuration.and_then(|current| current.longest_stream);
    longest.unwrap_or(DEFAULT_TIMEOUT) * LIFE_ATTEMPTS
}

/// Identifies a stream: hash of the account and the id of the attempt that began it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Key of the stream that the attempt `id` of an account began.
    pub fn of(account: Option<&str>, id: &str) -> Self {
        Self(hash_parts(&[account.unwrap_or_default().as_bytes(), id.as_bytes()]))
    }
}

/// Where a stream was begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamStart {
    /// Service.
    pub service: SharedName,
    /// Version of the endpoint's software.
    pub version: SharedName,
}

#[derive(Clone, Debug)]
struct StreamRecord {
    start: StreamStart,
    recorded_at: Instant,
}

/// Records of streams, by key; the oldest go first.
#[derive(Debug, Default)]
pub struct StreamLedger {
    records: HashMap<StreamKey, StreamRecord>,
    /// Keys in the order in which they were recorded; a key that was recorded again has several.
    order: VecDeque<(Instant, StreamKey)>,
}

impl StreamLedger {
    /// Records a stream, and forgets those that were recorded more than `kept` ago.
    pub fn record(&mut self, key: StreamKey, start: StreamStart, kept: Duration, now: Instant) {
        self.records.insert(key, StreamRecord { start, recorded_at: now });
        self.order.push_back((now, key));
        while let Some((at, oldest)) = self.order.front().copied() {
            let is_old = now.saturating_duration_since(at) > kept;
            if !is_old && self.order.len() <= MAX_RECORDS {
                return;
            }
            self.order.pop_front();
            // Recorded again since.
            if self.records.get(&oldest).is_some_and(|record| record.recorded_at > at) {
                continue;
            }
            self.records.remove(&oldest);
        }
    }

    /// Where a stream was begun, and when that was recorded.
    pub fn find(&self, key: StreamKey) -> Option<(&StreamStart, Instant)> {
        self.records.get(&key).map(|record| (&record.start, record.recorded_at))
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// What one daemon knows of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OriginReport {
    /// Where the stream was begun, and the age of the record.
    pub recorded: Option<(StreamStart, Duration)>,
    /// The only version that has served its service as long as a stream may live, if there is only one.
    pub only_version: Option<SharedName>,
    /// Whether the daemon has seen several versions in that time.
    pub has_several: bool,
}

/// Where the version of a stream is known from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum OriginSource {
    /// A record of this daemon.
    #[display("own record")]
    Own,
    /// A record of another daemon.
    #[display("record of another daemon")]
    Holder,
    /// No other version has served.
    #[display("only version")]
    OnlyVersion,
}

/// Where a stream that is taken up goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// Service and version that began it.
    pub start: StreamStart,
    /// Where it is known from.
    pub source: OriginSource,
    /// Age of the record; 0 without one.
    pub age: Duration,
}

/// Decides where a stream goes on, from this daemon's report and those of others; none if it isn't known.
/// `service` is that of the stream if there is only one. Records that disagree prove nothing.
pub fn decide(
    own: &OriginReport,
    others: &[OriginReport],
    service: Option<&SharedName>,
) -> Option<StreamOrigin> {
    let own_record = own.recorded.iter().map(|record| (record, OriginSource::Own));
    let held = others.iter().filter_map(|report| report.recorded.as_ref());
    let records: Vec<_> =
        own_record.chain(held.map(|record| (record, OriginSource::Holder))).collect();
    if let Some(((start, age), source)) = records.first() {
        let agree = records.iter().all(|((other, _), _)| other == start);
        let is_known = agree && !start.version.is_empty();
        return is_known.then(|| StreamOrigin { start: start.clone(), source: *source, age: *age });
    }
    let start = StreamStart { version: only_version(own, others)?, service: service?.clone() };
    Some(StreamOrigin { start, source: OriginSource::OnlyVersion, age: Duration::ZERO })
}

/// The version that all reports name as the only one, if any does and none has seen another.
fn only_version(own: &OriginReport, others: &[OriginReport]) -> Option<SharedName> {
    let reports = || others.iter().chain([own]);
    if reports().any(|report| report.has_several) {
        return None;
    }
    let mut named = reports().filter_map(|report| report.only_version.as_ref());
    let first = named.next()?;
    named.all(|version| version == first).then(|| first.clone())
}
