//! Peer tables, quota ledgers and usage counts of many daemons in one process. They exchange messages as
//! the real daemons do, on a simulated clock.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    gateway::{
        configuration::AccountQuota,
        gossip::{
            caller::{CALLS_PER_INTERVAL, GOSSIP_INTERVAL},
            groups::{GROUP_SIZE, Neighbours, group_of},
            peer_record::PeerReport,
            peer_table::PeerTable,
            report_source::ReportSource,
        },
        policy::{
            leader::usage_counts::UsageCounts,
            request::quota::{AccountCounters, QuotaLedger, QuotaTolerance, QuotaVerdict},
        },
    },
    ids::{IncarnationId, SharedName},
};

/// Number of summaries of other daemons in one message, as in the daemon.
const PEER_SUMMARIES: usize = 8;

struct TestDaemon {
    address: SocketAddr,
    incarnation: IncarnationId,
    sequence: u64,
    peers: PeerTable,
    quotas: QuotaLedger,
    usage: UsageCounts,
    down: bool,
}

/// Simulated daemons that exchange messages as the real ones do.
pub struct TestFleet {
    daemons: Vec<TestDaemon>,
    places: HashMap<SocketAddr, usize>,
    now: Instant,
    rng: SmallRng,
    calls: usize,
    account: SharedName,
}

fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8 + 1], 8229))
}

impl TestFleet {
    /// Creates daemons that have just started and know up to three seed addresses.
    pub fn new(count: usize) -> Self {
        Self::with_seed(count, 7)
    }

    /// Does the same as `new`, with this seed of the random numbers.
    pub fn with_seed(count: usize, seed: u64) -> Self {
        Self::with_tolerance(count, seed, QuotaTolerance::default())
    }

    /// Does the same as `with_seed`, with this tolerance of the quotas.
    pub fn with_tolerance(count: usize, seed: u64, tolerance: QuotaTolerance) -> Self {
        let now = Instant::now();
        let seeds: Vec<SocketAddr> = (0..3.min(count)).map(address).collect();
        let daemon = |place: usize| TestDaemon {
            address: address(place),
            incarnation: IncarnationId(place as u64 + 1),
            sequence: 0,
            peers: PeerTable::new(address(place), &seeds, GOSSIP_INTERVAL, CALLS_PER_INTERVAL),
            quotas: QuotaLedger::new(tolerance, now),
            usage: UsageCounts::default(),
            down: false,
        };
        Self {
            daemons: (0..count).map(daemon).collect(),
            places: (0..count).map(|place| (address(place), place)).collect(),
            now,
            rng: SmallRng::seed_from_u64(seed),
            calls: 0,
            account: "reader".into(),
        }
    }

    /// The simulated time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Index of a random daemon.
    pub fn random_place(&mut self) -> usize {
        self.rng.random_range(0..self.daemons.len())
    }

    /// Advances the time by one gossip interval, in which every daemon makes its calls.
    pub fn run_interval(&mut self) {
        self.now += GOSSIP_INTERVAL;
        for place in 0..self.daemons.len() {
            if self.daemons[place].down {
                continue;
            }
            let due = self.daemons[place].peers.next_calls(self.now, &mut self.rng);
            self.calls += due.len();
            for peer in due {
                let other = self.places[&peer];
                match self.daemons[other].down {
                    true => self.daemons[place].peers.call_failed(peer),
                    false => {
                        self.send(place, other, false);
                        self.send(other, place, true);
                    }
                }
            }
        }
    }

    /// The daemon `to` receives a message from `from`. A response also holds the totals of its sender's
    /// group.
    fn send(&mut self, from: usize, to: usize, is_response: bool) {
        let now = self.now;
        let sender = &mut self.daemons[from];
        sender.sequence += 1;
        let (address, incarnation, sequence) =
            (sender.address, sender.incarnation, sender.sequence);
        let summaries = sender.peers.summaries(PEER_SUMMARIES, now, &mut self.rng);
        let spent: Vec<_> =
            sender.quotas.counters().map(|(name, counters)| (name.clone(), counters)).collect();
        let windows = sender.usage.own().clone();
        let group_spent: Vec<_> = sender.quotas.group_counters().collect();
        let group_windows = sender.usage.group_totals();
        let receiver = &mut self.daemons[to];
        for summary in &summaries {
            receiver.peers.receive_summary(summary, now);
        }
        let report = PeerReport { incarnation, sequence, leaving: false, forwarder: None };
        receiver.peers.receive_report(address, report, now);
        let neighbours = receiver.peers.neighbours();
        let group = neighbours.represented_group(&address).filter(|_| is_response);
        if neighbours.in_own_group(&address) {
            receive(receiver, ReportSource::Daemon(incarnation), spent, windows, now);
        } else if let Some(number) = group {
            let source = ReportSource::Group { number, representative: incarnation };
            receive(receiver, source, group_spent, group_windows, now);
        }
    }

    /// Runs gossip intervals for this time.
    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.run_interval();
        }
    }

    /// Requests `units` of the account from the daemon at `place`; returns whether they are admitted.
    pub fn admit(&mut self, place: usize, quota: &AccountQuota, units: u64) -> bool {
        let daemon = &mut self.daemons[place];
        let sharing = daemon.peers.sharing(self.now);
        let rng = &mut self.rng;
        daemon.quotas.admit(&self.account, quota, units, sharing, self.now, rng)
            == QuotaVerdict::Admitted
    }
}

fn receive(
    daemon: &mut TestDaemon,
    source: ReportSource,
    counters: Vec<(SharedName, AccountCounters)>,
    windows: BTreeMap<u64, BTreeMap<SharedName, u64>>,
    now: Instant,
) {
    let counters = counters.iter().map(|(account, counters)| (account, counters));
    daemon.quotas.receive(source, counters, false, now);
    for (window, counts) in windows {
        daemon.usage.receive(source, window, counts);
    }
}

#[googletest::test]
fn all_daemons_learn_of_each_other_in_fleets_of_any_size() {
    for (count, within_s) in [(1, 2), (2, 2), (9, 3), (30, 8), (87, 12), (300, 30)] {
        let mut fleet = TestFleet::new(count);
        fleet.run(Duration::from_secs(within_s));
        for daemon in &fleet.daemons {
            let sharing = daemon.peers.sharing(fleet.now);
            expect_that!(sharing.known, eq(count), "known to {} of {count}", daemon.address);
            expect_that!(sharing.heard, eq(count), "reported to {} of {count}", daemon.address);
        }
    }
}

#[googletest::test]
fn calls_do_not_grow_with_the_fleet() {
    for count in [9, 87, 300] {
        let mut fleet = TestFleet::new(count);
        fleet.run(Duration::from_secs(10));
        let before = fleet.calls;
        fleet.run(Duration::from_secs(10));
        let calls_per_s = (fleet.calls - before) as f64 / 10.0 / count as f64;
        expect_that!(calls_per_s, le(22.0), "calls per second and daemon of {count}");
    }
}

/// In a fleet of one group every daemon watched the store: 21 daemons made 38 calls a second, 2,498
/// in a day of 66 s.
#[googletest::test]
fn few_daemons_watch_the_store_in_fleets_of_any_size() {
    for (count, groups) in [(1, 1), (2, 1), (9, 1), (21, 1), (24, 1), (77, 8), (195, 16), (325, 16)]
    {
        let mut fleet = TestFleet::new(count);
        fleet.run(Duration::from_secs(20));
        let ranks = fleet.daemons.iter().map(|daemon| daemon.peers.watcher_rank(fleet.now));
        let watchers = ranks.filter(|rank| *rank == 0).count();
        let expected = if groups == 1 { count.min(2) } else { groups };
        expect_that!(watchers, eq(expected), "watchers of {count} daemons");
    }
}

#[googletest::test]
fn neighbours_grow_with_groups_only() {
    for count in [24, 25, 87, 300, 2_100] {
        let others: Vec<SocketAddr> = (1..count).map(address).collect();
        let neighbours = Neighbours::of(&address(0), &others);
        let bound = (GROUP_SIZE * 2) as f64 + (count as f64).sqrt() * 2.5;
        expect_that!(
            neighbours.all().count() as f64,
            le(bound),
            "neighbours in a fleet of {count} daemons"
        );
        expect_that!(neighbours.representatives.len(), eq(neighbours.groups - 1));
        for (group, representative) in &neighbours.representatives {
            expect_that!(group_of(representative, neighbours.groups), eq(*group));
        }
    }
}

#[googletest::test]
fn every_daemon_knows_the_total_usage() {
    for count in [9, 87] {
        let mut fleet = TestFleet::new(count);
        fleet.run(Duration::from_secs(10));
        let account = fleet.account.clone();
        for place in 0..count {
            for _ in 0..place {
                fleet.daemons[place].usage.count(&account, 5);
            }
        }
        fleet.run(Duration::from_secs(4));
        let expected = (count * (count - 1) / 2) as u64;
        for daemon in &fleet.daemons {
            let total = daemon.usage.total(5);
            expect_that!(total.get(&account), some(eq(&expected)), "total at {}", daemon.address);
        }
    }
}

#[googletest::test]
fn ended_daemons_are_removed_from_the_peer_tables_of_all_others() {
    let mut fleet = TestFleet::new(60);
    fleet.run(Duration::from_secs(10));
    for place in (0..60).step_by(4) {
        fleet.daemons[place].down = true;
    }
    fleet.run(Duration::from_secs(50));
    for daemon in fleet.daemons.iter().filter(|daemon| !daemon.down) {
        let sharing = daemon.peers.sharing(fleet.now);
        expect_that!(sharing.known, eq(45), "known to {}", daemon.address);
        expect_that!(sharing.heard, eq(45), "reported to {}", daemon.address);
    }
}
