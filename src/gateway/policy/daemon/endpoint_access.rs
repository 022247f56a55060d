//! Decides whether this daemon is partitioned from all endpoints, by the connections that it opens to
//! them over its own links.
//!
//! The daemon counts as partitioned once connections to several different endpoints have failed in the
//! same way and none has worked since these attempts began:
//!
//! | failure | ended by | while partitioned, if no other daemon carries connections |
//! |---|---|---|
//! | no connection | a new connection | requests are refused |
//! | a new connection that is closed without a response | a response over a new connection | own links are used |
//! | a new connection without a response for a while | any response; if partitioned, one over a new connection | own links are used |
//!
//! Connections that were opened earlier may work while new ones are refused, so they are no evidence
//! against the first two. Endpoints in overload may respond late or close connections, so the last two
//! alone never make the daemon refuse requests. Tunnels don't use this daemon's links.
//!
//! Inputs are this daemon's own attempts of the last seconds. Without attempts it does not count as
//! partitioned. A wrong verdict costs little: a probe follows at once, and until it succeeds requests
//! take the way over another daemon.

use std::{collections::BTreeMap, time::Duration};

use derive_more::Display;
use tokio::time::Instant;

use crate::ids::SharedName;

/// Number of different endpoints whose connections have to fail; fewer if fewer are known. A few
/// endpoints may end at the same time.
const MIN_UNREACHED: usize = 3;
/// The number of known endpoints below which nothing is concluded: a single one may have ended.
const MIN_KNOWN: usize = 2;
/// Time after which a failure no longer counts: an endpoint that has ended has left the list.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(4);

/// Time between probes of a daemon that is partitioned.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Time since the last response of any endpoint from which a single failure is reason for a probe: most
/// daemons get several responses in it.
const DOUBTED_AFTER: Duration = Duration::from_millis(300);

/// How a connection over the daemon's own links has failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkFailure {
    /// It could not be opened.
    #[display("not connected")]
    NotConnected,
    /// It was opened for a request and closed without a response.
    #[display("closed")]
    Closed,
    /// It was opened for a request, and no response has arrived for a while.
    #[display("silent")]
    Silent,
}

/// A change of the verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessChange {
    /// The daemon has become partitioned.
    Lost {
        /// How connections have failed.
        failure: LinkFailure,
        /// Number of endpoints whose connections have failed in this way.
        unreached: usize,
    },
    /// It reaches endpoints again.
    Regained {
        /// Time since it became partitioned.
        after: Duration,
    },
}

/// A partition that was found.
#[derive(Clone, Copy, Debug)]
struct FoundPartition {
    failure: LinkFailure,
    since: Instant,
}

/// Access of this daemon to the endpoints over its own links.
#[derive(Clone, Debug, Default)]
pub struct EndpointAccess {
    /// Endpoints whose connections have failed, and when.
    failures: BTreeMap<(LinkFailure, SharedName), Instant>,
    /// When a connection was last opened.
    connected_at: Option<Instant>,
    /// When a response last arrived over a new connection.
    reached_at: Option<Instant>,
    /// When a response last arrived over any connection.
    responded_at: Option<Instant>,
    partition: Option<FoundPartition>,
}

impl EndpointAccess {
    /// Whether the daemon is partitioned from all endpoints.
    pub fn is_partitioned(&self) -> bool {
        self.partition.is_some()
    }

    /// Whether its own links are of no use: it can't open connections.
    pub fn cannot_connect(&self) -> bool {
        self.partition.is_some_and(|found| found.failure == LinkFailure::NotConnected)
    }

    /// Time until the next probe; none if no probe is needed.
    pub fn next_probe(&self, now: Instant) -> Option<Duration> {
        if self.is_partitioned() {
            return Some(PROBE_INTERVAL);
        }
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < EVIDENCE_LIFETIME;
        let is_in_contact = self.contact_age(now).is_some_and(|age| age < DOUBTED_AFTER);
        let is_doubted = self.failures.values().any(is_recent) && !is_in_contact;
        is_doubted.then_some(Duration::ZERO)
    }

    /// Time since an endpoint last responded.
    pub fn contact_age(&self, now: Instant) -> Option<Duration> {
        let contact_at = self.reached_at.max(self.responded_at);
        contact_at.map(|at| now.saturating_duration_since(at))
    }

    /// Records that a connection was opened.
    pub fn connected(&mut self, now: Instant) -> Option<AccessChange> {
        self.connected_at = Some(now);
        self.failures.retain(|(failure, _), _| *failure != LinkFailure::NotConnected);
        if self.cannot_connect() { self.regain(now) } else { None }
    }

    /// Records that a response has arrived over a new connection.
    pub fn reached(&mut self, now: Instant) -> Option<AccessChange> {
        self.reached_at = Some(now);
        self.failures.clear();
        self.regain(now)
    }

    /// Records that a response has arrived over a connection opened earlier.
    pub fn responded(&mut self, now: Instant) {
        self.responded_at = Some(now);
        self.failures.retain(|(failure, _), _| *failure != LinkFailure::Silent);
    }

    /// Records that a connection to an endpoint, begun at `begun`, has failed. `known` is the number of
    /// listed endpoints.
    pub fn failed(
        &mut self,
        endpoint: &SharedName,
        failure: LinkFailure,
        known: usize,
        begun: Instant,
        now: Instant,
    ) -> Option<AccessChange> {
        if self.worked_at(failure).is_some_and(|at| at >= begun) {
            return None;
        }
        self.failures.insert((failure, endpoint.clone()), now);
        self.failures.retain(|_, at| now.saturating_duration_since(*at) < EVIDENCE_LIFETIME);
        let unreached = self.failures.keys().filter(|(other, _)| *other == failure).count();
        let is_enough = known >= MIN_KNOWN && unreached >= MIN_UNREACHED.min(known);
        if self.is_partitioned() || !is_enough {
            return None;
        }
        self.partition = Some(FoundPartition { failure, since: now });
        Some(AccessChange::Lost { failure, unreached })
    }

    /// When the links last worked in a way that contradicts such a failure.
    fn worked_at(&self, failure: LinkFailure) -> Option<Instant> {
        match failure {
            LinkFailure::NotConnected => self.connected_at.max(self.reached_at),
            LinkFailure::Closed => self.reached_at,
            LinkFailure::Silent => self.reached_at.max(self.responded_at),
        }
    }

    fn regain(&mut self, now: Instant) -> Option<AccessChange> {
        let FoundPartition { since, .. } = self.partition.take()?;
        Some(AccessChange::Regained { after: now.saturating_duration_since(since) })
    }
}
