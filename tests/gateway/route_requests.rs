//! Requests for added routes, and a summary of their answers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::gateway_site::KeptConnection;

/// Time within which every daemon has to apply a change.
pub const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// A request for a route that was added.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest {
    /// Index of the daemon.
    pub place: usize,
    /// Time from when the store accepted the route's change to when the request was sent.
    pub age: Duration,
    /// Status of the answer; 0 if there was none.
    pub status: u16,
}

/// Sends a request over the kept connection, or a new one; returns the status, 0 if there was no answer.
pub fn ask(address: SocketAddr, kept: &mut Option<KeptConnection>, bytes: &[u8]) -> u16 {
    let opened = kept.take().or_else(|| KeptConnection::open(address).ok());
    let Some(mut connection) = opened else { return 0 };
    let Ok(answer) = connection.ask(bytes) else { return 0 };
    let closes = answer.header("connection").is_some_and(|value| value == "close");
    if answer.whole && !closes {
        *kept = Some(connection);
    }
    answer.status
}

/// Counts of requests by status, for all routes and for those older than `APPLY_LIMIT`.
#[derive(Clone, Debug, Default)]
pub struct RouteOutcome {
    /// Requests for routes older than `APPLY_LIMIT`, by status.
    pub late: BTreeMap<u16, usize>,
    /// Number of daemons that did not serve such a route.
    pub daemons: usize,
    /// Age of the oldest route that was not served, by status.
    pub oldest: BTreeMap<u16, Duration>,
    /// All requests, by status.
    pub all: BTreeMap<u16, usize>,
}

impl RouteOutcome {
    /// Summarizes requests.
    pub fn of(requests: &[RouteRequest]) -> Self {
        let mut outcome = Self::default();
        let mut places = BTreeSet::new();
        for RouteRequest { place, age, status } in requests.iter().copied() {
            *outcome.all.entry(status).or_default() += 1;
            if status != 200 {
                let oldest = outcome.oldest.entry(status).or_default();
                *oldest = (*oldest).max(age);
            }
            if age > APPLY_LIMIT {
                *outcome.late.entry(status).or_default() += 1;
                if status != 200 {
                    places.insert(place);
                }
            }
        }
        outcome.daemons = places.len();
        outcome
    }

    /// Requests for routes older than `APPLY_LIMIT` that got another status than 200.
    pub fn not_served(&self) -> usize {
        self.late.iter().filter(|(status, _)| **status != 200).map(|(_, count)| count).sum()
    }
}
