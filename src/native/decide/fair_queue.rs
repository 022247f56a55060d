//! Fair queue: the order in which waiting requests get endpoints while all endpoints are full.
//!
//! Start-time fair queueing: each request is tagged with the virtual time at which its
//! account could start it, and the request with the lowest tag goes next. A burst of one account
//! raises only the tags of that account. Accounts within their share go before those over it;
//! otherwise the long requests of an account within its share would delay its short ones for as
//! long as another account's burst lasts.
//!
//! Inputs: the account's weight, its priority (`decide::limits`), and the tokens that the
//! request is expected to cost. Each daemon has its own queue and does not know the others'.

use std::collections::{BTreeMap, HashMap};

use tokio::time::Instant;

use super::limits::RequestPriority;
use crate::ids::SharedName;

/// Sort key of a waiting request: priority, virtual start time, arrival number.
type QueueTag = (RequestPriority, u64, u64);

/// Tag units per weighted token. Tags are integers; a resolution of a thousandth of a token is
/// enough.
const TAG_SCALE: f64 = 1_000.0;

/// The properties of a request that determine its place in the queue.
#[derive(Clone, Debug)]
pub struct QueueTurn {
    /// Client account that sent the request.
    pub account: SharedName,
    /// Weight of the account.
    pub weight: f64,
    /// Whether the account is over its share.
    pub priority: RequestPriority,
    /// Tokens that the request is expected to cost.
    pub tokens: f64,
}

#[derive(Debug)]
struct WaitingEntry<T> {
    deadline: Instant,
    item: T,
}

/// Requests that wait for an endpoint of one service.
#[derive(Debug)]
pub struct FairQueue<T> {
    waiting: BTreeMap<QueueTag, WaitingEntry<T>>,
    /// Virtual time at which each account's next request may start.
    next_start: HashMap<SharedName, u64>,
    virtual_time: u64,
    arrivals: u64,
    limit: usize,
}

impl<T> FairQueue<T> {
    /// Creates a queue that holds at most `limit` requests.
    pub fn new(limit: usize) -> Self {
        Self {
            waiting: BTreeMap::new(),
            next_start: HashMap::new(),
            virtual_time: 0,
            arrivals: 0,
            limit,
        }
    }

    /// Adds a request. If the queue is over its limit then, removes and returns the request with
    /// the highest tag, which may belong to another account.
    pub fn push(&mut self, turn: &QueueTurn, deadline: Instant, item: T) -> Option<T> {
        let account = &turn.account;
        if self.waiting.is_empty() {
            self.next_start.clear();
            self.virtual_time = 0;
        }
        let start = self.next_start.get(account).copied().unwrap_or(0).max(self.virtual_time);
        let length = (turn.tokens / turn.weight * TAG_SCALE) as u64;
        self.arrivals += 1;
        let tag = (turn.priority, start, self.arrivals);
        let entry = WaitingEntry { deadline, item };
        self.next_start.insert(account.clone(), start + length);
        self.waiting.insert(tag, entry);
        if self.waiting.len() <= self.limit {
            return None;
        }
        let (_, dropped) = self.waiting.pop_last()?;
        Some(dropped.item)
    }

    /// Puts a request that was just popped back at the front of the queue.
    pub fn push_front(&mut self, deadline: Instant, item: T) {
        self.arrivals += 1;
        let tag = (RequestPriority::Normal, 0, self.arrivals);
        self.waiting.insert(tag, WaitingEntry { deadline, item });
    }

    /// Removes and returns the request with the lowest tag.
    pub fn pop(&mut self) -> Option<T> {
        let ((_, start, _), entry) = self.waiting.pop_first()?;
        self.virtual_time = self.virtual_time.max(start);
        Some(entry.item)
    }

    /// Removes and returns all requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        let due: Vec<QueueTag> = self
            .waiting
            .iter()
            .filter(|(_, entry)| entry.deadline <= now)
            .map(|(tag, _)| *tag)
            .collect();
        let entries = due.iter().filter_map(|tag| self.waiting.remove(tag));
        entries.map(|entry| entry.item).collect()
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
