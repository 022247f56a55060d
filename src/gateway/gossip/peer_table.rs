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
/// Daemons of a row that watch the store for the others. Rows feed each other, so that a row
/// whose watcher is cut off from the store still has its news.
const ROW_WATCHERS: usize = 1;
/// Time between tries of an address that does not answer.
const RETRY_EVERY: Duration = Duration::from_millis(500);
/// Time between exchanges with somebody who is no neighbour: so parts of a fleet that have
/// lost sight of each other meet again.
const STRANGER_EVERY: Duration = Duration::from_secs(1);

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
pub struct PeerWord {
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
    stranger_at: Option<Instant>,
    turn: Duration,
    calls_in_turn: usize,
}

impl PeerTable {
    /// Table of the daemon at `own` that knows only seeds, and calls `calls_in_turn` daemons
    /// every `turn`.
    pub fn new(
        own: SocketAddr,
        seeds: &[SocketAddr],
        turn: Duration,
        calls_in_turn: usize,
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
            stranger_at: None,
            turn,
            calls_in_turn,
        }
    }

    /// Neighbours among the daemons that are known.
    pub fn neighbours(&self) -> &Neighbours {
        &self.neighbours
    }

    /// Takes word of a daemon that somebody else has heard.
    pub fn learn(&mut self, word: &PeerWord, now: Instant) {
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
        due.truncate(self.calls_in_turn);
        if self.stranger_at.is_none_or(|at| now >= at) {
            self.stranger_at = Some(now + STRANGER_EVERY);
            let neighbours = &self.neighbours;
            let strangers = self.peers.keys().filter(|address| {
                !neighbours.in_row(address) && neighbours.delegate_row(address).is_none()
            });
            due.extend(strangers.copied().choose(rng).map(|address| (None, address)));
        }
        for (_, address) in &due {
            if let Some(state) = self.addresses.get_mut(address) {
                state.tried_at = Some(now);
            }
        }
        due.into_iter().map(|(_, address)| address).collect()
    }

    /// Word of some daemons, for others.
    pub fn words(&self, most: usize, now: Instant, rng: &mut impl Rng) -> Vec<PeerWord> {
        let some = self.peers.iter().filter(|(_, peer)| !peer.leaving).sample(rng, most);
        let word = |(address, peer): (&SocketAddr, &PeerRecord)| PeerWord {
            address: *address,
            incarnation: peer.incarnation,
            age: now.saturating_duration_since(peer.heard_at),
        };
        some.into_iter().map(word).collect()
    }

    /// Whether all daemons are in one row.
    pub fn is_single_row(&self) -> bool {
        self.neighbours.rows <= 1
    }

    /// Whether this daemon is one of those of its row that watch the store for the others.
    /// In a fleet of one row all do.
    pub fn is_watcher(&self, now: Instant) -> bool {
        if self.is_single_row() {
            return true;
        }
        let limit = self.heard_within();
        let met = |address: &&SocketAddr| {
            let met_at = self.peers.get(*address).and_then(|peer| peer.met_at);
            met_at.is_some_and(|at| now.saturating_duration_since(at) < limit)
        };
        // NOTE: by hashes, so that the watchers of all rows are not in one availability zone.
        let own = watch_rank(&self.own);
        let before = |address: &&SocketAddr| watch_rank(address) < own;
        self.neighbours.row.iter().filter(met).filter(before).count() < ROW_WATCHERS
    }

    /// How many daemons share quotas and budgets. A row counts as heard when its delegate is.
    pub fn sharing(&self, now: Instant) -> QuotaSharing {
        let limit = self.heard_within();
        let met = |address: &SocketAddr| {
            let met_at = self.peers.get(address).and_then(|peer| peer.met_at);
            met_at.is_some_and(|at| now.saturating_duration_since(at) < limit)
        };
        let mut rows_heard = vec![false; self.neighbours.rows.max(1)];
        for (row, delegate) in &self.neighbours.delegates {
            rows_heard[*row] = met(delegate);
        }
        let (mut known, mut heard) = (1, 1);
        for (address, peer) in &self.peers {
            let row = super::groups::row_of(address, self.neighbours.rows);
            let is_heard = match row == self.neighbours.own_row {
                true => met(address),
                false => rows_heard[row],
            };
            heard += usize::from(is_heard);
            known += usize::from(is_heard || !peer.leaving);
        }
        // NOTE: news of another row are told within that row first.
        let rounds = if self.is_single_row() { 1 } else { 2 };
        QuotaSharing { known, heard, lag: self.round() * rounds }
    }

    /// Time in which every neighbour is called once.
    fn round(&self) -> Duration {
        let calls = self.neighbours.all().count().div_ceil(self.calls_in_turn.max(1)) as u32;
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
