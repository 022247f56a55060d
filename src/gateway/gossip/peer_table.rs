//! The other daemons that this one knows, and what follows from them: its neighbours, which daemons
//! watch the store, and how many share quotas and retry budgets.
//!
//! A daemon is known from its own messages or from summaries that others pass on; the highest
//! incarnation and sequence number win. It is removed when no daemon has received a message from
//! it for `PEER_EXPIRY`. The native path detects failed members by probes and suspicions
//! (`native::cluster`); here, the gossip calls themselves show which daemons are alive.

mod addresses;
pub mod rendezvous;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use rand::{Rng, seq::IteratorRandom};
use tokio::time::Instant;

use super::{
    call_schedule::CallSchedule,
    groups::{Neighbours, group_of, hash_address},
    messages::PeerSummary,
    peer_record::{PeerRecord, PeerReport},
};
use crate::{
    gateway::policy::{
        daemon::{
            daemon_count::RecentPeak, forwarder_choice::ForwarderCandidate,
            store_watchers::watchers_per_group,
        },
        request::quota::QuotaSharing,
    },
    ids::hash_parts,
};

/// A neighbour from which no message has arrived for this long may not receive this daemon's
/// messages either. Longer than the 1.2 s that it takes to call all daemons of a one-group fleet.
const HEARD_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same timeout as a multiple of the time in which all neighbours are called once, so that two
/// calls may fail. The longer of both applies.
const HEARD_TIMEOUT_ROUNDS: u32 = 3;
/// A daemon from which no daemon has received a message for this long is removed. Its share of
/// quotas is reserved until then, and must stay reserved during short partitions.
const PEER_EXPIRY: Duration = Duration::from_secs(20);
/// Random daemons called additionally in each interval while there are urgent reports. They halve
/// the time in which a report reaches all daemons.
const URGENT_CALLS: usize = 2;
/// Exchanges that a report passes in a fleet of several groups: to the representative, and from
/// there to this daemon.
const REPORT_HOPS: u32 = 2;

/// Daemons by the addresses at which they listen for peers.
#[derive(Debug)]
pub struct PeerTable {
    own: SocketAddr,
    // An ordered map, so that random choices from it are reproducible with the generator's seed.
    peers: BTreeMap<SocketAddr, PeerRecord>,
    schedule: CallSchedule,
    neighbours: Neighbours,
    peak: RecentPeak,
    gossip_interval: Duration,
    calls_per_interval: usize,
}

impl PeerTable {
    /// Creates the table of the daemon at `own`, which knows only `seeds` yet and calls
    /// `calls_per_interval` daemons in every `gossip_interval`.
    pub fn new(
        own: SocketAddr,
        seeds: &[SocketAddr],
        gossip_interval: Duration,
        calls_per_interval: usize,
    ) -> Self {
        let seeds: BTreeSet<SocketAddr> =
            seeds.iter().filter(|seed| **seed != own).copied().collect();
        Self {
            own,
            peers: BTreeMap::new(),
            schedule: CallSchedule::new(seeds, calls_per_interval),
            neighbours: Neighbours::of(&own, &[]),
            peak: RecentPeak::default(),
            gossip_interval,
            calls_per_interval,
        }
    }

    /// Neighbours among the known daemons.
    pub fn neighbours(&self) -> &Neighbours {
        &self.neighbours
    }

    /// Applies a summary of a daemon that another one passes on.
    pub fn receive_summary(&mut self, summary: &PeerSummary, now: Instant) {
        let PeerSummary { address, incarnation, age } = *summary;
        if address == self.own || age >= PEER_EXPIRY {
            return;
        }
        // No message can have arrived before the start of the clock, so such an age is wrong.
        let Some(heard_at) = now.checked_sub(age) else { return };
        match self.peers.get_mut(&address) {
            Some(known) if known.incarnation > incarnation => {}
            Some(known) if known.incarnation == incarnation => {
                known.heard_at = known.heard_at.max(heard_at);
            }
            _ => {
                let record = PeerRecord {
                    address_hash: hash_address(&address),
                    incarnation,
                    sequence: 0,
                    heard_at,
                    heard_directly_at: None,
                    leaving: false,
                    forwarder: None,
                };
                self.insert(address, record);
            }
        }
    }

    /// Applies a daemon's own report. Returns whether it is newer than the one known.
    pub fn receive_report(
        &mut self,
        address: SocketAddr,
        report: PeerReport,
        now: Instant,
    ) -> bool {
        if address == self.own {
            return false;
        }
        self.schedule.succeeded(address);
        let PeerReport { incarnation, sequence, leaving, forwarder } = report;
        let known = self.peers.get(&address);
        let is_newer =
            known.is_none_or(|known| (known.incarnation, known.sequence) < (incarnation, sequence));
        if is_newer {
            let heard_directly_at = Some(now);
            let address_hash = hash_address(&address);
            let heard_at = now;
            let record = PeerRecord {
                address_hash,
                incarnation,
                sequence,
                heard_at,
                heard_directly_at,
                leaving,
                forwarder,
            };
            self.insert(address, record);
        }
        is_newer
    }

    fn insert(&mut self, address: SocketAddr, record: PeerRecord) {
        self.schedule.add(address);
        if self.peers.insert(address, record).is_none() {
            self.regroup();
        }
    }

    fn regroup(&mut self) {
        let others: Vec<SocketAddr> = self.peers.keys().copied().collect();
        self.neighbours = Neighbours::of(&self.own, &others);
    }

    /// Records that a call to this address failed.
    pub fn call_failed(&mut self, address: SocketAddr) {
        self.schedule.failed(address);
    }

    /// The addresses to call in this interval.
    pub fn next_calls(&mut self, now: Instant, rng: &mut impl Rng) -> Vec<SocketAddr> {
        self.remove_expired(now);
        self.peak.observe(self.peers.len() + 1, now);
        self.schedule.next(&self.neighbours, &self.peers, now, rng)
    }

    /// Random addresses to call additionally in an interval while there is an urgent report.
    pub fn urgent_calls(&self, rng: &mut impl Rng) -> Vec<SocketAddr> {
        self.peers.keys().copied().sample(rng, URGENT_CALLS)
    }

    fn remove_expired(&mut self, now: Instant) {
        let before = self.peers.len();
        self.peers.retain(|_, peer| now.saturating_duration_since(peer.heard_at) < PEER_EXPIRY);
        self.schedule.prune(&self.peers);
        if self.peers.len() != before {
            self.regroup();
        }
    }

    /// Summaries of up to `max` randomly chosen daemons, to pass on to a peer.
    pub fn summaries(&self, max: usize, now: Instant, rng: &mut impl Rng) -> Vec<PeerSummary> {
        let chosen = self.peers.iter().filter(|(_, peer)| !peer.leaving).sample(rng, max);
        let summary = |(address, peer): (&SocketAddr, &PeerRecord)| PeerSummary {
            address: *address,
            incarnation: peer.incarnation,
            age: now.saturating_duration_since(peer.heard_at),
        };
        chosen.into_iter().map(summary).collect()
    }

    /// Whether all daemons are in one group.
    pub fn is_single_group(&self) -> bool {
        self.neighbours.groups <= 1
    }

    /// Rank of this daemon among those of its group that watch the store: 0 for the watchers, then
    /// the order in which others stand in for them.
    pub fn watcher_rank(&self, now: Instant) -> usize {
        // Ordered by hash, so that the watchers of all groups are not in one availability zone.
        let own = watch_rank(&self.own);
        let is_before = |address: &&SocketAddr| watch_rank(address) < own;
        let heard = self.neighbours.group.iter().filter(|address| self.hears(address, now));
        let before = heard.filter(is_before).count();
        (before + 1).saturating_sub(watchers_per_group(self.neighbours.groups))
    }

    /// How many daemons share quotas. Daemons of another group count as heard
    /// while this daemon hears their representative.
    pub fn sharing(&self, now: Instant) -> QuotaSharing {
        let mut groups_heard = vec![false; self.neighbours.groups.max(1)];
        for (group, representative) in &self.neighbours.representatives {
            groups_heard[*group] = self.hears(representative, now);
        }
        let (mut known, mut heard) = (1, 1);
        for (address, peer) in &self.peers {
            let group = group_of(address, self.neighbours.groups);
            let is_heard = match group == self.neighbours.own_group {
                true => self.hears(address, now),
                false => groups_heard[group],
            };
            heard += usize::from(is_heard);
            known += usize::from(is_heard || !peer.leaving);
        }
        QuotaSharing { known, heard, report_age: self.report_age() }
    }

    /// The daemon that writes the log of streams for this daemon's group; none if it is this one.
    pub fn stream_recorder(&self, now: Instant) -> Option<SocketAddr> {
        let is_running = |address: &&SocketAddr| {
            self.hears(address, now) && self.peers.get(*address).is_some_and(|peer| !peer.leaving)
        };
        let running = self.neighbours.group.iter().filter(is_running);
        let first = running.min_by_key(|address| hash_address(address))?;
        (hash_address(first) < hash_address(&self.own)).then_some(*first)
    }

    /// Largest number of daemons known in the last minutes, including this one.
    pub fn recent_peak(&self) -> usize {
        self.peak.get()
    }

    /// Daemons that may carry tunnels to endpoints.
    pub fn forwarder_candidates(&self, now: Instant) -> Vec<ForwarderCandidate> {
        let heard = self.peers.iter().filter(|(address, _)| self.hears(address, now));
        let running = heard.filter(|(_, peer)| !peer.leaving);
        let candidate = |(_, peer): (_, &PeerRecord)| {
            let report = peer.forwarder.filter(|report| !report.is_partitioned)?;
            let report_age = now.saturating_duration_since(peer.heard_at);
            let contact_age = report.contact_age.map(|age| age + report_age);
            Some(ForwarderCandidate { address: report.address, contact_age })
        };
        running.filter_map(candidate).collect()
    }

    /// Maximum age of other daemons' reports when they arrive.
    pub fn report_age(&self) -> Duration {
        let hops = if self.is_single_group() { 1 } else { REPORT_HOPS };
        self.round_time() * hops
    }

    /// Whether this daemon has recently received a message from the one at `address`.
    fn hears(&self, address: &SocketAddr, now: Instant) -> bool {
        let limit = HEARD_TIMEOUT.max(self.round_time() * HEARD_TIMEOUT_ROUNDS);
        let heard_at = self.peers.get(address).and_then(|peer| peer.heard_directly_at);
        heard_at.is_some_and(|at| now.saturating_duration_since(at) < limit)
    }

    /// Time in which every neighbour is called once.
    fn round_time(&self) -> Duration {
        let neighbours = self.neighbours.all().count();
        let intervals = neighbours.div_ceil(self.calls_per_interval.max(1)) as u32;
        self.gossip_interval * intervals
    }
}

fn watch_rank(address: &SocketAddr) -> (u64, SocketAddr) {
    (hash_parts(&[b"watch", address.to_string().as_bytes()]), *address)
}
