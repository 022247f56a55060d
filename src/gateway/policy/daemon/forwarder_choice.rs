//! Chooses the daemon through which this one opens a connection to an endpoint that it doesn't reach
//! itself.
//!
//! Of two candidates drawn at random, the one that carries fewer tunnels is used. Many daemons may be
//! partitioned at the same time, and their reports are up to two seconds old: if each used the least
//! loaded candidate, all would use the same one.
//!
//! Candidates are daemons that this one has heard from recently and that reach endpoints; those to which
//! endpoints have responded lately go first. A daemon that
//! could not open or carry a tunnel is left out for a short time. Daemons of the last release carry no
//! tunnels and report none.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use rand::{Rng, seq::IteratorRandom};
use tokio::time::Instant;

use crate::counting::{CountGuard, OpenCount};

/// Time for which a daemon is left out after it failed to open a tunnel: a few gossip rounds, after
/// which its report tells why.
const LEFT_OUT_FOR: Duration = Duration::from_secs(1);
/// Time for which a response shows that a daemon reaches endpoints: one that serves few requests may be
/// partitioned without having noticed.
const CONTACT_LIFETIME: Duration = Duration::from_secs(2);
/// Number of candidates that are compared.
const DRAWN: usize = 2;
/// Tunnels by which a daemon of another zone must carry fewer to be preferred: bytes between zones
/// have a price.
const ZONE_ADVANTAGE: usize = 8;

/// What a daemon reports about itself as a forwarder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwarderReport {
    /// Address for tunnels.
    pub address: SocketAddr,
    /// Whether it is itself partitioned from all endpoints.
    pub is_partitioned: bool,
    /// Tunnels that it carries for other daemons.
    pub tunnels: u32,
    /// Time since an endpoint last responded to it over its own links.
    pub contact_age: Option<Duration>,
}

/// A daemon that may carry a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwarderCandidate {
    /// Address for tunnels.
    pub address: SocketAddr,
    /// Tunnels that it has reported.
    pub reported_tunnels: usize,
    /// Time since an endpoint last responded to it over its own links.
    pub contact_age: Option<Duration>,
    /// Whether it is in the availability zone of this daemon.
    pub is_same_zone: bool,
}

impl ForwarderCandidate {
    fn is_in_contact(&self) -> bool {
        self.contact_age.is_some_and(|age| age < CONTACT_LIFETIME)
    }
}

/// This daemon's own tunnels, and the daemons that failed to carry one.
#[derive(Debug, Default)]
pub struct ForwarderTable {
    tunnels: HashMap<SocketAddr, OpenCount>,
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
        let (in_contact, others): (Vec<_>, Vec<_>) = usable.partition(|one| one.is_in_contact());
        let preferred = if in_contact.is_empty() { others } else { in_contact };
        let drawn = preferred.into_iter().sample(rng, DRAWN);
        drawn.into_iter().min_by_key(|one| self.cost(one)).map(|one| one.address)
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

    fn cost(&self, one: &ForwarderCandidate) -> usize {
        let own = self.tunnels.get(&one.address).map_or(0, OpenCount::get);
        let zone = if one.is_same_zone { 0 } else { ZONE_ADVANTAGE };
        one.reported_tunnels.max(own) + zone
    }

    /// Records that a daemon could not open or carry a tunnel.
    pub fn failed(&mut self, address: SocketAddr, now: Instant) {
        self.failed_at.retain(|_, at| now.saturating_duration_since(*at) < LEFT_OUT_FOR);
        self.failed_at.insert(address, now);
    }

    /// Counts an own tunnel through a daemon until the guard is dropped.
    pub fn count_tunnel(&mut self, address: SocketAddr) -> CountGuard {
        self.tunnels.retain(|_, count| count.get() > 0);
        self.tunnels.entry(address).or_default().enter()
    }
}
