//! Decides which addresses a daemon calls in a gossip interval: neighbours and addresses of which
//! no daemon is known yet, those first that were not called for longest; once a second also a
//! random daemon that is no neighbour. Addresses that do not respond are tried less often.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use rand::{Rng, seq::IteratorRandom};
use tokio::time::Instant;

use super::{groups::Neighbours, peer_record::PeerRecord};

/// Time between tries of an address that does not respond: five gossip intervals.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time between calls of a random daemon that is no neighbour, by which parts of a fleet that have
/// lost each other meet again: one call in twenty.
const RANDOM_PEER_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct AddressState {
    tried_at: Option<Instant>,
    is_failing: bool,
}

impl AddressState {
    fn waits(&self, now: Instant) -> bool {
        let elapsed = self.tried_at.map(|at| now.saturating_duration_since(at));
        self.is_failing && elapsed.is_some_and(|elapsed| elapsed < RETRY_INTERVAL)
    }
}

/// Addresses to call, and when each was tried.
#[derive(Debug)]
pub struct CallSchedule {
    addresses: BTreeMap<SocketAddr, AddressState>,
    seeds: BTreeSet<SocketAddr>,
    random_peer_at: Option<Instant>,
    calls_per_interval: usize,
}

impl CallSchedule {
    /// Schedule that knows only seeds.
    pub fn new(seeds: BTreeSet<SocketAddr>, calls_per_interval: usize) -> Self {
        let addresses = seeds.iter().map(|seed| (*seed, AddressState::default())).collect();
        Self { addresses, seeds, random_peer_at: None, calls_per_interval }
    }

    /// Adds an address, if it is not known.
    pub fn add(&mut self, address: SocketAddr) {
        self.addresses.entry(address).or_default();
    }

    /// Notes that the daemon at this address has been heard.
    pub fn succeeded(&mut self, address: SocketAddr) {
        if let Some(state) = self.addresses.get_mut(&address) {
            state.is_failing = false;
        }
    }

    /// Notes that a call to this address failed.
    pub fn failed(&mut self, address: SocketAddr) {
        if let Some(state) = self.addresses.get_mut(&address) {
            state.is_failing = true;
        }
    }

    /// Drops failing addresses that are neither seeds nor of a known daemon.
    pub fn prune(&mut self, peers: &BTreeMap<SocketAddr, PeerRecord>) {
        let seeds = &self.seeds;
        self.addresses.retain(|address, state| {
            !state.is_failing || peers.contains_key(address) || seeds.contains(address)
        });
    }

    /// Addresses to call in this interval.
    pub fn next(
        &mut self,
        neighbours: &Neighbours,
        peers: &BTreeMap<SocketAddr, PeerRecord>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let mut next = self.longest_waiting(neighbours, peers, now);
        if self.random_peer_at.is_none_or(|at| now >= at) {
            self.random_peer_at = Some(now + RANDOM_PEER_INTERVAL);
            let others = peers.keys().filter(|address| {
                !neighbours.in_own_group(address) && neighbours.represented_group(address).is_none()
            });
            next.extend(others.copied().choose(rng));
        }
        for address in &next {
            if let Some(state) = self.addresses.get_mut(address) {
                state.tried_at = Some(now);
            }
        }
        next
    }

    fn longest_waiting(
        &self,
        neighbours: &Neighbours,
        peers: &BTreeMap<SocketAddr, PeerRecord>,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let mut wanted: BTreeSet<SocketAddr> = neighbours.all().copied().collect();
        wanted.extend(self.addresses.keys().filter(|address| !peers.contains_key(address)));
        let mut due: Vec<(Option<Instant>, SocketAddr)> = Vec::new();
        for address in wanted {
            // An address without a state has not been tried.
            let state = self.addresses.get(&address).copied().unwrap_or_default();
            if !state.waits(now) {
                due.push((state.tried_at, address));
            }
        }
        due.sort_unstable();
        due.truncate(self.calls_per_interval);
        due.into_iter().map(|(_, address)| address).collect()
    }
}
