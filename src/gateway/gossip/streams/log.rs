//! Writes the log of streams while several versions serve, if this daemon records for its gossip group, and
//! reads the logs of all groups for a stream that no daemon knows. `policy::request::stream_origin::stream_log` says
//! what the log is for.

use std::{mem, rc::Rc, time::Duration};

use tokio::time::{Instant, sleep, timeout};

use super::{
    state::{LoggedStream, UnloggedStream},
    versions::serves_several_versions,
};
use crate::{
    boot_clock,
    errors::StepError,
    gateway::{
        context::GatewayContext,
        policy::request::stream_origin::{StreamStart, stream_life, stream_log::StreamSegment},
    },
    platform::store::{StoredObject, WriteCondition, WriteResult},
};

/// Name of the service.
pub const NAME: &str = "stream-log";
/// Kind of the log's objects.
const LOG_KIND: &str = "gateway-streams";
/// Pause after a write, in which the next records are collected.
const WRITE_PAUSE: Duration = Duration::from_millis(80);
/// Longest time without a new record after which those that wait are looked at again.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time for which a request waits until the log is read.
const READ_WAIT: Duration = Duration::from_millis(300);
/// Pause after a read that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Shortest time between two reads.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Writes the log until the daemon stops.
pub async fn run(context: Rc<GatewayContext>) {
    begin_read(&context);
    let mut writer = LogWriter::new(context.clone());
    loop {
        if writer.unwritten.is_empty() {
            // Without a new record, one that waits may belong into the log by now.
            let _ = timeout(CHECK_INTERVAL, context.streams.recorded.notified()).await;
        }
        let streams = context.streams.take_unlogged(belonging(&context), boot_clock::now());
        let written = writer.write(streams).await;
        context.streams.is_log_failing.set(written.is_err());
        let pause = match written {
            Ok(()) => WRITE_PAUSE,
            Err(error) => {
                spdlog::warn!("streams not logged: {}", error);
                CHECK_INTERVAL
            }
        };
        sleep(pause).await;
    }
}

/// Whether this daemon writes a record into the log now.
pub(super) fn belonging(context: &GatewayContext) -> impl Fn(&StreamStart) -> bool {
    let is_recorder = context.peers.borrow().stream_recorder(boot_clock::now()).is_none();
    // That a stream isn't known has to outlive all daemons, too.
    move |start| {
        is_recorder && (!start.is_known() || serves_several_versions(context, &start.service))
    }
}

/// Writes the segments of this daemon's group.
struct LogWriter {
    context: Rc<GatewayContext>,
    segment: StreamSegment,
    /// Condition for the next write of the segment; none until its object has been read.
    condition: Option<WriteCondition>,
    /// Streams that are not in the store.
    unwritten: Vec<UnloggedStream>,
}

impl LogWriter {
    fn new(context: Rc<GatewayContext>) -> Self {
        Self { context, segment: StreamSegment::default(), condition: None, unwritten: Vec::new() }
    }

    /// Adds streams to the log.
    ///
    /// # Errors
    ///
    /// The store failed. The streams are written with the next ones.
    async fn write(&mut self, streams: Vec<UnloggedStream>) -> Result<(), StepError> {
        if streams.is_empty() && self.unwritten.is_empty() {
            return Ok(());
        }
        let now_ms = self.context.wall_clock.borrow().now_ms(boot_clock::now());
        let current = StreamSegment::at(now_ms);
        let mut added = streams;
        if current.begin_ms != self.segment.begin_ms {
            (self.segment, self.condition) = (current, None);
            added.extend(mem::take(&mut self.unwritten));
        }
        // What doesn't fit has no ticket, and is not waited for any longer.
        added.retain(|one| self.segment.add(one.key, &one.start));
        self.unwritten.extend(added);
        let group = self.context.peers.borrow().neighbours().own_group;
        let name = self.segment.object_name(group);
        let condition = match self.condition.take() {
            Some(condition) => condition,
            None => self.read_condition(&name).await?,
        };
        let written = self.context.store.write(LOG_KIND, &name, condition, &self.segment).await?;
        if let WriteResult::Written(position) = written {
            self.condition = Some(WriteCondition::At(position));
            self.context.metrics.count("streams_logged", self.unwritten.len() as u64);
            self.unwritten.drain(..).for_each(|one| one.ticket.set_logged());
        }
        Ok(())
    }

    /// Reads the segment's object. Streams of the same time, by an earlier recorder, are kept.
    async fn read_condition(&mut self, name: &str) -> Result<WriteCondition, StepError> {
        let Some(object) = self.context.store.read(LOG_KIND, name).await? else {
            return Ok(WriteCondition::Absent(self.context.store.era()));
        };
        // What can't be decoded is replaced.
        let stored: Option<StreamSegment> = serde_json::from_str(&object.value).ok();
        if let Some(stored) = stored.filter(|one| one.begin_ms == self.segment.begin_ms) {
            self.segment.merge(&stored);
        }
        Ok(WriteCondition::At(object.position))
    }
}

/// Begins to read the log, unless that was begun a moment ago or is in progress. The read goes on whether or not a
/// request waits for it.
pub fn begin_read(context: &Rc<GatewayContext>) {
    let reads = &context.streams.log_reads;
    let now = boot_clock::now();
    let is_recent = |at: Instant| now.saturating_duration_since(at) < READ_INTERVAL;
    if reads.is_reading.get() || reads.begun_at.get().is_some_and(is_recent) {
        return;
    }
    reads.begun_at.set(Some(now));
    reads.is_reading.set(true);
    let context = context.clone();
    tokio::task::spawn_local(async move {
        let read = read_log(&context).await;
        let reads = &context.streams.log_reads;
        reads.is_reading.set(false);
        reads.ended.notify_waiters();
        if let Err(error) = read {
            spdlog::warn!("stream log not read: {}", error);
            sleep(RETRY_PAUSE).await;
            reads.begun_at.set(None);
        }
    });
}

/// Adds the streams of all logs to the known ones, unless that was done a moment ago. Waits for the read for a while.
pub async fn restore_streams(context: &Rc<GatewayContext>) {
    begin_read(context);
    let reads = &context.streams.log_reads;
    if !reads.is_reading.get() {
        return;
    }
    if timeout(READ_WAIT, reads.ended.notified()).await.is_err() {
        context.metrics.count("stream_log_late", 1);
    }
}

/// Adds the streams of all logs to the known ones.
///
/// # Errors
///
/// The store failed or did not respond in time.
async fn read_log(context: &GatewayContext) -> Result<(), StepError> {
    let mut segments: Vec<StreamSegment> = Vec::new();
    // An object that can't be decoded isn't a log.
    let add_segment =
        |object: StoredObject| segments.extend(serde_json::from_str(&object.value).ok());
    context.store.list(LOG_KIND, add_segment).await?;
    let now = boot_clock::now();
    let now_ms = context.wall_clock.borrow().now_ms(now);
    let streams: Vec<LoggedStream> =
        segments.iter().flat_map(|segment| streams_of(segment, now_ms)).collect();
    context.metrics.count("streams_restored", streams.len() as u64);
    let life = stream_life(context.configuration().as_deref());
    context.streams.restore(streams, life, now);
    Ok(())
}

fn streams_of(segment: &StreamSegment, now_ms: u64) -> Vec<LoggedStream> {
    let age = Duration::from_millis(now_ms.saturating_sub(segment.begin_ms));
    let starts = segment.starts().into_iter();
    starts.map(|(key, start)| LoggedStream { key, start, age }).collect()
}
