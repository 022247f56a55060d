//! Recent events of this daemon; `willowctl timeline` merges those of all daemons.

use std::{cell::RefCell, collections::VecDeque, rc::Rc};

use serde::{Deserialize, Serialize};

use crate::ids::SharedName;

/// Events kept; older ones are dropped. Some 4 MB.
const EVENT_LIMIT: usize = 20_000;
/// Longest detail kept, in bytes: bounds the memory of the ring.
const DETAIL_LIMIT: usize = 256;

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// A request was accepted.
    Accepted,
    /// An attempt was sent to an endpoint.
    Dispatched,
    /// An attempt failed.
    AttemptFailed,
    /// A stream left its endpoint because of a notice.
    Moved,
    /// A request was taken over from its holder.
    TakenOver,
    /// A request has ended: the one terminal event, with its attempts summed.
    Ended,
    /// A client left.
    #[serde(rename = "caller-left")]
    ClientLeft,
    /// A ticket was refused consent, or sealed.
    TicketSealed,
    /// A table row has become current here.
    RowInForce,
    /// A VM has a notice.
    Notice,
    /// A daemon's status has changed.
    Member,
    /// The daemon's own life phase has changed.
    Phase,
    /// The planner acted.
    Planned,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// Wall-clock time, in milliseconds since 1970.
    pub at_ms: u64,
    /// Running number at this daemon, to keep the order within a millisecond.
    pub sequence: u64,
    /// Daemon that saw it.
    pub daemon: SharedName,
    /// What happened.
    pub kind: EventKind,
    /// Request, VM, row or daemon it is about.
    pub subject: Option<SharedName>,
    /// More, in words.
    pub detail: String,
}

#[derive(Debug)]
struct EventRing {
    daemon: SharedName,
    next_sequence: u64,
    events: VecDeque<TimelineEvent>,
}

/// Handle to the daemon's ring of events.
#[derive(Clone, Debug)]
pub struct TimelineHandle {
    ring: Rc<RefCell<EventRing>>,
}

impl TimelineHandle {
    /// Empty ring of the daemon named `daemon`.
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
