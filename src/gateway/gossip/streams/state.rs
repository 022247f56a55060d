//! State of the streams that clients may take up again.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

use super::list_check::ListReads;
use crate::gateway::policy::request::stream_origin::{StreamKey, StreamLedger, StreamStart};

/// Time for which take-ups of unknown streams are remembered.
const UNKNOWN_KEPT: Duration = Duration::from_secs(600);
/// Most records that wait for the log.
const MAX_UNLOGGED: usize = 10_000;

/// Time for which a record waits until it belongs into the log: longer than a new endpoint list and the word of
/// another daemon's end take.
const UNLOGGED_KEPT: Duration = Duration::from_secs(2);

/// Tells when a record is in the log.
#[derive(Debug, Default)]
pub(super) struct LogTicket {
    is_logged: Cell<bool>,
    logged: Notify,
}

impl LogTicket {
    /// The record is in the log.
    pub fn set_logged(&self) {
        self.is_logged.set(true);
        self.logged.notify_waiters();
    }

    /// Waits until the record is in the log.
    pub async fn logged(&self) {
        while !self.is_logged.get() {
            self.logged.notified().await;
        }
    }
}

/// A record that is not in the log.
#[derive(Clone, Debug)]
pub(super) struct UnloggedStream {
    pub key: StreamKey,
    pub start: StreamStart,
    pub ticket: Rc<LogTicket>,
    recorded_at: Instant,
}

/// Records for one daemon.
#[derive(Debug, Default)]
pub(super) struct UnsentRecords {
    pub records: Vec<(StreamKey, StreamStart)>,
    /// Those that wait until this daemon has logged them.
    pub tickets: Vec<Rc<LogTicket>>,
}

/// Reads of the log: one at a time, which requests share.
#[derive(Debug, Default)]
pub(super) struct LogReads {
    /// When the last one began.
    pub begun_at: Cell<Option<Instant>>,
    /// Whether it is in progress.
    pub is_reading: Cell<bool>,
    /// Notified when a read has ended.
    pub ended: Notify,
}

/// A stream as it stands in the log.
#[derive(Clone, Debug)]
pub(super) struct LoggedStream {
    pub key: StreamKey,
    pub start: StreamStart,
    /// Time since the segment began that names it.
    pub age: Duration,
}

/// What a daemon knows of streams that clients may take up again.
#[derive(Debug, Default)]
pub struct StreamState {
    /// Where streams were begun, here or at daemons that have told this one.
    pub(super) ledger: RefCell<StreamLedger>,
    /// Where the streams were begun that this daemon is passing on.
    pub(super) active: RefCell<HashMap<StreamKey, StreamStart>>,
    /// Records to be sent, by daemon.
    pub(super) unsent: RefCell<HashMap<SocketAddr, UnsentRecords>>,
    /// Records that are not in the log in the store.
    unlogged: RefCell<Vec<UnloggedStream>>,
    /// Notified when there is another one.
    pub(super) recorded: Notify,
    /// Reads of the list of endpoints that confirms an only version.
    pub(super) list_reads: ListReads,
    /// Whether the last write of the log has failed.
    pub(super) is_log_failing: Cell<bool>,
    /// Reads of the log.
    pub(super) log_reads: LogReads,
    /// Whether the log has named streams.
    pub(super) has_restored: Cell<bool>,
    /// When the log was last read to its end.
    log_read_at: Cell<Option<Instant>>,
}

impl StreamState {
    /// Takes out the records that belong into the log. The others wait, since this daemon may be about to learn
    /// that several versions serve, or that it is the recorder.
    pub(super) fn take_unlogged(
        &self,
        belongs: impl Fn(&StreamStart) -> bool,
        now: Instant,
    ) -> Vec<UnloggedStream> {
        let unlogged = self.unlogged.take().into_iter();
        let (logged, waiting): (Vec<_>, Vec<_>) = unlogged.partition(|one| belongs(&one.start));
        let is_recent =
            |one: &UnloggedStream| now.saturating_duration_since(one.recorded_at) <= UNLOGGED_KEPT;
        *self.unlogged.borrow_mut() = waiting.into_iter().filter(is_recent).collect();
        logged
    }

    /// Whether the log has been read since the start.
    pub fn is_log_read(&self) -> bool {
        self.log_read_at.get().is_some()
    }

    /// Time since the log was last read to its end; none if it never was.
    pub(super) fn log_age(&self, now: Instant) -> Option<Duration> {
        self.log_read_at.get().map(|at| now.saturating_duration_since(at))
    }

    /// Records the streams that were read in the log. They are kept for `life`.
    pub(super) fn restore(&self, streams: Vec<LoggedStream>, life: Duration, now: Instant) {
        self.log_read_at.set(Some(now));
        self.has_restored.set(self.has_restored.get() || !streams.is_empty());
        for LoggedStream { key, start, age } in streams {
            let mut ledger = self.ledger.borrow_mut();
            if ledger.find(key).is_some_and(|(known, _)| *known == start) {
                continue;
            }
            if start.is_known() {
                ledger.record(key, start, life, now);
            } else {
                drop(ledger);
                self.record_unknown(key, &start, age, now);
            }
        }
    }

    /// Records that an unknown stream was first taken up `age` ago, as another daemon or the log says.
    pub(super) fn record_unknown(
        &self,
        key: StreamKey,
        start: &StreamStart,
        age: Duration,
        now: Instant,
    ) {
        if start.is_known() {
            return;
        }
        let since = now.checked_sub(age).unwrap_or(now);
        self.ledger.borrow_mut().record_since(key, start.clone(), since, UNKNOWN_KEPT, now);
    }

    /// Records where a stream was begun, and offers that to the log.
    pub(super) fn record(
        &self,
        key: StreamKey,
        start: StreamStart,
        life: Duration,
        now: Instant,
    ) -> Rc<LogTicket> {
        let ticket = Rc::<LogTicket>::default();
        let mut unlogged = self.unlogged.borrow_mut();
        if unlogged.len() < MAX_UNLOGGED {
            let (start, ticket) = (start.clone(), ticket.clone());
            unlogged.push(UnloggedStream { key, start, ticket, recorded_at: now });
            self.recorded.notify_one();
        }
        self.ledger.borrow_mut().record(key, start, life, now);
        ticket
    }
}
