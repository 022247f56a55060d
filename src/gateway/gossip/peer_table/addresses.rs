//! Addresses of daemons that were learnt outside of gossip.

use std::net::SocketAddr;

use rand::{Rng, seq::IteratorRandom};
use tokio::time::Instant;

use super::PeerTable;

impl PeerTable {
    /// Adds addresses to call. Those that don't respond are dropped, as far as they are no seeds.
    pub fn add_addresses(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if address != self.own {
                self.schedule.add(address);
            }
        }
    }

    /// Replaces the seeds. Returns whether they differ from the former ones.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) -> bool {
        let others = seeds.iter().filter(|seed| **seed != self.own).copied();
        self.schedule.set_seeds(others.collect())
    }

    /// Random addresses of daemons that this one hears and that are not leaving, `max` at most.
    pub fn sample_heard(&self, max: usize, now: Instant, rng: &mut impl Rng) -> Vec<SocketAddr> {
        let running = self.peers.iter().filter(|(_, peer)| !peer.leaving);
        let heard = running.map(|(address, _)| *address).filter(|address| self.hears(address, now));
        heard.sample(rng, max)
    }
}
