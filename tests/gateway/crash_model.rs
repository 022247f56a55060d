//! How fast a fleet of any size knows of a request that crashes endpoints: the daemons' tables of
//! peers and ledgers, which exchange as the real ones do, on a clock of the test's own.
//!
//! `CRASH_MODEL=1000 cargo test --release --test gateway crash_model -- --nocapture` plays one
//! more size.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    gateway::{
        gossip::{
            caller::{CALLS_PER_INTERVAL, GOSSIP_INTERVAL},
            peer_record::PeerReport,
            peer_table::PeerTable,
        },
        policy::request::{
            crash_ledger::{CrashLedger, RunVerdict},
            crash_record::{CrashRecord, CrashedRun},
            fingerprint::RequestFingerprint,
        },
    },
    ids::IncarnationId,
};

/// Time in which all daemons have to know of the third crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests that ran beside the one to blame at each crash.
const BYSTANDERS: u64 = 32;
/// The request to blame.
const BLAMED: RequestFingerprint = RequestFingerprint { head: u64::MAX, content: 0 };

struct ModelDaemon {
    address: SocketAddr,
    peers: PeerTable,
    ledger: CrashLedger,
}

/// Records of one message.
type Report = Vec<(RequestFingerprint, CrashRecord)>;

struct CrashModel {
    daemons: Vec<ModelDaemon>,
    places: HashMap<SocketAddr, usize>,
    now: Instant,
    rng: SmallRng,
}

fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (place / 250) as u8, (place % 250) as u8 + 1], 8229))
}

impl CrashModel {
    /// Daemons that know each other.
    fn new(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let daemon = |place| {
            let own = address(place);
            let mut peers = PeerTable::new(own, &[], GOSSIP_INTERVAL, CALLS_PER_INTERVAL);
            for other in (0..count).filter(|other| *other != place) {
                let incarnation = IncarnationId(other as u64 + 1);
                let report = PeerReport { incarnation, sequence: 1, leaving: false };
                peers.receive_report(address(other), report, now);
            }
            ModelDaemon { address: own, peers, ledger: CrashLedger::default() }
        };
        Self {
            daemons: (0..count).map(daemon).collect(),
            places: (0..count).map(|place| (address(place), place)).collect(),
            now,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// An endpoint ends under the request to blame and others, all at one daemon.
    fn crash(&mut self, endpoint: u64) {
        let place = self.rng.random_range(0..self.daemons.len());
        let (crashed, begun) = (self.now, self.now - Duration::from_millis(40));
        let run = CrashedRun { endpoint, begun, crashed };
        let ledger = &mut self.daemons[place].ledger;
        ledger.record_crash(BLAMED, run, self.now);
        for number in 0..BYSTANDERS {
            let beside = RequestFingerprint { head: endpoint, content: u128::from(number) };
            ledger.record_crash(beside, run, self.now);
        }
    }

    /// One gossip interval of every daemon. What is received in it is passed on in the next one.
    fn interval(&mut self) {
        self.now += GOSSIP_INTERVAL;
        let reports: Vec<Report> = (0..self.daemons.len()).map(|one| self.report(one)).collect();
        for place in 0..self.daemons.len() {
            for peer in self.calls_of(place) {
                let other = self.places[&peer];
                self.receive(other, place, &reports[place]);
                self.receive(place, other, &reports[other]);
            }
        }
    }

    fn report(&mut self, place: usize) -> Report {
        self.daemons[place].ledger.report(self.now, &mut self.rng)
    }

    fn calls_of(&mut self, place: usize) -> Vec<SocketAddr> {
        let (now, rng) = (self.now, &mut self.rng);
        let ModelDaemon { peers, ledger, .. } = &mut self.daemons[place];
        let mut calls = peers.next_calls(now, rng);
        if ledger.is_urgent(now) {
            calls.extend(peers.urgent_calls(rng));
        }
        calls
    }

    fn receive(&mut self, to: usize, from: usize, report: &Report) {
        for (request, record) in report {
            self.daemons[to].ledger.receive(*request, record, self.now);
        }
        // Daemons that are heard stay known.
        let incarnation = IncarnationId(from as u64 + 1);
        let report = PeerReport { incarnation, sequence: 2, leaving: false };
        let address = self.daemons[from].address;
        self.daemons[to].peers.receive_report(address, report, self.now);
    }

    /// Daemons that would still run the request to blame.
    fn unaware(&mut self) -> usize {
        let now = self.now;
        let mut daemons = self.daemons.iter_mut();
        let runs = |daemon: &mut ModelDaemon| {
            daemon.ledger.decide_run(BLAMED, |_| false, now) == RunVerdict::Allowed
        };
        daemons.by_ref().map(runs).filter(|runs| *runs).count()
    }

    /// Time from the third of three crashes, 100 ms apart at random daemons, until all daemons
    /// refuse the request.
    fn time_to_stop(&mut self) -> Duration {
        self.crash(1);
        self.interval();
        self.crash(2);
        self.interval();
        self.crash(3);
        let third = self.now;
        while self.unaware() > 0 && self.now < third + CONTACT_TIME * 2 {
            self.interval();
        }
        self.now - third
    }
}

#[googletest::test]
fn all_daemons_stop_a_request_in_time_whatever_their_number() {
    let asked = std::env::var("CRASH_MODEL").ok().and_then(|text| text.parse().ok());
    for count in [9, 30, 77, 300].into_iter().chain(asked) {
        let seeds = if count > 100 { 1..=1 } else { 1..=8 };
        let times = seeds.map(|seed| CrashModel::new(count, seed).time_to_stop());
        let longest = times.max().unwrap_or_default();
        println!("{count} daemons: {longest:?} at most");
        expect_that!(longest, lt(CONTACT_TIME / 2), "{count} daemons");
    }
}

#[googletest::test]
fn one_daemon_of_a_fleet_makes_each_trial() {
    let model = CrashModel::new(30, 1);
    for key in 0..100 {
        let first = model.daemons.iter().filter(|daemon| daemon.peers.is_first_for(key)).count();
        expect_that!(first, eq(1));
    }
}
