//! Order of the known daemons by rendezvous hashing: decides which of them hold shares of an
//! endpoint's limit and which acts first for a key. Daemons that know the same others agree on it.

use std::net::SocketAddr;

use super::PeerTable;
use crate::{
    gateway::gossip::groups::hash_address,
    ids::{IncarnationId, hash_parts},
};

/// Rank of a daemon among the first ones by rendezvous hashing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RendezvousRank {
    /// Number of daemons that come before it.
    pub rank: usize,
    /// The other daemons among the first ones.
    pub others: Vec<IncarnationId>,
}

impl PeerTable {
    /// Whether this daemon is the first of all known daemons that are not leaving, by rendezvous
    /// hashing with `key`. Daemons that know the same others agree on the first one.
    pub fn is_first_for(&self, key: u64) -> bool {
        let rank = |address: &SocketAddr| {
            (hash_parts(&[&key.to_le_bytes(), address.to_string().as_bytes()]), *address)
        };
        let own = rank(&self.own);
        let mut others = self.peers.iter().filter(|(_, peer)| !peer.leaving);
        others.all(|(address, _)| own < rank(address))
    }

    /// This daemon's rank among the first `count` of all known daemons that are not leaving, by
    /// rendezvous hashing with `key`; `None` if it is not among them. Daemons that know the same
    /// others agree on the ranks.
    pub fn rendezvous_rank(&self, key: u64, count: usize) -> Option<RendezvousRank> {
        let rank = |hash| rendezvous_hash(key, hash);
        let own = rank(hash_address(&self.own));
        let others = self.peers.values().filter(|peer| !peer.leaving);
        let mut ranked: Vec<(u64, IncarnationId)> =
            others.map(|peer| (rank(peer.address_hash), peer.incarnation)).collect();
        let before = ranked.iter().filter(|(rank, _)| *rank < own).count();
        if before >= count {
            return None;
        }
        ranked.sort_unstable();
        ranked.truncate(count.saturating_sub(1));
        let others = ranked.into_iter().map(|(_, incarnation)| incarnation).collect();
        Some(RendezvousRank { rank: before, others })
    }

    /// All known daemons, also those that are leaving, and this one, with the hashes of their addresses.
    pub fn ring_members(&self) -> Vec<(u64, SocketAddr)> {
        let others = self.peers.iter().map(|(address, peer)| (peer.address_hash, *address));
        others.chain([(hash_address(&self.own), self.own)]).collect()
    }

    /// Addresses of the other daemons among the first `count` in the order of `rendezvous_rank`.
    pub fn rendezvous_first(&self, key: u64, count: usize) -> Vec<SocketAddr> {
        let others = self.peers.iter().filter(|(_, peer)| !peer.leaving);
        let others = others.map(|(address, peer)| (peer.address_hash, *address));
        let all = others.chain([(hash_address(&self.own), self.own)]);
        let mut ranked: Vec<(u64, SocketAddr)> =
            all.map(|(hash, address)| (rendezvous_hash(key, hash), address)).collect();
        if count < ranked.len() {
            ranked.select_nth_unstable(count);
            ranked.truncate(count);
        }
        ranked.sort_unstable();
        let first = ranked.into_iter().map(|(_, address)| address);
        first.filter(|address| *address != self.own).collect()
    }
}

fn rendezvous_hash(key: u64, address_hash: u64) -> u64 {
    hash_parts(&[&key.to_le_bytes(), &address_hash.to_le_bytes()])
}
