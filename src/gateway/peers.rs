//! Other daemons, as far as this one knows.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use tokio::time::Instant;

use super::quota::QuotaSharing;
use crate::ids::{IncarnationId, SharedName};

/// A daemon that was not heard for this long may not hear us either.
const HEARD_WITHIN: Duration = Duration::from_millis(1_500);
/// A daemon that was not heard for this long is taken to be gone.
const FORGET_AFTER: Duration = Duration::from_secs(20);
/// Time between tries of an address that does not answer.
const RETRY_EVERY: Duration = Duration::from_millis(500);

/// What is known of one daemon.
#[derive(Clone, Debug)]
pub struct PeerRecord {
    /// Name of its VM.
    pub name: SharedName,
    /// This start of it.
    pub incarnation: IncarnationId,
    /// Sequence of its newest state.
    pub sequence: u64,
    /// When it was last heard.
    pub heard_at: Instant,
    /// Whether it is on its way out.
    pub leaving: bool,
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
    peers: HashMap<SocketAddr, PeerRecord>,
    addresses: HashMap<SocketAddr, AddressState>,
    seeds: BTreeSet<SocketAddr>,
}

impl PeerTable {
    /// Table of the daemon at `own` that knows only seeds.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let seeds: BTreeSet<SocketAddr> =
            seeds.iter().filter(|seed| **seed != own).copied().collect();
        let addresses = seeds.iter().map(|seed| (*seed, AddressState::default())).collect();
        Self { own, peers: HashMap::new(), addresses, seeds }
    }

    /// Learns of an address at which a daemon may be.
    pub fn learn(&mut self, address: SocketAddr) {
        if address != self.own {
            self.addresses.entry(address).or_default();
        }
    }

    /// A daemon has spoken. Returns whether its state is newer than the one known.
    pub fn hear(&mut self, address: SocketAddr, record: PeerRecord) -> bool {
        self.learn(address);
        if let Some(state) = self.addresses.get_mut(&address) {
            state.failing = false;
        }
        let known = self.peers.get(&address);
        let newer = known.is_none_or(|known| {
            (known.incarnation, known.sequence) < (record.incarnation, record.sequence)
        });
        if newer {
            self.peers.insert(address, record);
        }
        newer
    }

    /// A call to this address failed.
    pub fn failed(&mut self, address: SocketAddr) {
        if let Some(state) = self.addresses.get_mut(&address) {
            state.failing = true;
        }
    }

    /// The addresses to call now, at most `most`: those that were called longest ago first.
    pub fn due(&mut self, most: usize, now: Instant) -> Vec<SocketAddr> {
        self.forget(now);
        let waits = |state: &AddressState| {
            let since = state.tried_at.map(|at| now.saturating_duration_since(at));
            state.failing && since.is_some_and(|since| since < RETRY_EVERY)
        };
        let mut due: Vec<(Option<Instant>, SocketAddr)> = self
            .addresses
            .iter()
            .filter(|(_, state)| !waits(state))
            .map(|(address, state)| (state.tried_at, *address))
            .collect();
        due.sort_unstable();
        due.truncate(most);
        for (_, address) in &due {
            if let Some(state) = self.addresses.get_mut(address) {
                state.tried_at = Some(now);
            }
        }
        due.into_iter().map(|(_, address)| address).collect()
    }

    /// Addresses of daemons that were heard, for others.
    pub fn known(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.keys().copied()
    }

    /// Whether a daemon of this start is known.
    pub fn knows(&self, incarnation: IncarnationId) -> bool {
        self.peers.values().any(|peer| peer.incarnation == incarnation)
    }

    /// Names of the daemons that were heard just now.
    pub fn heard_names(&self, now: Instant) -> impl Iterator<Item = &SharedName> {
        self.peers.values().filter(move |peer| is_heard(peer, now)).map(|peer| &peer.name)
    }

    /// How many daemons share quotas and budgets.
    pub fn sharing(&self, now: Instant) -> QuotaSharing {
        let present = self.peers.values().filter(|peer| !peer.leaving || is_heard(peer, now));
        let known = 1 + present.count();
        let heard = 1 + self.peers.values().filter(|peer| is_heard(peer, now)).count();
        QuotaSharing { known, heard }
    }

    fn forget(&mut self, now: Instant) {
        self.peers.retain(|_, peer| now.saturating_duration_since(peer.heard_at) < FORGET_AFTER);
        let (peers, seeds) = (&self.peers, &self.seeds);
        self.addresses.retain(|address, state| {
            !state.failing || peers.contains_key(address) || seeds.contains(address)
        });
    }
}

fn is_heard(peer: &PeerRecord, now: Instant) -> bool {
    now.saturating_duration_since(peer.heard_at) < HEARD_WITHIN
}
