//! Simulates how fast all daemons of a fleet learn of a request, or a part of prompts, that crashes endpoints. The peer
//! tables and crash ledgers are the real ones and exchange reports as the daemons do; time is
//! simulated.
//!
//! `CRASH_MODEL=1000 cargo test --release --test gateway crash_model -- --nocapture` also runs it
//! with that number of daemons.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    gateway::{
        call::PartId,
        gossip::{
            caller::{CALLS_PER_INTERVAL, GOSSIP_INTERVAL},
            peer_record::PeerReport,
            peer_table::PeerTable,
        },
        policy::request::{
            crash_ledger::{CrashLedger, RunVerdict, part_ledger::PartLedger},
            crash_record::{CrashRecord, CrashedRun},
            fingerprint::RequestFingerprint,
        },
    },
    ids::IncarnationId,
};

/// Time within which all daemons have to know of the third crash.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Requests that were running beside the crashing one at each crash.
const BYSTANDERS: u64 = 32;
/// The request that crashes endpoints.
const CRASHING: RequestFingerprint = RequestFingerprint { head: u64::MAX, content: 0 };

/// The part that crashes endpoints, and one that runs beside it at each.
const CRASHING_PART: PartId = PartId(1);
const POPULAR_PART: PartId = PartId(2);
/// Crashes after which a part has to be known.
const PART_CRASHES: u64 = 5;

struct ModelDaemon {
    address: SocketAddr,
    peers: PeerTable,
    ledger: CrashLedger,
    parts: PartLedger,
}

/// Records of one message.
#[derive(Debug, Default)]
struct Report {
    requests: Vec<(RequestFingerprint, CrashRecord)>,
    parts: Vec<(PartId, CrashRecord)>,
}

struct CrashModel {
    daemons: Vec<ModelDaemon>,
    index_by_address: HashMap<SocketAddr, usize>,
    now: Instant,
    rng: SmallRng,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8 + 1], 8229))
}

impl CrashModel {
    /// Creates daemons that all know each other.
    fn new(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let daemon = |index| {
            let own = address(index);
            let mut peers = PeerTable::new(own, &[], GOSSIP_INTERVAL, CALLS_PER_INTERVAL);
            for other in (0..count).filter(|other| *other != index) {
                let incarnation = IncarnationId(other as u64 + 1);
                let report =
                    PeerReport { incarnation, sequence: 1, leaving: false, forwarder: None };
                peers.receive_report(address(other), report, now);
            }
            ModelDaemon {
                address: own,
                peers,
                ledger: CrashLedger::default(),
                parts: PartLedger::default(),
            }
        };
        Self {
            daemons: (0..count).map(daemon).collect(),
            index_by_address: (0..count).map(|index| (address(index), index)).collect(),
            now,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// An endpoint ends while it runs the crashing request and others, all sent by one daemon.
    fn crash(&mut self, endpoint: u64) {
        let index = self.rng.random_range(0..self.daemons.len());
        let (crashed, begun) = (self.now, self.now - Duration::from_millis(40));
        let run = CrashedRun { endpoint, begun, crashed };
        let ledger = &mut self.daemons[index].ledger;
        ledger.record_crash(CRASHING, run, self.now);
        for number in 0..BYSTANDERS {
            let bystander = RequestFingerprint { head: endpoint, content: u128::from(number) };
            ledger.record_crash(bystander, run, self.now);
        }
    }

    /// An endpoint ends while it runs requests with the crashing part, a popular one and others. Another daemon
    /// gets a complete response to one with the popular part.
    fn crash_by_part(&mut self, endpoint: u64) {
        let index = self.rng.random_range(0..self.daemons.len());
        let (crashed, begun) = (self.now, self.now - Duration::from_millis(90));
        let run = CrashedRun { endpoint, begun, crashed };
        let parts = &mut self.daemons[index].parts;
        parts.record_crash(CRASHING_PART, run, self.now);
        parts.record_crash(POPULAR_PART, run, self.now);
        for number in 0..BYSTANDERS {
            parts.record_crash(PartId(1_000 + endpoint * BYSTANDERS + number), run, self.now);
        }
        let other = self.rng.random_range(0..self.daemons.len());
        let served = self.now + Duration::from_millis(1);
        self.daemons[other].parts.record_served(POPULAR_PART, served);
    }

    /// Runs one gossip interval of every daemon. Records received in it are passed on in the next
    /// one.
    fn run_interval(&mut self) {
        self.now += GOSSIP_INTERVAL;
        for daemon in &mut self.daemons {
            daemon.parts.evaluate(&[], self.now);
        }
        let reports: Vec<Report> = (0..self.daemons.len()).map(|one| self.report(one)).collect();
        for index in 0..self.daemons.len() {
            for peer in self.calls_by(index) {
                let other = self.index_by_address[&peer];
                self.receive(other, index, &reports[index]);
                self.receive(index, other, &reports[other]);
            }
        }
    }

    fn report(&mut self, index: usize) -> Report {
        let ModelDaemon { ledger, parts, .. } = &self.daemons[index];
        Report {
            requests: ledger.report(self.now, &mut self.rng),
            parts: parts.report(self.now, &mut self.rng),
        }
    }

    fn calls_by(&mut self, index: usize) -> Vec<SocketAddr> {
        let (now, rng) = (self.now, &mut self.rng);
        let ModelDaemon { peers, ledger, parts, .. } = &mut self.daemons[index];
        let mut calls = peers.next_calls(now, rng);
        if ledger.is_urgent(now) || parts.is_urgent(now) {
            calls.extend(peers.urgent_calls(rng));
        }
        calls
    }

    fn receive(&mut self, to: usize, from: usize, report: &Report) {
        for (request, record) in &report.requests {
            self.daemons[to].ledger.receive(*request, record, self.now);
        }
        for (part, record) in &report.parts {
            self.daemons[to].parts.receive(*part, record, self.now);
        }
        // A daemon that sends reports stays known as running.
        let incarnation = IncarnationId(from as u64 + 1);
        let report = PeerReport { incarnation, sequence: 2, leaving: false, forwarder: None };
        let address = self.daemons[from].address;
        self.daemons[to].peers.receive_report(address, report, self.now);
    }

    /// Number of daemons that would still run the crashing request.
    fn unaware(&mut self) -> usize {
        let now = self.now;
        let mut daemons = self.daemons.iter_mut();
        let runs = |daemon: &mut ModelDaemon| {
            daemon.ledger.verdict(CRASHING, |_| false, now) == RunVerdict::Allowed
        };
        daemons.by_ref().map(runs).filter(|runs| *runs).count()
    }

    /// Time from the third of three crashes, 100 ms apart at random daemons, until all daemons
    /// refuse the request.
    fn time_to_quarantine(&mut self) -> Duration {
        self.crash(1);
        self.run_interval();
        self.crash(2);
        self.run_interval();
        self.crash(3);
        let third_crash_at = self.now;
        while self.unaware() > 0 && self.now < third_crash_at + MAX_PROPAGATION_TIME * 2 {
            self.run_interval();
        }
        self.now - third_crash_at
    }
}

impl CrashModel {
    /// Number of daemons that refuse a part.
    fn refusing(&self, part: PartId) -> usize {
        let is_refused = |daemon: &&ModelDaemon| {
            let parts = daemon.parts.table();
            parts.get(part).is_some_and(|record| record.is_quarantined)
        };
        self.daemons.iter().filter(is_refused).count()
    }

    /// Time from the fifth of many crashes, 100 ms apart at random daemons, until all daemons refuse the part.
    fn time_to_refuse_part(&mut self) -> Duration {
        let mut fifth_crash_at = None;
        for endpoint in 1.. {
            if self.refusing(CRASHING_PART) == self.daemons.len() {
                break;
            }
            self.crash_by_part(endpoint);
            if endpoint == PART_CRASHES {
                fifth_crash_at = Some(self.now);
            }
            if fifth_crash_at.is_some_and(|at| self.now > at + MAX_PROPAGATION_TIME) {
                break;
            }
            self.run_interval();
        }
        self.now - fifth_crash_at.unwrap_or(self.now)
    }
}

#[googletest::test]
fn all_daemons_refuse_a_crashing_part_in_time_in_fleets_of_any_size() {
    for count in [9, 30, 78, 195, 300] {
        let seeds = if count > 100 { 1..=1 } else { 1..=8 };
        for seed in seeds {
            let mut model = CrashModel::new(count, seed);
            let time = model.time_to_refuse_part();
            let popular = model.refusing(POPULAR_PART);
            println!("{count} daemons: {time:?}, {popular} refuse the popular part");
            expect_that!(time, lt(MAX_PROPAGATION_TIME), "{count} daemons");
            expect_that!(popular, eq(0));
        }
    }
}

#[googletest::test]
fn all_daemons_refuse_a_crashing_request_in_time_in_fleets_of_any_size() {
    let extra_size = std::env::var("CRASH_MODEL").ok().and_then(|text| text.parse().ok());
    for count in [9, 30, 77, 300].into_iter().chain(extra_size) {
        let seeds = if count > 100 { 1..=1 } else { 1..=8 };
        let times = seeds.map(|seed| CrashModel::new(count, seed).time_to_quarantine());
        let longest = times.max().unwrap_or_default();
        println!("{count} daemons: {longest:?} at most");
        expect_that!(longest, lt(MAX_PROPAGATION_TIME / 2), "{count} daemons");
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
