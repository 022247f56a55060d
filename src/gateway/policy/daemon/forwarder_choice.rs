//! Chooses the daemon through which this one opens a connection to an endpoint that it doesn't reach
//! itself: a random one of the candidates. Many daemons may be partitioned at the same time, and what they
//! know of the tunnels of others is up to two seconds old; choosing by that makes them all use the same
//! forwarder.
//!
//! Candidates are daemons that this one has heard from recently and that reach endpoints; those to which
//! endpoints have responded lately go first. A daemon that could not open a tunnel is left out for a short
//! time. Daemons of the last release carry no tunnels, and report none.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use rand::{Rng, seq::IndexedRandom};
use tokio::time::Instant;

/// Time for which a daemon is left out after it failed to open a tunnel: a few gossip rounds, after
/// which its report tells why.
const LEFT_OUT_FOR: Duration = Duration::from_secs(1);
/// Time for which a response shows that a daemon reaches endpoints: one that serves few requests may be
/// partitioned without having noticed.
const CONTACT_LIFETIME: Duration = Duration::from_secs(2);

/// What a daemon reports about itself as a forwarder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwarderReport {
    /// Address for tunnels.
    pub address: SocketAddr,
    /// Whether it is itself partitioned from all endpoints.
    pub is_partitioned: bool,
    /// Time since an endpoint last responded to it over its own links.
    pub contact_age: Option<Duration>,
}

/// A daemon that may carry a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwarderCandidate {
    /// Address for tunnels.
    pub address: SocketAddr,
    /// Time since an endpoint last responded to it over its own links.
    pub contact_age: Option<Duration>,
}

impl ForwarderCandidate {
    fn is_in_contact(&self) -> bool {
        self.contact_age.is_some_and(|age| age < CONTACT_LIFETIME)
    }
}

/// The daemons that lately failed to open a tunnel.
#[derive(Debug, Default)]
pub struct ForwarderTable {
    failed_at: HashMap<SocketAddr, Instant>,
}

impl ForwarderTable {
    /// Chooses among `candidates`, except those in `tried`.
    pub fn choose(
        &self,
        candidates: &[ForwarderCandidate],
        tried: &[SocketAddr],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<SocketAddr> {
        let usable = candidates.iter().filter(|one| self.is_usable(one, tried, now));
        let (in_contact, others): (Vec<&ForwarderCandidate>, Vec<_>) =
            usable.partition(|one| one.is_in_contact());
        let preferred = if in_contact.is_empty() { others } else { in_contact };
        preferred.choose(rng).map(|one| one.address)
    }

    /// Whether there is a candidate that may be used now.
    pub fn has_usable(&self, candidates: &[ForwarderCandidate], now: Instant) -> bool {
        candidates.iter().any(|one| self.is_usable(one, &[], now))
    }

    fn is_usable(&self, one: &ForwarderCandidate, tried: &[SocketAddr], now: Instant) -> bool {
        let failed_at = self.failed_at.get(&one.address);
        let is_left_out =
            failed_at.is_some_and(|at| now.saturating_duration_since(*at) < LEFT_OUT_FOR);
        !is_left_out && !tried.contains(&one.address)
    }

    /// Records that a daemon could not open a tunnel.
    pub fn failed(&mut self, address: SocketAddr, now: Instant) {
        self.failed_at.retain(|_, at| now.saturating_duration_since(*at) < LEFT_OUT_FOR);
        self.failed_at.insert(address, now);
    }
}
