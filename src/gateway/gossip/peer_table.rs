//! Other daemons, as far as this one knows.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use rand::{Rng, seq::IteratorRandom};
use tokio::time::Instant;

use super::groups::Neighbours;
use crate::{
    gateway::policy::quota::QuotaSharing,
    ids::{IncarnationId, hash_parts},
};

/// A neighbour that was not heard for this long may not hear us either.
const HEARD_WITHIN: Duration = Duration::from_millis(1_500);
/// The same, in times of a whole round of exchanges, for fleets whose rounds are longer.
const HEARD_ROUNDS: u32 = 3;
/// A daemon that nobody has heard for this long is taken to be gone.
const FORGET_AFTER: Duration = Duration::from_secs(20);
/// Daemons of a group that watch the store for the others. Groups feed each other, so that a group
/// whose watcher is cut off from the store still has its news.
const GROUP_WATCHERS: usize = 1;
/// Time between tries of an address that does not answer.
const RETRY_EVERY: Duration = Duration::from_millis(500);
/// Time between exchanges with somebody who is no neighbour: so parts of a fleet that have
/// lost sight of each other meet again.
const RANDOM_PEER_INTERVAL: Duration = Duration::from_secs(1);

/// What is known of one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerRecord {
    /// This start of it.
    pub incarnation: IncarnationId,
    /// Sequence of its newest state heard from itself.
    pub sequence: u64,
    /// When anybody last heard it, as far as known.
    pub heard_at: Instant,
    /// When it was last heard by this daemon.
    pub met_at: Option<Instant>,
    /// Whether it is on its way out.
    pub leaving: bool,
}

/// Word of a daemon, passed on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerSummary {
    /// Where its gate listens.
    pub address: SocketAddr,
    /// This start of it.
    pub incarnation: IncarnationId,
    /// How long ago it was heard.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct AddressState {
    tried_at: Option<Instant>,
    failing: bool,
}

/// Daemons by the address of their gates.
#[derive(Debug)]
pub struct PeerTable {
    own: SocketAddr,
    // NOTE: ordered maps, so that random picks from them repeat with the generator's seed.
    peers: BTreeMap<SocketAddr, PeerRecord>,
    addresses: BTreeMap<SocketAddr, AddressState>,
    seeds: BTreeSet<SocketAddr>,
    neighbours: Neighbours,
    random_peer_at: Option<Instant>,
    turn: Duration,
    calls_per_interval: usize,
}

impl PeerTable {
    /// Table of the daemon at `own` that knows only seeds, and calls `calls_per_interval` daemons
    /// every `turn`.
    pub fn new(
        own: SocketAddr,
        seeds: &[SocketAddr],
        turn: Duration,
        calls_per_interval: usize,
    ) -> Self {
        let seeds: BTreeSet<SocketAddr> =
            seeds.iter().filter(|seed| **seed != own).copied().collect();
        let addresses = seeds.iter().map(|seed| (*seed, AddressState::default())).collect();
        Self {
            own,
            peers: BTreeMap::new(),
            addresses,
            seeds,
            neighbours: Neighbours::of(&own, &[]),
            random_peer_at: None,
            turn,
            calls_per_interval,
        }
    }

    /// Neighbours among the daemons that are known.
    pub fn neighbours(&self) -> &Neighbours {
        &self.neighbours
    }

    /// Takes word of a daemon that somebody else has heard.
    pub fn learn(&mut self, word: &PeerSummary, now: Instant) {
        if word.address == self.own || word.age >= FORGET_AFTER {
            return;
        }
        let Some(heard_at) = now.checked_sub(word.age) else { return };
        let known = self.peers.get(&word.address);
        if known.is_some_and(|known| known.incarnation == word.incarnation) {
            if let Some(known) = self.peers.get_mut(&word.address) {
                known.heard_at = known.heard_at.max(heard_at);
            }
            return;
        }
        if known.is_some_and(|known| known.incarnation > word.incarnation) {
            return;
        }
        let record = PeerRecord {
            incarnation: word.incarnation,
            sequence: 0,
            heard_at,
            met_at: None,
            leaving: false,
        };
        self.insert(word.address, record);
    }

    /// A daemon has spoken itself. Returns whether its state is newer than the one known.
    pub fn hear(
        &mut self,
        address: SocketAddr,
        incarnation: IncarnationId,
        sequence: u64,
        leaving: bool,
        now: Instant,
    ) -> bool {
        if address == self.own {
            return false;
        }
        if let Some(state) = self.addresses.get_mut(&address) {
            state.failing = false;
        }
        let known = self.peers.get(&address);
        let newer =
            known.is_none_or(|known| (known.incarnation, known.sequence) < (incarnation, sequence));
        if newer {
            let met_at = Some(now);
            let record = PeerRecord { incarnation, sequence, heard_at: now, met_at, leaving };
            self.insert(address, record);
        }
        newer
    }

    fn insert(&mut self, address: SocketAddr, record: PeerRecord) {
        self.addresses.entry(address).or_default();
        if self.peers.insert(address, record).is_none() {
            self.regroup();
        }
    }

    fn regroup(&mut self) {
        let others: Vec<SocketAddr> = self.peers.keys().copied().collect();
        self.neighbours = Neighbours::of(&self.own, &others);
    }

    /// A call to this address failed.
    pub fn failed(&mut self, address: SocketAddr) {
        if let Some(state) = self.addresses.get_mut(&address) {
            state.failing = true;
        }
    }

    /// The addresses to call in this turn: neighbours and those nobody has heard yet, the
    /// longest ago called first; now and then a stranger.
    pub fn due(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<SocketAddr> {
        self.forget(now);
        let mut wanted: BTreeSet<SocketAddr> = self.neighbours.all().copied().collect();
        let unheard = self.addresses.keys().filter(|address| !self.peers.contains_key(address));
        wanted.extend(unheard);
        let mut due: Vec<(Option<Instant>, SocketAddr)> = wanted
            .into_iter()
            .filter_map(|address| {
                let state = self.addresses.get(&address).copied().unwrap_or_default();
                (!waits(&state, now)).then_some((state.tried_at, address))
            })
            .collect();
        due.sort_unstable();
        due.truncate(self.calls_per_interval);
        if self.random_peer_at.is_none_or(|at| now >= at) {
            self.random_peer_at = Some(now + RANDOM_PEER_INTERVAL);
            let neighbours = &self.neighbours;
            let random_peers = self.peers.keys().filter(|address| {
                !neighbours.in_own_group(address) && neighbours.represented_group(address).is_none()
            });
            due.extend(random_peers.copied().choose(rng).map(|address| (None, address)));
        }
        for (_, address) in &due {
            if let Some(state) = self.addresses.get_mut(address) {
                state.tried_at = Some(now);
            }
        }
        due.into_iter().map(|(_, address)| address).collect()
    }

    /// Word of some daemons, for others.
    pub fn words(&self, most: usize, now: Instant, rng: &mut impl Rng) -> Vec<PeerSummary> {
        let some = self.peers.iter().filter(|(_, peer)| !peer.leaving).sample(rng, most);
        let word = |(address, peer): (&SocketAddr, &PeerRecord)| PeerSummary {
            address: *address,
            incarnation: peer.incarnation,
            age: now.saturating_duration_since(peer.heard_at),
        };
        some.into_iter().map(word).collect()
    }

    /// Whether all daemons are in one group.
    pub fn is_single_group(&self) -> bool {
        self.neighbours.groups <= 1
    }

    /// Whether this daemon is one of those of its group that watch the store for the others.
    /// In a fleet of one group all do.
    pub fn is_watcher(&self, now: Instant) -> bool {
        if self.is_single_group() {
            return true;
        }
        let limit = self.heard_within();
        let met = |address: &&SocketAddr| {
            let met_at = self.peers.get(*address).and_then(|peer| peer.met_at);
            met_at.is_some_and(|at| now.saturating_duration_since(at) < limit)
        };
        // NOTE: by hashes, so that the watchers of all groups are not in one availability zone.
        let own = watch_rank(&self.own);
        let before = |address: &&SocketAddr| watch_rank(address) < own;
        self.neighbours.group.iter().filter(met).filter(before).count() < GROUP_WATCHERS
    }

    /// How many daemons share quotas and budgets. A group counts as heard when its representative is.
    pub fn sharing(&self, now: Instant) -> QuotaSharing {
        let limit = self.heard_within();
        let met = |address: &SocketAddr| {
            let met_at = self.peers.get(address).and_then(|peer| peer.met_at);
            met_at.is_some_and(|at| now.saturating_duration_since(at) < limit)
        };
        let mut groups_heard = vec![false; self.neighbours.groups.max(1)];
        for (group, representative) in &self.neighbours.representatives {
            groups_heard[*group] = met(representative);
        }
        let (mut known, mut heard) = (1, 1);
        for (address, peer) in &self.peers {
            let group = super::groups::group_of(address, self.neighbours.groups);
            let is_heard = match group == self.neighbours.own_group {
                true => met(address),
                false => groups_heard[group],
            };
            heard += usize::from(is_heard);
            known += usize::from(is_heard || !peer.leaving);
        }
        // NOTE: news of another group are told within that group first.
        let rounds = if self.is_single_group() { 1 } else { 2 };
        QuotaSharing { known, heard, report_age: self.round() * rounds }
    }

    /// Time in which every neighbour is called once.
    fn round(&self) -> Duration {
        let calls = self.neighbours.all().count().div_ceil(self.calls_per_interval.max(1)) as u32;
        self.turn * calls
    }

    fn heard_within(&self) -> Duration {
        HEARD_WITHIN.max(self.round() * HEARD_ROUNDS)
    }

    fn forget(&mut self, now: Instant) {
        let before = self.peers.len();
        self.peers.retain(|_, peer| now.saturating_duration_since(peer.heard_at) < FORGET_AFTER);
        let (peers, seeds) = (&self.peers, &self.seeds);
        self.addresses.retain(|address, state| {
            !state.failing || peers.contains_key(address) || seeds.contains(address)
        });
        if self.peers.len() != before {
            self.regroup();
        }
    }
}

fn watch_rank(address: &SocketAddr) -> (u64, SocketAddr) {
    (hash_parts(&[b"watch", address.to_string().as_bytes()]), *address)
}

fn waits(state: &AddressState, now: Instant) -> bool {
    let since = state.tried_at.map(|at| now.saturating_duration_since(at));
    state.failing && since.is_some_and(|since| since < RETRY_EVERY)
}
