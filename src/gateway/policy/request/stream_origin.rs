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
//!
//! A daemon that is cut off from the others, or was suspended, may lack an endpoint of another version at which others
//! have begun streams. A holder that doesn't answer says nothing. So an only version needs proof: most
//! holders have answered and the list of endpoints was confirmed a moment ago, or the store lists no other version
//! now.

pub mod stream_log;

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

/// Daemons that record a stream, besides the one that begins it.
pub const HOLDERS: usize = 3;
/// Most records of a daemon: bounds the memory that clients can use.
const MAX_RECORDS: usize = 50_000;

/// Age of a list of endpoints up to which it needs no confirmation by the store, if most holders have answered: longer
/// than the store's watches and the exchange with peers take.
const MAX_UNCONFIRMED_AGE: Duration = Duration::from_secs(2);
/// Time limit of a stream whose route sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// Attempts of a client, one after the other, in which a stream may live before an attempt reaches a daemon: the one that
/// began it, and the next. Later attempts are recorded.
const LIFE_ATTEMPTS: u32 = 2;

/// How long a stream may live without an attempt that reaches a daemon.
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
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StreamStart {
    /// Service.
    pub service: SharedName,
    /// Version of the endpoint's software; empty if it isn't known.
    pub version: SharedName,
}

impl StreamStart {
    /// Start of a stream that was taken up at a daemon and isn't known.
    pub fn unknown() -> Self {
        Self { service: "".into(), version: "".into() }
    }

    /// Whether the version is known.
    pub fn is_known(&self) -> bool {
        !self.version.is_empty()
    }
}

#[derive(Clone, Debug)]
struct StreamRecord {
    start: StreamStart,
    /// When it was recorded; of a stream that isn't known, first.
    recorded_at: Instant,
    /// When it was last recorded.
    refreshed_at: Instant,
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
    /// That a stream isn't known replaces no record.
    pub fn record(&mut self, key: StreamKey, start: StreamStart, kept: Duration, now: Instant) {
        self.record_since(key, start, now, kept, now);
    }

    /// The same for a record that another daemon made at `since`.
    pub fn record_since(
        &mut self,
        key: StreamKey,
        start: StreamStart,
        since: Instant,
        kept: Duration,
        now: Instant,
    ) {
        let (start, recorded_at) = match self.records.get(&key) {
            Some(known) if !start.is_known() && known.start.is_known() => {
                (known.start.clone(), now)
            }
            Some(known) if !start.is_known() => (start, known.recorded_at.min(since)),
            _ => (start, since),
        };
        self.records.insert(key, StreamRecord { start, recorded_at, refreshed_at: now });
        self.order.push_back((now, key));
        while let Some((at, oldest)) = self.order.front().copied() {
            let is_old = now.saturating_duration_since(at) > kept;
            if !is_old && self.order.len() <= MAX_RECORDS {
                return;
            }
            self.order.pop_front();
            // Recorded again since.
            if self.records.get(&oldest).is_some_and(|record| record.refreshed_at > at) {
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

impl OriginReport {
    /// Whether it names the version that began the stream.
    pub fn has_origin(&self) -> bool {
        self.recorded.as_ref().is_some_and(|(start, _)| start.is_known())
    }
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

/// What the holders of a stream have answered.
#[derive(Clone, Debug, Default)]
pub struct HolderAnswers {
    /// Number of holders asked.
    pub asked: usize,
    /// Reports of those that have answered.
    pub reports: Vec<OriginReport>,
}

impl HolderAnswers {
    /// Whether most holders have answered, so that one of them has the record if there is one.
    fn is_from_most(&self) -> bool {
        self.reports.len() * 2 > self.asked
    }
}

/// Whether an origin has to be confirmed by the store's list of endpoints. `list_age`: time since this daemon's
/// own list was confirmed.
pub fn needs_confirmation(
    origin: &StreamOrigin,
    answers: &HolderAnswers,
    list_age: Option<Duration>,
) -> bool {
    let is_list_recent = list_age.is_some_and(|age| age <= MAX_UNCONFIRMED_AGE);
    origin.source == OriginSource::OnlyVersion && !(answers.is_from_most() && is_list_recent)
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
    let known = || records.iter().filter(|((start, _), _)| start.is_known());
    if let Some(((start, age), source)) = known().next() {
        let agree = known().all(|((other, _), _)| other == start);
        return agree.then(|| StreamOrigin { start: start.clone(), source: *source, age: *age });
    }
    // It was unknown before, so it may have been begun long ago. The only version of this daemon's report is that since
    // then if this daemon has the record, too.
    if !records.is_empty() && (own.recorded.is_none() || own.only_version.is_none()) {
        return None;
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
