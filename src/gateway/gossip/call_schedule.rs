//! Decides which addresses a daemon calls in a gossip interval: its neighbours and the addresses at
//! which no daemon is known yet, least recently called first. Once a second, it also calls a random
//! daemon that is not a neighbour. Addresses that don't respond are called less often.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use rand::{Rng, seq::IteratorRandom};
use tokio::time::Instant;

use super::{groups::Neighbours, peer_record::PeerRecord};

/// Minimum time between calls to an address that doesn't respond: five gossip intervals.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time between calls to a random daemon that is not a neighbour. With these calls, parts of a
/// fleet that have lost contact find each other again. They are one call in twenty.
const RANDOM_PEER_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct AddressState {
    tried_at: Option<Instant>,
    is_failing: bool,
}

impl AddressState {
    fn is_backing_off(&self, now: Instant) -> bool {
        let elapsed = self.tried_at.map(|at| now.saturating_duration_since(at));
        self.is_failing && elapsed.is_some_and(|elapsed| elapsed < RETRY_INTERVAL)
    }
}

/// Addresses to call, and when each was last called.
#[derive(Debug)]
pub struct CallSchedule {
    addresses: BTreeMap<SocketAddr, AddressState>,
    seeds: BTreeSet<SocketAddr>,
    random_peer_at: Option<Instant>,
    calls_per_interval: usize,
}

impl CallSchedule {
    /// Creates a schedule that contains only the seeds.
    pub fn new(seeds: BTreeSet<SocketAddr>, calls_per_interval: usize) -> Self {
        let addresses = seeds.iter().map(|seed| (*seed, AddressState::default())).collect();
        Self { addresses, seeds, random_peer_at: None, calls_per_interval }
    }

    /// Adds an address if it is new.
    pub fn add(&mut self, address: SocketAddr) {
        self.addresses.entry(address).or_default();
    }

    /// Replaces the seeds. Returns whether they differ from the former ones.
    pub fn set_seeds(&mut self, seeds: BTreeSet<SocketAddr>) -> bool {
        for seed in &seeds {
            self.add(*seed);
        }
        let former = std::mem::replace(&mut self.seeds, seeds);
        former != self.seeds
    }

    /// Records that a message from the daemon at this address has arrived.
    pub fn succeeded(&mut self, address: SocketAddr) {
        if let Some(state) = self.addresses.get_mut(&address) {
            state.is_failing = false;
        }
    }

    /// Records that a call to this address failed.
    pub fn failed(&mut self, address: SocketAddr) {
        if let Some(state) = self.addresses.get_mut(&address) {
            state.is_failing = true;
        }
    }

    /// Removes failing addresses that are neither seeds nor addresses of known daemons.
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
            // An address without a state has never been called.
            let state = self.addresses.get(&address).copied().unwrap_or_default();
            if !state.is_backing_off(now) {
                due.push((state.tried_at, address));
            }
        }
        due.sort_unstable();
        due.truncate(self.calls_per_interval);
        due.into_iter().map(|(_, address)| address).collect()
    }
}
