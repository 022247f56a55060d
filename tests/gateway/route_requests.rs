//! Requests for routes that were added, and what became of them.

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
    /// Place of the daemon.
    pub place: usize,
    /// Since the store took the route's change, when the request was sent.
    pub age: Duration,
    /// Status of the answer; 0 if there was none.
    pub status: u16,
}

/// Status of the answer over the kept connection, or a new one.
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

/// What was asked, by status, for routes over a certain age.
#[derive(Clone, Debug, Default)]
pub struct RouteOutcome {
    /// Requests for routes older than the bound, by status.
    pub late: BTreeMap<u16, usize>,
    /// Daemons that did not serve such a route.
    pub daemons: usize,
    /// Age of the oldest route that was not served, by status.
    pub oldest: BTreeMap<u16, Duration>,
    /// All requests, by status.
    pub all: BTreeMap<u16, usize>,
}

impl RouteOutcome {
    /// Sums up requests.
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

    /// Requests for routes older than the bound that got any other status than 200.
    pub fn not_served(&self) -> usize {
        self.late.iter().filter(|(status, _)| **status != 200).map(|(_, count)| count).sum()
    }
}
