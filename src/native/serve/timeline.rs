//! Recent events of this daemon. `willowctl timeline` merges the events of all daemons.

use std::{cell::RefCell, collections::VecDeque, rc::Rc};

use serde::{Deserialize, Serialize};

use crate::ids::SharedName;

/// Number of events kept, about 4 MB; older ones are dropped.
const EVENT_LIMIT: usize = 20_000;
/// Longest detail of an event, in bytes: bounds the memory of the ring buffer.
const DETAIL_LIMIT: usize = 256;

/// Kind of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A request was accepted.
    Accepted,
    /// An attempt was sent to an endpoint.
    Dispatched,
    /// An attempt failed.
    AttemptFailed,
    /// It was decided how a stream leaves an endpoint that has a reclaim notice.
    Moved,
    /// A request was taken over from its holder.
    TakenOver,
    /// A request has ended. Recorded once per request, with totals of its attempts.
    Ended,
    /// A client disconnected or cancelled its request.
    #[serde(rename = "caller-left")]
    ClientLeft,
    /// A ticket was sealed, or its witness refused consent.
    TicketSealed,
    /// A table row has taken effect at this daemon.
    RowInForce,
    /// A VM has a reclaim notice.
    Notice,
    /// A daemon's status has changed.
    Member,
    /// The daemon's own life phase has changed.
    Phase,
    /// The planner took the lease, or started or released a VM or gave it notice.
    Planned,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// Wall-clock time, in milliseconds since 1970.
    pub at_ms: u64,
    /// Sequence number at this daemon; gives the order within a millisecond.
    pub sequence: u64,
    /// Daemon that recorded the event.
    pub daemon: SharedName,
    /// Kind of the event.
    pub kind: EventKind,
    /// Request, VM, row or daemon that the event is about.
    pub subject: Option<SharedName>,
    /// Details, as text.
    pub detail: String,
}

#[derive(Debug)]
struct EventRing {
    daemon: SharedName,
    next_sequence: u64,
    events: VecDeque<TimelineEvent>,
}

/// Handle to the daemon's ring buffer of events.
#[derive(Clone, Debug)]
pub struct TimelineHandle {
    ring: Rc<RefCell<EventRing>>,
}

impl TimelineHandle {
    /// Empty ring buffer for the daemon named `daemon`.
    pub fn new(daemon: SharedName) -> Self {
        let ring = EventRing { daemon, next_sequence: 1, events: VecDeque::new() };
        Self { ring: Rc::new(RefCell::new(ring)) }
    }

    /// Records an event.
    pub fn record(&self, kind: EventKind, subject: Option<SharedName>, mut detail: String) {
        while detail.len() > DETAIL_LIMIT {
            detail.pop();
        }
        let mut ring = self.ring.borrow_mut();
        let event = TimelineEvent {
            at_ms: crate::wall_clock_ms(),
            sequence: ring.next_sequence,
            daemon: ring.daemon.clone(),
            kind,
            subject,
            detail,
        };
        ring.next_sequence += 1;
        ring.events.push_back(event);
        if ring.events.len() > EVENT_LIMIT {
            ring.events.pop_front();
        }
    }

    /// Events whose subject contains `subject`; all if it is empty.
    pub fn read(&self, subject: &str) -> Vec<TimelineEvent> {
        let ring = self.ring.borrow();
        let matches = |event: &&TimelineEvent| {
            subject.is_empty()
                || event.subject.as_ref().is_some_and(|found| found.contains(subject))
        };
        ring.events.iter().filter(matches).cloned().collect()
    }
}
